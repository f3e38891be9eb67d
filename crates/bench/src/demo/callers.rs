//! Live callers of the demo.

use std::collections::BTreeSet;
use std::time::Duration;

use reqwest::Method;
use tokio::sync::watch;

use super::DemoReport;
use crate::cluster::{APPLICATION_POOL, MODEL_POOL};
use crate::live::{Caller, Retries};

const TOKENS: u64 = 12;
const PAUSE: Duration = Duration::from_millis(20);
const PRICE_PATH: &str = "price?currency=nok";

/// Caller that repeats a completion, a streamed completion, and an application request.
pub(super) struct DemoCaller {
    index: usize,
    caller: Caller,
    /// Weight versions that any caller has received.
    seen: watch::Sender<BTreeSet<u64>>,
    report: DemoReport,
}

impl DemoCaller {
    /// Creates a caller of the daemon at this base URL.
    pub(super) fn new(index: usize, daemon: &str, seen: watch::Sender<BTreeSet<u64>>) -> Self {
        Self {
            index,
            caller: Caller::new(daemon),
            seen,
            report: DemoReport::default(),
        }
    }

    /// Sends requests until stopped and returns its report.
    pub(super) async fn run(mut self, stopped: watch::Receiver<bool>) -> DemoReport {
        let mut round = 0;
        while !*stopped.borrow() {
            round += 1;
            let name = format!("caller {} round {round}", self.index);
            self.complete(&name, false).await;
            self.complete(&name, true).await;
            self.price(&format!("{{\"order\":\"{name}\"}}")).await;
            tokio::time::sleep(PAUSE).await;
        }
        self.report
    }

    async fn complete(&mut self, prompt: &str, stream: bool) {
        let mut retries = Retries::default();
        let result = loop {
            let call = self.caller.complete(MODEL_POOL, prompt, TOKENS, stream);
            match call.await {
                Err(error) if retries.wait_to_retry(&error).await => {}
                result => break result,
            }
        };
        match result {
            Ok(completion) => {
                self.report.live_completed += 1;
                self.report.live_streamed += u64::from(stream);
                self.record_versions(&completion.weight_versions);
            }
            Err(error) => self.report.add_failure("completion", &error),
        }
    }

    fn record_versions(&mut self, versions: &BTreeSet<u64>) {
        self.report.weight_versions_seen.extend(versions);
        self.seen.send_modify(|seen| seen.extend(versions));
    }

    async fn price(&mut self, body: &str) {
        let mut retries = Retries::default();
        let result = loop {
            let caller = &self.caller;
            let call = caller.application(APPLICATION_POOL, Method::POST, PRICE_PATH, body);
            match call.await {
                Err(error) if retries.wait_to_retry(&error).await => {}
                result => break result,
            }
        };
        match result {
            Ok(_) => self.report.application_completed += 1,
            Err(error) => self.report.add_failure("application request", &error),
        }
    }
}

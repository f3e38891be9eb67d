//! The one record of how a request ended.

use std::time::Instant;

use super::CallerHeaders;
use crate::live::{LivePath, Outcome, REASON_CALLER_GONE, RequestId};

/// Logs and counts how a request ended, once; dropped unrecorded, its caller went away.
#[derive(Debug)]
pub struct RequestEnd {
    live: LivePath,
    id: RequestId,
    has_key: bool,
    started: Instant,
    recorded: bool,
}

impl RequestEnd {
    /// A request that has just arrived.
    pub fn new(live: LivePath, caller: &CallerHeaders) -> Self {
        Self {
            live,
            id: caller.id.clone(),
            has_key: caller.has_key(),
            started: Instant::now(),
            recorded: false,
        }
    }

    /// The request's id.
    pub fn id(&self) -> &RequestId {
        &self.id
    }

    /// Whether the caller gave an idempotency key.
    pub fn has_key(&self) -> bool {
        self.has_key
    }

    /// Records the end.
    pub fn record(mut self, outcome: Outcome, reason: &str) {
        self.write(outcome, reason);
    }

    fn write(&mut self, outcome: Outcome, reason: &str) {
        self.recorded = true;
        let elapsed = self.started.elapsed();
        self.live
            .metrics()
            .record_completion(outcome, reason, elapsed);
        log::info!(
            "event=live_request request={} outcome={} reason={reason} ms={}",
            self.id.caller_id(),
            outcome.as_str(),
            elapsed.as_millis()
        );
    }
}

impl Drop for RequestEnd {
    fn drop(&mut self) {
        if !self.recorded {
            self.write(Outcome::Unknown, REASON_CALLER_GONE);
        }
    }
}

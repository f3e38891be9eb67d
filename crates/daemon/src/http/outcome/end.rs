//! Log line and metrics of a finished request.

use std::time::Instant;

use super::CallerHeaders;
use crate::live::{LivePath, Outcome, REASON_CALLER_GONE, RequestId};

/// Logs and counts the outcome of a request exactly once. If it is dropped unrecorded, the caller disconnected.
#[derive(Debug)]
pub struct RequestRecord {
    live: LivePath,
    id: RequestId,
    has_key: bool,
    started: Instant,
    recorded: bool,
}

impl RequestRecord {
    /// Starts the record of a request that has just arrived.
    pub fn new(live: LivePath, caller: &CallerHeaders) -> Self {
        Self {
            live,
            id: caller.id.clone(),
            has_key: caller.has_key(),
            started: Instant::now(),
            recorded: false,
        }
    }

    /// Returns the id of the request.
    pub fn id(&self) -> &RequestId {
        &self.id
    }

    /// Returns whether the request has an idempotency key.
    pub fn has_key(&self) -> bool {
        self.has_key
    }

    /// Records the outcome.
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

impl Drop for RequestRecord {
    fn drop(&mut self) {
        if !self.recorded {
            self.write(Outcome::Unknown, REASON_CALLER_GONE);
        }
    }
}

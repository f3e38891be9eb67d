//! Tracks when a majority of replicas last confirmed this node's ownership of its logs.

use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use ladderstage_clock::Instant;

/// Send time of the latest heartbeat in which a majority of replicas confirmed this node's logs.
#[derive(Debug, Default)]
pub struct QuorumConfirmation {
    sent_at: Mutex<Option<Instant>>,
}

impl QuorumConfirmation {
    /// Records that a majority of replicas answered a heartbeat sent at `sent_at`.
    pub fn record(&self, sent_at: Instant) {
        let mut known = self.lock();
        *known = (*known).max(Some(sent_at));
    }

    /// Returns the age of the last confirmation of a log that was taken over at `taken_at`. The
    /// takeover itself counts as a confirmation.
    pub fn age(&self, taken_at: Instant) -> Duration {
        let known = *self.lock();
        known.map_or(taken_at, |at| at.max(taken_at)).elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, Option<Instant>> {
        self.sent_at
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

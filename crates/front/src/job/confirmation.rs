//! When a majority of replicas last confirmed this node's logs.

use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use ladderstage_clock::Instant;

/// The send time of the last question in which a majority of replicas confirmed this node's logs.
#[derive(Debug, Default)]
pub struct QuorumConfirmation {
    asked_at: Mutex<Option<Instant>>,
}

impl QuorumConfirmation {
    /// Notes that a majority answered a question sent at `asked_at`.
    pub fn record(&self, asked_at: Instant) {
        let mut known = self.lock();
        *known = (*known).max(Some(asked_at));
    }

    /// How old the confirmation of a log is that was taken at `taken_at`.
    pub fn age(&self, taken_at: Instant) -> Duration {
        let known = *self.lock();
        known.map_or(taken_at, |at| at.max(taken_at)).elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, Option<Instant>> {
        self.asked_at
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

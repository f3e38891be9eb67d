//! Logs whose writer on this node was fenced recently.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Time at which this node's writer of each log was last fenced.
///
/// A process that resumes after another owner has taken over a log may still receive old notices from replicas that the
/// log has no live owner. Notices are ignored for `owner_timeout` after the fence, because acting on one would fence
/// the new owner. If that owner fails too, the replicas send notices again after this time.
#[derive(Debug)]
pub(super) struct RecentFences {
    owner_timeout: Duration,
    fenced_at: Mutex<BTreeMap<String, Instant>>,
}

impl RecentFences {
    /// `owner_timeout` is the time without heartbeats after which an owner is replaced.
    pub(super) fn new(owner_timeout: Duration) -> Self {
        Self {
            owner_timeout,
            fenced_at: Mutex::default(),
        }
    }

    /// Records that another owner has taken the log over.
    pub(super) fn record(&self, log: &str) {
        let mut fenced_at = self
            .fenced_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        fenced_at.retain(|_, at| at.elapsed() < self.owner_timeout);
        fenced_at.insert(log.to_owned(), Instant::now());
    }

    /// Returns whether another owner took the log over within the last `owner_timeout`.
    pub(super) fn contains(&self, log: &str) -> bool {
        let fenced_at = self
            .fenced_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        fenced_at
            .get(log)
            .is_some_and(|at| at.elapsed() < self.owner_timeout)
    }
}

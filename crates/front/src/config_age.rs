//! Whether the installed configuration is known to be the newest.
//!
//! A front that may lack a newer configuration must not reject a request for a route or a key that it
//! does not know. A watch of the store announces newer configurations: there is none while the watch
//! has not failed and the store answers other calls. Otherwise a check asks the store for changes
//! before such a request is rejected.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use ladderstage_clock::Instant;
use tokio::sync::watch;

/// Maximum time since the last contact with the store, or the last check, for which the
/// configuration counts as the newest.
const CONTACT_MAX_AGE: Duration = Duration::from_millis(2_500);

#[derive(Debug, Default)]
struct AgeState {
    /// Whether the watch, or the listing before it, has not failed since its last answer.
    is_followed: bool,
    /// Time at which the first configuration was installed.
    first_installed_at: Option<Instant>,
}

/// Time as of which the installed configuration is known to be the newest. Cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct ConfigAge {
    state: Arc<Mutex<AgeState>>,
    /// Number of requested checks.
    checks: watch::Sender<u64>,
    /// Send time of the last check that the store answered.
    checked_at: watch::Sender<Option<Instant>>,
}

impl ConfigAge {
    /// Records that the first configuration was installed, shortly after it was read.
    pub(crate) fn record_first(&self) {
        self.lock().first_installed_at = Some(Instant::now());
    }

    /// Records an answer to the watch, or to the listing before it.
    pub fn record_answer(&self) {
        self.lock().is_followed = true;
    }

    /// Records that the watch, or the listing before it, failed.
    pub fn record_failure(&self) {
        self.lock().is_followed = false;
    }

    /// Records the answer to a check that was sent at `sent_at`.
    pub fn record_check(&self, sent_at: Instant) {
        self.checked_at.send_replace(Some(sent_at));
    }

    /// Returns whether the configuration is the newest as far as this node can know. `contact` is
    /// the send time of the last call that the store answered.
    pub fn is_newest(&self, contact: Option<Instant>) -> bool {
        let is_recent = |at: Option<Instant>| at.is_some_and(|at| at.elapsed() < CONTACT_MAX_AGE);
        let (is_followed, first_installed_at) = {
            let state = self.lock();
            (state.is_followed, state.first_installed_at)
        };
        is_followed && is_recent(contact)
            || is_recent(first_installed_at)
            || is_recent(*self.checked_at.borrow())
    }

    /// Requests a check and waits for its answer, at most for `timeout`. One check serves all
    /// requests that wait for it.
    pub async fn check(&self, timeout: Duration) {
        let requested_at = Instant::now();
        let mut checked_at = self.checked_at.subscribe();
        self.checks.send_modify(|count| *count += 1);
        let answered = checked_at.wait_for(|at| at.is_some_and(|at| at >= requested_at));
        // Without an answer, the configuration does not count as the newest.
        let _ = tokio::time::timeout(timeout, answered).await;
    }

    /// Returns a receiver that changes whenever a check is requested.
    pub fn watch_checks(&self) -> watch::Receiver<u64> {
        self.checks.subscribe()
    }

    fn lock(&self) -> MutexGuard<'_, AgeState> {
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

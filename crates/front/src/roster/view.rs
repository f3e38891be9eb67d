//! Store revision as of which this node knows the records that it follows itself rather than
//! through the roster.

use tokio::sync::watch;

/// State of following the records.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Knowledge {
    /// The records are not followed, or the store has not answered yet.
    #[default]
    Unfollowed,
    /// All records are known as of a store revision.
    AsOf(u64),
    /// The store does not answer, and the last known records are the best available.
    Unavailable,
}

/// Shared state of following discovery or drain records directly. Cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct DiscoveryView {
    known: watch::Sender<Knowledge>,
}

impl DiscoveryView {
    /// Sets the revision as of which the records are known.
    pub fn set_known(&self, at: u64) {
        self.known.send_replace(Knowledge::AsOf(at));
    }

    /// Records that the store does not answer.
    pub fn mark_unavailable(&self) {
        self.known.send_replace(Knowledge::Unavailable);
    }

    /// Records that this node stopped following the records.
    pub fn mark_unfollowed(&self) {
        self.known.send_replace(Knowledge::Unfollowed);
    }

    /// Returns the revision as of which the records are known; `None` if they are not.
    pub fn known_at(&self) -> Option<u64> {
        match *self.known.borrow() {
            Knowledge::AsOf(at) => Some(at),
            Knowledge::Unfollowed | Knowledge::Unavailable => None,
        }
    }

    /// Returns whether instances that the roster lacks may be used: their records are up to date,
    /// or cannot be read.
    pub fn is_usable(&self) -> bool {
        *self.known.borrow() != Knowledge::Unfollowed
    }

    /// Waits until the records are known.
    pub async fn wait_until_known(&self) {
        let mut known = self.known.subscribe();
        // `self` owns the sender, so this does not fail.
        let _ = known
            .wait_for(|known| matches!(known, Knowledge::AsOf(_)))
            .await;
    }
}

//! Whether this node follows discovery itself, and as of when.

use tokio::sync::watch;

/// What this node knows from its own following of discovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Known {
    /// Discovery is not followed, or has not answered yet.
    #[default]
    Nothing,
    /// All instances as of a revision of the store.
    AsOf(u64),
    /// The store does not answer: what was known before is the best there is.
    Lost,
}

/// State of this node's own following of discovery. Cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct DiscoveryView {
    known: watch::Sender<Known>,
}

impl DiscoveryView {
    /// Notes that the instances are known as of a revision.
    pub fn set_known(&self, at: u64) {
        self.known.send_replace(Known::AsOf(at));
    }

    /// Notes that the store does not answer.
    pub fn mark_unavailable(&self) {
        self.known.send_replace(Known::Lost);
    }

    /// Notes that discovery is followed no more.
    pub fn mark_unfollowed(&self) {
        self.known.send_replace(Known::Nothing);
    }

    /// Revision as of which the instances are known; `None`: they are not.
    pub fn known_at(&self) -> Option<u64> {
        match *self.known.borrow() {
            Known::AsOf(at) => Some(at),
            Known::Nothing | Known::Lost => None,
        }
    }

    /// Whether instances that the roster does not name may be used: their records were just read, or cannot be.
    pub fn is_usable(&self) -> bool {
        *self.known.borrow() != Known::Nothing
    }

    /// Returns once the instances are known.
    pub async fn known(&self) {
        let mut known = self.known.subscribe();
        // The sender lives as long as this view.
        let _ = known
            .wait_for(|known| matches!(known, Known::AsOf(_)))
            .await;
    }
}

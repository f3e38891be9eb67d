//! Notifications from the journal to the other components of its node.

use std::sync::{Arc, OnceLock};

use ladderstage_clock::Instant;
use ladderstage_wire::messages::BundleEvidence;

/// Callbacks of the journal. They run on the journal's tasks and must not block.
pub trait JournalHooks: Send + Sync + 'static {
    /// Returns the bundle evidence that this node sends in its replies to owners' heartbeats.
    fn own_evidence(&self) -> BundleEvidence;

    /// Called when a heartbeat round (one heartbeat to each replica) has ended or reached a quorum, with the evidence of each
    /// replica that has responded so far. `majority` is true if these replicas form a quorum. A
    /// round may be reported twice, the second time with more replies.
    fn heartbeat_round(&self, sent_at: Instant, evidence: Vec<BundleEvidence>, majority: bool);

    /// Called when no quorum accepts appends of this node's writer of `log` any more.
    fn fenced(&self, log: &str);

    /// Called when a replica reports a higher epoch for `log`; other replicas may still accept this
    /// node's writer.
    fn fence_reported(&self, _log: &str) {}

    /// Called with logs that this node should take over because their owners are silent.
    fn orphaned(&self, logs: Vec<String>);
}

/// Cell for the hooks, which are set after the journal has started.
#[derive(Clone, Default)]
pub(crate) struct HookSlot {
    hooks: Arc<OnceLock<Arc<dyn JournalHooks>>>,
}

impl HookSlot {
    /// Sets the hooks; later calls have no effect.
    pub fn set(&self, hooks: Arc<dyn JournalHooks>) {
        let _ = self.hooks.set(hooks);
    }

    pub fn get(&self) -> Option<&Arc<dyn JournalHooks>> {
        self.hooks.get()
    }

    /// Returns this node's bundle evidence, with a revision of at least `stored`, the revision on
    /// this node's disk. `None` while the hooks are not set; callers must not treat that as "no
    /// newer bundle exists".
    pub fn own_evidence(&self, stored: u64) -> Option<BundleEvidence> {
        let evidence = self.get()?.own_evidence();
        if evidence.revision >= stored {
            return Some(evidence);
        }
        Some(BundleEvidence {
            revision: stored,
            age_ms: 0,
            known: false,
        })
    }
}

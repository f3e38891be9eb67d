//! What the journal tells the other parts of its node.

use std::sync::{Arc, OnceLock};

use ladderstage_clock::Instant;
use ladderstage_wire::messages::BundleEvidence;

/// Called from the journal's tasks; implementations return at once.
pub trait JournalHooks: Send + Sync + 'static {
    /// What this node tells in its answers to owners' heartbeats.
    fn own_evidence(&self) -> BundleEvidence;

    /// A heartbeat round ended, or has reached a quorum: the evidence of each replica that answered so far.
    /// `majority` tells whether they are a quorum. A round may be reported twice, the second time with more answers.
    fn heartbeat_round(&self, asked_at: Instant, evidence: Vec<BundleEvidence>, majority: bool);

    /// No quorum accepts appends of this node's writer of `log` any more.
    fn fenced(&self, log: &str);

    /// A replica says that a higher epoch has `log`; others may still accept this node's writer.
    fn fence_reported(&self, _log: &str) {}

    /// This node should take over these logs, as nobody tends them.
    fn orphaned(&self, logs: Vec<String>);
}

/// The hooks once they are set; before that nothing is told and no evidence is known.
#[derive(Clone, Default)]
pub(crate) struct HookSlot {
    hooks: Arc<OnceLock<Arc<dyn JournalHooks>>>,
}

impl HookSlot {
    /// Sets the hooks; only the first call counts.
    pub fn set(&self, hooks: Arc<dyn JournalHooks>) {
        let _ = self.hooks.set(hooks);
    }

    pub fn get(&self) -> Option<&Arc<dyn JournalHooks>> {
        self.hooks.get()
    }

    /// This node's evidence; `None` while nobody can tell, which must not pass for "no newer bundle".
    /// It never names an older revision than `stored`, the one on this node's disk.
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

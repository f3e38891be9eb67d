//! What other parts add to probes and learn from them.

use std::time::Instant;

use ladderstage_wire::messages::BundleEvidence;

/// What other parts add to probes and learn from them. Called from async tasks: must not block.
pub trait MemberHooks: Send + Sync {
    /// What this node knows of the newest bundle, at this moment.
    fn evidence(&self) -> BundleEvidence;

    /// A member told what it knows of the newest bundle.
    ///
    /// If `evidence.known`, it told so in an answer to a ping sent at `asked_at`, so that its knowledge dates from
    /// `asked_at` minus `age_ms` or later. Otherwise only the revision counts: it came with the member's own
    /// ping, and how long that was on its way is not known.
    fn observe_evidence(&self, from: &str, evidence: &BundleEvidence, asked_at: Instant);

    /// Version of the journal's replica set known here; 0: none.
    fn replica_set_version(&self) -> u64;

    /// A member told the version of the replica set that it knows.
    fn observe_replica_set_version(&self, from: &str, version: u64);
}

//! Interface through which the rest of the node attaches data to probes.

use std::time::Instant;

use ladderstage_wire::messages::BundleEvidence;

/// Source and receiver of the data attached to probes. Called from async tasks: must not block.
pub trait MemberHooks: Send + Sync {
    /// Returns this node's evidence of the newest bundle.
    fn evidence(&self) -> BundleEvidence;

    /// Records a member's evidence of the newest bundle.
    ///
    /// If `evidence.known`, it came in the answer to a ping sent at `sent_at`, so it dates from `sent_at` minus `age_ms`
    /// or later. Otherwise it came in the member's own ping, which may have been delayed: only the revision counts.
    fn observe_evidence(&self, from: &str, evidence: &BundleEvidence, sent_at: Instant);

    /// Returns the version of the replica set that this node knows; 0 if none.
    fn replica_set_version(&self) -> u64;

    /// Records the version of the replica set that a member knows.
    fn observe_replica_set_version(&self, from: &str, version: u64);
}

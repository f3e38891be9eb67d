//! Trait through which other modules attach data to probe messages.

use std::time::Instant;

use ladderstage_wire::messages::BundleEvidence;

/// Source and receiver of the data attached to probes. Called from async tasks: must not block.
pub trait MemberHooks: Send + Sync {
    /// Returns this node's evidence of the newest bundle: the highest revision that it knows, and how recently that was
    /// known to be the newest.
    fn evidence(&self) -> BundleEvidence;

    /// Records a member's evidence of the newest bundle.
    ///
    /// If `evidence.known` is true, the evidence came in the answer to a ping sent at `sent_at`, so it is no older than
    /// `sent_at` minus `age_ms` milliseconds. Otherwise it came in a ping from the member, which may have been delayed:
    /// its age is unknown, and only the revision is used.
    fn observe_evidence(&self, from: &str, evidence: &BundleEvidence, sent_at: Instant);

    /// Returns the version of the replica set that this node knows; 0 if none.
    fn replica_set_version(&self) -> u64;

    /// Records the version of the replica set that a member knows.
    fn observe_replica_set_version(&self, from: &str, version: u64);
}

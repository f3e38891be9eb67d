//! Where the replica set is recorded: one record changed by compare-and-swap, and one record a disk.

use futures_util::future::BoxFuture;
use ladderstage_wire::DecodeError;
use ladderstage_wire::messages::{ReplicaMember, ReplicaSet};

/// Why the records could not be used.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// The service that holds the records gave no result.
    #[error("{0}")]
    Service(String),
    /// The record is not a replica set.
    #[error("replica set record: {0}")]
    Malformed(#[from] DecodeError),
}

/// The set as recorded.
#[derive(Debug, Clone)]
pub struct RecordedSet {
    /// The set.
    pub set: ReplicaSet,
    /// The service's revision of the record.
    pub mod_revision: u64,
}

/// Access to the records of the replica set.
pub trait SetRecords: Send + Sync + 'static {
    /// The recorded set; perhaps an older one than the newest.
    fn read(&self) -> BoxFuture<'_, Result<Option<RecordedSet>, RecordError>>;

    /// As [`SetRecords::read`], perhaps some seconds old, where that is cheaper.
    fn read_stale(&self) -> BoxFuture<'_, Result<Option<RecordedSet>, RecordError>> {
        self.read()
    }

    /// Puts `set` in the place of what was recorded at revision `expected` (0: nothing). Returns the set now in
    /// force.
    fn swap(
        &self,
        expected: u64,
        set: ReplicaSet,
    ) -> BoxFuture<'_, Result<Option<ReplicaSet>, RecordError>>;

    /// Records the disk of this node.
    fn put_candidate<'a>(
        &'a self,
        own: &'a ReplicaMember,
    ) -> BoxFuture<'a, Result<(), RecordError>>;

    /// The disks recorded so far; unreadable records are left out.
    fn candidates(&self) -> BoxFuture<'_, Result<Vec<ReplicaMember>, RecordError>>;
}

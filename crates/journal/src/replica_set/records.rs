//! Interface to the replica set's records: one record of the set, changed by compare-and-swap, and
//! one for each candidate, a disk that may become a replica.

use futures_util::future::BoxFuture;
use ladderstage_wire::DecodeError;
use ladderstage_wire::messages::{ReplicaMember, ReplicaSet};

/// Error of an access to the records.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// The service that stores the records failed.
    #[error("{0}")]
    Service(String),
    /// The record could not be decoded as a replica set.
    #[error("replica set record: {0}")]
    Malformed(#[from] DecodeError),
}

/// The recorded set with the revision of its record.
#[derive(Debug, Clone)]
pub struct RecordedSet {
    /// The set.
    pub set: ReplicaSet,
    /// Revision of the record in the service.
    pub mod_revision: u64,
}

/// Access to the records of the replica set.
pub trait SetRecords: Send + Sync + 'static {
    /// Reads the recorded set; `None` if there is no record.
    fn read(&self) -> BoxFuture<'_, Result<Option<RecordedSet>, RecordError>>;

    /// Like [`SetRecords::read`], but may return a record that is a few seconds old if that is
    /// cheaper.
    fn read_stale(&self) -> BoxFuture<'_, Result<Option<RecordedSet>, RecordError>> {
        self.read()
    }

    /// Replaces the record if its revision is `expected`, where 0 means that there is none. Returns
    /// the set that is recorded now.
    fn swap(
        &self,
        expected: u64,
        set: ReplicaSet,
    ) -> BoxFuture<'_, Result<Option<ReplicaSet>, RecordError>>;

    /// Records this node's disk as a candidate.
    fn put_candidate<'a>(
        &'a self,
        own: &'a ReplicaMember,
    ) -> BoxFuture<'a, Result<(), RecordError>>;

    /// Returns the candidates; records that cannot be decoded are skipped.
    fn candidates(&self) -> BoxFuture<'_, Result<Vec<ReplicaMember>, RecordError>>;
}

//! Interface to the replica set's records: one record of the set, changed by compare-and-swap, and
//! one for each candidate, a disk that may become a replica.

use futures_util::future::BoxFuture;
use ladderstage::journal::replica_set::joining_replicas;
use ladderstage_wire::messages::{ReplicaMember, ReplicaSet, ReplicaSetRecord};
use ladderstage_wire::{DecodeError, decode, encode};

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

/// Encodes a set for its record. Earlier builds read a set in which several replicas join as one of
/// version 0, which they neither complete nor change.
pub fn encode_record(set: ReplicaSet) -> Vec<u8> {
    if joining_replicas(&set).len() <= 1 {
        return encode(&set);
    }
    encode(&ReplicaSetRecord {
        several_joining: Some(set),
    })
}

/// Decodes the set of a record.
///
/// # Errors
///
/// If the bytes are no record of a set.
pub fn decode_record(record: &[u8]) -> Result<ReplicaSet, DecodeError> {
    let several: ReplicaSetRecord = decode(record)?;
    match several.several_joining {
        Some(set) => Ok(set),
        None => decode(record),
    }
}

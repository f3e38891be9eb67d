//! Stores the journal's replica set in a record of the coordination store.

use std::sync::Arc;

use futures_util::future::BoxFuture;
use ladderstage_journal::replica_set::{
    RecordError, RecordedSet, SetRecords, decode_record, encode_record,
};
use ladderstage_wire::messages::{ReplicaMember, ReplicaSet};

use crate::coordination::{Coordination, CoordinationError, Record, SwapResult};
use crate::nodes::{NodeRole, Nodes};

/// Key of the current replica set.
const REPLICA_SET_KEY: &str = "ladderstage/replicas/set";

/// Replica set records in the coordination store. The candidates for replicas are the disks in the
/// nodes' own records.
pub struct CoordinatedSetRecords {
    /// Coordination store.
    pub coordination: Arc<dyn Coordination>,
    /// Nodes.
    pub nodes: Nodes,
}

fn to_record_error(error: CoordinationError) -> RecordError {
    RecordError::Service(error.to_string())
}

/// Converts the result of a read of the record.
fn to_recorded_set(
    found: Result<Option<Record>, CoordinationError>,
) -> Result<Option<RecordedSet>, RecordError> {
    let Some(record) = found.map_err(to_record_error)? else {
        return Ok(None);
    };
    Ok(Some(RecordedSet {
        set: decode_record(&record.value)?,
        mod_revision: record.revision,
    }))
}

impl SetRecords for CoordinatedSetRecords {
    fn read(&self) -> BoxFuture<'_, Result<Option<RecordedSet>, RecordError>> {
        Box::pin(async move { to_recorded_set(self.coordination.get(REPLICA_SET_KEY).await) })
    }

    fn read_stale(&self) -> BoxFuture<'_, Result<Option<RecordedSet>, RecordError>> {
        Box::pin(async move { to_recorded_set(self.coordination.get_stale(REPLICA_SET_KEY).await) })
    }

    fn swap(
        &self,
        expected: u64,
        set: ReplicaSet,
    ) -> BoxFuture<'_, Result<Option<ReplicaSet>, RecordError>> {
        Box::pin(async move {
            let value = encode_record(set.clone());
            let swapped = self
                .coordination
                .swap(REPLICA_SET_KEY, expected, value, None)
                .await;
            match swapped.map_err(to_record_error)? {
                SwapResult::Won { .. } => Ok(Some(set)),
                SwapResult::Lost(Some(record)) => Ok(Some(decode_record(&record.value)?)),
                SwapResult::Lost(None) => Ok(None),
            }
        })
    }

    fn put_candidate<'a>(
        &'a self,
        _own: &'a ReplicaMember,
    ) -> BoxFuture<'a, Result<(), RecordError>> {
        Box::pin(async { Ok(()) })
    }

    fn candidates(&self) -> BoxFuture<'_, Result<Vec<ReplicaMember>, RecordError>> {
        let stores = self.nodes.with_role(NodeRole::Store);
        let members = stores.into_iter().filter(|record| record.replica_id != 0);
        let members = members
            .map(|record| ReplicaMember {
                node: record.node,
                replica_id: record.replica_id,
            })
            .collect();
        Box::pin(async move { Ok(members) })
    }
}

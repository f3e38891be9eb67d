//! The journal's replica set as a record of the coordination store.

use std::sync::Arc;

use futures_util::future::BoxFuture;
use ladderstage_journal::replica_set::{RecordError, RecordedSet, SetRecords};
use ladderstage_wire::messages::{ReplicaMember, ReplicaSet};
use ladderstage_wire::{decode, encode};

use crate::coordination::{Coordination, CoordinationError, Record, SwapResult};
use crate::nodes::{NodeRole, Nodes};

/// The record of the set in force.
const SET_KEY: &str = "ladderstage/replicas/set";

/// The set's record; disks that may become replicas are those that nodes tell of in their own records.
pub struct CoordinatedSetRecords {
    /// The store.
    pub coordination: Arc<dyn Coordination>,
    /// The nodes.
    pub nodes: Nodes,
}

fn failed(error: CoordinationError) -> RecordError {
    RecordError::Service(error.to_string())
}

/// What a read of the record found.
fn recorded(
    found: Result<Option<Record>, CoordinationError>,
) -> Result<Option<RecordedSet>, RecordError> {
    let Some(record) = found.map_err(failed)? else {
        return Ok(None);
    };
    Ok(Some(RecordedSet {
        set: decode(&record.value)?,
        mod_revision: record.revision,
    }))
}

impl SetRecords for CoordinatedSetRecords {
    fn read(&self) -> BoxFuture<'_, Result<Option<RecordedSet>, RecordError>> {
        Box::pin(async move { recorded(self.coordination.get(SET_KEY).await) })
    }

    fn read_stale(&self) -> BoxFuture<'_, Result<Option<RecordedSet>, RecordError>> {
        Box::pin(async move { recorded(self.coordination.get_stale(SET_KEY).await) })
    }

    fn swap(
        &self,
        expected: u64,
        set: ReplicaSet,
    ) -> BoxFuture<'_, Result<Option<ReplicaSet>, RecordError>> {
        Box::pin(async move {
            let value = encode(&set);
            let swapped = self.coordination.swap(SET_KEY, expected, value, None).await;
            match swapped.map_err(failed)? {
                SwapResult::Won { .. } => Ok(Some(set)),
                SwapResult::Lost(Some(record)) => Ok(Some(decode(&record.value)?)),
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

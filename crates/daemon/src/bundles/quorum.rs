//! Stores the bundle in force at a quorum of journal replicas.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ladderstage::ids::Revision;
use ladderstage_wire::messages::{BundleState, ReplicaMember, ReplicaSet};
use log::error;

use super::state::Shared;
use crate::jitter::jittered;

/// Interval between attempts to store the bundle at a quorum.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Node that has stored the bundle.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Holder {
    pub(super) node: String,
    /// Id of the node's data folder; 0 if it has none.
    pub(super) replica_id: u64,
    /// Version of the replica set that the node knew after storing the bundle.
    pub(super) replica_set_version: u64,
}

impl Holder {
    pub(super) fn of(node: String, state: &BundleState) -> Self {
        Self {
            node,
            replica_id: state.replica_id,
            replica_set_version: state.replica_set_version,
        }
    }
}

/// Returns the node names of the current and the next replicas of a set.
pub(super) fn nodes(set: &ReplicaSet) -> BTreeSet<String> {
    let members = set.current.iter().chain(&set.next);
    members.map(|member| member.node.clone()).collect()
}

/// Returns whether the members that hold the bundle include a majority of the current and of the next replicas.
fn is_quorum(set: &ReplicaSet, holds: impl Fn(&ReplicaMember) -> bool) -> bool {
    let is_majority = |members: &[ReplicaMember]| {
        let holding = members.iter().filter(|member| holds(member)).count();
        members.is_empty() || holding * 2 > members.len()
    };
    is_majority(&set.current) && is_majority(&set.next)
}

impl Shared {
    /// Pushes the bundle in force until a quorum of replicas has stored it. Returns `false` at the deadline.
    pub(super) async fn wait_for_quorum(self: &Arc<Self>, deadline: Instant) -> bool {
        let revision = self.state().evidence.revision();
        let mut holders = Vec::new();
        loop {
            if self.state().quorum_revision >= revision {
                return true;
            }
            self.push_to_replicas(&mut holders).await;
            if self.is_held_by_quorum(&holders) {
                self.record_quorum_revision(revision);
                return true;
            }
            if Instant::now() >= deadline {
                return false;
            }
            tokio::time::sleep(jittered(RETRY_INTERVAL)).await;
        }
    }

    /// Pushes to the replicas that are not among the holders yet, stores the bundle on this node's disk, and adds the
    /// nodes that have stored it to the holders.
    async fn push_to_replicas(self: &Arc<Self>, holders: &mut Vec<Holder>) {
        let is_missing = |node: &String| !holders.iter().any(|holder| holder.node == *node);
        let is_own_missing = is_missing(&self.peers.own_node());
        let targets = self.replica_nodes().into_iter().filter(is_missing);
        let stored = self.push(targets.collect(), 0).await;
        holders.extend(stored);
        match self.persist().await {
            Ok(_) if is_own_missing => holders.push(self.own_holder()),
            Ok(_) => {}
            Err(error) => error!("event=bundle_store_failed cause={:?}", error.to_string()),
        }
    }

    /// Returns this node as a holder of the bundle that it has stored.
    pub(super) fn own_holder(&self) -> Holder {
        let node = self.peers.own_node();
        let set = (self.replica_set)();
        Holder {
            replica_id: self.peers.replica_id(&node),
            replica_set_version: set.map_or(0, |set| set.version),
            node,
        }
    }

    /// Returns whether the holders form a quorum of the replica set.
    ///
    /// A holder counts only if it knew no newer replica set after storing the bundle. Replicas copy their data to a
    /// newer set only after they know it, so the copy then includes the bundle.
    fn is_held_by_quorum(&self, holders: &[Holder]) -> bool {
        let Some(set) = (self.replica_set)() else {
            return false;
        };
        let counts = |holder: &Holder| holder.replica_set_version <= set.version;
        let counted: BTreeSet<u64> = holders
            .iter()
            .filter(|holder| counts(holder))
            .map(|holder| holder.replica_id)
            .collect();
        is_quorum(&set, |member| counted.contains(&member.replica_id))
    }

    fn record_quorum_revision(&self, revision: Revision) {
        let mut state = self.state();
        state.quorum_revision = state.quorum_revision.max(revision);
    }
}

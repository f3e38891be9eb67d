//! Quorums of a replica set.

use std::collections::BTreeSet;

use ladderstage_wire::messages::{ReplicaMember, ReplicaSet};

/// Id of a replica's disk. A data directory that was recreated has a new id; 0 means none.
pub type ReplicaId = u64;

/// Quorums of one replica set. Only replica ids count, never node names: a node that lost its disk
/// answers with an id that is not a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Quorum {
    version: u64,
    current: BTreeSet<ReplicaId>,
    next: BTreeSet<ReplicaId>,
}

impl Quorum {
    /// Creates the quorums of `set`: a majority of `current` and, unless it is empty, of `next`.
    pub fn new(set: &ReplicaSet) -> Self {
        Self {
            version: set.version,
            current: ids(&set.current),
            next: ids(&set.next),
        }
    }

    /// Returns the version of the replica set.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the ids of all replicas in `current` and `next`.
    pub fn replicas(&self) -> BTreeSet<ReplicaId> {
        self.current.union(&self.next).copied().collect()
    }

    /// Returns whether the replica is in `current` or `next`.
    pub fn contains(&self, replica: ReplicaId) -> bool {
        self.current.contains(&replica) || self.next.contains(&replica)
    }

    /// Returns whether `replicas` contains a quorum.
    pub fn is_met_by(&self, replicas: &BTreeSet<ReplicaId>) -> bool {
        has_majority(&self.current, replicas)
            && (self.next.is_empty() || has_majority(&self.next, replicas))
    }

    /// Returns whether `replicas` intersects every quorum of the current set, so that one of them
    /// holds whatever any quorum holds.
    pub fn is_intersected_by(&self, replicas: &BTreeSet<ReplicaId>) -> bool {
        let quorum = self.current.len() / 2 + 1;
        self.current.intersection(replicas).count() + quorum > self.current.len()
    }

    /// Returns whether no quorum can be formed without the replicas in `lost`.
    pub fn is_blocked_by(&self, lost: &BTreeSet<ReplicaId>) -> bool {
        let remaining = self.replicas().difference(lost).copied().collect();
        !self.is_met_by(&remaining)
    }
}

/// Returns all members of a replica set, each once.
pub fn members(set: &ReplicaSet) -> Vec<ReplicaMember> {
    let mut seen = BTreeSet::new();
    set.current
        .iter()
        .chain(&set.next)
        .filter(|member| seen.insert(member.replica_id))
        .cloned()
        .collect()
}

fn ids(members: &[ReplicaMember]) -> BTreeSet<ReplicaId> {
    members
        .iter()
        .map(|member| member.replica_id)
        .filter(|id| *id != 0)
        .collect()
}

fn has_majority(of: &BTreeSet<ReplicaId>, replicas: &BTreeSet<ReplicaId>) -> bool {
    of.intersection(replicas).count() > of.len() / 2
}

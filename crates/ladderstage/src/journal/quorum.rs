//! Which sets of replicas decide.

use std::collections::BTreeSet;

use ladderstage_wire::messages::{ReplicaMember, ReplicaSet};

/// Id of a replica's disk; a folder that came back empty has another. 0 names none.
pub type ReplicaId = u64;

/// Counts the replicas of one replica set. Only replica ids count, never node names: a node whose disk was lost
/// answers with an id that is no member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Quorum {
    version: u64,
    current: BTreeSet<ReplicaId>,
    next: BTreeSet<ReplicaId>,
}

impl Quorum {
    /// The quorums of `set`: a majority of `current` and, unless it is empty, of `next`.
    pub fn new(set: &ReplicaSet) -> Self {
        Self {
            version: set.version,
            current: ids(&set.current),
            next: ids(&set.next),
        }
    }

    /// Version of the replica set.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Ids of all replicas, of both sets while there are two.
    pub fn replicas(&self) -> BTreeSet<ReplicaId> {
        self.current.union(&self.next).copied().collect()
    }

    /// Whether the replica counts in any of the sets.
    pub fn contains(&self, replica: ReplicaId) -> bool {
        self.current.contains(&replica) || self.next.contains(&replica)
    }

    /// Whether `replicas` holds a quorum.
    pub fn is_met_by(&self, replicas: &BTreeSet<ReplicaId>) -> bool {
        has_majority(&self.current, replicas)
            && (self.next.is_empty() || has_majority(&self.next, replicas))
    }

    /// Whether `replicas` meet every quorum of the current set: what any quorum holds, one of them holds.
    pub fn is_intersected_by(&self, replicas: &BTreeSet<ReplicaId>) -> bool {
        let quorum = self.current.len() / 2 + 1;
        self.current.intersection(replicas).count() + quorum > self.current.len()
    }

    /// Whether no quorum is left without the replicas in `lost`.
    pub fn is_blocked_by(&self, lost: &BTreeSet<ReplicaId>) -> bool {
        let remaining = self.replicas().difference(lost).copied().collect();
        !self.is_met_by(&remaining)
    }
}

/// All members of a replica set, each once.
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

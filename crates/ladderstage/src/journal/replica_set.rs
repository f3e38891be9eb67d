//! Changes of the replica set: one member at a time, through a joint set in which both halves must
//! agree. A replica is a node that stores copies of the journal's logs.
//!
//! For a replacement, the first update creates the joint set: `current` is unchanged, and `next`
//! has the new replica in place of the lost one. Writers then need majorities of both. The new
//! replica fences the current replicas against older sets and copies the logs of a majority of
//! them; the second update makes `next` the current set. Because the sets differ by one replica,
//! everything held by a majority of the old set is then held by a majority of the new one.

use std::collections::BTreeSet;

use ladderstage_wire::messages::{ReplicaMember, ReplicaSet};

use super::quorum::ReplicaId;

/// Reason why a replica refuses a message under a replica set version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SetRefusal {
    /// The replica does not know any set yet.
    Unknown,
    /// The replica knows a newer set.
    Stale {
        /// Version that the replica knows.
        known: u64,
    },
    /// The set that the replica knows does not contain it.
    NotAMember {
        /// Version that the replica knows.
        known: u64,
    },
}

/// Checks whether the replica `own`, which knows the set `known`, accepts a message under
/// `request_version`. Versions newer than the known one are accepted; the check only fences older
/// ones.
///
/// # Errors
/// [`SetRefusal`] if the message is refused.
pub fn accepts(
    known: Option<&ReplicaSet>,
    own: ReplicaId,
    request_version: u64,
) -> Result<(), SetRefusal> {
    let set = known.ok_or(SetRefusal::Unknown)?;
    let known = set.version;
    if request_version < known {
        return Err(SetRefusal::Stale { known });
    }
    if contains(&set.current, own) || contains(&set.next, own) {
        Ok(())
    } else {
        Err(SetRefusal::NotAMember { known })
    }
}

/// Returns the first set of a new journal; `None` if it would be empty or contain a missing or
/// duplicate id.
pub fn first(members: Vec<ReplicaMember>) -> Option<ReplicaSet> {
    let ids: BTreeSet<ReplicaId> = members.iter().map(|member| member.replica_id).collect();
    let is_valid = !members.is_empty() && !ids.contains(&0) && ids.len() == members.len();
    is_valid.then_some(ReplicaSet {
        version: 1,
        current: members,
        next: Vec::new(),
    })
}

/// Returns the replicas of `next` that must copy the logs before `next` can become current.
pub fn joining_replicas(set: &ReplicaSet) -> Vec<&ReplicaMember> {
    let is_current = |member: &ReplicaMember| contains(&set.current, member.replica_id);
    let next = set.next.iter();
    next.filter(|member| !is_current(member)).collect()
}

/// Returns the set after `set` that brings in a spare for a replica in `lost`; `None` if no replica
/// is lost or no spare is available. If `set` is joint, only a lost joining replica is replaced;
/// without a spare for it, the change is rolled back. A removal is rolled back if a replica that
/// stays is lost.
pub fn propose_replacement(
    set: &ReplicaSet,
    lost: &BTreeSet<ReplicaId>,
    spares: &[ReplicaMember],
) -> Option<ReplicaSet> {
    let spare = spares.iter().find(|spare| is_spare(set, lost, spare));
    let version = set.version + 1;
    let current = set.current.clone();
    if set.next.is_empty() {
        let replaced = set
            .current
            .iter()
            .find(|member| lost.contains(&member.replica_id))?;
        let next = with_replacement(&set.current, replaced.replica_id, spare?);
        return Some(ReplicaSet {
            version,
            current,
            next,
        });
    }
    if is_shrinking(set) {
        // The logs are copied to all replicas that stay. If one of them is lost meanwhile, the removed
        // replica stays in the set.
        return is_any_lost(&set.next, lost).then(|| ReplicaSet {
            version,
            current,
            next: Vec::new(),
        });
    }
    let joining_replicas = joining_replicas(set);
    let lost_replica = joining_replicas
        .iter()
        .find(|member| lost.contains(&member.replica_id))?;
    let next = match spare {
        Some(spare) => with_replacement(&set.next, lost_replica.replica_id, spare),
        None => Vec::new(),
    };
    Some(ReplicaSet {
        version,
        current,
        next,
    })
}

/// Returns the set after `set` that removes a replica without a replacement; `None` if `set` is
/// joint or fewer than `min_count` replicas would remain.
pub fn propose_removal(
    set: &ReplicaSet,
    leaving: ReplicaId,
    min_count: usize,
) -> Option<ReplicaSet> {
    let next: Vec<ReplicaMember> = set
        .current
        .iter()
        .filter(|member| member.replica_id != leaving)
        .cloned()
        .collect();
    let is_possible =
        set.next.is_empty() && next.len() >= min_count && next.len() < set.current.len();
    is_possible.then(|| ReplicaSet {
        version: set.version + 1,
        current: set.current.clone(),
        next,
    })
}

/// Returns the set after `set` that adds a spare; `None` if `set` is joint, already has
/// `target_count` replicas, or there is no spare.
pub fn propose_addition(
    set: &ReplicaSet,
    target_count: usize,
    spares: &[ReplicaMember],
) -> Option<ReplicaSet> {
    if !set.next.is_empty() || set.current.len() >= target_count {
        return None;
    }
    let spare = spares
        .iter()
        .find(|spare| is_spare(set, &BTreeSet::new(), spare))?;
    let mut next = set.current.clone();
    next.push(spare.clone());
    Some(ReplicaSet {
        version: set.version + 1,
        current: set.current.clone(),
        next,
    })
}

/// Returns whether `set` is a joint set that only removes replicas. The leaving replicas then copy
/// their logs to the remaining ones.
pub fn is_shrinking(set: &ReplicaSet) -> bool {
    !set.next.is_empty() && joining_replicas(set).is_empty()
}

/// Returns the replicas of the current set that are not in the next one.
pub fn leaving_replicas(set: &ReplicaSet) -> Vec<&ReplicaMember> {
    let is_left_out = |member: &&ReplicaMember| !contains(&set.next, member.replica_id);
    set.current.iter().filter(is_left_out).collect()
}

/// Returns whether `set` is a joint set that only removes replicas and `own` is one of them.
pub fn is_removed_by_shrink(set: &ReplicaSet, own: ReplicaId) -> bool {
    let leaving_replicas = leaving_replicas(set);
    is_shrinking(set)
        && leaving_replicas
            .iter()
            .any(|member| member.replica_id == own)
}

/// Returns whether `set` is a joint set that only removes replicas, all of which are lost. One of the
/// remaining replicas then copies the logs in their place.
pub fn is_shrinking_without(set: &ReplicaSet, lost: &BTreeSet<ReplicaId>) -> bool {
    let mut leaving_replicas = leaving_replicas(set).into_iter();
    is_shrinking(set) && leaving_replicas.all(|member| lost.contains(&member.replica_id))
}

fn is_any_lost(members: &[ReplicaMember], lost: &BTreeSet<ReplicaId>) -> bool {
    let mut members = members.iter();
    members.any(|member| lost.contains(&member.replica_id))
}

/// Returns the set after a joint set whose joining replicas have copied all logs; `None` if `set`
/// is not joint.
pub fn complete(set: &ReplicaSet) -> Option<ReplicaSet> {
    (!set.next.is_empty()).then(|| ReplicaSet {
        version: set.version + 1,
        current: set.next.clone(),
        next: Vec::new(),
    })
}

fn is_spare(set: &ReplicaSet, lost: &BTreeSet<ReplicaId>, spare: &ReplicaMember) -> bool {
    let id = spare.replica_id;
    let is_member = contains(&set.current, id) || contains(&set.next, id);
    id != 0 && !is_member && !lost.contains(&id)
}

fn with_replacement(
    members: &[ReplicaMember],
    replaced: ReplicaId,
    spare: &ReplicaMember,
) -> Vec<ReplicaMember> {
    let members = members.iter();
    let replace = |member: &ReplicaMember| {
        if member.replica_id == replaced {
            spare.clone()
        } else {
            member.clone()
        }
    };
    members.map(replace).collect()
}

fn contains(members: &[ReplicaMember], id: ReplicaId) -> bool {
    members.iter().any(|member| member.replica_id == id)
}

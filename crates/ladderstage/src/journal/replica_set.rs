//! Changes of the replica set: one member at a time, through a joint set of which both halves must agree.
//!
//! The first swap makes the joint set: `current` as it was, `next` with the new replica in the place of the lost
//! one. Writers then need majorities of both. The new replica fences the current replicas against older sets and
//! copies the logs of a majority of them; the second swap makes `next` the current set. Since the sets differ by one
//! replica, whatever a majority of the old one held is then held by a majority of the new one.

use std::collections::BTreeSet;

use ladderstage_wire::messages::{ReplicaMember, ReplicaSet};

use super::quorum::ReplicaId;

/// Why a replica does not take part in a writer's replica set.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SetRefusal {
    /// It knows no set yet.
    Unknown,
    /// It knows a newer set.
    Stale {
        /// Version that it knows.
        known: u64,
    },
    /// The set that it knows does not name it.
    NotAMember {
        /// Version that it knows.
        known: u64,
    },
}

/// Whether the replica `own`, which knows the set `known`, accepts a message under version `asked`. A newer version
/// than the known one is accepted: the fence against older ones is what counts.
pub fn accepts(known: Option<&ReplicaSet>, own: ReplicaId, asked: u64) -> Result<(), SetRefusal> {
    let set = known.ok_or(SetRefusal::Unknown)?;
    let known = set.version;
    if asked < known {
        return Err(SetRefusal::Stale { known });
    }
    if contains(&set.current, own) || contains(&set.next, own) {
        Ok(())
    } else {
        Err(SetRefusal::NotAMember { known })
    }
}

/// The first set of a new journal; `None` while it would have no replica or one without an id.
pub fn first(members: Vec<ReplicaMember>) -> Option<ReplicaSet> {
    let ids: BTreeSet<ReplicaId> = members.iter().map(|member| member.replica_id).collect();
    let is_valid = !members.is_empty() && !ids.contains(&0) && ids.len() == members.len();
    is_valid.then_some(ReplicaSet {
        version: 1,
        current: members,
        next: Vec::new(),
    })
}

/// Replicas of `next` that must copy the logs before `next` can become current.
pub fn joining_replicas(set: &ReplicaSet) -> Vec<&ReplicaMember> {
    let is_current = |member: &ReplicaMember| contains(&set.current, member.replica_id);
    let next = set.next.iter();
    next.filter(|member| !is_current(member)).collect()
}

/// The set that follows `set` once a newcomer has to be brought in for a replica in `lost`; `None` if none is lost
/// or no spare is left. A lost newcomer is replaced first; without a spare for it the change is taken back.
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
        // The replica that was to leave copies its logs to all others; if one of them is lost on the way, it stays in the set.
        return is_any_lost(set, lost).then(|| ReplicaSet {
            version,
            current,
            next: Vec::new(),
        });
    }
    let joining_replicas = joining_replicas(set);
    let lost_newcomer = joining_replicas
        .iter()
        .find(|member| lost.contains(&member.replica_id))?;
    let next = match spare {
        Some(spare) => with_replacement(&set.next, lost_newcomer.replica_id, spare),
        None => Vec::new(),
    };
    Some(ReplicaSet {
        version,
        current,
        next,
    })
}

/// The set that follows `set` when a replica leaves and no spare takes its place; `None` while `set` is joint, or if fewer
/// than `least` would stay.
pub fn propose_removal(set: &ReplicaSet, leaver: ReplicaId, least: usize) -> Option<ReplicaSet> {
    let next: Vec<ReplicaMember> = set
        .current
        .iter()
        .filter(|member| member.replica_id != leaver)
        .cloned()
        .collect();
    let is_possible = set.next.is_empty() && next.len() >= least && next.len() < set.current.len();
    is_possible.then(|| ReplicaSet {
        version: set.version + 1,
        current: set.current.clone(),
        next,
    })
}

/// The set that follows `set` when it is smaller than `wanted` and a spare is there; `None` while `set` is joint.
pub fn propose_addition(
    set: &ReplicaSet,
    wanted: usize,
    spares: &[ReplicaMember],
) -> Option<ReplicaSet> {
    if !set.next.is_empty() || set.current.len() >= wanted {
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

/// Whether a joint set only leaves replicas out: then the leavers copy their logs to those that stay.
pub fn is_shrinking(set: &ReplicaSet) -> bool {
    !set.next.is_empty() && joining_replicas(set).is_empty()
}

/// Replicas of the current set that the next one leaves out.
pub fn leavers(set: &ReplicaSet) -> Vec<&ReplicaMember> {
    let is_left_out = |member: &&ReplicaMember| !contains(&set.next, member.replica_id);
    set.current.iter().filter(is_left_out).collect()
}

/// Whether the replica `own` is one that a joint set only leaves out.
pub fn is_removed_by_shrink(set: &ReplicaSet, own: ReplicaId) -> bool {
    let leavers = leavers(set);
    is_shrinking(set) && leavers.iter().any(|member| member.replica_id == own)
}

fn is_any_lost(set: &ReplicaSet, lost: &BTreeSet<ReplicaId>) -> bool {
    let mut members = set.current.iter().chain(&set.next);
    members.any(|member| lost.contains(&member.replica_id))
}

/// The set after the newcomers of a joint set have copied everything; `None` if `set` is not joint.
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

//! Changes of the replica set, through a joint set in which both halves must agree. A replica is a
//! node that stores copies of the journal's logs.
//!
//! For a replacement, the first update creates the joint set: `current` is unchanged, and `next`
//! has a joining replica in place of each lost one. Writers then need majorities of both. Each
//! joining replica fences current replicas against older sets and copies their logs, from enough of
//! them to intersect every quorum of the current set. Once every joining replica has copied under
//! this version of the joint set, the second update makes `next` the current set.
//!
//! Why nothing committed is lost: an entry that a quorum of the current set held is held by every
//! joining replica, and by those of the quorum that stay. The next set has as many places, so they
//! are a majority of it. A joining replica without its copy may stand in the place of one that held
//! the entry, so all of them must have copied.

use std::collections::{BTreeMap, BTreeSet};

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

/// Returns whether every joining replica has copied the logs under exactly this version of the
/// joint set, so that `next` can become current. `copied` holds the version under which each
/// replica, by the id of its disk, last finished its copy. Always `false` if no replica joins.
pub fn have_all_joined(set: &ReplicaSet, copied: &BTreeMap<ReplicaId, u64>) -> bool {
    let joining_replicas = joining_replicas(set);
    let has_copied = |member: &&ReplicaMember| copied.get(&member.replica_id) == Some(&set.version);
    !joining_replicas.is_empty() && joining_replicas.iter().all(has_copied)
}

/// Returns the set after `set` that brings in a spare for each replica in `lost`, in the order of
/// the set and of `spares`; lost replicas without a spare stay. `None` if no replica is lost or no
/// spare is available.
///
/// If `set` is joint, the lost replicas of `next` are replaced, so that one lost during a change
/// becomes part of it. Without a spare, the place goes back to the current replica, and the change is
/// rolled back if no other replica joins. A removal is rolled back if a replica that stays is lost.
pub fn propose_replacement(
    set: &ReplicaSet,
    lost: &BTreeSet<ReplicaId>,
    spares: &[ReplicaMember],
) -> Option<ReplicaSet> {
    if is_shrinking(set) {
        // The logs are copied to all replicas that stay. If one of them is lost meanwhile, the removed
        // replica stays in the set.
        return is_any_lost(&set.next, lost).then(|| with_next(set, Vec::new()));
    }
    let spares = usable_spares(set, lost, spares);
    if set.next.is_empty() {
        let next = with_replacements(&set.current, &set.current, lost, spares);
        return (next != set.current).then(|| with_next(set, next));
    }
    let next = with_replacements(&set.next, &set.current, lost, spares);
    if next == set.next {
        return None;
    }
    let joins = next != set.current;
    Some(with_next(set, if joins { next } else { Vec::new() }))
}

/// As [`propose_replacement`], but at most one replica joins: the one that replaces the first lost
/// member, or the lost joining one.
pub fn propose_single_replacement(
    set: &ReplicaSet,
    lost: &BTreeSet<ReplicaId>,
    spares: &[ReplicaMember],
) -> Option<ReplicaSet> {
    if is_shrinking(set) {
        return propose_replacement(set, lost, spares);
    }
    let replaceable = match set.next.is_empty() {
        true => set.current.iter().collect(),
        false => joining_replicas(set),
    };
    let mut ids = replaceable.into_iter().map(|member| member.replica_id);
    let first_lost = ids.find(|id| lost.contains(id));
    propose_replacement(set, &first_lost.into_iter().collect(), spares)
}

/// Returns the set after `set` that rolls back a change in which several replicas join; `None` if no
/// more than one joins.
pub fn roll_back_several(set: &ReplicaSet) -> Option<ReplicaSet> {
    (joining_replicas(set).len() > 1).then(|| with_next(set, Vec::new()))
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
    is_possible.then(|| with_next(set, next))
}

/// Returns the set after `set` that adds spares up to `target_count` replicas, as many as there are;
/// `None` if `set` is joint, already has that many replicas, or there is no spare.
pub fn propose_addition(
    set: &ReplicaSet,
    target_count: usize,
    spares: &[ReplicaMember],
) -> Option<ReplicaSet> {
    let missing_count = target_count.saturating_sub(set.current.len());
    let added = usable_spares(set, &BTreeSet::new(), spares);
    let mut added = added.into_iter().take(missing_count).peekable();
    if !set.next.is_empty() || added.peek().is_none() {
        return None;
    }
    let next = set.current.iter().chain(added).cloned().collect();
    Some(with_next(set, next))
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

/// Returns the spares that may join, each disk once.
fn usable_spares<'a>(
    set: &ReplicaSet,
    lost: &BTreeSet<ReplicaId>,
    spares: &'a [ReplicaMember],
) -> Vec<&'a ReplicaMember> {
    let mut seen = BTreeSet::new();
    let spares = spares.iter();
    spares
        .filter(|spare| is_spare(set, lost, spare) && seen.insert(spare.replica_id))
        .collect()
}

/// Returns `members` with a spare in the place of each replica in `replaced`. Without a spare, the
/// place goes to the replica that has it in `current`, and is removed if there is none.
fn with_replacements<'a>(
    members: &'a [ReplicaMember],
    current: &'a [ReplicaMember],
    replaced: &BTreeSet<ReplicaId>,
    spares: Vec<&'a ReplicaMember>,
) -> Vec<ReplicaMember> {
    let mut spares = spares.into_iter();
    let places = members.iter().enumerate();
    let occupant = |(place, member): (usize, &'a ReplicaMember)| {
        if replaced.contains(&member.replica_id) {
            spares.next().or_else(|| current.get(place))
        } else {
            Some(member)
        }
    };
    places.filter_map(occupant).cloned().collect()
}

/// Returns the set after `set` with the same current replicas.
fn with_next(set: &ReplicaSet, next: Vec<ReplicaMember>) -> ReplicaSet {
    ReplicaSet {
        version: set.version + 1,
        current: set.current.clone(),
        next,
    }
}

fn contains(members: &[ReplicaMember], id: ReplicaId) -> bool {
    members.iter().any(|member| member.replica_id == id)
}

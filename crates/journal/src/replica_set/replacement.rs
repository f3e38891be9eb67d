//! Replaces lost replicas through a joint set (in which a quorum needs a majority of both the current and
//! the next members), copies of the logs to all joining replicas side by side, and a final set.

#![expect(
    clippy::disallowed_methods,
    reason = "the time for which a replica is missing must not include time in which this machine was suspended"
)]

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use ladderstage::journal::{Quorum, quorum, replica_set};
use ladderstage::routing::rendezvous_first;
use ladderstage_wire::messages::mod_Request::OneOfkind as RequestKind;
use ladderstage_wire::messages::{
    FenceReplicaSet, Member, MemberState, ReplicaMember, ReplicaSet, Request,
};

use super::ReplicaSets;
use super::copy::{CopyError, LogCopier};
use super::health::SetHealth;
use super::joining::{JoiningCopy, joining_copies};
use super::zones::spares_by_need;
use super::{RecordError, SetRecords};
use crate::Peers;

/// Timeout of the announcement of a new set to a peer.
const FENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// Minimum time between reads of the record by a node that may have missed a newer set. Nodes
/// usually learn of newer sets from announcements, but these may get lost.
const RECORD_READ_INTERVAL: Duration = Duration::from_secs(5);

/// Time that a leaving replica waits for a spare (a disk that is not a member) before the set is
/// shrunk.
const SPARE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which a replica must be missing before the set is shrunk without it, if there is no spare.
/// Longer than most outages of a machine, as a replica that comes back after that has to copy all logs.
const LOST_REPLICA_TIMEOUT: Duration = Duration::from_secs(4);

/// Number of checks in a poll interval while replicas are missing or joining, as each step of a repair
/// waits for a check.
const REPAIR_CHECKS: u32 = 4;

/// Minimum size of a shrunk set.
const MIN_REPLICAS: usize = 2;

/// Error of a change of the set; the change is retried at the next check.
#[derive(Debug, thiserror::Error)]
enum ReplacementError {
    #[error(transparent)]
    Record(#[from] RecordError),
    #[error(transparent)]
    Copy(#[from] CopyError),
}

/// Task that monitors the replicas and changes the set when one is lost or leaves.
pub(crate) struct Replacement {
    pub node: String,
    pub records: Arc<dyn SetRecords>,
    pub peers: Arc<dyn Peers>,
    pub replica_sets: ReplicaSets,
    /// Time that a replica must be missing before it is replaced.
    pub replace_after: Duration,
    /// Upper bound of the time between checks while they fail.
    pub max_poll_interval: Duration,
    /// Maximum size of the entries in one message, in bytes.
    pub part_bytes: usize,
    /// Number of replicas that the set should have.
    pub target_count: usize,
    /// Time at which each missing replica, by its id, was first found missing.
    pub missing_since: BTreeMap<u64, Instant>,
    /// Time at which this node last read the record because it may have missed a newer set.
    pub record_read_at: Option<Instant>,
    /// Time at which this node first tried to leave the set.
    pub leaving_since: Option<Instant>,
    /// Reports to operators whether the set is whole.
    pub health: SetHealth,
    /// Last logged wait for joining replicas.
    pub logged_wait: String,
}

impl Replacement {
    /// Checks the set every `poll_interval`, with jitter, until the task is aborted.
    pub async fn run(mut self, poll_interval: Duration) {
        let mut pause = poll_interval;
        let mut known = self.replica_sets.watch();
        let mut checked_version = 0;
        loop {
            // A new set that this node joins ends the pause.
            let is_joining = |set: &Option<Arc<ReplicaSet>>| {
                let set = set.as_deref();
                set.is_some_and(|set| set.version > checked_version && self.is_joining_node(set))
            };
            let pausing = crate::jitter::jittered(pause);
            let _ = tokio::time::timeout(pausing, known.wait_for(is_joining)).await;
            let Some(set) = self.replica_sets.current() else {
                continue;
            };
            checked_version = set.version;
            match self.check(&set).await {
                Ok(()) if self.health.is_under_repair() => pause = poll_interval / REPAIR_CHECKS,
                Ok(()) => pause = poll_interval,
                Err(error) => {
                    log::warn!("event=replica_replacement_failed cause=\"{error}\"");
                    pause = (pause * 2).min(self.max_poll_interval);
                }
            }
        }
    }

    async fn check(&mut self, set: &ReplicaSet) -> Result<(), ReplacementError> {
        let alive = self.peers.alive();
        if self.replica_sets.own_replica_id().is_some() {
            self.health.observe(set, &alive, self.target_count);
        }
        if self.is_joining_node(set) && self.join(set).await? {
            return Ok(());
        }
        if let Some(rolled_back) = self.roll_back_beside_earlier_builds(set) {
            return Ok(self.swap(set, rolled_back).await?);
        }
        // A copy takes seconds.
        let alive = self.peers.alive();
        let spares = self.spares(set, &alive);
        let lost = self.lost(set, &alive);
        let is_due = self
            .record_read_at
            .is_none_or(|at| at.elapsed() >= RECORD_READ_INTERVAL);
        if self.may_have_missed_set(set, &lost) && is_due {
            self.record_read_at = Some(Instant::now());
            self.learn_recorded().await?;
        }
        // A missing replica takes precedence over a leaving one, so that the spare replaces the
        // missing one.
        if self.should_leave(set, &alive) && self.missing_since.is_empty() {
            return self.leave(set, &spares).await;
        }
        if replica_set::is_shrinking_without(set, &lost) && self.completes_shrink(set, &alive) {
            return self.complete_shrink(set).await;
        }
        if self.is_coordinator(set, &alive) && can_copy(set, &alive) {
            return self.coordinate(set, &lost, &spares, &alive).await;
        }
        Ok(())
    }

    /// Completes the change in progress, or else replaces lost replicas, removes them or adds missing ones.
    async fn coordinate(
        &mut self,
        set: &ReplicaSet,
        lost: &BTreeSet<u64>,
        spares: &[ReplicaMember],
        alive: &[Member],
    ) -> Result<(), ReplacementError> {
        // Joining replicas that cannot reach each other depend on it.
        let has_joining = !replica_set::joining_replicas(set).is_empty();
        if has_joining && self.complete_if_copied(set).await? {
            return Ok(());
        }
        let proposal = if self.missing_since.is_empty() {
            self.propose_addition(set, spares)
        } else {
            // While a replica is missing, spares are reserved for its replacement.
            self.propose_replacement(set, lost, spares)
                .or_else(|| self.propose_removal_of_lost(set, lost, alive))
        };
        match proposal {
            Some(proposal) => Ok(self.swap(set, proposal).await?),
            None => Ok(()),
        }
    }

    /// Returns the set in which spares take the places of all lost replicas, or of one while not all nodes
    /// know that a change waits for every joining replica.
    fn propose_replacement(
        &self,
        set: &ReplicaSet,
        lost: &BTreeSet<u64>,
        spares: &[ReplicaMember],
    ) -> Option<ReplicaSet> {
        if self.peers.replicas_join_together() {
            replica_set::propose_replacement(set, lost, spares)
        } else {
            replica_set::propose_single_replacement(set, lost, spares)
        }
    }

    /// Returns the set without a change in which several replicas join, if a node has come that may be one
    /// of them and would complete the change alone.
    fn roll_back_beside_earlier_builds(&self, set: &ReplicaSet) -> Option<ReplicaSet> {
        let has_disk = self.replica_sets.own_replica_id().is_some();
        let rolled_back = replica_set::roll_back_several(set)?;
        (has_disk && self.peers.knows_earlier_builds()).then_some(rolled_back)
    }

    /// Returns the set with so many spares more that it has its target size, or with one while not all
    /// nodes know that a change waits for every joining replica.
    fn propose_addition(&self, set: &ReplicaSet, spares: &[ReplicaMember]) -> Option<ReplicaSet> {
        let target_count = match self.peers.replicas_join_together() {
            true => self.target_count,
            false => self.target_count.min(set.current.len() + 1),
        };
        replica_set::propose_addition(set, target_count, spares)
    }

    /// Returns whether this node is leaving and its disk is a member of the set.
    fn should_leave(&self, set: &ReplicaSet, alive: &[Member]) -> bool {
        let own_id = self.replica_sets.own_replica_id();
        let is_leaving = alive
            .iter()
            .any(|member| member.node == self.node && member.state == MemberState::LEAVING);
        is_leaving && own_id.is_some_and(|id| is_member(set, id))
    }

    /// Leaves the set. A spare replaces this replica; without one, this node copies its logs to the
    /// remaining replicas and the set shrinks, but not below [`Self::min_replicas`].
    async fn leave(
        &mut self,
        set: &ReplicaSet,
        spares: &[ReplicaMember],
    ) -> Result<(), ReplacementError> {
        let Some(own_id) = self.replica_sets.own_replica_id() else {
            return Ok(());
        };
        if replica_set::is_removed_by_shrink(set, own_id) {
            let copied = self.copy_to_next_members(set).await?;
            log::info!(
                "event=logs_handed_over version={} logs={copied}",
                set.version
            );
            if let Some(complete) = replica_set::complete(set) {
                self.swap(set, complete).await?;
            }
            return Ok(());
        }
        if !set.next.is_empty() {
            // Another change is in progress.
            return Ok(());
        }
        let lost = BTreeSet::from([own_id]);
        let with_spare = replica_set::propose_replacement(set, &lost, spares);
        let waited = self
            .leaving_since
            .get_or_insert_with(Instant::now)
            .elapsed();
        let without = || replica_set::propose_removal(set, own_id, self.min_replicas());
        match with_spare.or_else(|| (waited >= SPARE_TIMEOUT).then(without).flatten()) {
            Some(proposal) => Ok(self.swap(set, proposal).await?),
            None => Ok(()),
        }
    }

    /// Returns the set without a lost replica for which there is no spare, if the remaining ones are
    /// enough. A set that keeps a dead replica tolerates one loss less for as long as no spare comes.
    fn propose_removal_of_lost(
        &self,
        set: &ReplicaSet,
        lost: &BTreeSet<u64>,
        alive: &[Member],
    ) -> Option<ReplicaSet> {
        let is_overdue = |member: &&ReplicaMember| {
            let since = self.missing_since.get(&member.replica_id);
            since.is_some_and(|since| since.elapsed() >= LOST_REPLICA_TIMEOUT)
                || has_other_disk(member, alive)
        };
        let mut lost_members = set
            .current
            .iter()
            .filter(|member| lost.contains(&member.replica_id));
        let overdue = lost_members.find(is_overdue)?;
        let proposal = replica_set::propose_removal(set, overdue.replica_id, self.min_replicas())?;
        log::info!(
            "event=lost_replica_removed node={} replica_id={} version={}",
            overdue.node,
            overdue.replica_id,
            proposal.version
        );
        Some(proposal)
    }

    /// Returns whether this node copies the logs in place of the replicas that a shrink removes: one of
    /// the remaining replicas.
    fn completes_shrink(&self, set: &ReplicaSet, alive: &[Member]) -> bool {
        let is_next = |member: &&Member| {
            let mut next = set.next.iter();
            next.any(|other| other.replica_id == member.replica_id)
        };
        let names = alive.iter().filter(is_next);
        let names = names.map(|member| member.node.as_str());
        let key = format!("replica-set-shrink/{}", set.version);
        rendezvous_first(key.as_bytes(), names) == Some(self.node.as_str())
    }

    /// Copies all logs to the remaining replicas of a shrink whose removed replicas are lost, then
    /// makes the next set current.
    async fn complete_shrink(&self, set: &ReplicaSet) -> Result<(), ReplacementError> {
        self.copy(set).await?;
        let copied = self.copy_to_next_members(set).await?;
        log::info!("event=logs_shared version={} logs={copied}", set.version);
        match replica_set::complete(set) {
            Some(complete) => Ok(self.swap(set, complete).await?),
            None => Ok(()),
        }
    }

    /// Returns the minimum size to which the set may shrink. For a target of 2f + 1 it is 2f, of
    /// which a majority is still more than f.
    fn min_replicas(&self) -> usize {
        self.target_count.saturating_sub(1).max(MIN_REPLICAS)
    }

    async fn copy_to_next_members(&self, set: &ReplicaSet) -> Result<usize, ReplacementError> {
        let Some(storage) = self.replica_sets.storage() else {
            return Ok(0);
        };
        let copy = LogCopier {
            node: self.node.clone(),
            peers: Arc::clone(&self.peers),
            storage: storage.clone(),
            part_bytes: self.part_bytes,
        };
        Ok(copy.push_to_next_members(set).await?)
    }

    fn is_joining_node(&self, set: &ReplicaSet) -> bool {
        let own_id = self.replica_sets.own_replica_id();
        let joining_replicas = replica_set::joining_replicas(set);
        joining_replicas
            .iter()
            .any(|member| Some(member.replica_id) == own_id)
    }

    /// Returns whether this node has a disk that is not a member; the members do not announce newer
    /// sets to it.
    fn is_non_member(&self, set: &ReplicaSet) -> bool {
        let own_id = self.replica_sets.own_replica_id();
        own_id.is_some_and(|id| !is_member(set, id))
    }

    /// Returns whether a newer set may exist of which this node was not told: it is no member, or a
    /// replica is lost that a newer set may have replaced or removed already.
    fn may_have_missed_set(&self, set: &ReplicaSet, lost: &BTreeSet<u64>) -> bool {
        let has_disk = self.replica_sets.own_replica_id().is_some();
        self.is_non_member(set) || has_disk && !lost.is_empty()
    }

    async fn learn_recorded(&self) -> Result<(), RecordError> {
        if let Some(recorded) = self.records.read_stale().await? {
            self.replica_sets.learn_or_log(recorded.set).await;
        }
        Ok(())
    }

    /// Copies all logs to this node, then completes the change if all other joining replicas have copied
    /// them too. Returns whether the change was complete.
    async fn join(&mut self, set: &ReplicaSet) -> Result<bool, ReplacementError> {
        if self.replica_sets.copied_version() != set.version {
            self.copy(set).await?;
            self.replica_sets.set_copied_version(set.version);
        }
        self.complete_if_copied(set).await
    }

    /// Makes the next set current if all joining replicas have copied the logs. Returns whether they have.
    async fn complete_if_copied(&mut self, set: &ReplicaSet) -> Result<bool, ReplacementError> {
        let own = self.replica_sets.own_replica_id();
        let own = own.map(|id| (id, self.replica_sets.copied_version()));
        let joining = joining_copies(self.peers.as_ref(), set, own).await;
        let copied = joining.iter().filter_map(JoiningCopy::version);
        if !replica_set::have_all_joined(set, &copied.collect()) {
            self.log_waiting(set, &joining);
            return Ok(false);
        }
        if let Some(complete) = replica_set::complete(set) {
            self.swap(set, complete).await?;
        }
        Ok(true)
    }

    /// Logs for which joining replicas this node waits, once until that changes.
    fn log_waiting(&mut self, set: &ReplicaSet, joining: &[JoiningCopy]) {
        let waiting = joining.iter().filter(|copy| !copy.is_done(set.version));
        let waiting: Vec<String> = waiting.map(ToString::to_string).collect();
        let line = format!(
            "version={} waiting_for=\"{}\"",
            set.version,
            waiting.join("; ")
        );
        if line != self.logged_wait {
            log::info!("event=replica_set_change_waits {line}");
            self.logged_wait = line;
        }
    }

    async fn copy(&self, set: &ReplicaSet) -> Result<(), ReplacementError> {
        let Some(storage) = self.replica_sets.storage() else {
            return Ok(());
        };
        let copy = LogCopier {
            node: self.node.clone(),
            peers: Arc::clone(&self.peers),
            storage: storage.clone(),
            part_bytes: self.part_bytes,
        };
        let report = copy.copy_from_replicas(set).await?;
        log::info!("event=logs_copied version={} {report}", set.version);
        Ok(())
    }

    /// Returns the ids of replicas that were missing for `replace_after` and of those whose node
    /// has another disk now.
    fn lost(&mut self, set: &ReplicaSet, alive: &[Member]) -> BTreeSet<u64> {
        let is_missing = |member: &ReplicaMember| !is_present(member, alive);
        let missing: BTreeSet<u64> = quorum::members(set)
            .iter()
            .filter(|member| is_missing(member))
            .map(|member| member.replica_id)
            .collect();
        self.missing_since.retain(|id, _| missing.contains(id));
        for id in &missing {
            self.missing_since.entry(*id).or_insert_with(Instant::now);
        }
        let disk_replaced: BTreeSet<u64> = quorum::members(set)
            .iter()
            .filter(|member| has_other_disk(member, alive))
            .map(|member| member.replica_id)
            .collect();
        let since = self.missing_since.iter();
        since
            .filter(|(id, since)| {
                since.elapsed() >= self.replace_after || disk_replaced.contains(id)
            })
            .map(|(id, _)| *id)
            .collect()
    }

    /// Returns whether this node changes the set. Rendezvous hashing selects one node, to limit
    /// calls to the key-value service; if nodes disagree, the compare-and-swap decides. Nodes with
    /// a disk are preferred, as their view of the membership is more recent, and among them those
    /// that are not busy with a copy.
    fn is_coordinator(&self, set: &ReplicaSet, alive: &[Member]) -> bool {
        let joining = replica_set::joining_replicas(set);
        let has_disk = |member: &&Member| member.replica_id != 0;
        let is_idle = |member: &&Member| {
            let mut joining = joining.iter();
            has_disk(member) && joining.all(|other| other.replica_id != member.replica_id)
        };
        let mut eligible: Vec<&Member> = alive.iter().filter(is_idle).collect();
        if eligible.is_empty() {
            eligible = alive.iter().filter(has_disk).collect();
        }
        if eligible.is_empty() {
            eligible = alive.iter().collect();
        }
        let names = eligible.iter().map(|member| member.node.as_str());
        let key = format!("replica-set/{}", set.version);
        rendezvous_first(key.as_bytes(), names) == Some(self.node.as_str())
    }

    /// Returns the disks that could join the set, those in the zones with the fewest replicas
    /// first.
    fn spares(&self, set: &ReplicaSet, alive: &[Member]) -> Vec<ReplicaMember> {
        let present: Vec<&Member> = alive
            .iter()
            .filter(|member| is_member(set, member.replica_id))
            .collect();
        let is_spare = |member: &&Member| {
            member.state != MemberState::LEAVING && !is_member(set, member.replica_id)
        };
        let spares: Vec<Member> = alive.iter().filter(is_spare).cloned().collect();
        spares_by_need(&spares, &present)
    }

    /// Replaces the recorded set `from` by `to` and announces the result. If another set is
    /// recorded, learns that one.
    async fn swap(&self, from: &ReplicaSet, to: ReplicaSet) -> Result<(), RecordError> {
        let Some(recorded) = self.records.read().await? else {
            return Ok(());
        };
        if recorded.set.version != from.version {
            self.replica_sets.learn_or_log(recorded.set).await;
            return Ok(());
        }
        let expected = recorded.mod_revision;
        if let Some(set) = self.records.swap(expected, to).await? {
            log::info!("event=replica_set_swapped version={}", set.version);
            self.replica_sets.learn_or_log(set.clone()).await;
            self.announce(from, &set).await;
        }
        Ok(())
    }

    /// Sends the new set to the old and new replicas; the other nodes learn of its version from
    /// pings.
    async fn announce(&self, from: &ReplicaSet, set: &ReplicaSet) {
        let mut recipients = quorum::members(from);
        recipients.extend(quorum::members(set));
        let nodes: BTreeSet<String> = recipients.into_iter().map(|member| member.node).collect();
        let calls = nodes.iter().filter(|node| **node != self.node).map(|node| {
            let request = fence(set);
            async move { (node, self.peers.call(node, request, FENCE_TIMEOUT).await) }
        });
        for (node, result) in futures_util::future::join_all(calls).await {
            if let Err(error) = result {
                log::info!("event=replica_set_announcement_failed node={node} cause=\"{error}\"");
            }
        }
    }
}

/// Returns the request that makes a replica reject sets older than `set`.
pub(crate) fn fence(set: &ReplicaSet) -> Request {
    Request {
        kind: RequestKind::fence_replica_set(FenceReplicaSet {
            replica_set: Some(set.clone()),
        }),
    }
}

/// Returns whether the replica's node is present with the replica's disk.
pub(super) fn is_present(member: &ReplicaMember, alive: &[Member]) -> bool {
    alive.iter().any(|known| {
        known.node == member.node
            && known.replica_id == member.replica_id
            && known.state != MemberState::DEAD
    })
}

/// Returns whether the replica's node is present with another disk, which means that the replica is
/// lost.
fn has_other_disk(member: &ReplicaMember, alive: &[Member]) -> bool {
    alive.iter().any(|known| {
        known.node == member.node
            && known.replica_id != 0
            && known.replica_id != member.replica_id
            && known.state != MemberState::DEAD
    })
}

fn is_member(set: &ReplicaSet, id: u64) -> bool {
    let members = quorum::members(set);
    members.iter().any(|member| member.replica_id == id)
}

/// Returns whether enough current replicas are present to copy the logs from.
fn can_copy(set: &ReplicaSet, alive: &[Member]) -> bool {
    let present = set
        .current
        .iter()
        .filter(|member| is_present(member, alive));
    let present = present.map(|member| member.replica_id).collect();
    let current_only = ReplicaSet {
        next: Vec::new(),
        ..set.clone()
    };
    Quorum::new(&current_only).is_intersected_by(&present)
}

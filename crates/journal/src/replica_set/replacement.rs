//! Replaces lost replicas: one at a time, through a joint set, with a copy in between.

#![expect(
    clippy::disallowed_methods,
    reason = "how long a replica is missing is the time in which it could have been seen: not that of a suspension of this machine"
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
use super::copy::{CopyError, LogCopy};
use super::zones::by_need;
use super::{RecordError, SetRecords};
use crate::Peers;

/// How long a peer may take to store a new set.
const FENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// Between looks at the record by a node whose disk is no member: the members tell a newcomer, and that may get lost. With many
/// spare disks these are calls to a service that each have their price.
const OUTSIDE_LOOK: Duration = Duration::from_secs(5);

/// How long a leaving replica waits for a spare before the set gets smaller.
const SPARE_WAIT: Duration = Duration::from_secs(2);

/// A set never gets smaller than this: a single disk bears no loss.
const LEAST_REPLICAS: usize = 2;

/// Why a change of the set did not go on; the next look tries again.
#[derive(Debug, thiserror::Error)]
enum ReplacementError {
    #[error(transparent)]
    Record(#[from] RecordError),
    #[error(transparent)]
    Copy(#[from] CopyError),
}

/// Watches the replicas and changes the set when one is lost for good.
pub(crate) struct Replacement {
    pub node: String,
    pub records: Arc<dyn SetRecords>,
    pub peers: Arc<dyn Peers>,
    pub replica_sets: ReplicaSets,
    /// How long a replica must be missing before it is replaced.
    pub replace_after: Duration,
    /// Longest pause between looks while they fail.
    pub max_poll_interval: Duration,
    /// Replicas that the set should have.
    pub wanted: usize,
    pub missing_since: BTreeMap<u64, Instant>,
    /// When this node, whose disk is no member, last read the record.
    pub looked_at: Option<Instant>,
    /// When this node's replica was first found to be leaving.
    pub leaving_since: Option<Instant>,
    /// Version of the joint set whose logs this node has copied.
    pub copied_version: u64,
}

impl Replacement {
    /// Looks every `poll`, jittered, for as long as the process runs or until the task is aborted.
    pub async fn run(mut self, poll_interval: Duration) {
        let mut pause = poll_interval;
        loop {
            tokio::time::sleep(crate::jitter::jittered(pause)).await;
            let Some(set) = self.replica_sets.current() else {
                continue;
            };
            match self.look(&set).await {
                Ok(()) => pause = poll_interval,
                Err(error) => {
                    log::warn!("event=replica_replacement_failed cause=\"{error}\"");
                    pause = (pause * 2).min(self.max_poll_interval);
                }
            }
        }
    }

    async fn look(&mut self, set: &ReplicaSet) -> Result<(), ReplacementError> {
        if self.is_newcomer(set) {
            return self.join(set).await;
        }
        let is_due = self.looked_at.is_none_or(|at| at.elapsed() >= OUTSIDE_LOOK);
        if self.is_outside(set) && is_due {
            self.looked_at = Some(Instant::now());
            self.learn_recorded().await?;
        }
        let alive = self.peers.alive();
        let spares = self.spares(set, &alive);
        let lost = self.lost(set, &alive);
        // A missing replica is replaced first: its place is not filled yet, and a spare is there for it.
        if self.leaves(set, &alive) && self.missing_since.is_empty() {
            return self.leave(set, &spares).await;
        }
        if !self.coordinates(set, &alive) || !can_copy(set, &alive) {
            return Ok(());
        }
        let proposal = if self.missing_since.is_empty() {
            replica_set::propose_with(set, self.wanted, &spares)
        } else {
            // A spare is for a missing replica, once that is lost, and not for a place beside it.
            replica_set::propose(set, &lost, &spares)
        };
        match proposal {
            Some(proposal) => Ok(self.swap(set, proposal).await?),
            None => Ok(()),
        }
    }

    /// Whether this node's replica is to leave the set.
    fn leaves(&self, set: &ReplicaSet, alive: &[Member]) -> bool {
        let own_id = self.replica_sets.own_replica_id();
        let is_leaving = alive
            .iter()
            .any(|member| member.node == self.node && member.state == MemberState::LEAVING);
        is_leaving && own_id.is_some_and(|id| is_member(set, id))
    }

    /// Leaves the set: a spare takes this one's place; without a spare this node copies its logs to those that stay, and
    /// the set gets smaller, unless a further loss would then be one too many.
    async fn leave(
        &mut self,
        set: &ReplicaSet,
        spares: &[ReplicaMember],
    ) -> Result<(), ReplacementError> {
        let Some(own_id) = self.replica_sets.own_replica_id() else {
            return Ok(());
        };
        if replica_set::is_shrunk_by(set, own_id) {
            let copied = self.copy_to_remaining(set).await?;
            log::info!("event=logs_handed_over version={} logs={copied}", set.version);
            if let Some(complete) = replica_set::complete(set) {
                self.swap(set, complete).await?;
            }
            return Ok(());
        }
        if !set.next.is_empty() {
            // Another change is under way.
            return Ok(());
        }
        let lost = BTreeSet::from([own_id]);
        let with_spare = replica_set::propose(set, &lost, spares);
        let waited = self
            .leaving_since
            .get_or_insert_with(Instant::now)
            .elapsed();
        let without = || replica_set::propose_without(set, own_id, self.least_replicas());
        match with_spare.or_else(|| (waited >= SPARE_WAIT).then(without).flatten()) {
            Some(proposal) => Ok(self.swap(set, proposal).await?),
            None => Ok(()),
        }
    }

    /// The smallest set a majority of which outnumbers the losses that a set of the wanted size bears.
    fn least_replicas(&self) -> usize {
        self.wanted.saturating_sub(1).max(LEAST_REPLICAS)
    }

    async fn copy_to_remaining(&self, set: &ReplicaSet) -> Result<usize, ReplacementError> {
        let Some(storage) = self.replica_sets.storage() else {
            return Ok(0);
        };
        let copy = LogCopy {
            node: self.node.clone(),
            peers: Arc::clone(&self.peers),
            storage: storage.clone(),
        };
        Ok(copy.copy_to(set).await?)
    }

    fn is_newcomer(&self, set: &ReplicaSet) -> bool {
        let own_id = self.replica_sets.own_replica_id();
        let newcomers = replica_set::newcomers(set);
        newcomers
            .iter()
            .any(|member| Some(member.replica_id) == own_id)
    }

    /// Whether this node has a disk that is no member: nobody tells it of newer sets.
    fn is_outside(&self, set: &ReplicaSet) -> bool {
        let own_id = self.replica_sets.own_replica_id();
        own_id.is_some_and(|id| !is_member(set, id))
    }

    async fn learn_recorded(&self) -> Result<(), RecordError> {
        if let Some(recorded) = self.records.read_stale().await? {
            self.replica_sets.learn_or_log(recorded.set).await;
        }
        Ok(())
    }

    /// Copies everything, then makes the next set current.
    async fn join(&mut self, set: &ReplicaSet) -> Result<(), ReplacementError> {
        if self.copied_version != set.version {
            self.copy(set).await?;
            self.copied_version = set.version;
        }
        match replica_set::complete(set) {
            Some(complete) => Ok(self.swap(set, complete).await?),
            None => Ok(()),
        }
    }

    async fn copy(&self, set: &ReplicaSet) -> Result<(), ReplacementError> {
        let Some(storage) = self.replica_sets.storage() else {
            return Ok(());
        };
        let copy = LogCopy {
            node: self.node.clone(),
            peers: Arc::clone(&self.peers),
            storage: storage.clone(),
        };
        let logs = copy.copy_quorum(set).await?;
        log::info!("event=logs_copied version={} logs={logs}", set.version);
        Ok(())
    }

    /// Replicas that have been missing for long enough, and those whose node came back with another disk.
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
        let came_back_empty: BTreeSet<u64> = quorum::members(set)
            .iter()
            .filter(|member| has_other_disk(member, alive))
            .map(|member| member.replica_id)
            .collect();
        let since = self.missing_since.iter();
        since
            .filter(|(id, since)| {
                since.elapsed() >= self.replace_after || came_back_empty.contains(id)
            })
            .map(|(id, _)| *id)
            .collect()
    }

    /// Whether this node changes the set. One tries, so that the key-value service is not asked by all; the swap settles
    /// disagreement. It is one of those with a disk, as these follow the others closely, if any is there.
    fn coordinates(&self, set: &ReplicaSet, alive: &[Member]) -> bool {
        let has_disks = alive.iter().any(|member| member.replica_id != 0);
        let eligible = alive
            .iter()
            .filter(|member| !has_disks || member.replica_id != 0);
        let names = eligible.map(|member| member.node.as_str());
        let key = format!("replica-set/{}", set.version);
        rendezvous_first(key.as_bytes(), names) == Some(self.node.as_str())
    }

    /// Disks that could take over, those in the zones with the fewest replicas first.
    fn spares(&self, set: &ReplicaSet, alive: &[Member]) -> Vec<ReplicaMember> {
        let present: Vec<&Member> = alive
            .iter()
            .filter(|member| is_member(set, member.replica_id))
            .collect();
        let staying: Vec<Member> = alive
            .iter()
            .filter(|member| member.state != MemberState::LEAVING)
            .cloned()
            .collect();
        by_need(&staying, &present)
    }

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
            self.tell(from, &set).await;
        }
        Ok(())
    }

    /// Tells the replicas at once; the others hear of the new version by pings.
    async fn tell(&self, from: &ReplicaSet, set: &ReplicaSet) {
        let mut told = quorum::members(from);
        told.extend(quorum::members(set));
        let nodes: BTreeSet<String> = told.into_iter().map(|member| member.node).collect();
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

/// The request that makes a replica refuse sets older than `set`.
pub(crate) fn fence(set: &ReplicaSet) -> Request {
    Request {
        kind: RequestKind::fence_replica_set(FenceReplicaSet {
            replica_set: Some(set.clone()),
        }),
    }
}

fn is_present(member: &ReplicaMember, alive: &[Member]) -> bool {
    alive.iter().any(|known| {
        known.node == member.node
            && known.replica_id == member.replica_id
            && known.state != MemberState::DEAD
    })
}

/// Whether a replica's node is there with another disk: its own is lost for good.
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

/// Whether enough replicas are there to be copied from.
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
    Quorum::new(&current_only).is_covered_by(&present)
}

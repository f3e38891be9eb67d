//! Makes the first replica set through the key-value service, or learns the one that is there.

use std::sync::Arc;
use std::time::Duration;

use ladderstage::journal::replica_set;
use ladderstage_wire::messages::ReplicaMember;

use super::ReplicaSets;
use super::zones::spread;
use super::{RecordError, SetRecords};
use crate::{InitialReplicas, Peers};

/// What the first set is made from.
pub(crate) struct Bootstrap {
    pub records: Arc<dyn SetRecords>,
    /// They tell in which zones the disks are.
    pub peers: Arc<dyn Peers>,
    /// This node's disk, if it has one.
    pub own: Option<ReplicaMember>,
    pub initial_replicas: InitialReplicas,
    pub may_bootstrap: bool,
    pub poll_interval: Duration,
    /// Longest pause between looks while the records cannot be used.
    pub max_poll_interval: Duration,
}

impl Bootstrap {
    /// Looks until a set is known, here or from a peer.
    pub async fn run(&self, replica_sets: &ReplicaSets) {
        let mut known = replica_sets.watch();
        let mut pause = self.poll_interval;
        while replica_sets.version() == 0 {
            match self.look(replica_sets).await {
                Ok(()) => pause = self.poll_interval,
                Err(error) => {
                    log::warn!("event=replica_set_lookup_failed cause=\"{error}\"");
                    pause = (pause * 2).min(self.max_poll_interval);
                }
            }
            let pause = crate::jitter::jittered(pause);
            // A set learnt from a peer or the disk ends the pause.
            let _ = tokio::time::timeout(pause, known.wait_for(Option::is_some)).await;
        }
    }

    async fn look(&self, replica_sets: &ReplicaSets) -> Result<(), RecordError> {
        let recorded = match self.own {
            Some(_) => self.records.read().await?,
            // The first set is made by nodes with a disk; the others may learn of it later.
            None => self.records.read_stale().await?,
        };
        let set = match recorded {
            Some(recorded) => Some(recorded.set),
            None if self.may_bootstrap && self.own.is_some() => self.make_first().await?,
            None => None,
        };
        if let Some(set) = set {
            replica_sets.learn_or_log(set).await;
        }
        Ok(())
    }

    /// Every look repeats the candidate's record: an answer may have been lost, or an old process of this node may
    /// have written late.
    async fn make_first(
        &self,
    ) -> Result<Option<ladderstage_wire::messages::ReplicaSet>, RecordError> {
        let candidates = self.records.candidates().await?;
        if let Some(own) = &self.own {
            if !candidates.contains(own) {
                self.records.put_candidate(own).await?;
                return Ok(None);
            }
        }
        let members = self.initial_members(candidates);
        match members.and_then(replica_set::first) {
            Some(first) => self.records.swap(0, first).await,
            None => Ok(None),
        }
    }

    /// The members of the first set once all their disks are recorded.
    fn initial_members(&self, candidates: Vec<ReplicaMember>) -> Option<Vec<ReplicaMember>> {
        match &self.initial_replicas {
            InitialReplicas::Named(nodes) => {
                let find = |node: &String| {
                    let mut candidates = candidates.iter();
                    candidates.find(|member| member.node == *node).cloned()
                };
                nodes.iter().map(find).collect()
            }
            InitialReplicas::Count(count) => spread(candidates, &self.peers.alive(), *count),
        }
    }
}

//! Creates the first replica set through the key-value service, or learns the recorded one.

use std::sync::Arc;
use std::time::Duration;

use ladderstage::journal::replica_set;
use ladderstage_wire::messages::ReplicaMember;

use super::ReplicaSets;
use super::zones::select_spread;
use super::{RecordError, SetRecords};
use crate::{InitialReplicas, Peers};

/// Task that creates or learns the first replica set.
pub(crate) struct Bootstrap {
    pub records: Arc<dyn SetRecords>,
    /// Source of the disks' zones.
    pub peers: Arc<dyn Peers>,
    /// This node's disk, if any.
    pub own: Option<ReplicaMember>,
    pub initial_replicas: InitialReplicas,
    pub may_bootstrap: bool,
    pub poll_interval: Duration,
    /// Upper bound of the poll interval while reads of the records fail.
    pub max_poll_interval: Duration,
}

impl Bootstrap {
    /// Polls the records until a set is known, from there or from a peer.
    pub async fn run(&self, replica_sets: &ReplicaSets) {
        let mut known = replica_sets.watch();
        let mut pause = self.poll_interval;
        while replica_sets.version() == 0 {
            match self.poll_records(replica_sets).await {
                Ok(()) => pause = self.poll_interval,
                Err(error) => {
                    log::warn!("event=replica_set_lookup_failed cause=\"{error}\"");
                    pause = (pause * 2).min(self.max_poll_interval);
                }
            }
            let pause = crate::jitter::jittered(pause);
            // A set learned from a peer ends the pause.
            let _ = tokio::time::timeout(pause, known.wait_for(Option::is_some)).await;
        }
    }

    async fn poll_records(&self, replica_sets: &ReplicaSets) -> Result<(), RecordError> {
        let recorded = match self.own {
            Some(_) => self.records.read().await?,
            // Only nodes with a disk create the first set, so the others can use a stale read.
            None => self.records.read_stale().await?,
        };
        let set = match recorded {
            Some(recorded) => Some(recorded.set),
            None if self.may_bootstrap && self.own.is_some() => self.create_first().await?,
            None => None,
        };
        if let Some(set) = set {
            replica_sets.learn_or_log(set).await;
        }
        Ok(())
    }

    /// Records this node's disk as a candidate and creates the first set once enough candidates are
    /// recorded. The record is checked on every call, as a late write of an earlier process of this
    /// node may have replaced it.
    async fn create_first(
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

    /// Returns the members of the first set, or `None` until enough candidates are recorded.
    fn initial_members(&self, candidates: Vec<ReplicaMember>) -> Option<Vec<ReplicaMember>> {
        match &self.initial_replicas {
            InitialReplicas::Named(nodes) => {
                let find = |node: &String| {
                    let mut candidates = candidates.iter();
                    candidates.find(|member| member.node == *node).cloned()
                };
                nodes.iter().map(find).collect()
            }
            InitialReplicas::Count(count) => select_spread(candidates, &self.peers.alive(), *count),
        }
    }
}

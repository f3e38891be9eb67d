//! Heartbeats to the replicas: they keep this node's logs, and bring back bundle evidence.

use std::collections::BTreeSet;
use std::sync::{Arc, Weak};
use std::time::Duration;

use futures_util::stream::{FuturesUnordered, StreamExt};
use ladderstage::ids::ProcessId;
use ladderstage::journal::{WriterEpoch, quorum};
use ladderstage_clock::Instant;
use ladderstage_wire::messages::mod_Request::OneOfkind as RequestKind;
use ladderstage_wire::messages::mod_Response::OneOfkind as ResponseKind;
use ladderstage_wire::messages::{
    BundleEvidence, OwnedLog, OwnerHeartbeat, OwnerHeartbeatReply, ReplicaMember, ReplicaSet,
};
use tokio::sync::Semaphore;

use super::calls::ReplicaCalls;
use super::hooks::HookSlot;
use super::registry::OwnedLogs;

/// Rounds under way at once; more are left out while replicas are slow.
const MAX_ROUNDS: usize = 4;

/// Above this many members a node without logs leaves rounds out: each replica answers every node.
const SKIP_ABOVE_MEMBERS: usize = 32;

/// Rounds that it leaves out in a row. The evidence of the bundle that a round brings has to last until the next one.
const SKIPPED_ROUNDS: u32 = 2;

/// What a heartbeat round needs.
pub(crate) struct Heartbeats {
    pub node: String,
    pub process: ProcessId,
    pub calls: Arc<ReplicaCalls>,
    pub owned: Arc<OwnedLogs>,
    pub hooks: HookSlot,
}

/// Sends heartbeats every `interval`, jittered, until the journal is dropped; rarer from an idle node of many.
pub(crate) async fn run(heartbeats: Weak<Heartbeats>, interval: Duration) {
    let slots = Arc::new(Semaphore::new(MAX_ROUNDS));
    let mut skipped = 0;
    loop {
        tokio::time::sleep(crate::jitter::jittered(interval)).await;
        let Some(heartbeats) = heartbeats.upgrade() else {
            return;
        };
        if skipped < SKIPPED_ROUNDS && heartbeats.may_skip() {
            skipped += 1;
            continue;
        }
        skipped = 0;
        if let Ok(slot) = Arc::clone(&slots).try_acquire_owned() {
            tokio::spawn(async move {
                heartbeats.round().await;
                drop(slot);
            });
        }
    }
}

/// Answers of one round.
#[derive(Default)]
struct Answers {
    replicas: BTreeSet<u64>,
    evidence: Vec<BundleEvidence>,
}

impl Heartbeats {
    /// Whether no log depends on this node and the replicas have many nodes to answer.
    fn may_skip(&self) -> bool {
        self.owned.list().is_empty() && self.calls.peers.alive().len() > SKIP_ABOVE_MEMBERS
    }

    async fn round(&self) {
        let Ok(set) = self.calls.replica_set() else {
            return;
        };
        let asked_at = Instant::now();
        let heartbeat = OwnerHeartbeat {
            node: self.node.clone(),
            process: self.process,
            logs: self.owned.list(),
        };
        let answers = self.gather(&set, &heartbeat, asked_at).await;
        self.report(asked_at, &set, &answers);
    }

    /// Asks all replicas; reports once as soon as a quorum has answered, so that a dead one costs no freshness.
    async fn gather(
        &self,
        set: &ReplicaSet,
        heartbeat: &OwnerHeartbeat,
        asked_at: Instant,
    ) -> Answers {
        let members = quorum::members(set);
        let quorum = ReplicaCalls::quorum(set);
        let mut calls: FuturesUnordered<_> = members
            .iter()
            .map(|member| {
                let request = RequestKind::owner_heartbeat(heartbeat.clone());
                async move { (member, self.calls.call(member, request).await) }
            })
            .collect();
        let mut answers = Answers::default();
        let mut is_reported = false;
        while let Some((member, answer)) = calls.next().await {
            let Ok(ResponseKind::owner_heartbeat(reply)) = answer else {
                continue;
            };
            self.take(heartbeat, member, reply, &mut answers);
            let has_quorum = quorum.is_met_by(&answers.replicas);
            if has_quorum && !is_reported && !calls.is_empty() {
                is_reported = true;
                self.report(asked_at, set, &answers);
            }
        }
        answers
    }

    fn take(
        &self,
        heartbeat: &OwnerHeartbeat,
        member: &ReplicaMember,
        reply: OwnerHeartbeatReply,
        answers: &mut Answers,
    ) {
        if reply.replica_id != member.replica_id || !answers.replicas.insert(reply.replica_id) {
            return;
        }
        answers.evidence.push(reply.evidence.unwrap_or_default());
        let replica_sets = &self.calls.service.replica_sets;
        if reply.replica_set_version > replica_sets.version() {
            let peers = Arc::clone(&self.calls.peers);
            replica_sets.fetch_in_background(peers, member.node.clone());
        }
        let is_fenced = |owned: &&OwnedLog| reply.fenced_logs.contains(&owned.log);
        for owned in heartbeat.logs.iter().filter(is_fenced) {
            self.on_fenced(owned, reply.replica_id);
        }
    }

    /// The answer is about the epoch that was asked for; by now the log may have a new writer here.
    fn on_fenced(&self, owned: &OwnedLog, replica: u64) {
        let log = &owned.log;
        let asked = WriterEpoch::from(&owned.epoch);
        let writer = self.owned.find(log);
        let Some(writer) = writer.filter(|writer| writer.epoch == asked) else {
            return;
        };
        if let Some(hooks) = self.hooks.get() {
            hooks.fence_reported(log);
        }
        if !writer.on_fenced(replica) {
            return;
        }
        self.owned.remove(&writer);
        log::info!("event=log_fenced log={log}");
        if let Some(hooks) = self.hooks.get() {
            hooks.fenced(log);
        }
    }

    fn report(&self, asked_at: Instant, set: &ReplicaSet, answers: &Answers) {
        if let Some(hooks) = self.hooks.get() {
            let majority = ReplicaCalls::quorum(set).is_met_by(&answers.replicas);
            hooks.heartbeat_round(asked_at, answers.evidence.clone(), majority);
        }
    }
}

//! Heartbeats to the replicas. They keep the ownership of this node's logs and return bundle
//! evidence: what each replica knows of the newest bundle.

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
use super::registry::WriterRegistry;

/// Maximum number of concurrent rounds; further rounds are skipped while replicas are slow.
const MAX_ROUNDS: usize = 4;

/// Number of members above which a node without logs skips rounds, to limit the load on the
/// replicas.
const SKIP_ABOVE_MEMBERS: usize = 32;

/// Maximum number of consecutive skipped rounds. Bundle evidence from one round must stay valid
/// until the next.
const MAX_SKIPPED_ROUNDS: u32 = 2;

/// State shared by the heartbeat rounds.
pub(crate) struct Heartbeats {
    pub node: String,
    pub process: ProcessId,
    pub calls: Arc<ReplicaCalls>,
    pub registry: Arc<WriterRegistry>,
    pub hooks: HookSlot,
}

/// Sends heartbeats every `interval`, with jitter, until the journal is dropped. A node without
/// logs in a large cluster skips some of them.
pub(crate) async fn run(heartbeats: Weak<Heartbeats>, interval: Duration) {
    let slots = Arc::new(Semaphore::new(MAX_ROUNDS));
    let mut skipped = 0;
    loop {
        tokio::time::sleep(crate::jitter::jittered(interval)).await;
        let Some(heartbeats) = heartbeats.upgrade() else {
            return;
        };
        if skipped < MAX_SKIPPED_ROUNDS && heartbeats.may_skip() {
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

/// Responses received in one round.
#[derive(Default)]
struct RoundReplies {
    replicas: BTreeSet<u64>,
    evidence: Vec<BundleEvidence>,
}

impl Heartbeats {
    /// Returns whether this node owns no log and the cluster is large.
    fn may_skip(&self) -> bool {
        self.registry.list().is_empty() && self.calls.peers.alive().len() > SKIP_ABOVE_MEMBERS
    }

    async fn round(&self) {
        let Ok(set) = self.calls.replica_set() else {
            return;
        };
        let sent_at = Instant::now();
        let heartbeat = OwnerHeartbeat {
            node: self.node.clone(),
            process: self.process,
            logs: self.registry.list(),
        };
        let answers = self.collect_replies(&set, &heartbeat, sent_at).await;
        self.report(sent_at, &set, &answers);
    }

    /// Sends the heartbeat to all replicas and collects their replies. Reports to the hooks as soon
    /// as a quorum has responded, so that one unreachable replica does not delay the evidence.
    async fn collect_replies(
        &self,
        set: &ReplicaSet,
        heartbeat: &OwnerHeartbeat,
        sent_at: Instant,
    ) -> RoundReplies {
        let members = quorum::members(set);
        let quorum = ReplicaCalls::quorum(set);
        let mut calls: FuturesUnordered<_> = members
            .iter()
            .map(|member| {
                let request = RequestKind::owner_heartbeat(heartbeat.clone());
                async move { (member, self.calls.call(member, request).await) }
            })
            .collect();
        let mut answers = RoundReplies::default();
        let mut is_reported = false;
        while let Some((member, answer)) = calls.next().await {
            let Ok(ResponseKind::owner_heartbeat(reply)) = answer else {
                continue;
            };
            self.on_reply(heartbeat, member, reply, &mut answers);
            let has_quorum = quorum.is_met_by(&answers.replicas);
            if has_quorum && !is_reported && !calls.is_empty() {
                is_reported = true;
                self.report(sent_at, set, &answers);
            }
        }
        answers
    }

    fn on_reply(
        &self,
        heartbeat: &OwnerHeartbeat,
        member: &ReplicaMember,
        reply: OwnerHeartbeatReply,
        answers: &mut RoundReplies,
    ) {
        // A node with a new disk does not count as a replica, but knows the set that replaced it.
        let replica_sets = &self.calls.service.replica_sets;
        if reply.replica_set_version > replica_sets.version() {
            let peers = Arc::clone(&self.calls.peers);
            replica_sets.fetch_in_background(peers, member.node.clone());
        }
        if reply.replica_id != member.replica_id || !answers.replicas.insert(reply.replica_id) {
            return;
        }
        answers.evidence.push(reply.evidence.unwrap_or_default());
        let is_fenced = |owned: &&OwnedLog| reply.fenced_logs.contains(&owned.log);
        for owned in heartbeat.logs.iter().filter(is_fenced) {
            self.on_fenced(owned, reply.replica_id);
        }
    }

    /// Applies a replica's statement that the epoch of `owned` is fenced. Ignored if the log has a
    /// newer writer here.
    fn on_fenced(&self, owned: &OwnedLog, replica: u64) {
        let log = &owned.log;
        let fenced_epoch = WriterEpoch::from(&owned.epoch);
        let writer = self.registry.find(log);
        let Some(writer) = writer.filter(|writer| writer.epoch == fenced_epoch) else {
            return;
        };
        if let Some(hooks) = self.hooks.get() {
            hooks.fence_reported(log);
        }
        if !writer.on_fenced(replica) {
            return;
        }
        self.registry.remove(&writer);
        log::info!("event=log_fenced log={log}");
        if let Some(hooks) = self.hooks.get() {
            hooks.fenced(log);
        }
    }

    fn report(&self, sent_at: Instant, set: &ReplicaSet, answers: &RoundReplies) {
        let majority = ReplicaCalls::quorum(set).is_met_by(&answers.replicas);
        if majority {
            self.calls.record_majority(sent_at);
        }
        if let Some(hooks) = self.hooks.get() {
            hooks.heartbeat_round(sent_at, answers.evidence.clone(), majority);
        }
    }
}

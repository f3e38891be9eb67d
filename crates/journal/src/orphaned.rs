//! Monitoring of a replica's open logs: notifies a successor of orphaned logs, whose owner sends no
//! heartbeats.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Weak};
use std::time::Duration;

use ladderstage::journal::TICK_INTERVAL;
use ladderstage::routing::rendezvous;
use ladderstage_storage::OpenLog;
use ladderstage_transport::CallError;
use ladderstage_wire::messages::mod_Request::OneOfkind as RequestKind;
use ladderstage_wire::messages::{Member, Request, ShardNotice};

use super::calls::ReplicaCalls;
use super::hooks::HookSlot;
use super::peers::Peers;

/// Maximum number of logs in one notice.
const LOGS_PER_NOTICE: usize = 256;

/// Maximum number of successors that are notified of one log, one after the other.
const MAX_SUCCESSORS_TRIED: usize = 3;

/// Number of checks per owner timeout.
const CHECKS_PER_TIMEOUT: u32 = 4;

/// Time between removals of logs whose retention has passed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(60);

/// Finds orphaned logs and removes logs whose retention has passed.
pub(crate) struct OrphanMonitor {
    pub node: String,
    pub calls: Arc<ReplicaCalls>,
    pub hooks: HookSlot,
    pub owner_timeout: Duration,
    pub monitored_prefix: &'static str,
}

/// Checks for orphaned logs several times per `owner_timeout`, with jitter, until the journal is
/// dropped.
pub(crate) async fn run(monitor: Weak<OrphanMonitor>, owner_timeout: Duration) {
    tokio::select! {
        () = run_checks(Weak::clone(&monitor), owner_timeout) => {}
        // Notices to successors must not delay the ticks.
        () = run_ticks(monitor) => {}
    }
}

async fn run_ticks(monitor: Weak<OrphanMonitor>) {
    while let Some(monitor) = monitor.upgrade() {
        monitor.calls.service.tick(monitor.owner_timeout);
        drop(monitor);
        tokio::time::sleep(TICK_INTERVAL).await;
    }
}

async fn run_checks(monitor: Weak<OrphanMonitor>, owner_timeout: Duration) {
    loop {
        tokio::time::sleep(crate::jitter::jittered(owner_timeout / CHECKS_PER_TIMEOUT)).await;
        let Some(monitor) = monitor.upgrade() else {
            return;
        };
        monitor.check().await;
    }
}

/// Periodically removes logs whose retention has passed, with jitter, until the journal is dropped.
pub(crate) async fn run_sweeps(monitor: Weak<OrphanMonitor>) {
    loop {
        tokio::time::sleep(crate::jitter::jittered(SWEEP_INTERVAL)).await;
        let Some(monitor) = monitor.upgrade() else {
            return;
        };
        monitor.sweep().await;
    }
}

/// Outcome of a notice to a successor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NoticeOutcome {
    /// The successor knows of the logs, or may know of them.
    Sent,
    /// The successor cannot be reached.
    NotSent,
}

impl OrphanMonitor {
    /// Notifies the successors of orphaned logs. Logs whose successor cannot be reached go to the
    /// next one.
    async fn check(&self) {
        let service = &self.calls.service;
        let peers = &self.calls.peers;
        let has_exited = |process| peers.has_exited(process);
        let orphaned = service.orphaned(self.monitored_prefix, self.owner_timeout, has_exited);
        if orphaned.is_empty() {
            return;
        }
        let ranking = SuccessorRanking::new(peers.as_ref());
        let mut logs: Vec<(String, Vec<String>)> = orphaned
            .into_iter()
            .map(|open| {
                let successors = ranking.successors_of(&open, &self.node);
                (open.log, successors)
            })
            .collect();
        for rank in 0..MAX_SUCCESSORS_TRIED {
            let notices = group_by_successor(&logs, rank).into_iter();
            let sends = notices.map(|(successor, logs)| async move {
                let outcome = self.notify(successor.clone(), logs).await;
                (successor, outcome)
            });
            let outcomes = futures_util::future::join_all(sends).await;
            let unreachable: BTreeSet<String> = outcomes
                .into_iter()
                .filter(|(_, outcome)| *outcome == NoticeOutcome::NotSent)
                .map(|(successor, _)| successor)
                .collect();
            logs.retain(|(_, successors)| {
                let successor = successors.get(rank);
                successor.is_some_and(|successor| unreachable.contains(successor))
            });
        }
    }

    async fn notify(&self, successor: String, logs: Vec<String>) -> NoticeOutcome {
        log::info!(
            "event=logs_orphaned count={} successor={successor}",
            logs.len()
        );
        if successor == self.node {
            if let Some(hooks) = self.hooks.get() {
                hooks.orphaned(logs);
            }
            return NoticeOutcome::Sent;
        }
        let request = Request {
            kind: RequestKind::shard_notice(ShardNotice {
                logs,
                from_owner: false,
                epochs: Vec::new(),
            }),
        };
        let timeout = self.calls.timeout;
        let Err(error) = self.calls.peers.call(&successor, request, timeout).await else {
            return NoticeOutcome::Sent;
        };
        log::warn!("event=successor_notice_failed successor={successor} cause=\"{error}\"");
        match error {
            CallError::NotSent(_) => NoticeOutcome::NotSent,
            _ => NoticeOutcome::Sent,
        }
    }

    async fn sweep(&self) {
        let Some(storage) = &self.calls.service.storage else {
            return;
        };
        match storage.sweep().await {
            Ok(report) => log::debug!(
                "event=journal_swept retired={} dropped={}",
                report.retired,
                report.dropped
            ),
            Err(error) => log::error!("event=journal_sweep_failed cause=\"{error}\""),
        }
    }
}

/// Nodes that may take over logs, in two tiers.
struct SuccessorRanking {
    /// Names of the nodes to which orphaned logs are assigned.
    candidates: Vec<String>,
    /// Names of the other nodes that may take over logs.
    others: Vec<String>,
}

impl SuccessorRanking {
    fn new(peers: &dyn Peers) -> Self {
        let names = |members: Vec<Member>| members.into_iter().map(|member| member.node);
        let candidates: Vec<String> = names(peers.takeover_candidates()).collect();
        let others = names(peers.successors()).filter(|node| !candidates.contains(node));
        let others = others.collect();
        Self { candidates, others }
    }

    /// Returns the successors for a log, best first: the candidates by rendezvous hash, with the
    /// log's silent owner last, then the other nodes. `own_node` is the only one if none is known.
    fn successors_of(&self, open: &OpenLog, own_node: &str) -> Vec<String> {
        let ranked = |names: &[String]| {
            let names = names.iter().map(String::as_str);
            let ranked = rendezvous(open.log.as_bytes(), names).into_iter();
            ranked.map(str::to_owned).collect::<Vec<_>>()
        };
        let (owner, mut successors): (Vec<_>, Vec<_>) = ranked(&self.candidates)
            .into_iter()
            .partition(|node| *node == open.owner_node);
        successors.extend(owner);
        if successors.is_empty() {
            return vec![own_node.to_owned()];
        }
        successors.extend(ranked(&self.others));
        successors
    }
}

/// Groups the logs by the successor at position `rank`.
fn group_by_successor(
    logs: &[(String, Vec<String>)],
    rank: usize,
) -> BTreeMap<String, Vec<String>> {
    let mut notices = BTreeMap::<String, Vec<String>>::new();
    for (log, successors) in logs {
        let Some(successor) = successors.get(rank) else {
            continue;
        };
        let notice = notices.entry(successor.clone()).or_default();
        if notice.len() < LOGS_PER_NOTICE {
            notice.push(log.clone());
        }
    }
    notices
}

//! Monitoring of a replica's open logs: notifies a successor of orphaned logs, whose owner sends no
//! heartbeats.

use std::collections::BTreeMap;
use std::sync::{Arc, Weak};
use std::time::Duration;

use ladderstage::routing::rendezvous_first;
use ladderstage_wire::messages::mod_Request::OneOfkind as RequestKind;
use ladderstage_wire::messages::{Request, ShardNotice};

use super::calls::ReplicaCalls;
use super::hooks::HookSlot;

/// Maximum number of logs in one notice.
const LOGS_PER_NOTICE: usize = 256;

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

impl OrphanMonitor {
    async fn check(&self) {
        let service = &self.calls.service;
        let peers = &self.calls.peers;
        let has_exited = |process| peers.has_exited(process);
        let orphaned = service.orphaned(self.monitored_prefix, self.owner_timeout, has_exited);
        let notices = self.group_by_successor(orphaned).into_iter();
        let sends = notices.map(|(successor, logs)| self.notify(successor, logs));
        futures_util::future::join_all(sends).await;
    }

    /// Groups the logs by successor, which rendezvous hashing selects.
    fn group_by_successor(&self, logs: Vec<String>) -> BTreeMap<String, Vec<String>> {
        let takeover_candidates = self.calls.peers.takeover_candidates();
        let mut notices = BTreeMap::<String, Vec<String>>::new();
        for log in logs {
            let names = takeover_candidates
                .iter()
                .map(|member| member.node.as_str());
            let successor = rendezvous_first(log.as_bytes(), names);
            let successor = successor.unwrap_or(&self.node).to_owned();
            let notice = notices.entry(successor).or_default();
            if notice.len() < LOGS_PER_NOTICE {
                notice.push(log);
            }
        }
        notices
    }

    async fn notify(&self, successor: String, logs: Vec<String>) {
        log::info!(
            "event=logs_orphaned count={} successor={successor}",
            logs.len()
        );
        if successor == self.node {
            if let Some(hooks) = self.hooks.get() {
                hooks.orphaned(logs);
            }
            return;
        }
        let request = Request {
            kind: RequestKind::shard_notice(ShardNotice {
                logs,
                from_owner: false,
                epochs: Vec::new(),
            }),
        };
        let timeout = self.calls.timeout;
        if let Err(error) = self.calls.peers.call(&successor, request, timeout).await {
            log::warn!("event=successor_notice_failed successor={successor} cause=\"{error}\"");
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

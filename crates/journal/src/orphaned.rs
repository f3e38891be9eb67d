//! The replica's watch over its open logs: tells the right member about those that nobody tends.

use std::collections::BTreeMap;
use std::sync::{Arc, Weak};
use std::time::Duration;

use ladderstage::routing::rendezvous_first;
use ladderstage_wire::messages::mod_Request::OneOfkind as RequestKind;
use ladderstage_wire::messages::{Request, ShardNotice};

use super::calls::ReplicaCalls;
use super::hooks::HookSlot;

/// Logs in one notice at most.
const LOGS_PER_NOTICE: usize = 256;

/// Looks per owner timeout.
const LOOKS_PER_TIMEOUT: u32 = 4;

/// Between sweeps of what is over its retention.
const SWEEP_INTERVAL: Duration = Duration::from_secs(60);

/// What the watch needs.
pub(crate) struct OrphanMonitor {
    pub node: String,
    pub calls: Arc<ReplicaCalls>,
    pub hooks: HookSlot,
    pub owner_timeout: Duration,
    pub monitored_prefix: &'static str,
}

/// Looks for untended logs, jittered, until the journal is dropped.
pub(crate) async fn run(watch: Weak<OrphanMonitor>, owner_timeout: Duration) {
    loop {
        tokio::time::sleep(crate::jitter::jittered(owner_timeout / LOOKS_PER_TIMEOUT)).await;
        let Some(watch) = watch.upgrade() else {
            return;
        };
        watch.look().await;
    }
}

/// Drops what is over its retention, jittered, until the journal is dropped.
pub(crate) async fn run_sweeps(watch: Weak<OrphanMonitor>) {
    loop {
        tokio::time::sleep(crate::jitter::jittered(SWEEP_INTERVAL)).await;
        let Some(watch) = watch.upgrade() else {
            return;
        };
        watch.sweep().await;
    }
}

impl OrphanMonitor {
    async fn look(&self) {
        let service = &self.calls.service;
        let peers = &self.calls.peers;
        let has_exited = |process| peers.has_exited(process);
        let orphaned = service.orphaned(self.monitored_prefix, self.owner_timeout, has_exited);
        let notices = self.by_successor(orphaned).into_iter();
        let sends = notices.map(|(successor, logs)| self.notify(successor, logs));
        futures_util::future::join_all(sends).await;
    }

    /// Groups the logs by the member that rendezvous hashing names for each.
    fn by_successor(&self, logs: Vec<String>) -> BTreeMap<String, Vec<String>> {
        let takeover_candidates = self.calls.peers.takeover_candidates();
        let mut notices = BTreeMap::<String, Vec<String>>::new();
        for log in logs {
            let names = takeover_candidates.iter().map(|member| member.node.as_str());
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

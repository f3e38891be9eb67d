//! Copies logs between replicas when the replica set changes.

use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use ladderstage::journal::Quorum;
use ladderstage::region::Distance;
use ladderstage_clock::Instant;
use ladderstage_storage::{Storage, StorageError};
use ladderstage_transport::CallError;
use ladderstage_wire::messages::mod_Request::OneOfkind as RequestKind;
use ladderstage_wire::messages::mod_Response::OneOfkind as ResponseKind;
use ladderstage_wire::messages::{
    ExportLogs, ExportLogsReply, ExportedLog, ImportLogs, LogEntry, OwnerHeartbeat, ReplicaMember,
    ReplicaSet, Request, StageEntries,
};

use super::long_log::LongLog;
use super::replacement::fence;
use super::zones::location;
use crate::Peers;
use crate::log_reader::LogChanged;

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of logs in one page.
const LOGS_PER_PAGE: u32 = 64;

/// Maximum number of locally stored logs listed in a page request, so that the sender skips their
/// entries.
const KNOWN_LOGS_PER_REQUEST: usize = 4 * LOGS_PER_PAGE as usize;

/// Error of a copy.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CopyError {
    /// Too few replicas could be copied completely, or a replica did not store the logs sent to it.
    #[error("copied from {copied} of {needed} replicas: {failures}")]
    NoQuorum {
        copied: usize,
        needed: usize,
        failures: String,
    },
    /// This node's storage failed.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// This node's disk does not hold the newest bundle of the copied replicas yet.
    #[error("required bundle revision {needed} is newer than the stored revision {stored}")]
    StaleBundle {
        /// Newest revision at the copied replicas.
        needed: u64,
        /// Revision on this node's disk.
        stored: u64,
    },
}

/// Error of a copy from or to one replica.
#[derive(Debug, thiserror::Error)]
enum ReplicaError {
    #[error(transparent)]
    Call(#[from] CallError),
    #[error("unexpected response kind")]
    UnexpectedResponse,
    #[error("the node's disk was replaced")]
    DiskReplaced,
    #[error(transparent)]
    LogChanged(#[from] LogChanged),
    #[error(transparent)]
    Storage(#[from] StorageError),
}

/// Amount and duration of a copy to this node. Its text is the value of the field `logs` in a log
/// line, with the fields after it.
#[derive(Debug)]
pub(crate) struct CopyReport {
    /// Number of copied logs; a log that several replicas sent is counted each time.
    logs: usize,
    /// Size of the received entries, in bytes.
    bytes: usize,
    elapsed: Duration,
}

impl fmt::Display for CopyReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let elapsed_ms = self.elapsed.as_millis();
        write!(
            formatter,
            "{} bytes={} elapsed_ms={elapsed_ms}",
            self.logs, self.bytes
        )
    }
}

/// Amount and duration of the copy from one replica.
#[derive(Debug, Default)]
struct CopiedReplica {
    logs: usize,
    /// Number of received entries; one that came in parts is counted by its last part.
    entries: usize,
    /// Size of the received entries, in bytes.
    bytes: usize,
    bundle_revision: u64,
    fencing: Duration,
    fetching: Duration,
    importing: Duration,
}

impl CopiedReplica {
    fn count_entries(&mut self, entries: &[LogEntry]) {
        self.entries += entries.len();
        self.bytes += entries
            .iter()
            .map(|entry| entry.payload.len())
            .sum::<usize>();
    }

    fn count_parts(&mut self, staged: &StageEntries) {
        let parts = &staged.parts;
        self.entries += parts.iter().filter(|part| part.ends_entry).count();
        self.bytes += parts.iter().map(|part| part.payload.len()).sum::<usize>();
    }
}

/// Copies logs to or from this node's data folder.
pub(crate) struct LogCopier {
    /// Name of this node.
    pub node: String,
    pub peers: Arc<dyn Peers>,
    pub storage: Storage,
    /// Maximum size of the entries in one message, in bytes. Longer logs are copied in parts.
    pub part_bytes: usize,
}

impl LogCopier {
    /// Copies to this node the logs of enough current replicas of a joint set to intersect every
    /// quorum. Each replica is fenced against older sets before its logs are copied.
    ///
    /// The bundle is not copied, as every node receives it by other means, but it must have arrived
    /// before this node may replace a replica.
    ///
    /// # Errors
    ///
    /// `NoQuorum` if too few replicas could be copied, `BundleBehind` if the bundle has not
    /// arrived, or `Storage`.
    pub async fn copy_from_replicas(&self, set: &ReplicaSet) -> Result<CopyReport, CopyError> {
        let started = Instant::now();
        let quorum = Quorum::new(&ReplicaSet {
            next: Vec::new(),
            ..set.clone()
        });
        let own_id = self.storage.replica_id();
        // If this disk is one of the current replicas, its logs are here already.
        let is_own = |member: &&ReplicaMember| member.replica_id == own_id;
        let own = set.current.iter().find(is_own);
        let mut copied: BTreeSet<u64> = own.map(|member| member.replica_id).into_iter().collect();
        let mut failures = Vec::new();
        let (mut logs, mut bytes) = (0, 0);
        let mut needed = 0;
        let mut sources = self.nearest_first(&set.current);
        sources.retain(|member| member.replica_id != own_id);
        for member in &sources {
            if quorum.is_intersected_by(&copied) {
                break;
            }
            match self.copy_replica(set, member).await {
                Ok(source) => {
                    logs += source.logs;
                    bytes += source.bytes;
                    needed = needed.max(source.bundle_revision);
                    copied.insert(member.replica_id);
                }
                Err(ReplicaError::Storage(error)) => return Err(error.into()),
                Err(error) => failures.push(format!("{}: {error}", member.node)),
            }
        }
        if !quorum.is_intersected_by(&copied) {
            return Err(CopyError::NoQuorum {
                copied: copied.len(),
                needed: set.current.len().div_ceil(2),
                failures: failures.join("; "),
            });
        }
        let stored = self.storage.bundle_revision();
        if stored < needed {
            return Err(CopyError::StaleBundle { needed, stored });
        }
        Ok(CopyReport {
            logs,
            bytes,
            elapsed: started.elapsed(),
        })
    }

    /// Sends all logs of this node to the members of the next set, after fencing them against older
    /// sets. Returns the number of logs.
    ///
    /// # Errors
    ///
    /// `NoQuorum` if a replica could not be fenced or did not store the logs, or `Storage`.
    pub async fn push_to_next_members(&self, set: &ReplicaSet) -> Result<usize, CopyError> {
        let failed = |node: &str, error: ReplicaError| CopyError::NoQuorum {
            copied: 0,
            needed: set.next.len(),
            failures: format!("{node}: {error}"),
        };
        let own_id = self.storage.replica_id();
        let mut receivers = set.next.clone();
        receivers.retain(|member| member.replica_id != own_id);
        for member in &receivers {
            let fenced = self.call(member, fence(set).kind).await;
            fenced.map_err(|error| failed(&member.node, error))?;
        }
        let mut after = String::new();
        let mut copied = 0;
        loop {
            let limit = LOGS_PER_PAGE as usize;
            let exporting = self.storage.export_logs(&after, limit, self.part_bytes);
            let page = exporting.await?;
            copied += page.logs.len();
            let last = page.logs.last().map(|log| log.log.clone());
            let (long, short): (Vec<_>, Vec<_>) =
                page.logs.into_iter().partition(|log| log.is_long);
            for member in &receivers {
                let request = RequestKind::import_logs(ImportLogs {
                    replica_set_version: set.version,
                    logs: short.clone(),
                });
                let imported = self.call(member, request).await;
                imported.map_err(|error| failed(&member.node, error))?;
                for log in &long {
                    let pushed = self.push_long_log(set, member, log.clone()).await;
                    pushed.map_err(|error| failed(&member.node, error))?;
                }
            }
            match last {
                Some(last) if page.more => after = last,
                _ => break,
            }
        }
        // Checked last, to detect a disk that was replaced during the copy.
        for member in &receivers {
            let checked = self.check_disk(member).await;
            checked.map_err(|error| failed(&member.node, error))?;
        }
        Ok(copied)
    }

    /// Sorts members by distance, nearest first, as the first copy transfers the most data. Members
    /// that are not alive are sorted like those in the same region.
    fn nearest_first(&self, members: &[ReplicaMember]) -> Vec<ReplicaMember> {
        let live_members = self.peers.alive();
        let find = |node: &str| live_members.iter().find(|member| member.node == node);
        let distance = |node: &str| {
            let (own, other) = (find(&self.node)?, find(node)?);
            Some(Distance::between(&location(own), &location(other)))
        };
        let mut members = members.to_vec();
        members.sort_by_key(|member| distance(&member.node).unwrap_or(Distance::SameRegion));
        members
    }

    async fn copy_replica(
        &self,
        set: &ReplicaSet,
        member: &ReplicaMember,
    ) -> Result<CopiedReplica, ReplicaError> {
        let started = Instant::now();
        let mut copied = CopiedReplica::default();
        timed(&mut copied.fencing, self.call(member, fence(set).kind)).await?;
        let mut after = String::new();
        loop {
            let fetching = self.fetch_page(set, member, &after);
            let page = timed(&mut copied.fetching, fetching).await?;
            copied.logs += page.logs.len();
            for log in &page.logs {
                copied.count_entries(&log.entries);
            }
            let last = page.logs.last().map(|log| log.log.clone());
            let (long, short) = page.logs.into_iter().partition(|log| log.is_long);
            let importing = self.storage.import_logs(set.version, short);
            timed(&mut copied.importing, importing).await?;
            for log in long {
                self.copy_long_log(set, member, log, &mut copied).await?;
            }
            match last {
                Some(last) if page.more => after = last,
                _ => break,
            }
        }
        // Checked last, to detect a disk that was replaced during the copy.
        copied.bundle_revision = self.check_disk(member).await?;
        log_copied_replica(set, member, &copied, started.elapsed());
        Ok(copied)
    }

    /// Copies a log that is too long for one message to this node.
    async fn copy_long_log(
        &self,
        set: &ReplicaSet,
        member: &ReplicaMember,
        exported: ExportedLog,
        copied: &mut CopiedReplica,
    ) -> Result<(), ReplicaError> {
        let storage = &self.storage;
        let mut log = LongLog::new(exported, member.replica_id);
        while let Some(request) = log.next_request(self.part_bytes) {
            let reading = self.call(member, RequestKind::read_log(request));
            let reply = timed(&mut copied.fetching, reading).await?;
            let ResponseKind::read_log(reply) = reply else {
                return Err(ReplicaError::UnexpectedResponse);
            };
            let parts = log.stage(reply, set.version)?;
            copied.count_parts(&parts);
            timed(&mut copied.importing, storage.stage(parts)).await?;
        }
        let log = log.into_import();
        let importing = storage.import_logs(set.version, vec![log.clone()]);
        timed(&mut copied.importing, importing).await?;
        log_long_copy(&log, &member.node, &self.node);
        Ok(())
    }

    /// Sends a log of this node that is too long for one message.
    async fn push_long_log(
        &self,
        set: &ReplicaSet,
        member: &ReplicaMember,
        exported: ExportedLog,
    ) -> Result<(), ReplicaError> {
        let mut log = LongLog::new(exported, self.storage.replica_id());
        while let Some(request) = log.next_request(self.part_bytes) {
            let reply = self.storage.read_log_parts(request).await?;
            let parts = log.stage(reply, set.version)?;
            let request = RequestKind::stage_entries(parts);
            self.call(member, request).await?;
        }
        let log = log.into_import();
        let request = RequestKind::import_staged(ImportLogs {
            replica_set_version: set.version,
            logs: vec![log.clone()],
        });
        self.call(member, request).await?;
        log_long_copy(&log, &self.node, &member.node);
        Ok(())
    }

    /// Fetches the page of logs whose names follow `after`.
    async fn fetch_page(
        &self,
        set: &ReplicaSet,
        member: &ReplicaMember,
        after: &str,
    ) -> Result<ExportLogsReply, ReplicaError> {
        let request = RequestKind::export_logs(ExportLogs {
            replica_set_version: set.version,
            after: after.to_owned(),
            limit: LOGS_PER_PAGE,
            known: self.storage.known_logs(after, KNOWN_LOGS_PER_REQUEST),
            max_log_bytes: self.part_bytes as u64,
        });
        match self.call(member, request).await? {
            ResponseKind::export_logs(page) => Ok(page),
            _ => Err(ReplicaError::UnexpectedResponse),
        }
    }

    /// Checks that the node still has the disk that the set lists; returns the revision of its
    /// bundle.
    async fn check_disk(&self, member: &ReplicaMember) -> Result<u64, ReplicaError> {
        // The reply to an empty heartbeat contains the replica id and the bundle revision.
        let request = RequestKind::owner_heartbeat(OwnerHeartbeat::default());
        let ResponseKind::owner_heartbeat(reply) = self.call(member, request).await? else {
            return Err(ReplicaError::UnexpectedResponse);
        };
        if reply.replica_id != member.replica_id {
            return Err(ReplicaError::DiskReplaced);
        }
        Ok(reply.evidence.unwrap_or_default().revision)
    }

    async fn call(
        &self,
        member: &ReplicaMember,
        kind: RequestKind,
    ) -> Result<ResponseKind, ReplicaError> {
        let request = Request { kind };
        let answer = self.peers.call(&member.node, request, CALL_TIMEOUT).await?;
        match answer.kind {
            ResponseKind::refused(refused) => Err(CallError::Refused(refused).into()),
            kind => Ok(kind),
        }
    }
}

/// Adds the time until `future` is ready to `total`.
async fn timed<T>(total: &mut Duration, future: impl Future<Output = T>) -> T {
    let started = Instant::now();
    let output = future.await;
    *total += started.elapsed();
    output
}

fn log_copied_replica(
    set: &ReplicaSet,
    member: &ReplicaMember,
    copied: &CopiedReplica,
    elapsed: Duration,
) {
    log::info!(
        "event=replica_copied from={} version={} logs={} entries={} bytes={} fence_ms={} \
         fetch_ms={} import_ms={} elapsed_ms={}",
        member.node,
        set.version,
        copied.logs,
        copied.entries,
        copied.bytes,
        copied.fencing.as_millis(),
        copied.fetching.as_millis(),
        copied.importing.as_millis(),
        elapsed.as_millis()
    );
}

fn log_long_copy(log: &ExportedLog, from: &str, to: &str) {
    log::info!(
        "event=log_copied_in_parts log={} from={from} to={to} entries={}",
        log.log,
        log.staged_length
    );
}

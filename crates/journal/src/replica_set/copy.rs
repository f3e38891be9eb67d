//! Copies logs between replicas when the replica set changes.

use std::collections::{BTreeSet, VecDeque};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use ladderstage::journal::Quorum;
use ladderstage::journal::replica::ContentVersion;
use ladderstage::region::Distance;
use ladderstage_clock::Instant;
use ladderstage_storage::{Storage, StorageError};
use ladderstage_transport::CallError;
use ladderstage_wire::messages::mod_Request::OneOfkind as RequestKind;
use ladderstage_wire::messages::mod_Response::OneOfkind as ResponseKind;
use ladderstage_wire::messages::{
    ExportedLog, ImportLogs, OwnerHeartbeat, ReplicaMember, ReplicaSet, Request,
};

use super::copy_plan::{ListedSource, newest_versions, wanted_logs};
use super::copy_source::SourceReplica;
use super::log_transfer::LogTransfer;
use super::long_log::LongLog;
use super::replacement::fence;
use super::zones::location;
use crate::Peers;
use crate::log_reader::LogChanged;

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of logs in one page that is sent to other replicas.
const LOGS_PER_PAGE: usize = 64;

/// Number of times that the logs of the replicas are listed in one copy. Logs that are deleted after
/// the first time cannot be copied.
const LISTINGS: usize = 3;

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
pub(super) enum ReplicaError {
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

/// Amount and duration of a copy to this node, shown as the fields of a log line.
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
            "logs={} bytes={} elapsed_ms={elapsed_ms}",
            self.logs, self.bytes
        )
    }
}

/// Replicas from which one copy is made.
struct CopySources {
    quorum: Quorum,
    /// Replica id of this node, if it is one of the current replicas, whose logs are here already.
    own: Option<u64>,
    /// Replicas that have not been used yet, nearest first.
    candidates: VecDeque<ReplicaMember>,
    open: Vec<SourceReplica>,
    failures: Vec<String>,
}

impl CopySources {
    /// Returns whether the open replicas intersect every quorum of the current set.
    fn is_sufficient(&self) -> bool {
        let ids = self.open.iter().map(|source| source.member.replica_id);
        let ids: BTreeSet<u64> = ids.chain(self.own).collect();
        self.quorum.is_intersected_by(&ids)
    }

    /// Takes as many candidates as are needed in addition to the open replicas, or all of them.
    fn take_candidates(&mut self) -> Vec<ReplicaMember> {
        let held = self.open.len() + usize::from(self.own.is_some());
        let needed = self.needed().saturating_sub(held);
        let taken = needed.min(self.candidates.len());
        self.candidates.drain(..taken).collect()
    }

    /// Returns the number of replicas that intersect every quorum.
    fn needed(&self) -> usize {
        self.quorum.replicas().len().div_ceil(2)
    }

    /// Closes the open replicas, to list their logs again.
    fn close_all(&mut self) {
        let open = std::mem::take(&mut self.open);
        for source in open.into_iter().rev() {
            self.candidates.push_front(source.member);
        }
    }

    fn add_failure(&mut self, member: &ReplicaMember, error: &impl fmt::Display) {
        self.failures.push(format!("{}: {error}", member.node));
    }

    fn no_quorum(&self) -> CopyError {
        CopyError::NoQuorum {
            copied: self.open.len() + usize::from(self.own.is_some()),
            needed: self.needed(),
            failures: self.failures.join("; "),
        }
    }

    fn listed(&self) -> Vec<ListedSource<'_>> {
        let open = self.open.iter();
        open.map(|source| ListedSource {
            listing: &source.listing,
            is_near: source.is_near,
        })
        .collect()
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
    /// quorum. Each replica is fenced against older sets before its logs are listed. Entries are then
    /// copied from one of the replicas that list the newest version of their log.
    ///
    /// The bundle is not copied, as every node receives it by other means, but it must have arrived
    /// before this node may replace a replica.
    ///
    /// # Errors
    ///
    /// `NoQuorum` if too few replicas could be copied, `StaleBundle` if the bundle has not
    /// arrived, or `Storage`.
    pub async fn copy_from_replicas(&self, set: &ReplicaSet) -> Result<CopyReport, CopyError> {
        let started = Instant::now();
        let mut sources = self.sources(set);
        let mut listings = 1;
        let needed = loop {
            self.open_sources(set, &mut sources).await?;
            self.fetch_missing(set, &mut sources).await?;
            if !sources.is_sufficient() {
                continue;
            }
            if let Some(log) = self.first_missing(&sources) {
                sources
                    .failures
                    .push(format!("{log} was changed during the copy"));
                if listings == LISTINGS {
                    return Err(sources.no_quorum());
                }
                listings += 1;
                sources.close_all();
                continue;
            }
            // Checked again, to detect a disk that was replaced during the copy.
            let bundle_revision = self.check_sources(&mut sources).await;
            if sources.is_sufficient() {
                break bundle_revision;
            }
        };
        sources
            .open
            .iter()
            .for_each(|source| source.log_copied(set));
        let stored = self.storage.bundle_revision();
        if stored < needed {
            return Err(CopyError::StaleBundle { needed, stored });
        }
        let open = || sources.open.iter();
        Ok(CopyReport {
            logs: open().map(|source| source.listing.len()).sum(),
            bytes: open().map(|source| source.received.bytes).sum(),
            elapsed: started.elapsed(),
        })
    }

    fn sources(&self, set: &ReplicaSet) -> CopySources {
        let quorum = Quorum::new(&ReplicaSet {
            next: Vec::new(),
            ..set.clone()
        });
        let own_id = self.storage.replica_id();
        let mut candidates = self.nearest_first(&set.current);
        candidates.retain(|member| member.replica_id != own_id);
        CopySources {
            own: quorum.contains(own_id).then_some(own_id),
            quorum,
            candidates: candidates.into(),
            open: Vec::new(),
            failures: Vec::new(),
        }
    }

    /// Fences and lists further replicas until they intersect every quorum.
    async fn open_sources(
        &self,
        set: &ReplicaSet,
        sources: &mut CopySources,
    ) -> Result<(), CopyError> {
        while !sources.is_sufficient() {
            let members = sources.take_candidates();
            if members.is_empty() {
                return Err(sources.no_quorum());
            }
            let opening = members
                .into_iter()
                .map(|member| self.open_source(set, member));
            for opened in join_all(opening).await {
                match opened {
                    Ok(source) => sources.open.push(source),
                    Err((_, ReplicaError::Storage(error))) => return Err(error.into()),
                    Err((member, error)) => sources.add_failure(&member, &error),
                }
            }
        }
        Ok(())
    }

    /// Copies the logs of which this node has an older version than the open replicas. Closes the
    /// replicas that fail.
    async fn fetch_missing(
        &self,
        set: &ReplicaSet,
        sources: &mut CopySources,
    ) -> Result<(), CopyError> {
        let wanted = wanted_logs(&sources.listed(), |log| self.stored_version(log));
        let open = std::mem::take(&mut sources.open);
        let transfer = LogTransfer::new(self, set, &open, &wanted);
        let outcomes = transfer.run().await?;
        for (mut source, outcome) in open.into_iter().zip(outcomes) {
            source.received.add(&outcome.received);
            match outcome.error {
                None => sources.open.push(source),
                Some(error) => sources.add_failure(&source.member, &error),
            }
        }
        Ok(())
    }

    /// Returns a log of which this node holds an older version than one of the open replicas listed.
    fn first_missing(&self, sources: &CopySources) -> Option<String> {
        let newest = newest_versions(&sources.listed());
        let mut newest = newest.into_iter();
        let missing = newest.find(|(log, version)| self.stored_version(log) < *version);
        missing.map(|(log, _)| log.to_owned())
    }

    fn stored_version(&self, log: &str) -> ContentVersion {
        let state = self.storage.log_state(log);
        state.map_or_else(ContentVersion::default, |state| state.content_version())
    }

    /// Closes the open replicas that do not have the disk that the set lists; returns the newest
    /// revision of the bundles of the others.
    async fn check_sources(&self, sources: &mut CopySources) -> u64 {
        let open = std::mem::take(&mut sources.open);
        let checks = open.iter().map(|source| self.check_disk(&source.member));
        let checks = join_all(checks).await;
        let mut newest = 0;
        for (source, checked) in open.into_iter().zip(checks) {
            match checked {
                Ok(revision) => {
                    newest = newest.max(revision);
                    sources.open.push(source);
                }
                Err(error) => sources.add_failure(&source.member, &error),
            }
        }
        newest
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
            let exporting = self
                .storage
                .export_logs(&after, LOGS_PER_PAGE, self.part_bytes);
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

    /// Sorts members by distance, nearest first.
    fn nearest_first(&self, members: &[ReplicaMember]) -> Vec<ReplicaMember> {
        let mut members = members.to_vec();
        members.sort_by_cached_key(|member| self.distance(member));
        members
    }

    /// Returns whether the member is in this node's region.
    pub(super) fn is_near(&self, member: &ReplicaMember) -> bool {
        self.distance(member) < Distance::OtherRegion
    }

    /// Returns the distance to a member. One that is not alive counts as in the same region.
    fn distance(&self, member: &ReplicaMember) -> Distance {
        let alive = self.peers.alive();
        let find = |node: &str| alive.iter().find(|member| member.node == node);
        match (find(&self.node), find(&member.node)) {
            (Some(own), Some(other)) => Distance::between(&location(own), &location(other)),
            _ => Distance::SameRegion,
        }
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

    /// Checks that the node still has the disk that the set lists; returns the revision of its
    /// bundle.
    pub(super) async fn check_disk(&self, member: &ReplicaMember) -> Result<u64, ReplicaError> {
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

    pub(super) async fn call(
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

pub(super) fn log_long_copy(log: &ExportedLog, from: &str, to: &str) {
    log::info!(
        "event=log_copied_in_parts log={} from={from} to={to} entries={}",
        log.log,
        log.staged_length
    );
}

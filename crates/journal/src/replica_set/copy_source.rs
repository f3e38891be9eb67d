//! A current replica from which a new replica copies logs.

use std::collections::BTreeSet;
use std::ops::Bound;
use std::time::Duration;

use ladderstage::journal::DEFAULT_PART_BYTES;
use ladderstage::journal::replica::ContentVersion;
use ladderstage_clock::Instant;
use ladderstage_wire::messages::mod_Request::OneOfkind as RequestKind;
use ladderstage_wire::messages::mod_Response::OneOfkind as ResponseKind;
use ladderstage_wire::messages::{
    ExportLogs, ExportLogsReply, ExportedLog, LogEntry, ReplicaMember, ReplicaSet, StageEntries,
};

use super::copy::{LogCopier, ReplicaError};
use super::copy_plan::{Listing, WantedLogs};
use super::long_log::LongLog;
use super::replacement::fence;

/// Maximum number of logs in one page of descriptions.
const DESCRIPTIONS_PER_PAGE: u32 = 256;

/// Maximum size of the entries of a log that a request for descriptions asks for, in bytes. Logs
/// above it come without entries, also from replicas of earlier versions.
const DESCRIBED_LOG_BYTES: u64 = 1;

/// Maximum size of the entries of a log that is copied in one message, in bytes: that of a page. Larger
/// logs are staged in parts, each with a sync, and stored a second time as a whole.
const WHOLE_LOG_BYTES: u64 = DEFAULT_PART_BYTES as u64;

/// A fenced replica with the logs that it listed afterwards.
#[derive(Debug)]
pub(super) struct SourceReplica {
    pub member: ReplicaMember,
    /// Whether the replica is in this node's region.
    pub is_near: bool,
    pub listing: Listing,
    pub received: Received,
    opened_at: Instant,
}

/// What was received from a replica, and the time it took.
#[derive(Debug, Default)]
pub(super) struct Received {
    /// Number of entries; one that came in parts is counted by its last part.
    pub entries: usize,
    /// Size of the entries, in bytes.
    pub bytes: usize,
    fencing: Duration,
    fetching: Duration,
    importing: Duration,
}

/// A page of logs that has not been imported yet.
#[derive(Debug)]
pub(super) struct FetchedPage {
    reply: ExportLogsReply,
    received: Received,
}

impl Received {
    /// Adds what was received by another request.
    pub fn add(&mut self, other: &Self) {
        self.entries += other.entries;
        self.bytes += other.bytes;
        self.fencing += other.fencing;
        self.fetching += other.fetching;
        self.importing += other.importing;
    }

    fn count_entries(&mut self, entries: &[LogEntry]) {
        self.entries += entries.len();
        let sizes = entries.iter().map(|entry| entry.payload.len());
        self.bytes += sizes.sum::<usize>();
    }

    fn count_parts(&mut self, staged: &StageEntries) {
        let parts = &staged.parts;
        self.entries += parts.iter().filter(|part| part.ends_entry).count();
        self.bytes += parts.iter().map(|part| part.payload.len()).sum::<usize>();
    }
}

impl SourceReplica {
    pub fn log_copied(&self, set: &ReplicaSet) {
        let received = &self.received;
        log::info!(
            "event=replica_copied from={} version={} logs={} entries={} bytes={} fence_ms={} \
             fetch_ms={} import_ms={} elapsed_ms={}",
            self.member.node,
            set.version,
            self.listing.len(),
            received.entries,
            received.bytes,
            received.fencing.as_millis(),
            received.fetching.as_millis(),
            received.importing.as_millis(),
            self.opened_at.elapsed().as_millis()
        );
    }

    /// Returns the name after which the export of `log` starts.
    fn name_before(&self, log: &str) -> String {
        let before = (Bound::Unbounded, Bound::Excluded(log));
        let previous = self.listing.range::<str, _>(before).next_back();
        previous.map_or_else(String::new, |(name, _)| name.clone())
    }

    /// Returns the request for a page of the wanted logs after `after`. Listed logs between them are
    /// named as known, because this node holds them in a version at least as new.
    fn page_request(
        &self,
        set: &ReplicaSet,
        wanted: &BTreeSet<&str>,
        after: &str,
        max_log_bytes: u64,
    ) -> ExportLogs {
        let last = wanted.last().copied().unwrap_or_default();
        let rest = (Bound::Excluded(after), Bound::Included(last));
        let listed = || self.listing.range::<str, _>(rest);
        let known = listed().filter(|(log, _)| !wanted.contains(log.as_str()));
        ExportLogs {
            replica_set_version: set.version,
            after: after.to_owned(),
            limit: listed().count() as u32,
            known: known.map(|(log, version)| version.to_known(log)).collect(),
            max_log_bytes,
        }
    }
}

impl LogCopier {
    /// Fences a replica, then lists its logs and stores its promises.
    pub(super) async fn open_source(
        &self,
        set: &ReplicaSet,
        member: ReplicaMember,
    ) -> Result<SourceReplica, (ReplicaMember, ReplicaError)> {
        let mut source = SourceReplica {
            is_near: self.is_near(&member),
            member,
            listing: Listing::new(),
            received: Received::default(),
            opened_at: Instant::now(),
        };
        match self.fence_and_list(set, &mut source).await {
            Ok(()) => Ok(source),
            Err(error) => Err((source.member, error)),
        }
    }

    async fn fence_and_list(
        &self,
        set: &ReplicaSet,
        source: &mut SourceReplica,
    ) -> Result<(), ReplicaError> {
        let SourceReplica {
            member,
            listing,
            received,
            ..
        } = source;
        timed(&mut received.fencing, self.call(member, fence(set).kind)).await?;
        // A replaced disk would list few logs, and all others would be copied from fewer replicas.
        self.check_disk(member).await?;
        let mut after = String::new();
        loop {
            let request = ExportLogs {
                replica_set_version: set.version,
                after,
                limit: DESCRIPTIONS_PER_PAGE,
                known: Vec::new(),
                max_log_bytes: DESCRIBED_LOG_BYTES,
            };
            let page = self.fetch_page(member, request, received).await?;
            let versions = page.logs.iter();
            let versions = versions.map(|log| (log.log.clone(), ContentVersion::from(log)));
            listing.extend(versions);
            let last = page.logs.last().map(|log| log.log.clone());
            let importing = self.storage.import_logs(set.version, page.logs);
            timed(&mut received.importing, importing).await?;
            match last {
                Some(last) if page.more => after = last,
                _ => return Ok(()),
            }
        }
    }

    /// Fetches the first page of wanted logs, which usually has all of them.
    pub(super) async fn fetch_wanted(
        &self,
        set: &ReplicaSet,
        wanted: &WantedLogs,
        source: &SourceReplica,
    ) -> Result<FetchedPage, ReplicaError> {
        let logs = wanted_names(wanted);
        let first = logs.first().copied().unwrap_or_default();
        let after = source.name_before(first);
        self.fetch_after(set, &logs, &after, source).await
    }

    /// Imports wanted logs, of which `page` is the first page.
    pub(super) async fn import_wanted(
        &self,
        set: &ReplicaSet,
        wanted: &WantedLogs,
        mut page: FetchedPage,
        source: &SourceReplica,
    ) -> Result<Received, ReplicaError> {
        let logs = wanted_names(wanted);
        let mut total = Received::default();
        loop {
            let FetchedPage { reply, received } = page;
            total.add(&received);
            let last = reply.logs.last().map(|log| log.log.clone());
            let has_more = reply.more;
            self.import_page(set, &source.member, reply, &mut total)
                .await?;
            match last {
                Some(last) if has_more && is_before(&last, &logs) => {
                    page = self.fetch_after(set, &logs, &last, source).await?;
                }
                _ => return Ok(total),
            }
        }
    }

    async fn fetch_after(
        &self,
        set: &ReplicaSet,
        wanted: &BTreeSet<&str>,
        after: &str,
        source: &SourceReplica,
    ) -> Result<FetchedPage, ReplicaError> {
        let mut received = Received::default();
        let request = source.page_request(set, wanted, after, WHOLE_LOG_BYTES);
        let fetching = self.fetch_page(&source.member, request, &mut received);
        let reply = fetching.await?;
        Ok(FetchedPage { reply, received })
    }

    async fn import_page(
        &self,
        set: &ReplicaSet,
        member: &ReplicaMember,
        page: ExportLogsReply,
        received: &mut Received,
    ) -> Result<(), ReplicaError> {
        let (long, short) = page.logs.into_iter().partition(|log| log.is_long);
        let importing = self.storage.import_logs(set.version, short);
        timed(&mut received.importing, importing).await?;
        for log in long {
            let name = log.log.clone();
            match self.copy_long_log(set, member, log, received).await {
                // The next listing has the new version.
                Err(ReplicaError::LogChanged(_)) => {
                    log::info!("event=copied_log_changed log={name} from={}", member.node);
                }
                copied => copied?,
            }
        }
        Ok(())
    }

    async fn fetch_page(
        &self,
        member: &ReplicaMember,
        request: ExportLogs,
        received: &mut Received,
    ) -> Result<ExportLogsReply, ReplicaError> {
        let fetching = self.call(member, RequestKind::export_logs(request));
        let ResponseKind::export_logs(page) = timed(&mut received.fetching, fetching).await? else {
            return Err(ReplicaError::UnexpectedResponse);
        };
        for log in &page.logs {
            received.count_entries(&log.entries);
        }
        Ok(page)
    }

    /// Copies a log that is too long for one message to this node.
    async fn copy_long_log(
        &self,
        set: &ReplicaSet,
        member: &ReplicaMember,
        exported: ExportedLog,
        received: &mut Received,
    ) -> Result<(), ReplicaError> {
        let storage = &self.storage;
        let mut log = LongLog::new(exported, member.replica_id);
        while let Some(request) = log.next_request(self.part_bytes) {
            let reading = self.call(member, RequestKind::read_log(request));
            let reply = timed(&mut received.fetching, reading).await?;
            let ResponseKind::read_log(reply) = reply else {
                return Err(ReplicaError::UnexpectedResponse);
            };
            let parts = log.stage(reply, set.version)?;
            received.count_parts(&parts);
            timed(&mut received.importing, storage.stage(parts)).await?;
        }
        let log = log.into_import();
        let importing = storage.import_logs(set.version, vec![log.clone()]);
        timed(&mut received.importing, importing).await?;
        super::copy::log_long_copy(&log, &member.node, &self.node);
        Ok(())
    }
}

fn wanted_names(wanted: &WantedLogs) -> BTreeSet<&str> {
    wanted.logs.iter().map(String::as_str).collect()
}

fn is_before(log: &str, wanted: &BTreeSet<&str>) -> bool {
    wanted.last().is_some_and(|last| log < *last)
}

/// Adds the time until `future` is ready to `total`.
async fn timed<T>(total: &mut Duration, future: impl Future<Output = T>) -> T {
    let started = Instant::now();
    let output = future.await;
    *total += started.elapsed();
    output
}

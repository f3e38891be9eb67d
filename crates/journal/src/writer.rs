//! Writer of one log.
//!
//! A take-over seals the log: a quorum of replicas promises to reject writers with lower epochs. The
//! new writer then installs the sealed entries at a quorum and appends to them.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, Weak};
use std::time::Duration;

use ladderstage::journal::WriterEpoch;
use ladderstage::journal::quorum::{self, ReplicaId};
use ladderstage::journal::writer::{LogWriterState, ReplicaWrite};
use ladderstage_clock::Instant;
use ladderstage_wire::messages::mod_Request::OneOfkind as RequestKind;
use ladderstage_wire::messages::mod_Response::OneOfkind as ResponseKind;
use ladderstage_wire::messages::mod_WriteReply::Outcome;
use ladderstage_wire::messages::{LogEntry, ReplicaMember, ReplicaSet};
use tokio::sync::watch;

use super::JournalError;
use super::calls::{ReplicaCalls, ReplicaFailure, describe_failure, transfer_timeout};
use super::registry::WriterRegistry;

/// Number of failed writes to one replica after which the task that writes to it ends; the next append starts a new
/// task.
const MAX_FAILURES: u32 = 3;

/// Range of the random pause before a retry, in milliseconds.
const RETRY_PAUSE_MS: std::ops::Range<u64> = 20..60;

/// Writer of one log; a writer with a higher epoch fences it, so that its appends are rejected.
///
/// One task per replica sends the entries that this replica lacks, so that a slow replica does not
/// delay the others.
pub struct LogWriter {
    shared: Arc<WriterShared>,
    registry: Arc<WriterRegistry>,
    /// Number of the last entries, which an append with unknown outcome added, and whether it closes the
    /// log.
    pending_append: Option<(usize, bool)>,
}

impl std::fmt::Debug for LogWriter {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            "LogWriter({} {:?})",
            self.shared.log, self.shared.epoch
        )
    }
}

/// State that the writer shares with its tasks and the heartbeat.
pub(crate) struct WriterShared {
    pub log: String,
    pub epoch: WriterEpoch,
    pub(super) calls: Arc<ReplicaCalls>,
    pub(super) set: ReplicaSet,
    progress: Mutex<Progress>,
    changed: watch::Sender<()>,
}

pub(super) struct Progress {
    pub(super) state: LogWriterState,
    /// Replicas whose task runs, including tasks that pause before a retry.
    running_tasks: BTreeSet<ReplicaId>,
    last_failure: String,
    /// Highest epoch for which a replica refused this writer.
    highest_refusal: WriterEpoch,
    /// True if a replica knows a newer set than the one under which this writer took the log over.
    is_set_stale: bool,
}

impl LogWriter {
    /// Creates a writer of a sealed log. Its first write to each replica installs the log.
    pub(crate) fn new(
        state: LogWriterState,
        set: &ReplicaSet,
        calls: Arc<ReplicaCalls>,
        registry: Arc<WriterRegistry>,
    ) -> Self {
        let shared = Arc::new(WriterShared {
            log: state.identity().log.clone(),
            epoch: state.identity().epoch,
            set: set.clone(),
            calls,
            progress: Mutex::new(Progress {
                state,
                running_tasks: BTreeSet::new(),
                last_failure: "no response before the timeout".to_owned(),
                highest_refusal: WriterEpoch::default(),
                is_set_stale: false,
            }),
            changed: watch::Sender::new(()),
        });
        Self {
            shared,
            registry,
            pending_append: None,
        }
    }

    /// Installs the sealed log; returns once a quorum holds it.
    pub(crate) async fn install(&self) -> Result<(), JournalError> {
        self.shared.replicate().await
    }

    /// Adds the writer to those that heartbeats name.
    pub(crate) fn start_heartbeats(&self) {
        self.registry.insert(&self.shared);
    }

    /// Returns all entries of the log, including those found at the take-over.
    pub fn entries(&self) -> Vec<LogEntry> {
        self.shared.lock().state.entries().to_vec()
    }

    /// Returns the number of entries of the log.
    pub fn length(&self) -> usize {
        self.shared.lock().state.entries().len()
    }

    /// Passes the entry at `index` to `read`; returns `None` if there is none.
    pub fn with_entry<T>(&self, index: usize, read: impl FnOnce(&LogEntry) -> T) -> Option<T> {
        let progress = self.shared.lock();
        progress.state.entries().get(index).map(read)
    }

    /// Passes the last `count` entries of the log to `read`.
    pub fn with_last_entries<T>(&self, count: usize, read: impl FnOnce(&[LogEntry]) -> T) -> T {
        let progress = self.shared.lock();
        let entries = progress.state.entries();
        read(&entries[entries.len().saturating_sub(count)..])
    }

    /// Returns the name of the log.
    pub fn log(&self) -> &str {
        &self.shared.log
    }

    /// Returns the writer's epoch.
    pub fn epoch(&self) -> WriterEpoch {
        self.shared.epoch
    }

    /// Returns whether no quorum accepts appends of this writer any more.
    pub fn is_fenced(&self) -> bool {
        self.shared.lock().state.is_fenced()
    }

    /// Returns the highest epoch for which a replica refused this writer; the default if none did.
    pub(crate) fn highest_refusal(&self) -> WriterEpoch {
        self.shared.lock().highest_refusal
    }

    /// Appends entries; returns `Ok` once a quorum holds them. `closes` closes the log: no entries
    /// can follow.
    ///
    /// # Errors
    ///
    /// - `Fenced`: another writer has taken the log over. Drop this writer. Appends that did not
    ///   return `Ok` may still be in the log.
    /// - `NoQuorum`: the entries may be stored at some replicas and keep their position in the log.
    ///   Either call `append` again with the same arguments (or [`LogWriter::retry`]) until it
    ///   returns `Ok`, or drop the writer; the next writer may or may not find the entries.
    /// - `StaleReplicaSet`: like `NoQuorum`, but a retry cannot succeed. Take the log over again.
    /// - `Unresolved`: the outcome of an earlier append with other arguments is unknown; nothing
    ///   was done.
    pub async fn append(
        &mut self,
        entries: Vec<LogEntry>,
        closes: bool,
    ) -> Result<(), JournalError> {
        match self.pending_append {
            Some((count, pending_closes)) => {
                let is_same = self.with_last_entries(count, |pending| *pending == *entries);
                if !is_same || pending_closes != closes {
                    return Err(JournalError::AppendPending);
                }
            }
            None => {
                self.pending_append = Some((entries.len(), closes));
                self.shared.lock().state.add(entries, closes);
            }
        }
        self.retry().await
    }

    /// Retries an append that ended with `NoQuorum`; returns `Ok` immediately if there is none.
    ///
    /// # Errors
    ///
    /// Same as for [`LogWriter::append`].
    pub async fn retry(&mut self) -> Result<(), JournalError> {
        if self.pending_append.is_some() {
            self.shared.replicate().await?;
            self.pending_append = None;
        }
        Ok(())
    }

    /// Checks, without writing, that no other writer had taken the log over when this call started.
    /// After `Ok`, the entries were current at that time.
    ///
    /// # Errors
    ///
    /// `Fenced` and `StaleReplicaSet` as for [`LogWriter::append`]; `NoQuorum` if too few replicas
    /// responded.
    pub async fn confirm_ownership(&self) -> Result<(), JournalError> {
        self.shared.confirm_ownership().await
    }
}

impl Drop for LogWriter {
    fn drop(&mut self) {
        self.registry.remove(&self.shared);
    }
}

impl WriterShared {
    /// Records that `replica` reported a higher epoch for the log. Returns whether a quorum has
    /// become impossible.
    pub fn on_fenced(&self, replica: ReplicaId) -> bool {
        let mut progress = self.lock();
        progress.state.on_fenced(replica);
        let is_fenced = progress.state.is_fenced();
        drop(progress);
        self.changed.send_replace(());
        is_fenced
    }

    /// Sends to each replica the entries that it lacks. Returns when a quorum holds all entries, a
    /// quorum has become impossible, or the timeout expires.
    async fn replicate(self: &Arc<Self>) -> Result<(), JournalError> {
        let started = Instant::now();
        let changed = self.changed.subscribe();
        let write_timeout = self.calls.write_timeout();
        let timeout = transfer_timeout(write_timeout, self.outstanding_bytes());
        for member in quorum::members(&self.set) {
            self.start_task(member);
        }
        let waited = tokio::time::timeout(timeout, self.wait_for_result(changed)).await;
        let result = waited
            .unwrap_or_else(|_| Err(JournalError::NoQuorum(self.lock().last_failure.clone())));
        let elapsed = started.elapsed();
        self.calls.metrics.record_round(&result, elapsed);
        self.calls
            .record_write_round(&result, write_timeout, elapsed);
        result
    }

    /// Returns the size of the entries that the replicas lack.
    fn outstanding_bytes(&self) -> usize {
        let progress = self.lock();
        let replicas = quorum::members(&self.set).into_iter();
        replicas
            .map(|member| progress.state.outstanding_bytes(member.replica_id))
            .sum()
    }

    async fn wait_for_result(&self, mut changed: watch::Receiver<()>) -> Result<(), JournalError> {
        loop {
            changed.mark_unchanged();
            if let Some(result) = self.result() {
                return result;
            }
            if changed.changed().await.is_err() {
                return Err(JournalError::NoQuorum("the writer was dropped".to_owned()));
            }
        }
    }

    /// Returns the result of the current install or append, or `None` while it is undecided.
    fn result(&self) -> Option<Result<(), JournalError>> {
        let progress = self.lock();
        if progress.state.is_committed() {
            Some(Ok(()))
        } else if progress.is_set_stale || self.knows_newer_set() {
            Some(Err(JournalError::StaleReplicaSet))
        } else if progress.state.is_fenced() {
            Some(Err(JournalError::Fenced))
        } else if progress.state.cannot_commit_with(&progress.running_tasks) {
            let failure = progress.last_failure.clone();
            Some(Err(JournalError::NoQuorum(failure)))
        } else {
            None
        }
    }

    /// Returns whether this node knows a newer set than the one under which the log was taken over. A
    /// replica that holds all entries is sent nothing more, and one that is gone refuses nothing, so
    /// that no refusal tells of the newer set.
    fn knows_newer_set(&self) -> bool {
        self.calls.service.replica_sets.version() > self.set.version
    }

    fn start_task(self: &Arc<Self>, member: ReplicaMember) {
        if self.lock().running_tasks.insert(member.replica_id) {
            tokio::spawn(Arc::clone(self).write_to(member));
        }
    }

    /// Sends entries to one replica until it holds all of them, rejects the writer, or has failed
    /// [`MAX_FAILURES`] times.
    async fn write_to(self: Arc<Self>, member: ReplicaMember) {
        let mut failures = 0;
        while let Some(write) = self.next_write(&member, failures < MAX_FAILURES) {
            let request = request_of(&write);
            let bytes = self.lock().state.payload_bytes(&write);
            let timeout = transfer_timeout(self.calls.write_timeout(), bytes);
            let result = self.calls.call_within(&member, request, timeout).await;
            if !self.record_result(&member, &write, result) {
                failures += 1;
                let pause = rand::random_range(RETRY_PAUSE_MS);
                tokio::time::sleep(Duration::from_millis(pause)).await;
            }
        }
    }

    /// Returns the next write for the replica. If there is none, marks the task as ended under the
    /// same lock, so that a concurrent append starts a new task.
    fn next_write(&self, member: &ReplicaMember, may_retry: bool) -> Option<ReplicaWrite> {
        let mut progress = self.lock();
        let write = progress.state.next_write(member.replica_id);
        let write = write.filter(|_| may_retry);
        if write.is_none() {
            progress.running_tasks.remove(&member.replica_id);
            drop(progress);
            self.changed.send_replace(());
        }
        write
    }

    /// Records the result of a write. Returns false if the write must be retried after a pause.
    fn record_result(
        &self,
        member: &ReplicaMember,
        write: &ReplicaWrite,
        result: Result<ResponseKind, ReplicaFailure>,
    ) -> bool {
        let mut progress = self.lock();
        let settled = match result {
            Ok(ResponseKind::write(reply)) => {
                progress.state.on_reply(member.replica_id, write, &reply);
                if reply.outcome == Outcome::FENCED {
                    let promised = WriterEpoch::from(&reply.promised);
                    progress.highest_refusal = progress.highest_refusal.max(promised);
                }
                if reply.replica_id != member.replica_id {
                    progress.last_failure =
                        format!("{}: the node's disk was replaced", member.node);
                }
                let is_final = matches!(reply.outcome, Outcome::STORED | Outcome::FENCED);
                is_final && reply.replica_id == member.replica_id
            }
            Ok(_) => {
                progress.last_failure = format!("{}: unexpected response kind", member.node);
                false
            }
            Err(failure) => {
                progress.last_failure = describe_failure(member, &failure);
                match failure {
                    ReplicaFailure::UnknownRequest => {
                        progress.state.on_unknown_request(member.replica_id, write);
                    }
                    ReplicaFailure::Unavailable(_) => {
                        progress.state.on_unreachable(member.replica_id);
                    }
                    ReplicaFailure::StaleReplicaSet => {}
                }
                let is_stale = failure == ReplicaFailure::StaleReplicaSet;
                if is_stale {
                    progress.is_set_stale = true;
                    // Ends the writes to this replica; `is_set_stale` determines the result.
                    progress.state.on_fenced(member.replica_id);
                }
                is_stale
            }
        };
        drop(progress);
        self.changed.send_replace(());
        settled
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Progress> {
        let guard = self.progress.lock();
        guard.unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// Reference to a writer that may have been dropped.
pub(crate) type WeakWriter = Weak<WriterShared>;

/// Wraps a write. Those that refer to stored or staged entries have kinds of their own, which replicas
/// of earlier versions refuse: they would take the message for the complete log.
fn request_of(write: &ReplicaWrite) -> RequestKind {
    match write {
        ReplicaWrite::Install(install) if install.staged_length > 0 => {
            RequestKind::install_staged(install.clone())
        }
        ReplicaWrite::Install(install) if install.kept_length > 0 => {
            RequestKind::install_rest(install.clone())
        }
        ReplicaWrite::Install(install) => RequestKind::install(install.clone()),
        ReplicaWrite::Append(append) if append.staged_length > 0 => {
            RequestKind::append_staged(append.clone())
        }
        ReplicaWrite::Append(append) => RequestKind::append(append.clone()),
        ReplicaWrite::Stage(stage) => RequestKind::stage_entries(stage.clone()),
    }
}

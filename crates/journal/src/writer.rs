//! A writer's handle on one log.

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
use super::calls::{ReplicaCalls, ReplicaFailure, describe, transfer_timeout};
use super::registry::OwnedLogs;

/// Tries at one replica before its task ends; the next append starts another.
const ATTEMPTS: u32 = 3;

/// Pause before another try in milliseconds, jittered.
const RETRY_PAUSE_MS: std::ops::Range<u64> = 20..60;

/// The right to append to one log until a higher epoch fences it.
///
/// One task per replica sends what that replica lacks, so a slow one holds nobody up and is brought up to date by
/// the same means as one that answers `NEEDS_INSTALL`.
pub struct LogWriter {
    shared: Arc<WriterShared>,
    owned: Arc<OwnedLogs>,
    /// Entries of an append that ended without a quorum, and whether it closes the log.
    unresolved: Option<(Vec<LogEntry>, bool)>,
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

/// What the writer shares with its tasks and the heartbeat.
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
    /// Replicas that a task is writing to.
    sending: BTreeSet<ReplicaId>,
    last_failure: String,
    /// A replica knows a newer set than the one that this writer took the log under.
    is_set_stale: bool,
}

impl LogWriter {
    /// Installs the log that sealing found; the writer exists once a quorum holds it.
    pub(crate) async fn install(
        state: LogWriterState,
        set: &ReplicaSet,
        calls: Arc<ReplicaCalls>,
        owned: Arc<OwnedLogs>,
    ) -> Result<Self, JournalError> {
        let shared = Arc::new(WriterShared {
            log: state.identity().log.clone(),
            epoch: state.identity().epoch,
            set: set.clone(),
            calls,
            progress: Mutex::new(Progress {
                state,
                sending: BTreeSet::new(),
                last_failure: "no answer in time".to_owned(),
                is_set_stale: false,
            }),
            changed: watch::Sender::new(()),
        });
        shared.replicate().await?;
        owned.insert(&shared);
        Ok(Self {
            shared,
            owned,
            unresolved: None,
        })
    }

    /// The whole log; right after the take-over these are the entries that were found.
    pub fn entries(&self) -> Vec<LogEntry> {
        self.shared.lock().state.entries().to_vec()
    }

    /// Name of the log.
    pub fn log(&self) -> &str {
        &self.shared.log
    }

    /// The writer's epoch.
    pub fn epoch(&self) -> WriterEpoch {
        self.shared.epoch
    }

    /// Appends entries; `Ok` only once a majority holds them. `closes` marks the log finished.
    ///
    /// # Errors
    ///
    /// - `Fenced`: another writer has the log. Forget it; entries of appends that did not return `Ok` may or may
    ///   not be in it.
    /// - `NoQuorum`: the entries may be stored at some replicas. They keep their place in the log: either call
    ///   `append` again with the same arguments (or [`LogWriter::retry`]) until it returns `Ok`, or drop the writer,
    ///   after which the next one to take over finds them or not.
    /// - `StaleReplicaSet`: as for `NoQuorum`, but trying again is of no use: take the log over again. What this
    ///   append left behind is found then or not.
    /// - `Unresolved`: other entries were passed while an append is still unresolved; nothing was done.
    pub async fn append(
        &mut self,
        entries: Vec<LogEntry>,
        closes: bool,
    ) -> Result<(), JournalError> {
        match &self.unresolved {
            Some(unresolved) if *unresolved != (entries.clone(), closes) => {
                return Err(JournalError::Unresolved);
            }
            Some(_) => {}
            None => {
                self.shared.lock().state.add(entries.clone(), closes);
                self.unresolved = Some((entries, closes));
            }
        }
        self.retry().await
    }

    /// Tries again to store what an append without a quorum left behind; `Ok` at once if there is nothing.
    ///
    /// # Errors
    ///
    /// As for [`LogWriter::append`].
    pub async fn retry(&mut self) -> Result<(), JournalError> {
        if self.unresolved.is_some() {
            self.shared.replicate().await?;
            self.unresolved = None;
        }
        Ok(())
    }

    /// Checks without writing that no other writer has taken the log: whatever was decided on the entries before
    /// this returned `Ok` was decided by the log's only writer.
    ///
    /// # Errors
    ///
    /// `Fenced` and `StaleReplicaSet` as for [`LogWriter::append`]; `NoQuorum`: nothing is known.
    pub async fn confirm_ownership(&self) -> Result<(), JournalError> {
        self.shared.confirm_ownership().await
    }
}

impl Drop for LogWriter {
    fn drop(&mut self) {
        self.owned.remove(&self.shared);
    }
}

impl WriterShared {
    /// Notes a replica that said in its heartbeat answer that a higher epoch has the log. Returns whether that
    /// leaves no quorum.
    pub fn on_fenced(&self, replica: ReplicaId) -> bool {
        let mut progress = self.lock();
        progress.state.on_fenced(replica);
        let is_fenced = progress.state.is_fenced();
        drop(progress);
        self.changed.send_replace(());
        is_fenced
    }

    /// Sends to every replica what it lacks; returns as soon as a quorum holds everything or none is left, and
    /// after the time of one journal round at the latest.
    async fn replicate(self: &Arc<Self>) -> Result<(), JournalError> {
        let started = Instant::now();
        let changed = self.changed.subscribe();
        let timeout = self.round_timeout();
        for member in quorum::members(&self.set) {
            self.start_task(member);
        }
        let decided = tokio::time::timeout(timeout, self.decided(changed)).await;
        let result = decided
            .unwrap_or_else(|_| Err(JournalError::NoQuorum(self.lock().last_failure.clone())));
        self.calls.metrics.note_round(&result, started.elapsed());
        result
    }

    /// Time for all replicas to be sent what they lack.
    fn round_timeout(&self) -> Duration {
        let progress = self.lock();
        let replicas = quorum::members(&self.set).into_iter();
        let writes = replicas.filter_map(|member| progress.state.next_write(member.replica_id));
        let bytes = writes.map(|write| payload_bytes(&write)).sum();
        transfer_timeout(self.calls.timeout, bytes)
    }

    async fn decided(&self, mut changed: watch::Receiver<()>) -> Result<(), JournalError> {
        loop {
            changed.mark_unchanged();
            if let Some(result) = self.result() {
                return result;
            }
            if changed.changed().await.is_err() {
                return Err(JournalError::NoQuorum("writer is gone".to_owned()));
            }
        }
    }

    fn result(&self) -> Option<Result<(), JournalError>> {
        let progress = self.lock();
        if progress.state.is_committed() {
            Some(Ok(()))
        } else if progress.is_set_stale {
            Some(Err(JournalError::StaleReplicaSet))
        } else if progress.state.is_fenced() {
            Some(Err(JournalError::Fenced))
        } else if progress.state.is_stuck_without(&progress.sending) {
            let failure = progress.last_failure.clone();
            Some(Err(JournalError::NoQuorum(failure)))
        } else {
            None
        }
    }

    fn start_task(self: &Arc<Self>, member: ReplicaMember) {
        if self.lock().sending.insert(member.replica_id) {
            tokio::spawn(Arc::clone(self).write_to(member));
        }
    }

    /// Sends to one replica until it holds everything, refuses for good, or has failed several times.
    async fn write_to(self: Arc<Self>, member: ReplicaMember) {
        let mut failures = 0;
        while let Some(write) = self.next_write(&member, failures < ATTEMPTS) {
            let request = request_of(&write);
            let timeout = transfer_timeout(self.calls.timeout, payload_bytes(&write));
            let result = self.calls.call_within(&member, request, timeout).await;
            if !self.record(&member, &write, result) {
                failures += 1;
                let pause = rand::random_range(RETRY_PAUSE_MS);
                tokio::time::sleep(Duration::from_millis(pause)).await;
            }
        }
    }

    /// Ends the task in the same step as finding nothing to do, so that no append is missed in between.
    fn next_write(&self, member: &ReplicaMember, goes_on: bool) -> Option<ReplicaWrite> {
        let mut progress = self.lock();
        let write = progress.state.next_write(member.replica_id);
        let write = write.filter(|_| goes_on);
        if write.is_none() {
            progress.sending.remove(&member.replica_id);
            drop(progress);
            self.changed.send_replace(());
        }
        write
    }

    /// Returns whether the replica made progress or refused for good.
    fn record(
        &self,
        member: &ReplicaMember,
        write: &ReplicaWrite,
        result: Result<ResponseKind, ReplicaFailure>,
    ) -> bool {
        let mut progress = self.lock();
        let advanced = match result {
            Ok(ResponseKind::write(reply)) => {
                progress.state.on_reply(member.replica_id, write, &reply);
                if reply.replica_id != member.replica_id {
                    progress.last_failure = format!("{} has another disk", member.node);
                }
                let is_final = matches!(reply.outcome, Outcome::STORED | Outcome::FENCED);
                is_final && reply.replica_id == member.replica_id
            }
            Ok(_) => {
                progress.last_failure = format!("{}: not an answer to a write", member.node);
                false
            }
            Err(failure) => {
                progress.last_failure = describe(member, &failure);
                if failure == ReplicaFailure::NotUnderstood {
                    progress.state.on_whole_log_needed(member.replica_id);
                }
                let is_stale = failure == ReplicaFailure::StaleReplicaSet;
                if is_stale {
                    progress.is_set_stale = true;
                    progress.state.on_fenced(member.replica_id);
                }
                is_stale
            }
        };
        drop(progress);
        self.changed.send_replace(());
        advanced
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Progress> {
        let guard = self.progress.lock();
        guard.unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// A writer that may be gone.
pub(crate) type WeakWriter = Weak<WriterShared>;

fn payload_bytes(write: &ReplicaWrite) -> usize {
    let entries = match write {
        ReplicaWrite::Install(install) => &install.entries,
        ReplicaWrite::Append(append) => &append.entries,
    };
    entries.iter().map(|entry| entry.payload.len()).sum()
}

fn request_of(write: &ReplicaWrite) -> RequestKind {
    match write {
        ReplicaWrite::Install(install) if install.kept_length > 0 => {
            RequestKind::install_rest(install.clone())
        }
        ReplicaWrite::Install(install) => RequestKind::install(install.clone()),
        ReplicaWrite::Append(append) => RequestKind::append(append.clone()),
    }
}

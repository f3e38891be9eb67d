//! The replicated journal: named logs, each written by one owner and stored on a set of replicas.
//!
//! Contains the replica service, quorum calls for writers and readers, and replica set changes.
//!
//! The protocol's state machines are in the `ladderstage` crate; this crate connects them to disks,
//! network calls and timers.

#![warn(missing_docs)]

mod calls;
mod confirmation;
mod handlers;
mod heartbeat;
mod hooks;
pub mod jitter;
mod log_reader;
mod metrics;
mod options;
mod orphaned;
mod peers;
mod registry;
mod replica;
pub mod replica_set;
mod take_over;
mod writer;

use std::sync::{Arc, Mutex};

use ladderstage::ids::ProcessId;
use ladderstage::journal::read::{LogListing, LogRead};
use ladderstage::journal::writer::{SealProgress, SealedLog, Sealing, WriterIdentity};
use ladderstage::journal::{EpochSource, WriteTimeout, WriterEpoch, quorum};
use ladderstage_storage::Storage;
use ladderstage_wire::messages::mod_Request::OneOfkind as RequestKind;
use ladderstage_wire::messages::mod_Response::OneOfkind as ResponseKind;
use ladderstage_wire::messages::{
    DescribeLogs, LogDescription, LogEntry, OwnerHeartbeat, ReadLogReply, ReplicaMember, ReplicaSet,
};

use rand::seq::SliceRandom;

use crate::replica_set::ReplicaSets;
use calls::{ReplicaCalls, RoundStep};
use heartbeat::Heartbeats;
use hooks::HookSlot;
use log_reader::{LogChanged, LogParts, ReadError, reply_bytes};
use orphaned::OrphanMonitor;
use registry::WriterRegistry;
use replica::ReplicaService;

pub use hooks::JournalHooks;
pub use metrics::JournalMetrics;
pub use options::{InitialReplicas, JournalOptions};
pub use peers::Peers;
pub use take_over::TakeOver;
pub use writer::LogWriter;

/// Number of epochs that one take-over tries. The first is often too low, as the log's current epoch
/// is learned only from the replies.
const SEAL_ATTEMPTS: u32 = 3;

/// Number of attempts to read a log that a writer takes over meanwhile.
const READ_ATTEMPTS: u32 = 3;

/// Error of a journal operation.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum JournalError {
    /// A writer with a higher epoch has taken the log over; this writer must be dropped.
    #[error("fenced by a higher epoch")]
    Fenced,
    /// No quorum responded before the timeout; the outcome of a write is unknown.
    #[error("no majority of replicas responded: {0}")]
    NoQuorum(String),
    /// The replica set has changed since this writer took the log over, which must be repeated. The
    /// outcome of a write is unknown.
    #[error("the replica set was changed")]
    StaleReplicaSet,
    /// The log's retention after closing has passed. Only its first entry is kept and it accepts no
    /// writer.
    #[error("the log is retired")]
    Retired,
    /// The outcome of an earlier append of this writer is unknown; that append must be retried
    /// first.
    #[error("the outcome of an earlier append is unknown")]
    AppendPending,
    /// The entries of the log were not admitted; see [`Journal::take_over_writer`].
    #[error("no memory for the log")]
    NotAdmitted,
}

/// Reason why a replica set is not whole.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SetIncomplete {
    /// This node knows no set.
    #[error("no replica set is known")]
    Unknown,
    /// A member is replaced, added or removed.
    #[error("replica set {version} is being changed")]
    Changing {
        /// Version of the set.
        version: u64,
    },
    /// A member does not answer, has lost its disk, or knows another set.
    #[error("replica {node} is missing or knows another set")]
    Missing {
        /// Node of the member.
        node: String,
    },
}

/// Content of a log as read from a quorum.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LogSnapshot {
    /// Entries of the log; the last ones may not be committed. Only the first entry if the log is
    /// retired.
    pub entries: Vec<LogEntry>,
    /// True if the log is retired: only its first entry is kept.
    pub retired: bool,
}

/// Result of one attempt to read a log without fencing its writer.
enum NewestRead {
    /// The newest version known to a quorum; `None` if it does not know the log.
    Complete(Option<LogSnapshot>),
    /// The replica with the newest version did not return all of it, for this reason.
    Interrupted(String),
}

/// Handle to the journal. Cheap to clone; its tasks end when the last clone is dropped.
#[derive(Clone)]
pub struct Journal {
    inner: Arc<Inner>,
}

struct Inner {
    node: String,
    epochs: Mutex<EpochSource>,
    calls: Arc<ReplicaCalls>,
    registry: Arc<WriterRegistry>,
    hooks: HookSlot,
    /// The tasks hold weak references and end once these are dropped.
    _heartbeats: Arc<Heartbeats>,
    _monitor: Arc<OrphanMonitor>,
}

impl std::fmt::Debug for Journal {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "Journal({})", self.inner.node)
    }
}

impl Journal {
    /// Starts the journal on this node, which reaches the other nodes through `peers`. With
    /// `storage` this node can be a replica. Must be called within a tokio runtime.
    pub fn start_with(
        options: impl Into<JournalOptions>,
        process: ProcessId,
        peers: Arc<dyn Peers>,
        storage: Option<Storage>,
        replica_sets: ReplicaSets,
    ) -> Self {
        let options = options.into();
        let hooks = HookSlot::default();
        let metrics = JournalMetrics::new(replica_sets.incomplete_seconds());
        let calls = Arc::new(ReplicaCalls {
            service: Arc::new(ReplicaService::new(storage, replica_sets, hooks.clone())),
            peers,
            timeout: options.round_timeout,
            part_bytes: options.part_bytes,
            write_timeout: Mutex::new(WriteTimeout::new(options.round_timeout)),
            majority_heard_at: Mutex::default(),
            metrics,
        });
        let registry = Arc::new(WriterRegistry::new(options.monitored_prefix));
        let heartbeats = Arc::new(Heartbeats {
            node: options.node.clone(),
            process,
            calls: Arc::clone(&calls),
            registry: Arc::clone(&registry),
            hooks: hooks.clone(),
        });
        let owner_timeout = options.owner_timeout;
        let monitor = Arc::new(OrphanMonitor {
            node: options.node.clone(),
            calls: Arc::clone(&calls),
            hooks: hooks.clone(),
            owner_timeout,
            monitored_prefix: options.monitored_prefix,
        });
        let interval = options.owner_heartbeat_interval;
        tokio::spawn(heartbeat::run(Arc::downgrade(&heartbeats), interval));
        tokio::spawn(orphaned::run(Arc::downgrade(&monitor), owner_timeout));
        tokio::spawn(orphaned::run_sweeps(Arc::downgrade(&monitor)));
        let inner = Inner {
            node: options.node.clone(),
            epochs: Mutex::new(EpochSource::new(process)),
            calls,
            registry,
            hooks,
            _heartbeats: heartbeats,
            _monitor: monitor,
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Returns the metrics of this node's writers.
    pub fn metrics(&self) -> &JournalMetrics {
        &self.inner.calls.metrics
    }

    /// Sets the callbacks for evidence, fenced logs and orphaned logs. Later calls have no effect.
    pub fn set_hooks(&self, hooks: Arc<dyn JournalHooks>) {
        self.inner.hooks.set(hooks);
    }

    /// Takes a log over: seals it at a quorum with a new epoch, then reads it and installs it
    /// there. Returns a writer, which may append, and the entries committed so far. Retries only
    /// after an epoch that was too low; the caller must back off with jitter. For monitored logs
    /// heartbeats are sent until the writer is dropped.
    ///
    /// # Errors
    ///
    /// `Fenced` if other writers keep raising the epoch, `Retired`, `StaleReplicaSet` or
    /// `NoQuorum`.
    pub async fn take_over(&self, log: &str) -> Result<(LogWriter, Vec<LogEntry>), JournalError> {
        let writer = self.take_over_writer(log, None, |_| true).await?;
        let entries = writer.entries();
        Ok((writer, entries))
    }

    /// As [`Journal::take_over`], but only if no writer has taken the log over since the one with
    /// the epoch `last`. Prevents a node with outdated information from fencing the log's new
    /// writer.
    ///
    /// # Errors
    ///
    /// As for [`Journal::take_over`]; `Fenced` if another writer has taken the log over.
    pub async fn take_over_from(
        &self,
        log: &str,
        last: WriterEpoch,
    ) -> Result<(LogWriter, Vec<LogEntry>), JournalError> {
        let writer = self.take_over_writer(log, Some(last), |_| true).await?;
        let entries = writer.entries();
        Ok((writer, entries))
    }

    /// Starts a takeover like [`Journal::take_over_from`] whose attempts the caller repeats while too
    /// few replicas answer.
    pub fn start_take_over(&self, log: &str, last: WriterEpoch) -> TakeOver {
        TakeOver::new(self.clone(), log, last)
    }

    /// As [`Journal::take_over`], or with `last` as [`Journal::take_over_from`], without a copy of the
    /// entries, which [`LogWriter::with_entry`] returns. Logs may be long: `admit` is given the number of
    /// bytes of each further part, and ends the takeover by returning false.
    ///
    /// # Errors
    ///
    /// As for these, and `NotAdmitted`.
    pub async fn take_over_writer(
        &self,
        log: &str,
        last: Option<WriterEpoch>,
        mut admit: impl FnMut(usize) -> bool + Send,
    ) -> Result<LogWriter, JournalError> {
        last.into_iter().for_each(|epoch| self.observe(epoch));
        for _ in 0..SEAL_ATTEMPTS {
            let set = self.inner.calls.replica_set()?;
            let epoch = self.next_epoch()?;
            let Some(sealed) = self.seal(log, &set, epoch, last).await? else {
                continue;
            };
            let _take_over = self.inner.registry.insert_take_over(log, epoch);
            let writer = self.writer_of(log, &set, sealed, &mut admit).await?;
            writer.install().await?;
            writer.start_heartbeats();
            return Ok(writer);
        }
        Err(JournalError::Fenced)
    }

    /// Reads a sealed log and returns its writer, which has not installed the log yet.
    async fn writer_of(
        &self,
        log: &str,
        set: &ReplicaSet,
        sealed: SealedLog,
        admit: &mut (impl FnMut(usize) -> bool + Send),
    ) -> Result<LogWriter, JournalError> {
        let entries = self.read_sealed(log, set, &sealed, admit).await?;
        let part_bytes = self.inner.calls.part_bytes;
        let state = sealed.into_writer(entries).with_part_bytes(part_bytes);
        let calls = Arc::clone(&self.inner.calls);
        let registry = Arc::clone(&self.inner.registry);
        Ok(LogWriter::new(state, set, calls, registry))
    }

    /// Reads a log from a quorum without fencing its writer. `None` if a quorum does not know
    /// the log. The last entries may not be committed yet.
    ///
    /// # Errors
    ///
    /// `NoQuorum` if no quorum responded.
    pub async fn read(&self, log: &str) -> Result<Option<Vec<LogEntry>>, JournalError> {
        let snapshot = self.read_snapshot(log).await?;
        Ok(snapshot.map(|snapshot| snapshot.entries))
    }

    /// Like [`Journal::read`], but also returns whether the log is retired.
    ///
    /// # Errors
    ///
    /// `NoQuorum` if no quorum responded.
    pub async fn read_snapshot(&self, log: &str) -> Result<Option<LogSnapshot>, JournalError> {
        let mut last_failure = String::new();
        for _ in 0..READ_ATTEMPTS {
            match self.read_newest(log).await? {
                NewestRead::Complete(snapshot) => return Ok(snapshot),
                NewestRead::Interrupted(failure) => last_failure = failure,
            }
        }
        Err(JournalError::NoQuorum(last_failure))
    }

    /// Tries once to read a log: the first parts from a quorum, the others from a replica with the newest
    /// version.
    async fn read_newest(&self, log: &str) -> Result<NewestRead, JournalError> {
        let calls = &self.inner.calls;
        let set = calls.replica_set()?;
        let mut read = LogRead::new(ReplicaCalls::quorum(&set));
        let request = RequestKind::read_log(log_reader::first_request(log, calls.part_bytes));
        calls
            .round(&set, &request, |answer| match answer {
                ResponseKind::read_log(reply) => RoundStep::finish_if(read.on_reply(reply)),
                _ => RoundStep::Continue,
            })
            .await?;
        let Some(newest) = read.into_newest() else {
            return Ok(NewestRead::Complete(None));
        };
        let retired = newest.retired;
        let members = quorum::members(&set);
        let source = members
            .iter()
            .find(|member| member.replica_id == newest.replica_id);
        let Some(source) = source else {
            let failure = "the replica has left the set".to_owned();
            return Ok(NewestRead::Interrupted(failure));
        };
        let entries = match LogParts::new(newest) {
            Ok(parts) => calls.read_rest(source, log, parts, |_| Ok(())).await,
            Err(error) => Err(error.into()),
        };
        Ok(match entries {
            Ok(entries) => NewestRead::Complete(Some(LogSnapshot { entries, retired })),
            Err(error) => NewestRead::Interrupted(error.describe(source)),
        })
    }

    /// Returns the newest description, as known by a quorum, of each log whose name starts with
    /// `prefix`.
    ///
    /// # Errors
    ///
    /// `NoQuorum` if no quorum responded.
    pub async fn describe(&self, prefix: &str) -> Result<Vec<LogDescription>, JournalError> {
        Ok(self.list(prefix).await?.into_logs())
    }

    /// Returns a description of a log for each writer that one of a quorum of replicas has promised
    /// it to, newest first; empty if they do not know the log. Unless a later writer has taken the
    /// log over meanwhile, its owner is among them.
    ///
    /// # Errors
    ///
    /// `NoQuorum` if no quorum responded.
    pub async fn describe_writers(&self, log: &str) -> Result<Vec<LogDescription>, JournalError> {
        let writers = self.list(log).await?.into_writers(log);
        // A writer of this node with a lower epoch would not reach the replicas with these promises.
        let newest = writers.first().map(|newest| &newest.promised);
        self.observe(newest.map(WriterEpoch::from).unwrap_or_default());
        Ok(writers)
    }

    async fn list(&self, prefix: &str) -> Result<LogListing, JournalError> {
        let calls = &self.inner.calls;
        let set = calls.replica_set()?;
        let mut listing = LogListing::new(ReplicaCalls::quorum(&set));
        let request = RequestKind::describe_logs(DescribeLogs {
            prefix: prefix.to_owned(),
        });
        calls
            .round(&set, &request, |answer| match answer {
                ResponseKind::describe_logs(reply) => RoundStep::finish_if(listing.on_reply(reply)),
                _ => RoundStep::Continue,
            })
            .await?;
        Ok(listing)
    }

    /// Raises the epoch of this node's next writer above the promises for which replicas have
    /// refused `writer`. A takeover with a lower epoch would be refused by them again.
    pub fn observe_refusals(&self, writer: &LogWriter) {
        self.observe(writer.highest_refusal());
    }

    /// Checks that the replica set is whole: no change is in progress, and all members answer with their
    /// disks and know no newer set. Only then can it lose as many further replicas as it tolerates.
    ///
    /// # Errors
    ///
    /// Says what is missing.
    pub async fn check_set_is_whole(&self) -> Result<(), SetIncomplete> {
        let calls = &self.inner.calls;
        let set = calls.service.replica_sets.current();
        let set = set.ok_or(SetIncomplete::Unknown)?;
        if !set.next.is_empty() {
            return Err(SetIncomplete::Changing {
                version: set.version,
            });
        }
        // An empty heartbeat asks for the replica's id and the version of its set.
        let request = RequestKind::owner_heartbeat(OwnerHeartbeat::default());
        let answers = set.current.iter().map(|member| {
            let request = request.clone();
            async move { (member, calls.call(member, request).await) }
        });
        for (member, answer) in futures_util::future::join_all(answers).await {
            let is_member = matches!(
                answer,
                Ok(ResponseKind::owner_heartbeat(reply))
                    if reply.replica_id == member.replica_id
                        && reply.replica_set_version == set.version
            );
            if !is_member {
                return Err(SetIncomplete::Missing {
                    node: member.node.clone(),
                });
            }
        }
        Ok(())
    }

    fn service(&self) -> &ReplicaService {
        &self.inner.calls.service
    }

    /// Tries once to seal the log with `epoch`; `None` if it was too low.
    async fn seal(
        &self,
        log: &str,
        set: &ReplicaSet,
        epoch: WriterEpoch,
        last_promised: Option<WriterEpoch>,
    ) -> Result<Option<SealedLog>, JournalError> {
        let identity = WriterIdentity {
            log: log.to_owned(),
            epoch,
            node: self.inner.node.clone(),
            last_promised,
        };
        let mut sealing = Sealing::new(identity, ReplicaCalls::quorum(set));
        let request = RequestKind::seal(sealing.request());
        let calls = &self.inner.calls;
        let result = calls
            .write_round(set, &request, |answer| match answer {
                ResponseKind::seal(reply) => match sealing.on_reply(&reply) {
                    SealProgress::Waiting => RoundStep::Continue,
                    SealProgress::Sealed => RoundStep::Finish(true),
                    SealProgress::Fenced(_) => RoundStep::Finish(false),
                },
                _ => RoundStep::Continue,
            })
            .await;
        let highest = sealing.highest_promised();
        self.observe(highest);
        let is_superseded = last_promised.is_some_and(|last| highest > last);
        match result {
            Ok(true) => {}
            // Also if the answers of all replicas are split between this writer and another one.
            Ok(false) | Err(JournalError::NoQuorum(_)) if is_superseded => {
                return Err(JournalError::Fenced);
            }
            Ok(false) => return Ok(None),
            Err(error) => return Err(error),
        }
        if sealing.is_retired() {
            return Err(JournalError::Retired);
        }
        Ok(Some(sealing.into_sealed()))
    }

    /// Reads a sealed log from the first replica that returns all of it, in random order.
    async fn read_sealed(
        &self,
        log: &str,
        set: &ReplicaSet,
        sealed: &SealedLog,
        admit: &mut (impl FnMut(usize) -> bool + Send),
    ) -> Result<Vec<LogEntry>, JournalError> {
        if sealed.is_empty() {
            return Ok(Vec::new());
        }
        let sources = sealed.sources();
        let mut members = quorum::members(set);
        members.retain(|member| sources.contains(&member.replica_id));
        members.shuffle(&mut rand::rng());
        let mut failures = Vec::new();
        for member in &members {
            match self.read_sealed_from(member, log, sealed, admit).await {
                Ok(entries) => return Ok(entries),
                Err(ReadError::NotAdmitted) => return Err(JournalError::NotAdmitted),
                Err(error) => failures.push(error.describe(member)),
            }
        }
        Err(JournalError::NoQuorum(failures.join("; ")))
    }

    async fn read_sealed_from(
        &self,
        member: &ReplicaMember,
        log: &str,
        sealed: &SealedLog,
        admit: &mut (impl FnMut(usize) -> bool + Send),
    ) -> Result<Vec<LogEntry>, ReadError> {
        let calls = &self.inner.calls;
        let request = log_reader::first_request(log, calls.part_bytes);
        let first = calls.read_parts(member, request).await?;
        if !sealed.is_newest(&first) {
            return Err(LogChanged.into());
        }
        if !admit(reply_bytes(&first)) {
            return Err(ReadError::NotAdmitted);
        }
        let parts = LogParts::new(first)?;
        let check = |reply: &ReadLogReply| {
            if !sealed.is_newest(reply) {
                Err(LogChanged.into())
            } else if !admit(reply_bytes(reply)) {
                Err(ReadError::NotAdmitted)
            } else {
                Ok(())
            }
        };
        calls.read_rest(member, log, parts, check).await
    }

    fn next_epoch(&self) -> Result<WriterEpoch, JournalError> {
        let epoch = self.lock_epochs().next_epoch();
        epoch.ok_or(JournalError::Fenced)
    }

    fn observe(&self, epoch: WriterEpoch) {
        self.lock_epochs().observe(epoch);
    }

    fn lock_epochs(&self) -> std::sync::MutexGuard<'_, EpochSource> {
        let guard = self.inner.epochs.lock();
        guard.unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

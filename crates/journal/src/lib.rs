//! The replicated journal: the replica's side, quorum calls for writers and readers, and changes of the replica set.
//!
//! The rules are state machines of the `ladderstage` crate; this crate joins them with disks, calls and timers.

#![warn(missing_docs)]

mod calls;
mod confirmation;
mod handlers;
mod heartbeat;
mod hooks;
pub mod jitter;
mod metrics;
mod options;
mod peers;
mod registry;
mod replica;
pub mod replica_set;
mod orphaned;
mod writer;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use ladderstage::ids::ProcessId;
use ladderstage::journal::read::{LogRead, LogSurvey};
use ladderstage::journal::writer::{SealProgress, SealedLog, Sealing, WriterIdentity};
use ladderstage::journal::{EpochSource, WriterEpoch, quorum};
use ladderstage_storage::Storage;
use ladderstage_wire::messages::mod_Request::OneOfkind as RequestKind;
use ladderstage_wire::messages::mod_Response::OneOfkind as ResponseKind;
use ladderstage_wire::messages::{DescribeLogs, LogDescription, LogEntry, ReadLog, ReplicaSet};

use rand::seq::SliceRandom;

use crate::replica_set::ReplicaSets;
use calls::{ReplicaCalls, Round};
use heartbeat::Heartbeats;
use hooks::HookSlot;
use registry::OwnedLogs;
use replica::ReplicaService;
use orphaned::OrphanMonitor;

pub use hooks::JournalHooks;
pub use metrics::JournalMetrics;
pub use options::{InitialReplicas, JournalOptions};
pub use peers::Peers;
pub use writer::LogWriter;

/// Epochs that one take-over tries; the first is often too low, as this process has not seen the log's yet.
const SEAL_ATTEMPTS: u32 = 3;

/// Longest wait for a sealed log, which may be long, from one replica.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a journal operation did not succeed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum JournalError {
    /// A writer with a higher epoch has taken the log; this one must forget it.
    #[error("fenced by a higher epoch")]
    Fenced,
    /// No majority answered in time; whether the write took effect is unknown.
    #[error("no majority of replicas answered: {0}")]
    NoQuorum(String),
    /// The replica set was changed since this writer took the log: take the log over again. Whether a write took
    /// effect is unknown.
    #[error("the replica set was changed")]
    StaleReplicaSet,
    /// The log was closed long ago and only its first entry is kept; it takes no writer any more.
    #[error("the log is retired")]
    Retired,
    /// An earlier append of this writer ended without a majority and must be retried first.
    #[error("an earlier append is unresolved")]
    Unresolved,
}

/// A log as read from a majority.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LogSnapshot {
    /// Its entries, of which the last ones may not be committed; of a retired log the first one only.
    pub entries: Vec<LogEntry>,
    /// It was closed long ago and only its first entry is kept.
    pub retired: bool,
}

/// Access to the journal. Cheap to clone; its tasks end when the last clone is dropped.
#[derive(Clone)]
pub struct Journal {
    inner: Arc<Inner>,
}

struct Inner {
    node: String,
    epochs: Mutex<EpochSource>,
    calls: Arc<ReplicaCalls>,
    owned: Arc<OwnedLogs>,
    hooks: HookSlot,
    /// The tasks hold these weakly and end with them.
    _heartbeats: Arc<Heartbeats>,
    _watch: Arc<OrphanMonitor>,
}

impl std::fmt::Debug for Journal {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "Journal({})", self.inner.node)
    }
}

impl Journal {
    /// Starts the journal at this node, over any way to reach the other nodes; with `storage` it is a replica.
    /// Call within a tokio runtime.
    pub fn start_with(
        options: impl Into<JournalOptions>,
        process: ProcessId,
        peers: Arc<dyn Peers>,
        storage: Option<Storage>,
        replica_sets: ReplicaSets,
    ) -> Self {
        let options = options.into();
        let hooks = HookSlot::default();
        let calls = Arc::new(ReplicaCalls {
            service: Arc::new(ReplicaService::new(storage, replica_sets, hooks.clone())),
            peers,
            timeout: options.round_timeout,
            metrics: JournalMetrics::new(),
        });
        let owned = Arc::new(OwnedLogs::new(options.monitored_prefix));
        let heartbeats = Arc::new(Heartbeats {
            node: options.node.clone(),
            process,
            calls: Arc::clone(&calls),
            owned: Arc::clone(&owned),
            hooks: hooks.clone(),
        });
        let owner_timeout = options.owner_timeout;
        let watch = Arc::new(OrphanMonitor {
            node: options.node.clone(),
            calls: Arc::clone(&calls),
            hooks: hooks.clone(),
            owner_timeout,
            monitored_prefix: options.monitored_prefix,
        });
        let interval = options.owner_heartbeat_interval;
        tokio::spawn(heartbeat::run(Arc::downgrade(&heartbeats), interval));
        tokio::spawn(orphaned::run(Arc::downgrade(&watch), owner_timeout));
        tokio::spawn(orphaned::run_sweeps(Arc::downgrade(&watch)));
        let inner = Inner {
            node: options.node.clone(),
            epochs: Mutex::new(EpochSource::new(process)),
            calls,
            owned,
            hooks,
            _heartbeats: heartbeats,
            _watch: watch,
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Counters of this node's writers.
    pub fn metrics(&self) -> &JournalMetrics {
        &self.inner.calls.metrics
    }

    /// Names who is told about evidence, fenced and untended logs. Only the first call counts.
    pub fn set_hooks(&self, hooks: Arc<dyn JournalHooks>) {
        self.inner.hooks.set(hooks);
    }

    /// Seals a majority with a new epoch, reads the log and installs it there; the writer may then append.
    /// Returns the entries committed so far. Retries nothing but epochs that were too low; the caller backs off
    /// with jitter. Tended logs are heartbeated until the writer is dropped.
    ///
    /// # Errors
    ///
    /// `Fenced` when another writer keeps raising the epoch, `Retired`, or `NoQuorum`.
    pub async fn take_over(&self, log: &str) -> Result<(LogWriter, Vec<LogEntry>), JournalError> {
        for _ in 0..SEAL_ATTEMPTS {
            let set = self.inner.calls.replica_set()?;
            let Some(sealed) = self.seal(log, &set).await? else {
                continue;
            };
            let entries = self.read_sealed(log, &set, &sealed).await?;
            let state = sealed.into_writer(entries);
            let calls = Arc::clone(&self.inner.calls);
            let owned = Arc::clone(&self.inner.owned);
            let writer = LogWriter::install(state, &set, calls, owned).await?;
            let entries = writer.entries();
            return Ok((writer, entries));
        }
        Err(JournalError::Fenced)
    }

    /// Reads a log from a majority without fencing its writer; `None`: a majority knows no such log.
    /// Entries that are not yet committed may be among those returned.
    pub async fn read(&self, log: &str) -> Result<Option<Vec<LogEntry>>, JournalError> {
        let snapshot = self.read_snapshot(log).await?;
        Ok(snapshot.map(|snapshot| snapshot.entries))
    }

    /// As [`Journal::read`], telling also whether the log is retired.
    pub async fn read_snapshot(&self, log: &str) -> Result<Option<LogSnapshot>, JournalError> {
        let calls = &self.inner.calls;
        let set = calls.replica_set()?;
        let mut read = LogRead::new(ReplicaCalls::quorum(&set));
        let request = RequestKind::read_log(ReadLog {
            log: log.to_owned(),
        });
        calls
            .round(&set, &request, |answer| match answer {
                ResponseKind::read_log(reply) => Round::finish_if(read.on_reply(reply)),
                _ => Round::Continue,
            })
            .await?;
        Ok(read.into_newest().map(|newest| LogSnapshot {
            entries: newest.entries,
            retired: newest.retired,
        }))
    }

    /// Logs whose names start with `prefix`, as known by a majority (the newest description of each).
    pub async fn describe(&self, prefix: &str) -> Result<Vec<LogDescription>, JournalError> {
        let calls = &self.inner.calls;
        let set = calls.replica_set()?;
        let mut survey = LogSurvey::new(ReplicaCalls::quorum(&set));
        let request = RequestKind::describe_logs(DescribeLogs {
            prefix: prefix.to_owned(),
        });
        calls
            .round(&set, &request, |answer| match answer {
                ResponseKind::describe_logs(reply) => Round::finish_if(survey.on_reply(reply)),
                _ => Round::Continue,
            })
            .await?;
        Ok(survey.into_logs())
    }

    fn service(&self) -> &ReplicaService {
        &self.inner.calls.service
    }

    /// One try at sealing; `None` when the epoch was too low.
    async fn seal(&self, log: &str, set: &ReplicaSet) -> Result<Option<SealedLog>, JournalError> {
        let identity = WriterIdentity {
            log: log.to_owned(),
            epoch: self.next_epoch()?,
            node: self.inner.node.clone(),
        };
        let mut sealing = Sealing::new(identity, ReplicaCalls::quorum(set));
        let request = RequestKind::seal(sealing.request());
        let calls = &self.inner.calls;
        let result = calls
            .round(set, &request, |answer| match answer {
                ResponseKind::seal(reply) => match sealing.on_reply(&reply) {
                    SealProgress::Waiting => Round::Continue,
                    SealProgress::Sealed => Round::Finish(true),
                    SealProgress::Fenced(_) => Round::Finish(false),
                },
                _ => Round::Continue,
            })
            .await;
        self.observe(sealing.highest_promised());
        if !result? {
            return Ok(None);
        }
        if sealing.is_retired() {
            return Err(JournalError::Retired);
        }
        Ok(Some(sealing.into_sealed()))
    }

    /// Reads a sealed log at the first of its holders that answers.
    async fn read_sealed(
        &self,
        log: &str,
        set: &ReplicaSet,
        sealed: &SealedLog,
    ) -> Result<Vec<LogEntry>, JournalError> {
        if sealed.is_empty() {
            return Ok(Vec::new());
        }
        let calls = &self.inner.calls;
        let sources = sealed.sources();
        let mut members = quorum::members(set);
        members.retain(|member| sources.contains(&member.replica_id));
        members.shuffle(&mut rand::rng());
        let mut failures = Vec::new();
        for member in &members {
            let request = RequestKind::read_log(ReadLog {
                log: log.to_owned(),
            });
            match calls.call_within(member, request, READ_TIMEOUT).await {
                Ok(ResponseKind::read_log(reply)) if sealed.is_newest(&reply) => {
                    return Ok(reply.entries);
                }
                Ok(_) => failures.push(format!("{}: another log than was sealed", member.node)),
                Err(failure) => failures.push(calls::describe(member, &failure)),
            }
        }
        Err(JournalError::NoQuorum(failures.join("; ")))
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

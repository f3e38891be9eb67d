//! The replica service: handles journal requests with this node's data folder.

#![expect(
    clippy::disallowed_methods,
    reason = "an owner's silence must not include time in which this machine was suspended"
)]

use std::collections::HashSet;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use ladderstage::ids::ProcessId;
use ladderstage::journal::RunningTime;
use ladderstage::journal::heartbeat::HeartbeatTable;
use ladderstage_storage::{OpenLog, Storage, StorageError};
use ladderstage_wire::messages::mod_Refused::Reason;
use ladderstage_wire::messages::mod_Request::OneOfkind as RequestKind;
use ladderstage_wire::messages::mod_Response::OneOfkind as ResponseKind;
use ladderstage_wire::messages::mod_WriteReply::Outcome;
use ladderstage_wire::messages::{
    Append, DescribeLogs, Done, ExportLogs, FenceReplicaSet, ImportLogs, Install, OwnerHeartbeat,
    OwnerHeartbeatReply, ReadLog, Refused, Response, Seal, StageEntries,
};

use super::hooks::HookSlot;
use crate::replica_set::ReplicaSets;

/// Maximum length of a log name, in bytes.
const MAX_LOG_NAME_BYTES: usize = 1024;

/// Maximum number of logs in one export response.
const MAX_EXPORTED_LOGS: u32 = 256;

/// Fraction of the owner timeout after which the log of a process that has exited counts as
/// orphaned. It covers one and a half heartbeat intervals, as the membership information may lag.
const EXITED_OWNER_TIMEOUT_FRACTION: f64 = 0.4;

/// Detail of refusals by a node that is no replica.
const NO_DATA_FOLDER: &str = "this node has no data folder";

/// Handler of journal requests; a node without a data folder refuses them.
pub(crate) struct ReplicaService {
    pub storage: Option<Storage>,
    pub replica_sets: ReplicaSets,
    pub hooks: HookSlot,
    heartbeats: Mutex<HeartbeatTable>,
    started_at: Instant,
    running_time: Mutex<RunningTime>,
}

/// Activity of a log's writer that was recorded before its write was stored.
struct RecordedActivity {
    log: String,
    at: Duration,
    /// Time of the activity before.
    before: Option<Duration>,
}

impl ReplicaService {
    pub fn new(storage: Option<Storage>, replica_sets: ReplicaSets, hooks: HookSlot) -> Self {
        Self {
            storage,
            replica_sets,
            hooks,
            heartbeats: Mutex::default(),
            started_at: Instant::now(),
            running_time: Mutex::default(),
        }
    }

    /// Records that this process runs, so that the time counts as silence of silent owners. After
    /// a standstill of more than `owner_timeout` all owners get a full timeout.
    pub fn tick(&self, owner_timeout: Duration) {
        let now = self.started_at.elapsed();
        let since_last_tick = self.lock_running_time().tick(now);
        if since_last_tick > owner_timeout {
            let standstill_ms = since_last_tick.as_millis();
            log::info!("event=replica_stood_still elapsed_ms={standstill_ms}");
            self.lock_heartbeats().clear();
        }
    }

    /// Handles any journal request; refuses other requests as malformed.
    pub async fn answer(&self, request: RequestKind) -> Response {
        match request {
            RequestKind::seal(request) => self.seal(request).await,
            RequestKind::install(request)
            | RequestKind::install_rest(request)
            | RequestKind::install_staged(request) => self.install(request).await,
            RequestKind::append(request) | RequestKind::append_staged(request) => {
                self.append(request).await
            }
            RequestKind::stage_entries(request) => self.stage(request).await,
            RequestKind::read_log(request) => self.read_log(request).await,
            RequestKind::describe_logs(request) => self.describe_logs(&request),
            RequestKind::owner_heartbeat(request) => self.owner_heartbeat(&request),
            RequestKind::export_logs(request) => self.export_logs(request).await,
            RequestKind::import_logs(request) | RequestKind::import_staged(request) => {
                self.import_logs(request).await
            }
            RequestKind::fence_replica_set(request) => self.fence_replica_set(request).await,
            _ => refused(Reason::MALFORMED, "not a journal request"),
        }
    }

    pub async fn seal(&self, request: Seal) -> Response {
        let storage = match self.storage_for(&request.log) {
            Ok(storage) => storage,
            Err(refusal) => return response(ResponseKind::refused(refusal)),
        };
        let activity = self.record_activity(&request.log);
        let result = storage.seal(request).await;
        if !result.as_ref().is_ok_and(|reply| reply.accepted) {
            self.undo_activity(&activity);
        }
        respond(result, ResponseKind::seal)
    }

    pub async fn install(&self, request: Install) -> Response {
        let storage = match self.storage_for(&request.log) {
            Ok(storage) => storage,
            Err(refusal) => return response(ResponseKind::refused(refusal)),
        };
        let activity = self.record_activity(&request.log);
        let result = storage.install(request).await;
        if !result
            .as_ref()
            .is_ok_and(|reply| reply.outcome == Outcome::STORED)
        {
            self.undo_activity(&activity);
        }
        respond(result, ResponseKind::write)
    }

    pub async fn append(&self, request: Append) -> Response {
        let storage = match self.storage_for(&request.log) {
            Ok(storage) => storage,
            Err(refusal) => return response(ResponseKind::refused(refusal)),
        };
        let result = storage.append(request).await;
        respond(result, ResponseKind::write)
    }

    /// Stores parts of entries. They are no sign of the log's owner, as copies are staged as well.
    pub async fn stage(&self, request: StageEntries) -> Response {
        let storage = match self.storage_for(&request.log) {
            Ok(storage) => storage,
            Err(refusal) => return response(ResponseKind::refused(refusal)),
        };
        respond(storage.stage(request).await, ResponseKind::write)
    }

    pub async fn read_log(&self, request: ReadLog) -> Response {
        let storage = match self.storage_for(&request.log) {
            Ok(storage) => storage,
            Err(refusal) => return response(ResponseKind::refused(refusal)),
        };
        let result = storage.read_log_parts(request).await;
        respond(result, ResponseKind::read_log)
    }

    pub fn describe_logs(&self, request: &DescribeLogs) -> Response {
        let Some(storage) = &self.storage else {
            return not_a_replica();
        };
        let mut described = storage.describe_logs(&request.prefix);
        let now = self.now();
        let heartbeats = self.lock_heartbeats();
        for log in &mut described.logs {
            // As for orphaned logs, one that is seen for the first time counts as active now. The
            // activity of a closed log is not recorded.
            let is_monitored = log.length > 0 && !log.closed;
            let first_seen = is_monitored.then_some(Duration::ZERO);
            let silence = heartbeats.silence(&log.log, now).or(first_seen);
            log.owner_silence_ms = silence.map_or(0, silence_ms);
        }
        drop(heartbeats);
        response(ResponseKind::describe_logs(described))
    }

    pub fn owner_heartbeat(&self, request: &OwnerHeartbeat) -> Response {
        let Some(storage) = &self.storage else {
            return not_a_replica();
        };
        let Some(evidence) = self.hooks.own_evidence(storage.bundle_revision()) else {
            return refused(Reason::NOT_READY, "starting");
        };
        let now = self.now();
        let mut heartbeats = self.lock_heartbeats();
        let fenced_logs = request
            .logs
            .iter()
            .filter(|owned| heartbeats.record(owned, storage.log_state(&owned.log).as_ref(), now))
            .map(|owned| owned.log.clone())
            .collect();
        drop(heartbeats);
        response(ResponseKind::owner_heartbeat(OwnerHeartbeatReply {
            replica_id: storage.replica_id(),
            evidence: Some(evidence),
            replica_set_version: self.replica_sets.version(),
            fenced_logs,
            copied_set_version: self.replica_sets.copied_version(),
        }))
    }

    pub async fn export_logs(&self, request: ExportLogs) -> Response {
        let Some(storage) = &self.storage else {
            return not_a_replica();
        };
        let known = storage.replica_set().map_or(0, |set| set.version);
        if known < request.replica_set_version {
            return refused(Reason::NOT_READY, "not fenced for that replica set yet");
        }
        let limit = request.limit.clamp(1, MAX_EXPORTED_LOGS) as usize;
        let max_log_bytes = usize::try_from(request.max_log_bytes).unwrap_or(usize::MAX);
        let exporting =
            storage.export_unknown_logs(&request.after, limit, max_log_bytes, request.known);
        respond(exporting.await, ResponseKind::export_logs)
    }

    /// Stores logs sent by a replica that is leaving the set.
    pub async fn import_logs(&self, request: ImportLogs) -> Response {
        let Some(storage) = &self.storage else {
            return not_a_replica();
        };
        let result = storage
            .import_logs(request.replica_set_version, request.logs)
            .await;
        respond(result, |()| ResponseKind::done(Done {}))
    }

    /// Stores the given replica set durably, so that requests under older sets are rejected.
    pub async fn fence_replica_set(&self, request: FenceReplicaSet) -> Response {
        if self.storage.is_none() {
            return not_a_replica();
        }
        let Some(set) = request.replica_set else {
            return refused(Reason::MALFORMED, "fence request without a replica set");
        };
        let result = self.replica_sets.learn(set).await;
        respond(result.map(|_| Done {}), ResponseKind::done)
    }

    /// Returns the open logs whose names start with `prefix` and whose owner was silent for
    /// `timeout`. If `has_exited` returns true for the owner's process, a fraction of `timeout`
    /// suffices.
    pub fn orphaned(
        &self,
        prefix: &str,
        timeout: Duration,
        has_exited: impl Fn(ProcessId) -> bool,
    ) -> Vec<OpenLog> {
        let Some(storage) = &self.storage else {
            return Vec::new();
        };
        let mut open = storage.open_logs_with_owners(prefix);
        let timeouts = open.iter().map(|open| {
            let timeout = match has_exited(open.owner) {
                true => timeout.mul_f64(EXITED_OWNER_TIMEOUT_FRACTION),
                false => timeout,
            };
            (open.log.clone(), timeout)
        });
        let timeouts: Vec<_> = timeouts.collect();
        let now = self.now();
        let mut heartbeats = self.lock_heartbeats();
        let orphaned = heartbeats.orphaned_by_timeout(timeouts, now, timeout);
        drop(heartbeats);
        let orphaned: HashSet<String> = orphaned.into_iter().collect();
        open.retain(|open| orphaned.contains(&open.log));
        open
    }

    fn storage_for(&self, log: &str) -> Result<&Storage, Refused> {
        if log.is_empty() || log.len() > MAX_LOG_NAME_BYTES {
            return Err(refusal(Reason::MALFORMED, "log name is empty or too long"));
        }
        let no_storage = || refusal(Reason::NOT_A_REPLICA, NO_DATA_FOLDER);
        self.storage.as_ref().ok_or_else(no_storage)
    }

    /// Records a write before it is stored, so that a log is never seen with a new writer and the
    /// silence of the one before.
    fn record_activity(&self, log: &str) -> RecordedActivity {
        let at = self.now();
        RecordedActivity {
            log: log.to_owned(),
            at,
            before: self.lock_heartbeats().record_activity(log, at),
        }
    }

    /// Forgets a write that was refused, which is no sign of the owner.
    fn undo_activity(&self, activity: &RecordedActivity) {
        let RecordedActivity { log, at, before } = activity;
        self.lock_heartbeats().restore_activity(log, *at, *before);
    }

    /// Returns the time for which this process has run.
    fn now(&self) -> Duration {
        let now = self.started_at.elapsed();
        self.lock_running_time().at(now)
    }

    fn lock_running_time(&self) -> MutexGuard<'_, RunningTime> {
        let guard = self.running_time.lock();
        guard.unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn lock_heartbeats(&self) -> MutexGuard<'_, HeartbeatTable> {
        let guard = self.heartbeats.lock();
        guard.unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// Converts an owner's silence to the wire form, in which 0 stands for an unknown silence.
fn silence_ms(silence: Duration) -> u64 {
    u64::try_from(silence.as_millis())
        .unwrap_or(u64::MAX)
        .max(1)
}

fn respond<T>(result: Result<T, StorageError>, kind: impl FnOnce(T) -> ResponseKind) -> Response {
    match result {
        Ok(reply) => response(kind(reply)),
        Err(error) => refused(reason_of(&error), &error.to_string()),
    }
}

fn reason_of(error: &StorageError) -> Reason {
    match error {
        StorageError::Failed(_) | StorageError::PartsMissing { .. } => Reason::INTERNAL,
        StorageError::NoReplicaSet => Reason::NOT_READY,
        StorageError::NotAReplica { .. } => Reason::NOT_A_REPLICA,
        StorageError::StaleReplicaSet { .. } => Reason::STALE_REPLICA_SET,
    }
}

fn not_a_replica() -> Response {
    refused(Reason::NOT_A_REPLICA, NO_DATA_FOLDER)
}

fn response(kind: ResponseKind) -> Response {
    Response { kind }
}

pub(crate) fn refused(reason: Reason, detail: &str) -> Response {
    response(ResponseKind::refused(refusal(reason, detail)))
}

fn refusal(reason: Reason, detail: &str) -> Refused {
    Refused {
        reason,
        detail: detail.to_owned(),
        retry_after_ms: 0,
    }
}

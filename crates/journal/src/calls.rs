//! Calls to replicas, over the network or directly to this node's own data folder.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use futures_util::stream::{FuturesUnordered, StreamExt};
use ladderstage::journal::{Quorum, WriteTimeout, quorum};
use ladderstage_clock::Instant;
use ladderstage_transport::CallError;
use ladderstage_wire::messages::mod_Refused::Reason;
use ladderstage_wire::messages::mod_Request::OneOfkind as RequestKind;
use ladderstage_wire::messages::mod_Response::OneOfkind as ResponseKind;
use ladderstage_wire::messages::{Refused, ReplicaMember, ReplicaSet, Request};

use super::JournalError;
use super::metrics::JournalMetrics;
use super::peers::Peers;
use super::replica::ReplicaService;

/// Lowest throughput, in bytes per second, assumed when the timeout of a transfer is computed.
const MIN_BYTES_PER_SECOND: f64 = 1e6;

/// Reason why a call to a replica did not yield a usable response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ReplicaFailure {
    /// The replica knows a newer replica set and rejects requests under the older one.
    StaleReplicaSet,
    /// The replica runs an earlier version that does not know this request.
    UnknownRequest,
    /// The replica could not be reached, is not ready, or sent an unexpected response.
    Unavailable(String),
}

/// Client for the replicas of the current set.
pub(crate) struct ReplicaCalls {
    pub service: Arc<ReplicaService>,
    pub peers: Arc<dyn Peers>,
    /// Timeout of a round without writes.
    pub timeout: Duration,
    /// Maximum size of the entries in one message, in bytes.
    pub part_bytes: usize,
    pub write_timeout: Mutex<WriteTimeout>,
    /// Time of the last heartbeat that a majority of replicas answered.
    pub majority_heard_at: Mutex<Option<Instant>>,
    pub metrics: JournalMetrics,
}

/// Decision after each response in a round of calls.
pub(crate) enum RoundStep<T> {
    /// Wait for more responses.
    Continue,
    /// End the round with this result.
    Finish(T),
}

impl RoundStep<()> {
    /// Returns `Finish` if `is_enough`, otherwise `Continue`.
    pub fn finish_if(is_enough: bool) -> Self {
        if is_enough {
            Self::Finish(())
        } else {
            Self::Continue
        }
    }
}

impl ReplicaCalls {
    /// Returns the current replica set.
    ///
    /// # Errors
    ///
    /// `NoQuorum` if no replica set is known yet.
    pub fn replica_set(&self) -> Result<Arc<ReplicaSet>, JournalError> {
        let no_set = || JournalError::NoQuorum("no replica set is known yet".to_owned());
        self.service.replica_sets.current().ok_or_else(no_set)
    }

    /// Calls one replica by its node name. The caller must compare the replica id in the response
    /// with the member's, as the node's disk may have been replaced.
    pub async fn call(
        &self,
        member: &ReplicaMember,
        kind: RequestKind,
    ) -> Result<ResponseKind, ReplicaFailure> {
        self.call_within(member, kind, self.timeout).await
    }

    /// Like [`ReplicaCalls::call`], but with `timeout` instead of the timeout of a round.
    pub async fn call_within(
        &self,
        member: &ReplicaMember,
        kind: RequestKind,
        timeout: Duration,
    ) -> Result<ResponseKind, ReplicaFailure> {
        let result = if self.is_local(member) {
            Ok(self.service.answer(kind).await)
        } else {
            let request = Request { kind };
            self.peers.call(&member.node, request, timeout).await
        };
        match result {
            Ok(response) => match response.kind {
                ResponseKind::refused(refused) => Err(self.on_refusal(member, refused)),
                answer => Ok(answer),
            },
            Err(CallError::Refused(refused)) => Err(self.on_refusal(member, refused)),
            Err(error) => Err(ReplicaFailure::Unavailable(error.to_string())),
        }
    }

    /// Records that a majority of replicas answered a heartbeat sent at `sent_at`.
    pub fn record_majority(&self, sent_at: Instant) {
        let mut heard_at = lock(&self.majority_heard_at);
        *heard_at = (*heard_at).max(Some(sent_at));
    }

    /// Returns the timeout of a round in which the replicas write to their disks.
    pub fn write_timeout(&self) -> Duration {
        let heartbeat_age = lock(&self.majority_heard_at).map(|at| at.elapsed());
        lock(&self.write_timeout).next(heartbeat_age)
    }

    /// Records the outcome of a round with writes whose timeout was `timeout`.
    pub fn record_write_round<T>(
        &self,
        result: &Result<T, JournalError>,
        timeout: Duration,
        elapsed: Duration,
    ) {
        let mut write_timeout = lock(&self.write_timeout);
        let is_changed = match result {
            Ok(_) => write_timeout.record_success(elapsed),
            Err(JournalError::NoQuorum(_)) if elapsed >= timeout => {
                write_timeout.record_timeout(timeout)
            }
            Err(_) => false,
        };
        drop(write_timeout);
        if is_changed {
            let timeout_ms = self.write_timeout().as_millis();
            log::info!("event=write_timeout_changed timeout_ms={timeout_ms}");
        }
    }

    /// Sends `request` to all replicas of `set` concurrently and passes each response to
    /// `on_answer`. Ends when `on_answer` finishes, a quorum has become impossible, all replicas
    /// have responded, or the timeout expires.
    pub async fn round<T>(
        &self,
        set: &ReplicaSet,
        request: &RequestKind,
        on_answer: impl FnMut(ResponseKind) -> RoundStep<T>,
    ) -> Result<T, JournalError> {
        self.round_within(set, request, self.timeout, on_answer)
            .await
    }

    /// Like [`ReplicaCalls::round`], for a request that the replicas write to their disks.
    pub async fn write_round<T>(
        &self,
        set: &ReplicaSet,
        request: &RequestKind,
        on_answer: impl FnMut(ResponseKind) -> RoundStep<T>,
    ) -> Result<T, JournalError> {
        let started = Instant::now();
        let timeout = self.write_timeout();
        let result = self.round_within(set, request, timeout, on_answer).await;
        self.record_write_round(&result, timeout, started.elapsed());
        result
    }

    async fn round_within<T>(
        &self,
        set: &ReplicaSet,
        request: &RequestKind,
        timeout: Duration,
        mut on_answer: impl FnMut(ResponseKind) -> RoundStep<T>,
    ) -> Result<T, JournalError> {
        let members = quorum::members(set);
        let mut calls: FuturesUnordered<_> = members
            .iter()
            .map(|member| async move {
                let called = self.call_within(member, request.clone(), timeout);
                (member, called.await)
            })
            .collect();
        let quorum = Quorum::new(set);
        let mut failed = BTreeSet::new();
        let mut failures = Vec::new();
        let deadline = tokio::time::sleep(timeout);
        tokio::pin!(deadline);
        loop {
            let answered = tokio::select! {
                answered = calls.next() => answered,
                () = &mut deadline => None,
            };
            match answered {
                Some((_, Ok(answer))) => {
                    if let RoundStep::Finish(result) = on_answer(answer) {
                        return Ok(result);
                    }
                }
                Some((member, Err(failure))) => {
                    failures.push(describe_failure(member, &failure));
                    failed.insert(member.replica_id);
                    if quorum.is_blocked_by(&failed) {
                        return Err(no_quorum(&failures));
                    }
                }
                None => return Err(no_quorum(&failures)),
            }
        }
    }

    /// Returns the quorum rule of `set`.
    pub fn quorum(set: &ReplicaSet) -> Quorum {
        Quorum::new(set)
    }

    fn is_local(&self, member: &ReplicaMember) -> bool {
        let own_id = self
            .service
            .storage
            .as_ref()
            .map(|storage| storage.replica_id());
        own_id == Some(member.replica_id)
    }

    fn on_refusal(&self, member: &ReplicaMember, refused: Refused) -> ReplicaFailure {
        match refused.reason {
            Reason::STALE_REPLICA_SET => {
                let replica_sets = &self.service.replica_sets;
                replica_sets.fetch_in_background(Arc::clone(&self.peers), member.node.clone());
                ReplicaFailure::StaleReplicaSet
            }
            Reason::MALFORMED => ReplicaFailure::UnknownRequest,
            reason => ReplicaFailure::Unavailable(format!("{reason:?}: {}", refused.detail)),
        }
    }
}

/// Returns the timeout of a call that carries `bytes`: `timeout` plus the time to transfer them.
pub(crate) fn transfer_timeout(timeout: Duration, bytes: usize) -> Duration {
    timeout + Duration::from_secs_f64(bytes as f64 / MIN_BYTES_PER_SECOND)
}

/// Formats a failure of `member` for an error message.
pub(crate) fn describe_failure(member: &ReplicaMember, failure: &ReplicaFailure) -> String {
    match failure {
        ReplicaFailure::StaleReplicaSet => format!("{} has a newer replica set", member.node),
        ReplicaFailure::UnknownRequest => format!("{} does not know the request", member.node),
        ReplicaFailure::Unavailable(detail) => format!("{}: {detail}", member.node),
    }
}

fn no_quorum(failures: &[String]) -> JournalError {
    if failures.is_empty() {
        JournalError::NoQuorum("no response before the timeout".to_owned())
    } else {
        JournalError::NoQuorum(failures.join("; "))
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

//! Calls to replicas, over the network or directly to this node's own data folder.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use futures_util::stream::{FuturesUnordered, StreamExt};
use ladderstage::journal::{Quorum, quorum};
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
    pub timeout: Duration,
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

    /// Sends `request` to all replicas of `set` concurrently and passes each response to
    /// `on_answer`. Ends when `on_answer` finishes, a quorum has become impossible, all replicas
    /// have responded, or the timeout expires.
    pub async fn round<T>(
        &self,
        set: &ReplicaSet,
        request: &RequestKind,
        mut on_answer: impl FnMut(ResponseKind) -> RoundStep<T>,
    ) -> Result<T, JournalError> {
        let members = quorum::members(set);
        let mut calls: FuturesUnordered<_> = members
            .iter()
            .map(|member| async move { (member, self.call(member, request.clone()).await) })
            .collect();
        let quorum = Quorum::new(set);
        let mut failed = BTreeSet::new();
        let mut failures = Vec::new();
        let deadline = tokio::time::sleep(self.timeout);
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

//! Calls to replicas: over the network, or straight to this node's own data folder.

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

/// What a link between two nodes carries at least of one call's payload.
const LEAST_BYTES_PER_SECOND: f64 = 1e6;

/// Why a replica gave no answer that counts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ReplicaFailure {
    /// It knows a newer replica set; nothing under the older one is accepted there any more.
    StaleReplicaSet,
    /// It does not know such a request: an earlier version runs there.
    NotUnderstood,
    /// It was not reached, is not ready, or answered something else.
    Unavailable(String),
}

/// Reaches the replicas of the current set.
pub(crate) struct ReplicaCalls {
    pub service: Arc<ReplicaService>,
    pub peers: Arc<dyn Peers>,
    pub timeout: Duration,
    pub metrics: JournalMetrics,
}

/// What to do after one answer of a round.
pub(crate) enum Round<T> {
    /// Wait for more answers.
    Continue,
    /// Enough is known.
    Finish(T),
}

impl Round<()> {
    /// Finishes if enough is known.
    pub fn finish_if(is_enough: bool) -> Self {
        if is_enough {
            Self::Finish(())
        } else {
            Self::Continue
        }
    }
}

impl ReplicaCalls {
    /// The current replica set.
    pub fn replica_set(&self) -> Result<Arc<ReplicaSet>, JournalError> {
        let no_set = || JournalError::NoQuorum("no replica set is known yet".to_owned());
        self.service.replica_sets.current().ok_or_else(no_set)
    }

    /// Calls one replica. An answer is only taken from the node that the replica set names; whether the disk
    /// behind it is still the named one, the caller checks by the replica id in the answer.
    pub async fn call(
        &self,
        member: &ReplicaMember,
        kind: RequestKind,
    ) -> Result<ResponseKind, ReplicaFailure> {
        self.call_within(member, kind, self.timeout).await
    }

    /// As [`ReplicaCalls::call`], with `timeout` in the place of the time of a round.
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

    /// Asks every replica of `set` at once and feeds the answers to `on_answer` until it has enough, no quorum is
    /// left, all have answered, or the time is over.
    pub async fn round<T>(
        &self,
        set: &ReplicaSet,
        request: &RequestKind,
        mut on_answer: impl FnMut(ResponseKind) -> Round<T>,
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
                    if let Round::Finish(result) = on_answer(answer) {
                        return Ok(result);
                    }
                }
                Some((member, Err(failure))) => {
                    failures.push(describe(member, &failure));
                    failed.insert(member.replica_id);
                    if quorum.is_blocked_by(&failed) {
                        return Err(no_quorum(&failures));
                    }
                }
                None => return Err(no_quorum(&failures)),
            }
        }
    }

    /// The quorums of `set`.
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
            Reason::MALFORMED => ReplicaFailure::NotUnderstood,
            reason => ReplicaFailure::Unavailable(format!("{reason:?}: {}", refused.detail)),
        }
    }
}

/// Time for a call that carries `bytes`, given the time of one that carries few.
pub(crate) fn transfer_timeout(timeout: Duration, bytes: usize) -> Duration {
    timeout + Duration::from_secs_f64(bytes as f64 / LEAST_BYTES_PER_SECOND)
}

pub(crate) fn describe(member: &ReplicaMember, failure: &ReplicaFailure) -> String {
    match failure {
        ReplicaFailure::StaleReplicaSet => format!("{} has a newer replica set", member.node),
        ReplicaFailure::NotUnderstood => format!("{} does not know the request", member.node),
        ReplicaFailure::Unavailable(detail) => format!("{}: {detail}", member.node),
    }
}

fn no_quorum(failures: &[String]) -> JournalError {
    if failures.is_empty() {
        JournalError::NoQuorum("no answer in time".to_owned())
    } else {
        JournalError::NoQuorum(failures.join("; "))
    }
}

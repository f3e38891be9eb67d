//! Finds the owner of a job and sends requests to it.

use std::sync::Arc;
use std::time::Duration;

use ladderstage::journal::WriterEpoch;
use ladderstage::routing::rendezvous_first;
use ladderstage_clock::Instant;
use ladderstage_journal::Peers;
use ladderstage_transport::CallError;
use ladderstage_wire::messages::mod_Refused::Reason;
use ladderstage_wire::messages::mod_Request::OneOfkind as RequestKind;
use ladderstage_wire::messages::mod_Response::OneOfkind as ResponseKind;
use ladderstage_wire::messages::{ReadJob, Request};

use super::local_job::Job;
use super::lock::lock;
use super::log_name;
use super::reading::{JobError, unavailable};
use super::recorded_owners::{RecordedOwner, RecordedOwners};
use super::registry::{JobRegistry, TakeOverError};
use crate::program::OWNER_TIMEOUT;

/// Timeout of a call to another node, in addition to the wait that the request specifies.
pub(super) const PEER_TIMEOUT: Duration = Duration::from_millis(700);

/// Maximum number of owners that one request is sent to while the job changes hands.
const MAX_OWNERS_TRIED: usize = 4;

/// Location of a job.
enum Location {
    /// This node owns the job.
    Local(Arc<Job>),
    /// A node that owned the job according to this node's cache; the job may have moved since.
    Cached(String),
    /// The owners that a majority of replicas has just described.
    Recorded(RecordedOwners),
}

/// Owner of a job: this node, which then handles the request itself, or a remote one with its
/// answer.
pub(super) enum JobOwner {
    /// This node owns the job.
    Local(Arc<Job>),
    /// Answer of the remote owner.
    Answer(ResponseKind),
}

/// Reason why a node gave no answer about a job.
#[derive(Debug)]
pub(super) enum NodeCallError {
    /// The node answered that it does not own the job.
    NotOwner,
    /// The node answered that it is becoming the owner or cannot confirm its ownership.
    NotReady(JobError),
    /// The node has left or this node has not seen its record yet.
    Absent(JobError),
    /// The request could not be sent.
    NotSent(JobError),
    /// The node may own the job but did not answer.
    Unavailable(JobError),
}

impl JobRegistry {
    /// Sends a request to the owner of a job. Becomes the owner if the node that the journal names
    /// does not own the job or is gone.
    pub(super) async fn call_owner(
        &self,
        id: &str,
        request: &RequestKind,
        wait: Duration,
    ) -> Result<JobOwner, JobError> {
        for _ in 0..MAX_OWNERS_TRIED {
            let owners = match self.locate(id).await? {
                Location::Local(job) => return Ok(JobOwner::Local(job)),
                Location::Cached(node) => {
                    match self.call_node(id, &node, request.clone(), wait).await {
                        Ok(answer) => return Ok(JobOwner::Answer(answer)),
                        Err(NodeCallError::Unavailable(error) | NodeCallError::NotReady(error)) => {
                            return Err(error);
                        }
                        // The cached owner has been removed, so the next iteration queries the
                        // journal.
                        Err(_) => continue,
                    }
                }
                Location::Recorded(owners) => owners,
            };
            match self.call_recorded(id, &owners, request, wait).await {
                Ok(found) => return Ok(found),
                Err(TakeOverError::Superseded) => {}
                Err(TakeOverError::Failed(error)) => return Err(error),
            }
        }
        Err(unavailable("the job keeps changing its owner"))
    }

    /// Sends a request to the recorded owner. Takes the job over if no recorded owner owns it or all
    /// are gone, unless another node has taken it over meanwhile.
    async fn call_recorded(
        &self,
        id: &str,
        owners: &RecordedOwners,
        request: &RequestKind,
        wait: Duration,
    ) -> Result<JobOwner, TakeOverError> {
        let owner = &owners.newest;
        if !self.is_own_promise(owner) && owner.node != self.context.nodes.own().node {
            let called = self.call_node(id, &owner.node, request.clone(), wait).await;
            match called {
                Ok(answer) => return Ok(self.remote_owner(id, &owner.node, answer)),
                Err(
                    NodeCallError::Unavailable(error)
                    | NodeCallError::NotReady(error)
                    | NodeCallError::NotSent(error),
                ) => return Err(error.into()),
                // A node that has just started does not know the address of each owner yet.
                Err(NodeCallError::Absent(error)) if owner.is_heard_within(OWNER_TIMEOUT) => {
                    return Err(error.into());
                }
                Err(NodeCallError::Absent(_) | NodeCallError::NotOwner) => {}
            }
        }
        let hidden = self.call_earlier(id, &owners.earlier, request, wait);
        if let Some(found) = hidden.await? {
            return Ok(found);
        }
        if self.is_own_promise(owner) && owner.is_heard_within(OWNER_TIMEOUT) {
            let cause = "this node has just given up the job";
            return Err(unavailable(cause).into());
        }
        if owner.node == self.context.nodes.own().node {
            return Ok(JobOwner::Local(self.adopt(id, Some(owner.epoch)).await?));
        }
        self.adopt_or_forward(id, owner.epoch, request, wait).await
    }

    /// Sends a request to the owners that the newest promise may hide. Returns `None` if none of them
    /// owns the job.
    async fn call_earlier(
        &self,
        id: &str,
        earlier: &[RecordedOwner],
        request: &RequestKind,
        wait: Duration,
    ) -> Result<Option<JobOwner>, JobError> {
        let own = self.context.nodes.own().node;
        for owner in earlier.iter().filter(|owner| owner.node != own) {
            match self.call_node(id, &owner.node, request.clone(), wait).await {
                Ok(answer) => {
                    log::info!("event=job_hidden_owner_found job={id} node={}", owner.node);
                    return Ok(Some(self.remote_owner(id, &owner.node, answer)));
                }
                Err(NodeCallError::NotOwner) => {}
                Err(NodeCallError::NotReady(error)) => return Err(error),
                Err(
                    NodeCallError::Unavailable(error)
                    | NodeCallError::NotSent(error)
                    | NodeCallError::Absent(error),
                ) if owner.is_heard_within(OWNER_TIMEOUT) => return Err(error),
                Err(_) => {}
            }
        }
        Ok(None)
    }

    /// Records that `node` has answered as the owner of a job.
    fn remote_owner(&self, id: &str, node: &str, answer: ResponseKind) -> JobOwner {
        let known_owner = (node.to_owned(), Instant::now());
        lock(&self.shared.owners).insert(id.to_owned(), known_owner);
        JobOwner::Answer(answer)
    }

    /// Takes over an orphaned job, or forwards the request to the preferred takeover candidate: the
    /// front to which replicas announce orphaned logs. Without this, the first reader after a
    /// restart of all nodes could place the job at a front with little CPU.
    async fn adopt_or_forward(
        &self,
        id: &str,
        last: WriterEpoch,
        request: &RequestKind,
        wait: Duration,
    ) -> Result<JobOwner, TakeOverError> {
        let Some(candidate) = self.preferred_takeover_node(id) else {
            return Ok(JobOwner::Local(self.adopt(id, Some(last)).await?));
        };
        let answer = self.call_node(id, &candidate, with_forwarding(request), wait);
        match answer.await {
            Ok(answer) => {
                log::info!("event=job_takeover_forwarded job={id} node={candidate}");
                Ok(self.remote_owner(id, &candidate, answer))
            }
            Err(NodeCallError::Unavailable(error) | NodeCallError::NotReady(error)) => {
                Err(error.into())
            }
            Err(NodeCallError::NotOwner | NodeCallError::Absent(_) | NodeCallError::NotSent(_)) => {
                Ok(JobOwner::Local(self.adopt(id, Some(last)).await?))
            }
        }
    }

    /// Returns the front that takes over an orphaned job. Returns `None` if this node takes it
    /// over: because it is a candidate, is leaving, or no candidate is known.
    fn preferred_takeover_node(&self, id: &str) -> Option<String> {
        if self.context.nodes.is_leaving() {
            return None;
        }
        let own = self.context.nodes.own().node;
        let takeover_candidates = self.context.nodes.takeover_candidates();
        if takeover_candidates
            .iter()
            .any(|candidate| candidate.node == own)
        {
            return None;
        }
        let names = takeover_candidates
            .iter()
            .map(|candidate| candidate.node.as_str());
        rendezvous_first(log_name(id).as_bytes(), names).map(str::to_owned)
    }

    /// Returns whether this node owns a job or has cached its owner.
    pub fn knows_owner(&self, id: &str) -> bool {
        self.local(id).is_some() || lock(&self.shared.owners).contains_key(id)
    }

    /// Returns the owner of a job that was accepted earlier. Takes the job over if it is orphaned.
    pub(super) async fn find_accepted(&self, id: &str) -> Result<JobOwner, JobError> {
        self.call_owner(id, &acceptance_probe(id), Duration::ZERO)
            .await
    }

    /// Finds the owner of a job: this node, the cached owner, or the owner that the journal names.
    async fn locate(&self, id: &str) -> Result<Location, JobError> {
        if let Some(job) = self.local(id) {
            if job.state().spec().is_none() {
                return Err(unavailable("the job's acceptance is not committed yet"));
            }
            return Ok(Location::Local(job));
        }
        let cached = lock(&self.shared.owners).get(id).cloned();
        if let Some((node, _)) = cached {
            return Ok(Location::Cached(node));
        }
        self.recorded_owners(id).await.map(Location::Recorded)
    }

    /// Sends a request about a job to another node. Removes the cached owner if that fails.
    pub(super) async fn call_node(
        &self,
        id: &str,
        node: &str,
        kind: RequestKind,
        wait: Duration,
    ) -> Result<ResponseKind, NodeCallError> {
        let nodes = &self.context.nodes;
        let timeout = wait + PEER_TIMEOUT;
        let answer = nodes.call(node, Request { kind }, timeout).await;
        let error = match answer.map(|response| response.kind) {
            Ok(ResponseKind::refused(refused)) => CallError::Refused(refused),
            Ok(answer) => return Ok(answer),
            Err(error) => error,
        };
        lock(&self.shared.owners).remove(id);
        let is_refused_for =
            |reason| matches!(&error, CallError::Refused(refused) if refused.reason == reason);
        let is_not_owner = is_refused_for(Reason::NOT_OWNER);
        let cause = unavailable(&format!("owner {node}: {error}"));
        // The record of a node that answers may have lapsed while it could not renew it.
        if is_refused_for(Reason::NOT_READY) {
            return Err(NodeCallError::NotReady(cause));
        }
        if !is_not_owner && nodes.is_present(node) {
            return Err(match error {
                CallError::NotSent(_) => NodeCallError::NotSent(cause),
                _ => NodeCallError::Unavailable(cause),
            });
        }
        log::info!("event=job_owner_gone job={id} node={node} cause=\"{error}\"");
        Err(match is_not_owner {
            true => NodeCallError::NotOwner,
            false => NodeCallError::Absent(cause),
        })
    }
}

/// Copies a request, allowing its receiver to forward it to the owner or to become the owner.
fn with_forwarding(request: &RequestKind) -> RequestKind {
    let mut request = request.clone();
    match &mut request {
        RequestKind::read_job(read) => read.anywhere = true,
        RequestKind::read_job_body(body) => body.anywhere = true,
        RequestKind::end_job(end) => end.anywhere = true,
        _ => {}
    }
    request
}

/// Builds a read request that returns no results, to check who owns the job.
pub(super) fn owner_probe(id: &str) -> RequestKind {
    RequestKind::read_job(ReadJob {
        job: id.to_owned(),
        after: u64::MAX,
        ..ReadJob::default()
    })
}

/// Builds a request like [`owner_probe`] that an owner of an accepted job also answers while it
/// cannot confirm its ownership.
pub(super) fn acceptance_probe(id: &str) -> RequestKind {
    RequestKind::read_job(ReadJob {
        job: id.to_owned(),
        after: u64::MAX,
        acceptance_only: true,
        ..ReadJob::default()
    })
}

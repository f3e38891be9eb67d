//! Finds the owner of a job and sends requests to it.

use std::sync::Arc;
use std::time::Duration;

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
use super::registry::JobRegistry;

/// Timeout of a call to another node, in addition to the wait that the request specifies.
pub(super) const PEER_TIMEOUT: Duration = Duration::from_millis(700);

/// Location of a job.
enum Location {
    /// This node owns the job.
    Local(Arc<Job>),
    /// Another node owns the job, according to `source`.
    Remote { node: String, source: Source },
}

/// Source of the information about a job's owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    /// This node's cache; the job may have moved since.
    Cache,
    /// A majority of the journal's replicas, queried just now.
    Journal,
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
enum NodeCallError {
    /// The node does not know the job or has left.
    NotOwner,
    /// The request could not be sent.
    NotSent(JobError),
    /// The node may own the job but did not answer.
    Unavailable(JobError),
}

impl JobRegistry {
    /// Sends a request to the owner of a job. Becomes the owner if the node that the journal names
    /// does not know the job or has left.
    pub(super) async fn call_owner(
        &self,
        id: &str,
        request: &RequestKind,
        wait: Duration,
    ) -> Result<JobOwner, JobError> {
        loop {
            let (node, source) = match self.locate(id).await? {
                Location::Local(job) => return Ok(JobOwner::Local(job)),
                Location::Remote { node, source } => (node, source),
            };
            match self.call_node(id, &node, request.clone(), wait).await {
                Ok(answer) => return Ok(JobOwner::Answer(answer)),
                Err(NodeCallError::Unavailable(error)) => return Err(error),
                // The cached owner has been removed, so the next iteration queries the journal.
                Err(_) if source == Source::Cache => {}
                Err(NodeCallError::NotOwner) => {
                    return self.adopt_or_forward(id, request, wait).await;
                }
                Err(NodeCallError::NotSent(error)) => return Err(error),
            }
        }
    }

    /// Takes over an orphaned job, or forwards the request to the preferred takeover candidate: the
    /// front to which replicas announce orphaned logs. Without this, the first reader after a
    /// restart of all nodes could place the job at a front with little CPU.
    async fn adopt_or_forward(
        &self,
        id: &str,
        request: &RequestKind,
        wait: Duration,
    ) -> Result<JobOwner, JobError> {
        let Some(candidate) = self.preferred_takeover_node(id) else {
            return Ok(JobOwner::Local(self.adopt(id).await?));
        };
        let answer = self.call_node(id, &candidate, with_forwarding(request), wait);
        match answer.await {
            Ok(answer) => {
                log::info!("event=job_takeover_forwarded job={id} node={candidate}");
                lock(&self.shared.owners).insert(id.to_owned(), (candidate, Instant::now()));
                Ok(JobOwner::Answer(answer))
            }
            Err(NodeCallError::Unavailable(error)) => Err(error),
            Err(NodeCallError::NotOwner | NodeCallError::NotSent(_)) => {
                Ok(JobOwner::Local(self.adopt(id).await?))
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

    /// Returns the owner of a job that was accepted earlier. Takes the job over if it is orphaned.
    pub(super) async fn find_accepted(&self, id: &str) -> Result<JobOwner, JobError> {
        self.call_owner(id, &owner_probe(id), Duration::ZERO).await
    }

    /// Returns whether another node answers as the confirmed owner of a job. Ignores and removes
    /// the cached owner.
    pub(super) async fn is_owned_elsewhere(&self, id: &str) -> bool {
        lock(&self.shared.owners).remove(id);
        let Ok(Location::Remote { node, .. }) = self.locate(id).await else {
            return false;
        };
        let answer = self.call_node(id, &node, owner_probe(id), Duration::ZERO);
        matches!(answer.await, Ok(ResponseKind::job_results(_)))
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
            let source = Source::Cache;
            return Ok(Location::Remote { node, source });
        }
        let described = self.context.journal.describe(&log_name(id)).await;
        let logs = described.map_err(|error| unavailable(&error.to_string()))?;
        let name = log_name(id);
        let found = logs
            .into_iter()
            .find(|log| log.log == name && log.length > 0);
        let node = found.ok_or(JobError::NotFound)?.owner_node;
        if node == self.context.nodes.own().node {
            return Ok(Location::Local(self.adopt(id).await?));
        }
        let known_owner = (node.clone(), Instant::now());
        lock(&self.shared.owners).insert(id.to_owned(), known_owner);
        let source = Source::Journal;
        Ok(Location::Remote { node, source })
    }

    async fn call_node(
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
        let is_not_owner =
            matches!(&error, CallError::Refused(refused) if refused.reason == Reason::NOT_OWNER);
        if !is_not_owner && nodes.is_present(node) {
            let cause = unavailable(&format!("owner {node}: {error}"));
            return Err(match error {
                CallError::NotSent(_) => NodeCallError::NotSent(cause),
                _ => NodeCallError::Unavailable(cause),
            });
        }
        log::info!("event=job_owner_gone job={id} node={node} cause=\"{error}\"");
        Err(NodeCallError::NotOwner)
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
fn owner_probe(id: &str) -> RequestKind {
    RequestKind::read_job(ReadJob {
        job: id.to_owned(),
        after: u64::MAX,
        wait_ms: 0,
        takes_compressed: false,
        anywhere: false,
    })
}

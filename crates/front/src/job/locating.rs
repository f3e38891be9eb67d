//! Which node owns a job, and questions to it.

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
use super::reading::{ReadError, unavailable};
use super::registry::JobRegistry;

/// Time for a peer to answer, beyond the time that it was asked to wait.
pub(super) const PEER_TIMEOUT: Duration = Duration::from_millis(700);

/// Where a job is.
enum Location {
    /// This node owns it.
    Local(Arc<Job>),
    /// Another node does, or did when it was last heard of.
    Remote { node: String, source: Source },
}

/// Who says which node owns a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    /// This node remembers it; the job may have moved on.
    Memory,
    /// A majority of the journal's replicas, a moment ago.
    Journal,
}

/// What came of a question about a job.
pub(super) enum OwnerReply {
    /// This node owns the job.
    Local(Arc<Job>),
    /// Its owner's answer.
    Answer(ResponseKind),
}

/// Why an owner gave no answer.
enum AskError {
    /// It does not know the job, or it is gone.
    NotOwner,
    /// It could not be asked.
    NotSent(ReadError),
    /// It may own the job.
    Unavailable(ReadError),
}

impl JobRegistry {
    /// Asks the owner of a job. Becomes its owner if the one that the journal names does not know the job or is gone; one that
    /// is only remembered may have handed the job on.
    pub(super) async fn ask_owner(
        &self,
        id: &str,
        request: &RequestKind,
        wait: Duration,
    ) -> Result<OwnerReply, ReadError> {
        loop {
            let (node, source) = match self.locate(id).await? {
                Location::Local(job) => return Ok(OwnerReply::Local(job)),
                Location::Remote { node, source } => (node, source),
            };
            match self.ask_node(id, &node, request.clone(), wait).await {
                Ok(answer) => return Ok(OwnerReply::Answer(answer)),
                Err(AskError::Unavailable(error)) => return Err(error),
                // Forgotten now: the journal is asked next.
                Err(_) if source == Source::Memory => {}
                Err(AskError::NotOwner) => return self.adopt_or_delegate(id, request, wait).await,
                Err(AskError::NotSent(error)) => return Err(error),
            }
        }
    }

    /// Becomes the owner of a job that nobody owns, or lets a stronger front become that: the one that replicas tell of untended logs.
    /// After a kill of all nodes readers come before the replicas' word, and five of six steps went to fronts of 0.12 cores, which read
    /// the events of two hundred runs late.
    async fn adopt_or_delegate(
        &self,
        id: &str,
        request: &RequestKind,
        wait: Duration,
    ) -> Result<OwnerReply, ReadError> {
        let Some(candidate) = self.stronger_owner(id) else {
            return Ok(OwnerReply::Local(self.adopt(id).await?));
        };
        let answer = self.ask_node(id, &candidate, with_forwarding(request), wait);
        match answer.await {
            Ok(answer) => {
                log::info!("event=job_handed_on job={id} node={candidate}");
                lock(&self.shared.owners).insert(id.to_owned(), (candidate, Instant::now()));
                Ok(OwnerReply::Answer(answer))
            }
            Err(AskError::Unavailable(error)) => Err(error),
            Err(AskError::NotOwner | AskError::NotSent(_)) => {
                Ok(OwnerReply::Local(self.adopt(id).await?))
            }
        }
    }

    /// The front that is to own a job whose owner is gone, if it is another one.
    fn stronger_owner(&self, id: &str) -> Option<String> {
        if self.context.nodes.is_leaving() {
            return None;
        }
        let own = self.context.nodes.own().node;
        let takers = self.context.nodes.takers();
        if takers.iter().any(|candidate| candidate.node == own) {
            return None;
        }
        let names = takers.iter().map(|candidate| candidate.node.as_str());
        rendezvous_first(log_name(id).as_bytes(), names).map(str::to_owned)
    }

    /// Looks whether a job was accepted before.
    pub(super) async fn find_accepted(&self, id: &str) -> Result<OwnerReply, ReadError> {
        self.ask_owner(id, &empty_read(id), Duration::ZERO).await
    }

    /// Whether another node answers as the confirmed owner of a job.
    pub(super) async fn is_owned(&self, id: &str) -> bool {
        lock(&self.shared.owners).remove(id);
        let Ok(Location::Remote { node, .. }) = self.locate(id).await else {
            return false;
        };
        let answer = self.ask_node(id, &node, empty_read(id), Duration::ZERO);
        matches!(answer.await, Ok(ResponseKind::job_results(_)))
    }

    /// Finds a job: here, at its last known owner, or by the journal.
    async fn locate(&self, id: &str) -> Result<Location, ReadError> {
        if let Some(job) = self.local(id) {
            if job.state().spec().is_none() {
                return Err(unavailable("being accepted"));
            }
            return Ok(Location::Local(job));
        }
        let remembered = lock(&self.shared.owners).get(id).cloned();
        if let Some((node, _)) = remembered {
            let source = Source::Memory;
            return Ok(Location::Remote { node, source });
        }
        let described = self.context.journal.describe(&log_name(id)).await;
        let logs = described.map_err(|error| unavailable(&error.to_string()))?;
        let name = log_name(id);
        let found = logs
            .into_iter()
            .find(|log| log.log == name && log.length > 0);
        let node = found.ok_or(ReadError::NotFound)?.owner_node;
        if node == self.context.nodes.own().node {
            return Ok(Location::Local(self.adopt(id).await?));
        }
        let known_owner = (node.clone(), Instant::now());
        lock(&self.shared.owners).insert(id.to_owned(), known_owner);
        let source = Source::Journal;
        Ok(Location::Remote { node, source })
    }

    async fn ask_node(
        &self,
        id: &str,
        node: &str,
        kind: RequestKind,
        wait: Duration,
    ) -> Result<ResponseKind, AskError> {
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
                CallError::NotSent(_) => AskError::NotSent(cause),
                _ => AskError::Unavailable(cause),
            });
        }
        log::info!("event=job_owner_gone job={id} node={node} cause=\"{error}\"");
        Err(AskError::NotOwner)
    }
}

/// The same question for a node that may ask the owner in its turn, or become it.
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

/// A question that only the owner of a job answers, for nothing of it.
fn empty_read(id: &str) -> RequestKind {
    RequestKind::read_job(ReadJob {
        job: id.to_owned(),
        after: u64::MAX,
        wait_ms: 0,
        takes_compressed: false,
        anywhere: false,
    })
}

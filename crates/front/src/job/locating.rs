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

use super::lock::lock;
use super::log_name;
use super::reading::{ReadError, unavailable};
use super::registry::JobRegistry;
use super::shared::Job;

/// Time for a peer to answer, beyond the time that it was asked to wait.
pub(super) const PEER_TIMEOUT: Duration = Duration::from_millis(700);

/// Where a job is.
enum Place {
    /// This node owns it.
    Here(Arc<Job>),
    /// Another node does, or did when it was last heard of.
    At { node: String, source: Source },
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
pub(super) enum Owned {
    /// This node owns the job.
    Here(Arc<Job>),
    /// Its owner's answer.
    Answer(ResponseKind),
}

/// Why an owner gave no answer.
enum NoAnswer {
    /// It does not know the job, or it is gone.
    NotOwner,
    /// It could not be asked.
    NotAsked(ReadError),
    /// It may own the job.
    Unavailable(ReadError),
}

impl JobRegistry {
    /// Asks the owner of a job. Becomes its owner if the one that the journal names does not know the job or is gone; one that
    /// is only remembered may have handed the job on.
    pub(super) async fn ask(
        &self,
        id: &str,
        request: &RequestKind,
        wait: Duration,
    ) -> Result<Owned, ReadError> {
        loop {
            let (node, source) = match self.locate(id).await? {
                Place::Here(job) => return Ok(Owned::Here(job)),
                Place::At { node, source } => (node, source),
            };
            match self.ask_node(id, &node, request.clone(), wait).await {
                Ok(answer) => return Ok(Owned::Answer(answer)),
                Err(NoAnswer::Unavailable(error)) => return Err(error),
                // Forgotten now: the journal is asked next.
                Err(_) if source == Source::Memory => {}
                Err(NoAnswer::NotOwner) => return self.adopt_or_hand_on(id, request, wait).await,
                Err(NoAnswer::NotAsked(error)) => return Err(error),
            }
        }
    }

    /// Becomes the owner of a job that nobody owns, or lets a stronger front become that: the one that replicas tell of untended logs.
    /// After a kill of all nodes readers come before the replicas' word, and five of six steps went to fronts of 0.12 cores, which read
    /// the events of two hundred runs late.
    async fn adopt_or_hand_on(
        &self,
        id: &str,
        request: &RequestKind,
        wait: Duration,
    ) -> Result<Owned, ReadError> {
        let Some(taker) = self.stronger_taker(id) else {
            return Ok(Owned::Here(self.adopt(id).await?));
        };
        let answer = self.ask_node(id, &taker, asked_anywhere(request), wait);
        match answer.await {
            Ok(answer) => {
                log::info!("event=job_takeover_forwarded job={id} node={taker}");
                lock(&self.shared.owners).insert(id.to_owned(), (taker, Instant::now()));
                Ok(Owned::Answer(answer))
            }
            Err(NoAnswer::Unavailable(error)) => Err(error),
            Err(NoAnswer::NotOwner | NoAnswer::NotAsked(_)) => {
                Ok(Owned::Here(self.adopt(id).await?))
            }
        }
    }

    /// The front that is to own a job whose owner is gone, if it is another one.
    fn stronger_taker(&self, id: &str) -> Option<String> {
        if self.context.nodes.is_leaving() {
            return None;
        }
        let own = self.context.nodes.own().node;
        let takeover_candidates = self.context.nodes.takeover_candidates();
        if takeover_candidates.iter().any(|taker| taker.node == own) {
            return None;
        }
        let names = takeover_candidates.iter().map(|taker| taker.node.as_str());
        rendezvous_first(log_name(id).as_bytes(), names).map(str::to_owned)
    }

    /// Looks whether a job was accepted before.
    pub(super) async fn find_accepted(&self, id: &str) -> Result<Owned, ReadError> {
        self.ask(id, &nothing_of(id), Duration::ZERO).await
    }

    /// Whether another node answers as the confirmed owner of a job.
    pub(super) async fn is_owned(&self, id: &str) -> bool {
        lock(&self.shared.owners).remove(id);
        let Ok(Place::At { node, .. }) = self.locate(id).await else {
            return false;
        };
        let answer = self.ask_node(id, &node, nothing_of(id), Duration::ZERO);
        matches!(answer.await, Ok(ResponseKind::job_results(_)))
    }

    /// Finds a job: here, at its last known owner, or by the journal.
    async fn locate(&self, id: &str) -> Result<Place, ReadError> {
        if let Some(job) = self.local(id) {
            if job.state().spec().is_none() {
                return Err(unavailable("being accepted"));
            }
            return Ok(Place::Here(job));
        }
        let remembered = lock(&self.shared.owners).get(id).cloned();
        if let Some((node, _)) = remembered {
            let source = Source::Memory;
            return Ok(Place::At { node, source });
        }
        let described = self.context.journal.describe(&log_name(id)).await;
        let logs = described.map_err(|error| unavailable(&error.to_string()))?;
        let name = log_name(id);
        let found = logs
            .into_iter()
            .find(|log| log.log == name && log.length > 0);
        let node = found.ok_or(ReadError::NotFound)?.owner_node;
        if node == self.context.nodes.own().node {
            return Ok(Place::Here(self.adopt(id).await?));
        }
        let heard = (node.clone(), Instant::now());
        lock(&self.shared.owners).insert(id.to_owned(), heard);
        let source = Source::Journal;
        Ok(Place::At { node, source })
    }

    async fn ask_node(
        &self,
        id: &str,
        node: &str,
        kind: RequestKind,
        wait: Duration,
    ) -> Result<ResponseKind, NoAnswer> {
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
                CallError::NotSent(_) => NoAnswer::NotAsked(cause),
                _ => NoAnswer::Unavailable(cause),
            });
        }
        log::info!("event=job_owner_gone job={id} node={node} cause=\"{error}\"");
        Err(NoAnswer::NotOwner)
    }
}

/// The same question for a node that may ask the owner in its turn, or become it.
fn asked_anywhere(request: &RequestKind) -> RequestKind {
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
fn nothing_of(id: &str) -> RequestKind {
    RequestKind::read_job(ReadJob {
        job: id.to_owned(),
        after: u64::MAX,
        wait_ms: 0,
        takes_compressed: false,
        anywhere: false,
    })
}

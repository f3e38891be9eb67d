//! Opens the shards of a submitted step.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use ladderstage::ids::ShardKey;
use ladderstage::routing::rendezvous;
use ladderstage::shard::split_step;
use ladderstage_transport::CallError;
use ladderstage_wire::messages::mod_OpenShardReply::Outcome;
use ladderstage_wire::messages::mod_Refused::Reason;
use ladderstage_wire::messages::mod_Request::OneOfkind as RequestKind;
use ladderstage_wire::messages::mod_Response::OneOfkind as ResponseKind;
use ladderstage_wire::messages::{OpenShard, Refused, Request, Response, ShardSpec};
use tokio::sync::oneshot;

use super::owner::{Message, ensure_owner};
use super::shard_log::fold;
use super::{OPEN_TIMEOUT, Shards, Shared, replies};
use crate::journal::LogSnapshot;

/// Number of members tried for opening a shard, besides its present owner.
const OPEN_CANDIDATES: usize = 2;

/// Maximum number of shards of one step that are opened concurrently.
const OPEN_CONCURRENCY: usize = 8;

/// Extra time for the call to another node, on top of [`OPEN_TIMEOUT`].
const CALL_MARGIN: Duration = Duration::from_secs(1);

/// Submitted step whose shards are all open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SubmittedStep {
    /// Number of shards of the step.
    pub shard_count: u32,
    /// Whether all shards were already open.
    pub was_open: bool,
}

/// Error of a submission.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SubmitError {
    /// A different body was submitted under this step.
    #[error("another body was submitted under this step")]
    Conflict,
    /// No shard of the step was opened.
    #[error("not run: {0}")]
    NotRun(String),
    /// Some shards may be open; submitting the same body again resolves this.
    #[error("unknown: {0}")]
    Unknown(String),
}

impl Shards {
    /// Opens all shards of a step; `step_spec` holds all of its samples.
    ///
    /// # Errors
    /// Unless the opening of every shard is committed.
    pub async fn submit(&self, step_spec: &ShardSpec) -> Result<SubmittedStep, SubmitError> {
        if self.shared.is_draining() {
            return Err(SubmitError::NotRun("draining".to_owned()));
        }
        let prefix = ShardKey::step_prefix(&step_spec.trainer, step_spec.step);
        let known = self.shared.dependencies.journal.describe(&prefix).await;
        let known = known.map_err(|error| SubmitError::NotRun(error.to_string()))?;
        let owners = known
            .into_iter()
            .map(|description| (description.log, description.owner_node))
            .collect();
        let submission = Submission {
            shards: self,
            owners,
        };
        submission.run(split_step(step_spec)).await
    }
}

struct Submission<'a> {
    shards: &'a Shards,
    /// Last known owner of each log.
    owners: BTreeMap<String, String>,
}

impl Submission<'_> {
    /// Opens the first shard before the others: it decides between different bodies under one step.
    async fn run(&self, specs: Vec<ShardSpec>) -> Result<SubmittedStep, SubmitError> {
        let shard_count = specs.len() as u32;
        let mut specs = specs.into_iter();
        let Some(first) = specs.next() else {
            return Err(SubmitError::NotRun("the step has no samples".to_owned()));
        };
        let mut was_open = self.open(first).await? == Outcome::ALREADY_OPEN;
        let mut openings = futures_util::stream::iter(specs)
            .map(|spec| self.open(spec))
            .buffer_unordered(OPEN_CONCURRENCY);
        while let Some(opened) = openings.next().await {
            match opened {
                Ok(outcome) => was_open &= outcome == Outcome::ALREADY_OPEN,
                // The first shard is open, so the step is partly open.
                Err(SubmitError::NotRun(detail)) => return Err(SubmitError::Unknown(detail)),
                Err(error) => return Err(error),
            }
        }
        Ok(SubmittedStep {
            shard_count,
            was_open,
        })
    }

    async fn open(&self, spec: ShardSpec) -> Result<Outcome, SubmitError> {
        let key = ShardKey {
            trainer: spec.trainer.clone(),
            step: spec.step,
            shard: spec.shard,
        };
        let log = key.log();
        let mut may_be_open = false;
        let mut details = Vec::new();
        for node in self.candidates(&log) {
            match self.open_at(&node, spec.clone()).await {
                Ok(Outcome::CONFLICT) => return Err(SubmitError::Conflict),
                Ok(outcome) => return Ok(outcome),
                Err(OpenFailure::NotOpened(detail)) => details.push(format!("{node}: {detail}")),
                Err(OpenFailure::Unknown(detail)) => {
                    may_be_open = true;
                    details.push(format!("{node}: {detail}"));
                }
            }
        }
        let detail = format!("shard {}: {}", spec.shard, details.join("; "));
        match may_be_open {
            true => Err(SubmitError::Unknown(detail)),
            false => Err(SubmitError::NotRun(detail)),
        }
    }

    /// Returns the nodes to try: the present owner, then the first by rendezvous hashing.
    fn candidates(&self, log: &str) -> Vec<String> {
        let members = self.shards.shared.dependencies.peers.alive();
        let ranked = rendezvous(
            log.as_bytes(),
            members.iter().map(|member| member.node.as_str()),
        );
        let owner = self.owners.get(log);
        let mut nodes: Vec<String> = owner
            .filter(|owner| ranked.contains(&owner.as_str()))
            .cloned()
            .into_iter()
            .collect();
        for node in ranked.into_iter().take(OPEN_CANDIDATES) {
            if !nodes.iter().any(|known| known == node) {
                nodes.push(node.to_owned());
            }
        }
        nodes
    }

    async fn open_at(&self, node: &str, spec: ShardSpec) -> Result<Outcome, OpenFailure> {
        let shared = &self.shards.shared;
        let open = OpenShard { spec: Some(spec) };
        if node == shared.node {
            return outcome(Ok(self.shards.handle_open_shard(open).await));
        }
        let request = Request {
            kind: RequestKind::open_shard(open),
        };
        let timeout = OPEN_TIMEOUT + CALL_MARGIN;
        outcome(shared.dependencies.peers.call(node, request, timeout).await)
    }
}

enum OpenFailure {
    NotOpened(String),
    Unknown(String),
}

fn outcome(response: Result<Response, CallError>) -> Result<Outcome, OpenFailure> {
    match response {
        Ok(Response {
            kind: ResponseKind::open_shard(reply),
        }) => match reply.outcome {
            Outcome::UNSPECIFIED => Err(OpenFailure::Unknown(
                "the reply has an unknown outcome".to_owned(),
            )),
            known => Ok(known),
        },
        Ok(Response {
            kind: ResponseKind::refused(refused),
        })
        | Err(CallError::Refused(refused)) => Err(refusal(refused)),
        Ok(_) => Err(OpenFailure::Unknown("unexpected response".to_owned())),
        Err(CallError::NotSent(detail)) => Err(OpenFailure::NotOpened(detail)),
        Err(CallError::Unknown(detail)) => Err(OpenFailure::Unknown(detail)),
    }
}

/// Converts a refusal. `INTERNAL` leaves the outcome unknown; after all others the shard is not open.
fn refusal(refused: Refused) -> OpenFailure {
    match refused.reason {
        Reason::INTERNAL => OpenFailure::Unknown(refused.detail),
        _ => OpenFailure::NotOpened(refused.detail),
    }
}

/// Opens a shard on this node.
pub(super) async fn open_here(shared: &Arc<Shared>, log: &str, spec: ShardSpec) -> Response {
    if shared.registry.find(log).is_none() {
        match shared.dependencies.journal.read_snapshot(log).await {
            Ok(Some(snapshot)) => {
                if let Some(outcome) = compare_with_log(log, &snapshot, &spec.step_digest) {
                    return replies::opened(outcome);
                }
            }
            Ok(None) => {}
            Err(error) => return replies::refused(Reason::NOT_READY, &error.to_string()),
        }
    }
    let Some(owned) = ensure_owner(shared, log) else {
        return replies::refused(Reason::OVERLOADED, "this node owns too many shards");
    };
    let (reply, response) = oneshot::channel();
    let message = Message::Open {
        spec: Box::new(spec),
        reply,
    };
    if owned.mailbox.try_send(message).is_err() {
        return replies::refused(Reason::OVERLOADED, "too many requests wait for the shard");
    }
    match tokio::time::timeout(OPEN_TIMEOUT, response).await {
        Ok(Ok(response)) => response,
        Ok(Err(_)) => replies::refused(
            Reason::INTERNAL,
            "ownership ended while the shard was opened",
        ),
        Err(_) => replies::refused(Reason::INTERNAL, "the opening was not committed in time"),
    }
}

/// Compares the step with an open log without taking the log over; `None` if that needs ownership.
///
/// The first entry is certainly committed only if another entry follows or the log is retired, because an owner
/// appends nothing else before that commit.
fn compare_with_log(log: &str, snapshot: &LogSnapshot, digest: &[u8]) -> Option<Outcome> {
    if snapshot.entries.len() < 2 && !snapshot.retired {
        return None;
    }
    let state = fold(log, &snapshot.entries);
    let is_same = state.spec()?.step_digest == digest;
    Some(match is_same {
        true => Outcome::ALREADY_OPEN,
        false => Outcome::CONFLICT,
    })
}

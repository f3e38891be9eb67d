//! A trainer's pull over all shards of its step.

use std::time::{Duration, Instant};

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use ladderstage::ids::ShardKey;
use ladderstage::shard::StepCursor;
use ladderstage_transport::CallError;
use ladderstage_wire::messages::mod_PullShardReply::Outcome;
use ladderstage_wire::messages::mod_Request::OneOfkind as RequestKind;
use ladderstage_wire::messages::mod_Response::OneOfkind as ResponseKind;
use ladderstage_wire::messages::{PullShard, PullShardReply, Request, Response, Sample};

use super::Shards;
use super::gathering::{Gathered, ShardAnswer, ShardPull, finish};
use super::step_index::{FinishedPosition, ShardStatus, StepStatus};

/// What a call may take beyond the wait that it asks for.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How long other shards' answers are waited for once one has samples.
const GATHER_GRACE: Duration = Duration::from_millis(20);

/// A trainer's question.
#[derive(Debug, Clone)]
pub struct StepPullRequest {
    /// Trainer that asks.
    pub trainer: String,
    /// Its step.
    pub step: u64,
    /// What it took so far.
    pub cursor: StepCursor,
    /// Most samples that it wants.
    pub max_samples: usize,
    /// How long it waits for the first sample.
    pub wait: Duration,
}

/// Answer to a trainer.
#[derive(Debug, Clone, PartialEq)]
pub struct StepPullResponse {
    /// Fresh samples, each slot of the step once over all answers that the trainer takes.
    pub samples: Vec<Sample>,
    /// Acknowledges these samples when it comes back.
    pub cursor: StepCursor,
    /// Every sample of the step was taken.
    pub complete: bool,
    /// Bundle that the samples were checked against.
    pub bundle_revision: u64,
}

/// Why a trainer is given no answer. The same question may be asked again, except after [`PullError::Superseded`].
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PullError {
    /// A majority of the journal's replicas knows no such step.
    #[error("unknown step")]
    UnknownStep,
    /// Another cursor was used instead.
    #[error("another cursor of this step was acknowledged instead")]
    Superseded,
    /// It is not known here whether the bundle in force is the newest.
    #[error("deliveries are held back until the newest bundle is known")]
    HeldBack,
    /// Owners or the journal cannot be reached.
    #[error("not available: {0}")]
    Unavailable(String),
}

impl Shards {
    /// Gathers fresh samples that follow the cursor. An answer of a shard that is left out stays open at its owner and
    /// is given again for the same cursor.
    pub async fn pull(&self, question: &StepPullRequest) -> Result<StepPullResponse, PullError> {
        // Before the journal is asked: a daemon that is cut off would only learn by its timeout that it is.
        if self.shared.parts.bundles.deliverable().is_none() {
            return Err(PullError::HeldBack);
        }
        let mut status = self.find_step(question).await?;
        let mut gathered = Gathered::default();
        self.ask(question, &status, Duration::ZERO, &mut gathered)
            .await;
        if !gathered.unreachable.is_empty() {
            self.shared.steps.forget(&question.trainer, question.step);
        }
        if !gathered.has_news() && !gathered.unreachable.is_empty() {
            // A shard may just have moved or been finished.
            status = self.find_step(question).await?;
            gathered.start_over();
            self.ask(question, &status, Duration::ZERO, &mut gathered)
                .await;
        }
        if !gathered.is_decided(&status) && !question.wait.is_zero() {
            gathered.start_over();
            let waiting_since = Instant::now();
            self.ask(question, &status, question.wait, &mut gathered)
                .await;
            self.shared.metrics.note_idle(waiting_since.elapsed());
        }
        finish(&self.shared, question, &status, gathered)
    }

    /// What the journal knows of a step.
    pub async fn step_status(&self, trainer: &str, step: u64) -> Result<StepStatus, PullError> {
        match self.shared.steps.find(trainer, step).await {
            Ok(Some(status)) if status.shard_count > 0 => Ok((*status).clone()),
            Ok(_) => Err(PullError::UnknownStep),
            Err(error) => Err(PullError::Unavailable(error.to_string())),
        }
    }

    async fn find_step(&self, question: &StepPullRequest) -> Result<StepStatus, PullError> {
        self.step_status(&question.trainer, question.step).await
    }

    /// Asks all shards side by side and returns soon after one has samples. Shards that have not answered by then keep
    /// their place.
    async fn ask(
        &self,
        question: &StepPullRequest,
        status: &StepStatus,
        wait: Duration,
        gathered: &mut Gathered,
    ) {
        let mut asked = FuturesUnordered::new();
        for shard in &status.shards {
            if !gathered.complete.contains(&shard.shard) {
                asked.push(self.ask_shard(question, shard, wait));
            }
        }
        let mut grace = None;
        while !asked.is_empty() {
            let taken = tokio::select! {
                Some(taken) = asked.next() => taken,
                () = sleep_until(grace), if grace.is_some() => return,
                () = self.shared.drain_started(), if !wait.is_zero() => return,
            };
            gathered.add(taken);
            if gathered.has_news() && grace.is_none() {
                grace = Some(Instant::now() + GATHER_GRACE);
            }
        }
    }

    async fn ask_shard(
        &self,
        question: &StepPullRequest,
        shard: &ShardStatus,
        wait: Duration,
    ) -> ShardAnswer {
        let asked_at = Instant::now();
        let key = ShardKey {
            trainer: question.trainer.clone(),
            step: question.step,
            shard: shard.shard,
        };
        let after_answer = question.cursor.position(shard.shard);
        let pull = match shard.finished {
            true => self.ask_journal(&key.log(), after_answer).await,
            false => {
                let request = PullShard {
                    log: key.log(),
                    after_answer,
                    max_samples: question.max_samples as u32,
                    wait_ms: wait.as_millis() as u64,
                };
                self.ask_owner(&shard.owner, request).await
            }
        };
        ShardAnswer {
            shard: shard.shard,
            asked_at,
            pull,
        }
    }

    async fn ask_journal(&self, log: &str, after_answer: u64) -> ShardPull {
        match self.shared.steps.finished_position(log, after_answer).await {
            Ok(FinishedPosition::Complete) => ShardPull::Answered(PullShardReply {
                outcome: Outcome::ANSWERED,
                answer: after_answer,
                complete: true,
                ..PullShardReply::default()
            }),
            Ok(FinishedPosition::Superseded) => ShardPull::Superseded,
            Ok(FinishedPosition::Unknown) | Err(_) => ShardPull::Unreachable,
        }
    }

    async fn ask_owner(&self, owner: &str, request: PullShard) -> ShardPull {
        if owner == self.shared.node {
            return classify(Ok(self.handle_pull_shard(request).await));
        }
        let timeout = Duration::from_millis(request.wait_ms) + CALL_TIMEOUT;
        let request = Request {
            kind: RequestKind::pull_shard(request),
        };
        classify(self.shared.parts.peers.call(owner, request, timeout).await)
    }
}

async fn sleep_until(deadline: Option<Instant>) {
    if let Some(deadline) = deadline {
        tokio::time::sleep_until(deadline.into()).await;
    }
}

fn classify(response: Result<Response, CallError>) -> ShardPull {
    let Ok(Response {
        kind: ResponseKind::pull_shard(reply),
    }) = response
    else {
        return ShardPull::Unreachable;
    };
    match reply.outcome {
        Outcome::ANSWERED => ShardPull::Answered(reply),
        Outcome::HELD_BACK => ShardPull::HeldBack,
        Outcome::SUPERSEDED => ShardPull::Superseded,
        Outcome::UNKNOWN_SHARD | Outcome::UNSPECIFIED => ShardPull::Unreachable,
    }
}

//! Pulls samples for a trainer from all shards of a step.

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
use super::collected_answers::{CollectedAnswers, ShardAnswer, ShardPull, merge};
use super::step_index::{FinishedPosition, ShardStatus, StepStatus};

/// Time that a call to an owner may take in addition to the requested wait.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time to wait for the other shards after the first one has returned samples.
const COLLECT_GRACE: Duration = Duration::from_millis(20);

/// Pull of a trainer.
#[derive(Debug, Clone)]
pub struct StepPullRequest {
    /// Name of the trainer.
    pub trainer: String,
    /// Step whose samples are pulled.
    pub step: u64,
    /// Samples that the trainer has acknowledged.
    pub cursor: StepCursor,
    /// Maximum number of samples to return.
    pub max_samples: usize,
    /// Maximum wait for the first sample.
    pub wait: Duration,
}

/// Response to a pull.
#[derive(Debug, Clone, PartialEq)]
pub struct StepPullResponse {
    /// Fresh samples. Over all acknowledged responses each slot of the step occurs once.
    pub samples: Vec<Sample>,
    /// Cursor that acknowledges these samples when the trainer sends it in the next pull.
    pub cursor: StepCursor,
    /// Whether every sample of the step is acknowledged.
    pub complete: bool,
    /// Revision of the bundle that the samples were checked against.
    pub bundle_revision: u64,
}

/// Error of a pull. The same pull may be repeated, except after [`PullError::Superseded`].
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PullError {
    /// A majority of the journal replicas does not know the step.
    #[error("unknown step")]
    UnknownStep,
    /// The trainer has acknowledged a different answer than this cursor's.
    #[error("another cursor of this step was acknowledged instead")]
    Superseded,
    /// This node does not know whether its bundle is the newest.
    #[error("deliveries are held back until the newest bundle is known")]
    HeldBack,
    /// Owners of shards or the journal are not reachable.
    #[error("not available: {0}")]
    Unavailable(String),
}

impl Shards {
    /// Collects fresh samples after the cursor. The owner of a shard whose answer is left out repeats it for the same
    /// cursor.
    pub async fn pull(
        &self,
        pull_request: &StepPullRequest,
    ) -> Result<StepPullResponse, PullError> {
        // Checked before the journal is queried, where a partitioned node would have to wait for the timeout.
        if self
            .shared
            .dependencies
            .bundles
            .current_if_fresh()
            .is_none()
        {
            return Err(PullError::HeldBack);
        }
        let mut status = self.find_step(pull_request).await?;
        let mut collected = CollectedAnswers::default();
        self.query_shards(pull_request, &status, Duration::ZERO, &mut collected)
            .await;
        if !collected.unreachable.is_empty() {
            self.shared
                .steps
                .invalidate(&pull_request.trainer, pull_request.step);
        }
        if !collected.has_result() && !collected.unreachable.is_empty() {
            // A shard may have moved or finished since the step was read.
            status = self.find_step(pull_request).await?;
            collected.reset();
            self.query_shards(pull_request, &status, Duration::ZERO, &mut collected)
                .await;
        }
        if !collected.is_final(&status) && !pull_request.wait.is_zero() {
            collected.reset();
            let waiting_since = Instant::now();
            self.query_shards(pull_request, &status, pull_request.wait, &mut collected)
                .await;
            self.shared.metrics.record_idle(waiting_since.elapsed());
        }
        merge(&self.shared, pull_request, &status, collected)
    }

    /// Reads the status of a step from the journal.
    ///
    /// # Errors
    /// [`PullError::UnknownStep`] or [`PullError::Unavailable`].
    pub async fn step_status(&self, trainer: &str, step: u64) -> Result<StepStatus, PullError> {
        match self.shared.steps.find(trainer, step).await {
            Ok(Some(status)) if status.shard_count > 0 => Ok((*status).clone()),
            Ok(_) => Err(PullError::UnknownStep),
            Err(error) => Err(PullError::Unavailable(error.to_string())),
        }
    }

    async fn find_step(&self, pull_request: &StepPullRequest) -> Result<StepStatus, PullError> {
        self.step_status(&pull_request.trainer, pull_request.step)
            .await
    }

    /// Queries all shards that are not complete concurrently. Returns when all have answered, [`COLLECT_GRACE`] after
    /// the first answer that determines the response, or, if `wait` is not zero, when a drain starts.
    ///
    /// Shards that have not answered keep their position in the cursor.
    async fn query_shards(
        &self,
        pull_request: &StepPullRequest,
        status: &StepStatus,
        wait: Duration,
        collected: &mut CollectedAnswers,
    ) {
        let mut queries = FuturesUnordered::new();
        for shard in &status.shards {
            if !collected.complete.contains(&shard.shard) {
                queries.push(self.query_shard(pull_request, shard, wait));
            }
        }
        let mut grace = None;
        while !queries.is_empty() {
            let shard_answer = tokio::select! {
                Some(shard_answer) = queries.next() => shard_answer,
                () = sleep_until(grace), if grace.is_some() => return,
                () = self.shared.drain_started(), if !wait.is_zero() => return,
            };
            collected.add(shard_answer);
            if collected.has_result() && grace.is_none() {
                grace = Some(Instant::now() + COLLECT_GRACE);
            }
        }
    }

    async fn query_shard(
        &self,
        pull_request: &StepPullRequest,
        shard: &ShardStatus,
        wait: Duration,
    ) -> ShardAnswer {
        let sent_at = Instant::now();
        let key = ShardKey {
            trainer: pull_request.trainer.clone(),
            step: pull_request.step,
            shard: shard.shard,
        };
        let after_answer = pull_request.cursor.position(shard.shard);
        let pull = match shard.finished {
            true => self.query_journal(&key.log(), after_answer).await,
            false => {
                let request = PullShard {
                    log: key.log(),
                    after_answer,
                    max_samples: pull_request.max_samples as u32,
                    wait_ms: wait.as_millis() as u64,
                };
                self.query_owner(&shard.owner, request).await
            }
        };
        ShardAnswer {
            shard: shard.shard,
            sent_at,
            pull,
        }
    }

    async fn query_journal(&self, log: &str, after_answer: u64) -> ShardPull {
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

    async fn query_owner(&self, owner: &str, request: PullShard) -> ShardPull {
        if owner == self.shared.node {
            return classify(Ok(self.handle_pull_shard(request).await));
        }
        let timeout = Duration::from_millis(request.wait_ms) + CALL_TIMEOUT;
        let request = Request {
            kind: RequestKind::pull_shard(request),
        };
        classify(
            self.shared
                .dependencies
                .peers
                .call(owner, request, timeout)
                .await,
        )
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

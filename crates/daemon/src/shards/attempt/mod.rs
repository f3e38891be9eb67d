//! Attempt at one slot: generation on an engine, resumed on another one after a failure, and scoring.

mod partial;
mod stream;

use std::sync::Arc;
use std::time::{Duration, Instant};

use ladderstage::shard::AttemptId;
use ladderstage_platform::scorer::{ScoreRequest, Scorer};
use ladderstage_wire::messages::{Sample, SampleSpec, ShardSpec};

use super::Shared;
use super::placement::{Placement, StaleEngines, place_rollout};
use crate::jitter::{backoff, jittered};
use partial::PartialSample;
use stream::Interruption;

/// Maximum number of dispatches of one attempt to engines.
const MAX_DISPATCHES: u32 = 8;

/// Interval between searches for an engine to resume on.
const PLACEMENT_RETRY_INTERVAL: Duration = Duration::from_millis(60);

/// Maximum time for which an interrupted attempt waits for an engine.
const PLACEMENT_TIMEOUT: Duration = Duration::from_secs(10);

/// Delay after the first failed call to the scorer.
const FIRST_SCORE_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum delay between calls to the scorer.
const MAX_SCORE_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Maximum number of calls to the scorer for one sample.
const MAX_SCORE_ATTEMPTS: u32 = 30;

/// Sample that is ready to be committed.
#[derive(Debug)]
pub(super) struct GeneratedSample {
    pub(super) sample: Sample,
    /// Time at which the first token arrived.
    pub(super) first_token_at: Instant,
}

impl GeneratedSample {
    pub(super) fn id(&self) -> AttemptId {
        AttemptId {
            slot: self.sample.slot,
            attempt: self.sample.attempt,
        }
    }
}

/// Error of an attempt. The slot is retried.
#[derive(Debug, thiserror::Error)]
pub(super) enum AttemptFailure {
    /// An engine returned tokens without a weight version, so the sample cannot be labelled.
    #[error("engine {0} returned no weight version")]
    Unversioned(String),
    /// The engine ended the completion without any token.
    #[error("engine returned no token")]
    Empty,
    /// The text exceeded its size limit.
    #[error("text exceeds its size limit")]
    TooLong,
    /// No engine had free capacity in time.
    #[error("no engine with free capacity to resume on")]
    NoEngine,
    /// All dispatches were interrupted.
    #[error("all {MAX_DISPATCHES} dispatches were interrupted")]
    TooManyDispatches,
    /// The scorer returned no score.
    #[error("scorer: {0}")]
    Score(String),
}

pub(super) type AttemptResult = Result<GeneratedSample, AttemptFailure>;

/// Attempt with the request to generate.
#[derive(Debug)]
pub(super) struct Attempt {
    shared: Arc<Shared>,
    id: AttemptId,
    trainer: String,
    step: u64,
    pool: String,
    prompt: String,
    max_tokens: u32,
    is_scored: bool,
}

impl Attempt {
    pub(super) fn new(
        shared: Arc<Shared>,
        spec: &ShardSpec,
        sample: &SampleSpec,
        id: AttemptId,
    ) -> Self {
        Self {
            shared,
            id,
            trainer: spec.trainer.clone(),
            step: spec.step,
            pool: spec.pool.clone(),
            prompt: sample.prompt.clone(),
            max_tokens: sample.max_tokens,
            is_scored: !spec.service.is_empty(),
        }
    }

    /// Runs the attempt, starting on the given engine.
    pub(super) async fn run(self, placement: Placement) -> AttemptResult {
        let partial = self.generate(placement).await?;
        let first_token_at = partial.first_token_at.ok_or(AttemptFailure::Empty)?;
        let mut sample = Sample {
            trainer: self.trainer.clone(),
            step: self.step,
            slot: self.id.slot,
            attempt: self.id.attempt,
            prompt: self.prompt.clone(),
            engine: partial.engines.join("+"),
            text: partial.text,
            segments: partial.segments,
            ..Sample::default()
        };
        if let Some(scorer) = self
            .shared
            .dependencies
            .scorer
            .as_ref()
            .filter(|_| self.is_scored)
        {
            sample.score = score(scorer, &sample).await?;
            sample.scored = true;
        }
        sample.age_ms = first_token_at.elapsed().as_millis() as u64;
        Ok(GeneratedSample {
            sample,
            first_token_at,
        })
    }

    async fn generate(&self, placement: Placement) -> Result<PartialSample, AttemptFailure> {
        let mut partial = PartialSample::default();
        let mut next = Some(placement);
        let mut stale_engines = StaleEngines::default();
        for _ in 0..MAX_DISPATCHES {
            let placement = match next.take() {
                Some(placement) => placement,
                None => self.wait_for_placement(&stale_engines).await?,
            };
            match self.stream(&placement, &mut partial).await {
                Ok(()) => return Ok(partial),
                Err(Interruption::Unversioned) => {
                    return Err(AttemptFailure::Unversioned(placement.engine.name.clone()));
                }
                Err(Interruption::TooLong) => return Err(AttemptFailure::TooLong),
                Err(Interruption::TooStale) => {
                    let engine = &placement.engine.name;
                    // The stale tokens may come from an earlier engine.
                    if partial.engines.last() == Some(engine) {
                        stale_engines.add(engine);
                    }
                    partial = PartialSample::default();
                }
                Err(Interruption::Refused(delay)) => {
                    drop(placement);
                    tokio::time::sleep(jittered(delay)).await;
                }
                Err(Interruption::Broken(detail)) => ::log::info!(
                    "event=stream_interrupted engine={} tokens={} error=\"{detail}\"",
                    placement.engine.name,
                    partial.tokens()
                ),
            }
        }
        Err(AttemptFailure::TooManyDispatches)
    }

    async fn wait_for_placement(&self, avoid: &StaleEngines) -> Result<Placement, AttemptFailure> {
        let deadline = Instant::now() + PLACEMENT_TIMEOUT;
        while Instant::now() < deadline {
            let placement = place_rollout(&self.shared, &self.pool, &self.prompt, avoid);
            if let Some(placement) = placement {
                return Ok(placement);
            }
            tokio::time::sleep(jittered(PLACEMENT_RETRY_INTERVAL)).await;
        }
        Err(AttemptFailure::NoEngine)
    }
}

async fn score(scorer: &Scorer, sample: &Sample) -> Result<f64, AttemptFailure> {
    let request = ScoreRequest {
        trainer: sample.trainer.clone(),
        step: sample.step,
        slot: sample.slot,
        attempt: sample.attempt,
        prompt: sample.prompt.clone(),
        text: sample.text.clone(),
    };
    let mut last_error = String::new();
    for failures in 0..MAX_SCORE_ATTEMPTS {
        match scorer.score(&request).await {
            Ok(score) => return Ok(score),
            Err(error) => last_error = error.to_string(),
        }
        tokio::time::sleep(backoff(
            FIRST_SCORE_RETRY_DELAY,
            failures,
            MAX_SCORE_RETRY_DELAY,
        ))
        .await;
    }
    Err(AttemptFailure::Score(last_error))
}

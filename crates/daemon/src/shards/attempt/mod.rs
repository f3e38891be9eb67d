//! One attempt at one slot: generation on an engine, resumed elsewhere if it breaks, and scoring.

mod partial;
mod stream;

use std::sync::Arc;
use std::time::{Duration, Instant};

use ladderstage::shard::AttemptId;
use ladderstage_platform::scorer::{ScoreRequest, Scorer};
use ladderstage_wire::messages::{Sample, SampleSpec, ShardSpec};

use super::Shared;
use super::placement::{Placement, StaleEngines, place};
use crate::jitter::{backoff, jittered};
use partial::Partial;
use stream::Interruption;

/// Engines that one attempt may be sent to, one after the other.
const MAX_DISPATCHES: u32 = 8;

/// Between looks for an engine to resume on.
const PLACE_RETRY: Duration = Duration::from_millis(60);

/// How long an interrupted attempt waits for an engine to resume on.
const PLACE_TIMEOUT: Duration = Duration::from_secs(10);

/// First delay before the scorer is asked again.
const SCORE_DELAY: Duration = Duration::from_millis(100);

/// Longest such delay.
const SCORE_DELAY_MOST: Duration = Duration::from_secs(2);

/// How often the scorer is asked for one sample.
const SCORE_TRIES: u32 = 30;

/// A sample that is ready to be committed.
#[derive(Debug)]
pub(super) struct Generated {
    pub(super) sample: Sample,
    /// When its first token came.
    pub(super) first_token_at: Instant,
}

impl Generated {
    pub(super) fn id(&self) -> AttemptId {
        AttemptId {
            slot: self.sample.slot,
            attempt: self.sample.attempt,
        }
    }
}

/// Why an attempt gave no sample. The slot is tried again.
#[derive(Debug, thiserror::Error)]
pub(super) enum AttemptFailure {
    /// An engine named no weight version, so nothing true can be said of the sample.
    #[error("engine {0} named no weight version")]
    Unversioned(String),
    /// The engine ended the completion without any token.
    #[error("engine generated nothing")]
    Empty,
    /// The text grew over its limit.
    #[error("text over its limit")]
    TooLong,
    /// No engine had room in time.
    #[error("no engine to resume on")]
    NoEngine,
    /// Every dispatch broke.
    #[error("gave up after {MAX_DISPATCHES} dispatches")]
    Dispatches,
    /// The scorer gave no score in time.
    #[error("scorer: {0}")]
    Score(String),
}

pub(super) type AttemptEnd = Result<Generated, AttemptFailure>;

/// What an attempt is to generate.
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

    /// Runs the attempt, first at the engine that was chosen for it.
    pub(super) async fn run(self, placement: Placement) -> AttemptEnd {
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
        if let Some(scorer) = self.shared.parts.scorer.as_ref().filter(|_| self.is_scored) {
            sample.score = score(scorer, &sample).await?;
            sample.scored = true;
        }
        sample.age_ms = first_token_at.elapsed().as_millis() as u64;
        Ok(Generated {
            sample,
            first_token_at,
        })
    }

    async fn generate(&self, placement: Placement) -> Result<Partial, AttemptFailure> {
        let mut partial = Partial::default();
        let mut next = Some(placement);
        let mut stale_engines = StaleEngines::default();
        for _ in 0..MAX_DISPATCHES {
            let placement = match next.take() {
                Some(placement) => placement,
                None => self.place_again(&stale_engines).await?,
            };
            match self.stream(&placement, &mut partial).await {
                Ok(()) => return Ok(partial),
                Err(Interruption::Unversioned) => {
                    return Err(AttemptFailure::Unversioned(placement.engine.name.clone()));
                }
                Err(Interruption::TooLong) => return Err(AttemptFailure::TooLong),
                Err(Interruption::TooStale) => {
                    let engine = &placement.engine.name;
                    // The stale part may have come from another engine before this one was asked.
                    if partial.engines.last() == Some(engine) {
                        stale_engines.note(engine);
                    }
                    partial = Partial::default();
                }
                Err(Interruption::Refused(delay)) => {
                    drop(placement);
                    tokio::time::sleep(jittered(delay)).await;
                }
                Err(Interruption::Cut(detail)) => ::log::info!(
                    "event=stream_interrupted engine={} tokens={} error=\"{detail}\"",
                    placement.engine.name,
                    partial.tokens()
                ),
            }
        }
        Err(AttemptFailure::Dispatches)
    }

    async fn place_again(&self, avoid: &StaleEngines) -> Result<Placement, AttemptFailure> {
        let deadline = Instant::now() + PLACE_TIMEOUT;
        while Instant::now() < deadline {
            let placed = place(&self.shared, &self.pool, &self.prompt, avoid);
            if let Some(placement) = placed {
                return Ok(placement);
            }
            tokio::time::sleep(jittered(PLACE_RETRY)).await;
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
    for failures in 0..SCORE_TRIES {
        match scorer.score(&request).await {
            Ok(score) => return Ok(score),
            Err(error) => last_error = error.to_string(),
        }
        tokio::time::sleep(backoff(SCORE_DELAY, failures, SCORE_DELAY_MOST)).await;
    }
    Err(AttemptFailure::Score(last_error))
}

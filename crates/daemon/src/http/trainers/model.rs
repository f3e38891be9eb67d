//! JSON bodies of the trainer endpoints.

use std::fmt;

use ladderstage_wire::messages::{Sample, Segment, ShardSpec};
use serde::{Deserialize, Serialize};

use crate::shards::{ShardStatus, StepPullResponse, StepStatus, SubmittedStep};

/// Step that a trainer submits.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct StepBody {
    pub(super) pool: String,
    pub(super) samples: Vec<SampleBody>,
    /// Scorer to use. If absent, the daemons use their own if they have one; if empty, samples are not scored.
    #[serde(default)]
    pub(super) scorer: Option<String>,
}

/// Sample that a step requests.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct SampleBody {
    pub(super) prompt: String,
    pub(super) max_tokens: u32,
    /// Expected number of tokens; 0 if unknown.
    #[serde(default)]
    pub(super) expected_tokens: u32,
}

/// Problem in a request and its position.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(super) struct Finding {
    place: String,
    problem: String,
}

impl Finding {
    pub(super) fn new(place: &str, problem: &str) -> Self {
        Self {
            place: place.to_owned(),
            problem: problem.to_owned(),
        }
    }

    /// Returns the position of the problem.
    pub(super) fn place(&self) -> &str {
        &self.place
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.place, self.problem)
    }
}

/// Answer to a submission.
#[derive(Debug, Serialize)]
pub(super) struct SubmittedBody<'a> {
    trainer: &'a str,
    step: u64,
    samples: usize,
    shards: u32,
    was_open: bool,
}

impl<'a> SubmittedBody<'a> {
    pub(super) fn new(
        trainer: &'a str,
        step: u64,
        spec: &ShardSpec,
        submitted: SubmittedStep,
    ) -> Self {
        Self {
            trainer,
            step,
            samples: spec.samples.len(),
            shards: submitted.shard_count,
            was_open: submitted.was_open,
        }
    }
}

/// Answer to a pull.
#[derive(Debug, Serialize)]
pub(super) struct SamplesBody {
    samples: Vec<DeliveredSample>,
    cursor: String,
    complete: bool,
    bundle_revision: u64,
}

#[derive(Debug, Serialize)]
struct DeliveredSample {
    trainer: String,
    step: u64,
    slot: u32,
    attempt: u32,
    prompt: String,
    text: String,
    segments: Vec<SegmentBody>,
    score: Option<f64>,
    engine: String,
}

#[derive(Debug, Serialize)]
struct SegmentBody {
    weight_version: u64,
    tokens: u32,
}

impl SamplesBody {
    pub(super) fn new(trainer: &str, step: u64, pull: StepPullResponse) -> Self {
        Self {
            cursor: pull.cursor.encode(trainer, step),
            samples: pull
                .samples
                .into_iter()
                .map(DeliveredSample::from)
                .collect(),
            complete: pull.complete,
            bundle_revision: pull.bundle_revision,
        }
    }
}

impl From<Sample> for DeliveredSample {
    fn from(sample: Sample) -> Self {
        Self {
            trainer: sample.trainer,
            step: sample.step,
            slot: sample.slot,
            attempt: sample.attempt,
            prompt: sample.prompt,
            text: sample.text,
            segments: sample.segments.iter().map(SegmentBody::from).collect(),
            score: sample.scored.then_some(sample.score),
            engine: sample.engine,
        }
    }
}

impl From<&Segment> for SegmentBody {
    fn from(segment: &Segment) -> Self {
        Self {
            weight_version: segment.weight_version,
            tokens: segment.tokens,
        }
    }
}

/// Answer to a query of a step's status.
#[derive(Debug, Serialize)]
pub(super) struct StepStatusBody<'a> {
    trainer: &'a str,
    step: u64,
    pool: String,
    shard_count: u32,
    finished: bool,
    shards: Vec<ShardStatus>,
}

impl<'a> StepStatusBody<'a> {
    pub(super) fn new(trainer: &'a str, step: u64, status: StepStatus) -> Self {
        Self {
            trainer,
            step,
            finished: status.has_all_shards() && status.shards.iter().all(|shard| shard.finished),
            pool: status.pool,
            shard_count: status.shard_count,
            shards: status.shards,
        }
    }
}

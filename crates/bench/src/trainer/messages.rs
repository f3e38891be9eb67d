//! JSON messages of the trainers' API.

use serde::{Deserialize, Serialize};

use crate::text::Segment;

/// A sample that a step requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SampleSpec {
    pub prompt: String,
    /// Maximum number of tokens.
    pub max_tokens: u32,
    /// Expected number of tokens, for scheduling.
    pub expected_tokens: u32,
}

/// Body of a submitted step.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepSpec {
    /// Pool that generates the samples.
    pub pool: String,
    /// Samples, indexed by slot.
    pub samples: Vec<SampleSpec>,
}

impl StepSpec {
    /// Generates a step of `count` samples of `tokens` tokens; every tenth sample is five times as
    /// long.
    pub fn generate(pool: &str, step: u64, count: u32, tokens: u32) -> Self {
        let sample = |slot: u32| {
            let tokens = if slot % 10 == 9 { 5 * tokens } else { tokens };
            SampleSpec {
                prompt: format!("step {step} slot {slot}"),
                max_tokens: tokens,
                expected_tokens: tokens,
            }
        };
        Self {
            pool: pool.to_owned(),
            samples: (0..count).map(sample).collect(),
        }
    }
}

/// A delivered sample.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Sample {
    pub trainer: String,
    pub step: u64,
    pub slot: u32,
    /// Attempt number of the slot.
    pub attempt: u32,
    pub prompt: String,
    pub text: String,
    /// Weight versions that produced the text, in order.
    pub segments: Vec<Segment>,
    /// Score, if a scorer is configured.
    #[serde(default)]
    pub score: Option<f64>,
    /// Engine that generated the last token.
    pub engine: String,
}

/// Answer to a pull.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct SamplesAnswer {
    pub samples: Vec<Sample>,
    /// Cursor that acknowledges these samples in the next pull.
    pub cursor: String,
    /// Whether no samples remain after these.
    pub complete: bool,
    /// Revision of the bundle that the samples were checked against.
    pub bundle_revision: u64,
}

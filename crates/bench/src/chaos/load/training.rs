//! Trainers that run consecutive steps, drop answers and alternate between daemons.

use std::time::Duration;

use rand::RngExt;

use super::super::violation::Guarantee;
use super::Task;
use crate::cluster::MODEL_POOL;
use crate::trainer::{PullOptions, StepSpec, Trainer};

const SAMPLES: u32 = 40;
const TOKENS: std::ops::Range<u32> = 8..40;
const SAMPLES_PER_ANSWER: u32 = 7;
const PULLS_PER_DROP: u32 = 4;

/// Runs steps until stopped and completes the last one. `step_timeout` is the time limit per step.
pub(super) async fn run(mut task: Task, mut trainer: Trainer, step_timeout: Duration) {
    let options = PullOptions {
        max: SAMPLES_PER_ANSWER,
        drop_every: PULLS_PER_DROP,
        rotates_daemons: true,
        deadline: step_timeout,
        ..PullOptions::default()
    };
    let mut step = 0;
    while !task.is_stopped() {
        step += 1;
        let tokens = task.random.random_range(TOKENS);
        let spec = step_spec(trainer.name(), step, tokens);
        let result = trainer.run(step, &spec, &options).await;
        let recorder = &task.shared.recorder;
        for refusal in trainer.refusals_without_retry_after.drain(..) {
            recorder.record_violation(Guarantee::RetryAfter, refusal);
        }
        let report = match result {
            Ok(report) => report,
            Err(error) => {
                let evidence = format!("{} step {step}: {error}", trainer.name());
                return recorder.record_violation(Guarantee::StepsComplete, evidence);
            }
        };
        for violation in &report.violations {
            let evidence = format!("{} step {step}: {violation}", trainer.name());
            recorder.record_violation(Guarantee::Samples, evidence);
        }
        recorder.update(|observations| {
            observations.steps += 1;
            observations.samples += report.delivered;
            observations.answers_dropped += report.answers_dropped;
        });
    }
}

/// Generates a step whose prompts are unique to this trainer.
fn step_spec(trainer: &str, step: u64, tokens: u32) -> StepSpec {
    let mut spec = StepSpec::generate(MODEL_POOL, step, SAMPLES, tokens);
    for sample in &mut spec.samples {
        sample.prompt = format!("{trainer} {}", sample.prompt);
    }
    spec
}

//! Trainers' interface: submitting steps and pulling their samples.

mod answer;
mod model;
mod submission;

use std::time::Duration;

use ladderstage::shard::StepCursor;
use rocket::data::Data;
use rocket::{Route, State, get, post, routes};

use super::body::{LimitedBody, read_limited};
use crate::drain::{Drain, DrainGuard};
use crate::shards::{MAX_PULL_WAIT, Shards, StepPullRequest};
use answer::{Refusal, TrainerAnswer};
use model::{SamplesBody, StepStatusBody, SubmittedBody};

/// Longest body of a submitted step.
const MAX_STEP_BYTES: usize = 8 * 1024 * 1024;

/// Samples in one answer if the trainer names no number.
const DEFAULT_MAX_SAMPLES: usize = 64;

/// Most samples in one answer.
const MAX_SAMPLES: usize = 1_024;

/// Longest trainer name, in bytes.
const MAX_TRAINER_BYTES: usize = 64;

/// Routes of this module; they need a managed [`Shards`] and [`Drain`].
pub fn routes() -> Vec<Route> {
    routes![submit, pull, status]
}

#[post("/v1/trainers/<trainer>/steps/<step>", data = "<data>")]
async fn submit(
    drain: &State<Drain>,
    shards: &State<Shards>,
    trainer: &str,
    step: &str,
    data: Data<'_>,
) -> Result<TrainerAnswer, Refusal> {
    let guard = begin(drain)?;
    let (trainer, step) = names(trainer, step)?;
    let body = read_body(data).await?;
    let spec = submission::parse(&body, trainer, step, shards)?;
    let submitted = shards.submit(&spec).await?;
    TrainerAnswer::json(&SubmittedBody::new(trainer, step, &spec, submitted), guard)
}

#[get("/v1/trainers/<trainer>/steps/<step>/samples?<after>&<max>&<wait_ms>")]
async fn pull(
    drain: &State<Drain>,
    shards: &State<Shards>,
    trainer: &str,
    step: &str,
    after: Option<&str>,
    max: Option<&str>,
    wait_ms: Option<&str>,
) -> Result<TrainerAnswer, Refusal> {
    let guard = begin(drain)?;
    let (trainer, step) = names(trainer, step)?;
    let cursor = StepCursor::parse(trainer, step, after.unwrap_or_default())
        .map_err(|error| Refusal::bad_request("after", &error.to_string()))?;
    let max_samples = number(
        "max",
        max,
        DEFAULT_MAX_SAMPLES as u64,
        1,
        MAX_SAMPLES as u64,
    )?;
    let most_wait = MAX_PULL_WAIT.as_millis() as u64;
    let wait_ms = number("wait_ms", wait_ms, 0, 0, most_wait)?;
    let question = StepPullRequest {
        trainer: trainer.to_owned(),
        step,
        cursor,
        max_samples: max_samples as usize,
        wait: Duration::from_millis(wait_ms),
    };
    let pull = shards.pull(&question).await?;
    TrainerAnswer::json(&SamplesBody::new(trainer, step, pull), guard)
}

#[get("/v1/trainers/<trainer>/steps/<step>")]
async fn status(
    drain: &State<Drain>,
    shards: &State<Shards>,
    trainer: &str,
    step: &str,
) -> Result<TrainerAnswer, Refusal> {
    let guard = begin(drain)?;
    let (trainer, step) = names(trainer, step)?;
    let status = shards.step_status(trainer, step).await?;
    TrainerAnswer::json(&StepStatusBody::new(trainer, step, status), guard)
}

/// Counts the request, so that a planned stop waits for it.
fn begin(drain: &Drain) -> Result<DrainGuard, Refusal> {
    drain.begin().ok_or_else(Refusal::draining)
}

fn names<'a>(trainer: &'a str, step: &str) -> Result<(&'a str, u64), Refusal> {
    let is_named_well = !trainer.is_empty()
        && trainer.len() <= MAX_TRAINER_BYTES
        && trainer.bytes().all(is_name_byte)
        && !trainer.bytes().all(|byte| byte == b'.');
    if !is_named_well {
        let problem = "must be 1 to 64 of a-z, A-Z, 0-9, '-', '_' and '.', and not dots alone";
        return Err(Refusal::bad_request("trainer", problem));
    }
    let step = step
        .parse()
        .map_err(|_| Refusal::bad_request("step", "must be a number from 0 to 2^64 - 1"))?;
    Ok((trainer, step))
}

fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.')
}

fn number(
    place: &str,
    text: Option<&str>,
    default: u64,
    least: u64,
    most: u64,
) -> Result<u64, Refusal> {
    let Some(text) = text else {
        return Ok(default);
    };
    match text.parse() {
        Ok(number) if (least..=most).contains(&number) => Ok(number),
        _ => {
            let problem = format!("must be a number from {least} to {most}");
            Err(Refusal::bad_request(place, &problem))
        }
    }
}

async fn read_body(data: Data<'_>) -> Result<Vec<u8>, Refusal> {
    let read = read_limited(data, None, MAX_STEP_BYTES as u64).await;
    match read.map_err(|error| Refusal::bad_request("body", &error.to_string()))? {
        LimitedBody::Whole(bytes) => Ok(bytes),
        LimitedBody::TooLong => Err(Refusal::too_large(MAX_STEP_BYTES)),
    }
}

//! Endpoints for trainers: submit steps, pull samples and query the status of steps.

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

/// Maximum length in bytes of a submitted step.
const MAX_STEP_BYTES: usize = 8 * 1024 * 1024;

/// Default of the `max` parameter.
const DEFAULT_MAX_SAMPLES: usize = 64;

/// Maximum number of samples in an answer.
const MAX_SAMPLES: usize = 1_024;

/// Maximum length in bytes of a trainer's name.
const MAX_TRAINER_BYTES: usize = 64;

/// Returns the routes of this module. They need a managed [`Shards`] and [`Drain`].
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
    let guard = track_request(drain)?;
    let (trainer, step) = parse_path(trainer, step)?;
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
    let guard = track_request(drain)?;
    let (trainer, step) = parse_path(trainer, step)?;
    let cursor = StepCursor::parse(trainer, step, after.unwrap_or_default())
        .map_err(|error| Refusal::bad_request("after", &error.to_string()))?;
    let max_samples = parse_number(
        "max",
        max,
        DEFAULT_MAX_SAMPLES as u64,
        1,
        MAX_SAMPLES as u64,
    )?;
    let max_wait_ms = MAX_PULL_WAIT.as_millis() as u64;
    let wait_ms = parse_number("wait_ms", wait_ms, 0, 0, max_wait_ms)?;
    let request = StepPullRequest {
        trainer: trainer.to_owned(),
        step,
        cursor,
        max_samples: max_samples as usize,
        wait: Duration::from_millis(wait_ms),
    };
    let pull = shards.pull(&request).await?;
    TrainerAnswer::json(&SamplesBody::new(trainer, step, pull), guard)
}

#[get("/v1/trainers/<trainer>/steps/<step>")]
async fn status(
    drain: &State<Drain>,
    shards: &State<Shards>,
    trainer: &str,
    step: &str,
) -> Result<TrainerAnswer, Refusal> {
    let guard = track_request(drain)?;
    let (trainer, step) = parse_path(trainer, step)?;
    let status = shards.step_status(trainer, step).await?;
    TrainerAnswer::json(&StepStatusBody::new(trainer, step, status), guard)
}

/// Counts the request as in flight, so that a drain waits for it.
fn track_request(drain: &Drain) -> Result<DrainGuard, Refusal> {
    drain.track_request().ok_or_else(Refusal::draining)
}

fn parse_path<'a>(trainer: &'a str, step: &str) -> Result<(&'a str, u64), Refusal> {
    let is_valid_name = !trainer.is_empty()
        && trainer.len() <= MAX_TRAINER_BYTES
        && trainer.bytes().all(is_name_byte)
        && !trainer.bytes().all(|byte| byte == b'.');
    if !is_valid_name {
        let problem =
            "must be 1 to 64 characters of a-z, A-Z, 0-9, '-', '_' and '.', and not only dots";
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

fn parse_number(
    place: &str,
    text: Option<&str>,
    default: u64,
    min: u64,
    max_value: u64,
) -> Result<u64, Refusal> {
    let Some(text) = text else {
        return Ok(default);
    };
    match text.parse() {
        Ok(parse_number) if (min..=max_value).contains(&parse_number) => Ok(parse_number),
        _ => {
            let problem = format!("must be a number from {min} to {max_value}");
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

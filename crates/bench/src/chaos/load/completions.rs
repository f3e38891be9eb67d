//! Callers of streamed and unstreamed completions.

use rand::RngExt;

use super::super::evidence::{Attempt, Outcome, Request, RequestKind};
use super::{Task, record_error};
use crate::cluster::MODEL_POOL;
use crate::live::Caller;

const TOKENS: std::ops::Range<u64> = 5..60;
/// Covers every weight version that a run can roll.
const POSSIBLE_VERSIONS: std::ops::RangeInclusive<u64> = 1..=100;
const PAUSE_MS: std::ops::Range<u64> = 20..150;

/// Requests completions until stopped.
pub(super) async fn run(mut task: Task) {
    let mut round = 0;
    while !task.is_stopped() {
        round += 1;
        let prompt = format!("completion {}/{round}", task.number);
        let daemon = task.any_daemon();
        let tokens = task.random.random_range(TOKENS);
        let stream = task.random.random();
        let caller = Caller::new(&daemon).with_possible_versions(POSSIBLE_VERSIONS);
        let result = caller.complete(MODEL_POOL, &prompt, tokens, stream).await;
        let recorder = &task.shared.recorder;
        if let Err(error) = &result {
            record_error(recorder, &prompt, error);
        }
        let is_fully_labelled = result
            .as_ref()
            .map_or(true, |completion| completion.is_fully_labelled);
        let attempt = Attempt {
            daemon,
            outcome: Outcome::of(&result),
            detail: result
                .err()
                .map(|error| error.to_string())
                .unwrap_or_default(),
        };
        let kind = match stream {
            true => RequestKind::Streamed,
            false => RequestKind::Completion,
        };
        recorder.update(|observations| {
            observations.requests.push(Request {
                kind,
                content: prompt,
                tries: vec![attempt],
                lacks_versions: !is_fully_labelled,
            });
        });
        task.pause(PAUSE_MS).await;
    }
}

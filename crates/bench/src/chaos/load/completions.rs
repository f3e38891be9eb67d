//! Callers of streamed and unstreamed completions.

use rand::RngExt;

use super::super::evidence::{Outcome, Request, RequestKind, Try};
use super::{Task, note_error};
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
        let caller = Caller::new(&daemon).accepting_unnamed(POSSIBLE_VERSIONS);
        let result = caller.complete(MODEL_POOL, &prompt, tokens, stream).await;
        let notebook = &task.shared.notebook;
        if let Err(error) = &result {
            note_error(notebook, &prompt, error);
        }
        let names_all = result
            .as_ref()
            .map_or(true, |completion| completion.names_all);
        let tried = Try {
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
        notebook.write(|notes| {
            notes.requests.push(Request {
                kind,
                content: prompt,
                tries: vec![tried],
                lacks_versions: !names_all,
            });
        });
        task.pause(PAUSE_MS).await;
    }
}

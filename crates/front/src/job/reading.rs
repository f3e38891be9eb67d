//! Reading and ending a job at its owner.

use std::time::{Duration, Instant};

use ladderstage_wire::messages::JobResults;
use tokio::sync::oneshot;

use super::shared::{Command, Job};
use super::state::JobState;

/// Bytes of texts in one answer, at most one result more.
const RESULT_BYTES: usize = 768 * 1024;

/// How long an end waits for its commit.
pub(super) const COMMIT_LIMIT: Duration = Duration::from_millis(3_500);

/// Why a job could not be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ReadError {
    /// There is no such job or item.
    #[error("not found")]
    NotFound,
    /// Whether there is one cannot be told now.
    #[error("unavailable: {0}")]
    Unavailable(String),
}

/// Results of a job of this node from position `after` on; waits up to `wait` for one.
pub(super) async fn read_local(job: &Job, after: u64, wait: Duration) -> JobResults {
    let mut changed = job.watch();
    let deadline = Instant::now() + wait;
    loop {
        let results = page(&job.state(), after);
        let is_waiting = results.results.is_empty() && after < results.total;
        if !is_waiting || job.state().is_ended() {
            return results;
        }
        let waited = tokio::time::timeout_at(deadline.into(), changed.changed()).await;
        if !matches!(waited, Ok(Ok(()))) {
            return page(&job.state(), after);
        }
    }
}

fn page(state: &JobState, after: u64) -> JobResults {
    let total = state.spec().map_or(0, |spec| spec.items.len()) as u64;
    let start = usize::try_from(after)
        .unwrap_or(usize::MAX)
        .min(state.results().len());
    let mut bytes = 0;
    let mut results = Vec::new();
    for result in &state.results()[start..] {
        if !results.is_empty() && bytes + result.text.len() > RESULT_BYTES {
            break;
        }
        bytes += result.text.len();
        results.push(result.clone());
    }
    JobResults { total, results }
}

/// Body of an item of a job of this node; `None` once it is not asked for any more.
pub(super) fn body_local(job: &Job, item: &str) -> Option<Vec<u8>> {
    let state = job.state();
    if state.is_ended() {
        return None;
    }
    state.item(item).map(|item| item.body.clone())
}

/// Ends a job of this node; `Ok` once that is committed.
pub(super) async fn end_local(job: &Job) -> Result<(), ReadError> {
    if job.state().is_ended() {
        return Ok(());
    }
    let (answer, ended) = oneshot::channel();
    if !job.ask(Command::End(answer)) {
        return match job.state().is_ended() {
            true => Ok(()),
            false => Err(unavailable("the owner has stopped")),
        };
    }
    match tokio::time::timeout(COMMIT_LIMIT, ended).await {
        Ok(Ok(())) => Ok(()),
        _ => Err(unavailable("the end is not committed yet")),
    }
}

/// Whether there is such a job cannot be told now.
pub(super) fn unavailable(cause: &str) -> ReadError {
    ReadError::Unavailable(cause.to_owned())
}

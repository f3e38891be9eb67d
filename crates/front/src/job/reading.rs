//! Reads and ends jobs that this node owns.

use std::time::Duration;

use ladderstage_clock::Instant;
use ladderstage_wire::compression::{compress, decompress};
use ladderstage_wire::messages::mod_Response::OneOfkind as ResponseKind;
use ladderstage_wire::messages::{JobResult, JobResults};
use ladderstage_wire::{decode, encode};
use tokio::sync::oneshot;

use super::local_job::{Command, Job};
use super::state::JobState;

/// Maximum total size of the texts in one answer, in bytes. A single larger result is still
/// returned.
const MAX_PAGE_BYTES: usize = 768 * 1024;

/// Time limit for committing the acceptance or the end of a job.
pub const COMMIT_TIMEOUT: Duration = Duration::from_millis(3_500);

/// Error of reading or ending a job.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum JobError {
    /// The job or the item does not exist.
    #[error("not found")]
    NotFound,
    /// The owner could not be reached or cannot confirm its ownership.
    #[error("unavailable: {0}")]
    Unavailable(String),
}

/// Returns results from position `after` on; waits up to `wait` if there are none yet.
pub(super) async fn read_local_job(job: &Job, after: u64, wait: Duration) -> JobResults {
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
    results_page(state.results(), total, after)
}

/// Returns results from position `after` on, up to [`MAX_PAGE_BYTES`].
pub(super) fn results_page(all: &[JobResult], total: u64, after: u64) -> JobResults {
    let start = usize::try_from(after).unwrap_or(usize::MAX).min(all.len());
    let mut results = Vec::new();
    extend_page(&mut results, all[start..].iter().cloned());
    JobResults { total, results }
}

/// Adds results to those of a page, up to [`MAX_PAGE_BYTES`].
pub(super) fn extend_page(
    page: &mut Vec<JobResult>,
    following: impl IntoIterator<Item = JobResult>,
) {
    let mut bytes: usize = page.iter().map(|result| result.text.len()).sum();
    for result in following {
        if !page.is_empty() && bytes + result.text.len() > MAX_PAGE_BYTES {
            break;
        }
        bytes += result.text.len();
        page.push(result);
    }
}

/// Returns the total size of the texts of a page, in bytes.
pub fn text_bytes(page: &JobResults) -> usize {
    page.results.iter().map(|result| result.text.len()).sum()
}

/// Returns the body of an item, or `None` if the item does not exist or the job has ended.
pub(super) fn local_item_body(job: &Job, item: &str) -> Option<Vec<u8>> {
    let state = job.state();
    if state.is_ended() {
        return None;
    }
    state.item(item).map(|item| item.body.clone())
}

/// Ends a job; returns `Ok` once the end is committed.
pub(super) async fn end_local_job(job: &Job) -> Result<(), JobError> {
    if job.state().is_ended() {
        return Ok(());
    }
    let (answer, ended) = oneshot::channel();
    if !job.send(Command::End(answer)) {
        return match job.state().is_ended() {
            true => Ok(()),
            false => Err(unavailable("the job's owner has stopped")),
        };
    }
    match tokio::time::timeout(COMMIT_TIMEOUT, ended).await {
        Ok(Ok(())) => Ok(()),
        _ => Err(unavailable("the end of the job is not committed yet")),
    }
}

/// Minimum size of texts in an answer to be compressed for another node, in bytes.
const MIN_COMPRESSED_BYTES: usize = 1_024;

/// Builds the answer for another node, compressed if it is large and the other node supports it.
pub(super) fn results_answer(results: JobResults, takes_compressed: bool) -> ResponseKind {
    if !takes_compressed || text_bytes(&results) < MIN_COMPRESSED_BYTES {
        return ResponseKind::job_results(results);
    }
    ResponseKind::compressed_job_results(compress(&encode(&results)))
}

/// Decompresses the results in another node's answer.
pub(super) fn decompress_results(compressed: &[u8]) -> Result<JobResults, JobError> {
    let plain = decompress(compressed).map_err(|error| unavailable(&error.to_string()))?;
    decode(&plain).map_err(|error| unavailable(&error.to_string()))
}

/// Creates the error for a job that cannot be reached at present.
pub(super) fn unavailable(cause: &str) -> JobError {
    JobError::Unavailable(cause.to_owned())
}

//! Requests about jobs to other nodes, and conversion of the answers.

use std::time::Duration;

use ladderstage_wire::messages::mod_Request::OneOfkind as RequestKind;
use ladderstage_wire::messages::mod_Response::OneOfkind as ResponseKind;
use ladderstage_wire::messages::{EndJob, JobResults, ReadJob, ReadJobBody};

use super::reading::{JobError, decompress_results, unavailable};

/// Builds a request for results from position `after` on. `anywhere` allows the receiver to forward
/// it to the owner.
pub(super) fn read_request(id: &str, after: u64, wait: Duration, anywhere: bool) -> RequestKind {
    RequestKind::read_job(ReadJob {
        job: id.to_owned(),
        after,
        wait_ms: wait.as_millis() as u64,
        takes_compressed: true,
        anywhere,
        acceptance_only: false,
    })
}

/// Builds a request for the body of an item.
pub(super) fn body_request(id: &str, item: &str, anywhere: bool) -> RequestKind {
    RequestKind::read_job_body(ReadJobBody {
        job: id.to_owned(),
        item: item.to_owned(),
        anywhere,
    })
}

/// Builds a request to end a job.
pub(super) fn end_request(id: &str, anywhere: bool) -> RequestKind {
    RequestKind::end_job(EndJob {
        job: id.to_owned(),
        anywhere,
    })
}

/// Extracts results from an answer.
pub(super) fn results_from(answer: ResponseKind) -> Result<JobResults, JobError> {
    match answer {
        ResponseKind::job_results(results) => Ok(results),
        ResponseKind::compressed_job_results(compressed) => decompress_results(&compressed),
        _ => Err(unavailable("unexpected kind of answer")),
    }
}

/// Extracts an item's body from an answer.
pub(super) fn body_from(answer: ResponseKind) -> Result<Vec<u8>, JobError> {
    match answer {
        ResponseKind::job_body(body) if body.found => Ok(body.body),
        ResponseKind::job_body(_) => Err(JobError::NotFound),
        _ => Err(unavailable("unexpected kind of answer")),
    }
}

/// Checks that an answer confirms the request.
pub(super) fn done_from(answer: ResponseKind) -> Result<(), JobError> {
    match answer {
        ResponseKind::done(_) => Ok(()),
        _ => Err(unavailable("unexpected kind of answer")),
    }
}

//! Submissions of batch jobs, and calls about them.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode};
use ladderstage_wire::messages::{JobResults, JobSpec};

use super::Ingress;
use super::answers::{AnswerBody, complete, empty, json, no_memory, not_run};
use crate::dialect::{JobBody, JobCall, ReadJobError, SharedCodec};
use crate::job::{AcceptError, JobError, LARGE_JOB_BYTES, job_key, text_bytes};
use crate::memory::{LARGE_CONTENT_BYTES, Reservation};
use crate::tenant::Caller;

/// Copies of the texts of a page while its response is built: as texts and encoded.
const RESULT_COPIES: usize = 2;

/// Request that submits a job, without its body.
pub(super) struct JobSubmission<'a> {
    pub attempt_id: &'a HeaderValue,
    pub caller: &'a Caller,
    pub host: &'a str,
    pub path: &'a str,
}

/// Body of a submitted job that is to be parsed.
struct JobReading {
    codec: SharedCodec,
    job: String,
    host: String,
    path: String,
    body: Bytes,
}

impl JobReading {
    /// Parses the body and drops it. Large bodies are parsed beside the other tasks of this thread.
    async fn read(self, memory: &mut Reservation) -> Result<JobSpec, ReadJobError> {
        if self.body.len() < LARGE_JOB_BYTES {
            return self.parse(memory);
        }
        let mut own_memory = memory.take();
        let parsing = tokio::task::spawn_blocking(move || {
            let parsed = self.parse(&mut own_memory);
            (parsed, own_memory)
        });
        match parsing.await {
            Ok((parsed, reserved)) => {
                *memory = reserved;
                parsed
            }
            Err(error) => Err(ReadJobError::Malformed(error.to_string())),
        }
    }

    fn parse(self, memory: &mut Reservation) -> Result<JobSpec, ReadJobError> {
        let body = JobBody {
            job: &self.job,
            host: &self.host,
            path: &self.path,
            body: &self.body,
        };
        self.codec.read_job(&body, memory)
    }
}

impl JobSubmission<'_> {
    /// Returns the name of the sender's tenant.
    fn tenant(&self) -> Option<&str> {
        let tenant = self.caller.tenant();
        tenant.map(|tenant| tenant.name.as_ref())
    }

    /// Returns the key of the job.
    fn key(&self) -> String {
        let id = self.attempt_id.to_str().unwrap_or_default();
        job_key(self.tenant(), id)
    }
}

impl Ingress {
    /// Returns whether this node owns the job already, so that its body is not needed again.
    pub(super) fn is_accepted(&self, submission: &JobSubmission<'_>) -> bool {
        self.jobs.has_accepted(&submission.key())
    }

    /// Accepts a job. `memory` covers its body, and later the job.
    pub(super) async fn submit_job(
        &self,
        submission: JobSubmission<'_>,
        body: Bytes,
        mut memory: Reservation,
    ) -> Response<AnswerBody> {
        let (tenant, id) = (submission.tenant(), &submission.key());
        let body_bytes = memory.bytes();
        let reading = JobReading {
            codec: Arc::clone(&self.codec),
            job: id.clone(),
            host: submission.host.to_owned(),
            path: submission.path.to_owned(),
            body,
        };
        let spec = match reading.read(&mut memory).await {
            Ok(spec) => JobSpec {
                tenant: tenant.unwrap_or_default().to_owned(),
                ..spec
            },
            Err(ReadJobError::NoMemory(cause)) => {
                log::warn!("event=job_refused job={id} cause=\"{cause}\"");
                return no_memory();
            }
            Err(ReadJobError::Malformed(cause)) => {
                log::warn!("event=job_unreadable job={id} cause=\"{cause}\"");
                return empty(StatusCode::BAD_REQUEST);
            }
        };
        memory.shrink_to(memory.bytes() - body_bytes);
        match self.jobs.accept(spec, memory).await {
            Ok(()) => empty(StatusCode::ACCEPTED),
            Err(AcceptError::NoMemory(cause)) => {
                log::warn!("event=job_refused job={id} cause=\"{cause}\"");
                no_memory()
            }
            Err(AcceptError::NotStored(cause)) => {
                log::warn!("event=job_refused job={id} cause=\"{cause}\"");
                not_run()
            }
            Err(AcceptError::OutcomeUnknown(cause)) => {
                log::warn!("event=job_outcome_unknown job={id} cause=\"{cause}\"");
                empty(StatusCode::GATEWAY_TIMEOUT)
            }
        }
    }

    /// Builds the response to a read, whose memory is reserved until the client has read it, or refuses
    /// the read.
    async fn results_response(
        &self,
        job: &str,
        after: u64,
        results: JobResults,
    ) -> Response<AnswerBody> {
        log::info!(
            "event=job_read job={job} after={after} results={} of={}",
            results.results.len(),
            results.total
        );
        let mut memory = self.memory.reservation("results");
        let texts = text_bytes(&results);
        if memory.grow(texts * RESULT_COPIES).is_err() {
            return no_memory();
        }
        if texts >= LARGE_CONTENT_BYTES {
            self.memory.take_turn().await;
        }
        let body = self.codec.write_results(&results, after);
        drop(results);
        memory.shrink_to(body.len());
        json(memory.attach_to(body))
    }

    /// Builds the response with the body of an item, as [`Ingress::results_response`].
    fn item_response(&self, body: Vec<u8>) -> Response<AnswerBody> {
        let mut memory = self.memory.reservation("results");
        if memory.grow(body.len()).is_err() {
            return no_memory();
        }
        complete(StatusCode::OK, memory.attach_to(Bytes::from(body)))
    }

    /// Serves a job call. A job is visible to its own tenant only.
    pub(super) async fn job_call(
        &self,
        call: JobCall,
        caller: &Caller,
        read_wait: Duration,
    ) -> Response<AnswerBody> {
        let tenant = caller.tenant().map(|tenant| tenant.name.as_ref());
        let call = call.map_job(|id| job_key(tenant, &id));
        let mut _search = None;
        if !self.jobs.knows_owner(call.job()) {
            _search = self.job_searches.try_acquire().ok();
            if _search.is_none() {
                log::info!(
                    "event=job_call_refused job={} cause=\"too many searches\"",
                    call.job()
                );
                return not_run();
            }
        }
        let (job, result) = match &call {
            JobCall::Read { job, after } => {
                let response = match self.jobs.read(job, *after, read_wait).await {
                    Ok(results) => Ok(self.results_response(job, *after, results).await),
                    Err(error) => Err(error),
                };
                (job, response)
            }
            JobCall::Body { job, item } => {
                let body = self.jobs.body(job, item).await;
                (job, body.map(|body| self.item_response(body)))
            }
            JobCall::End { job } => {
                let ended = self.jobs.end(job).await;
                (job, ended.map(|()| empty(StatusCode::OK)))
            }
        };
        result.unwrap_or_else(|error| {
            log::info!("event=job_call_failed job={job} cause=\"{error}\"");
            match error {
                JobError::NotFound => empty(StatusCode::NOT_FOUND),
                JobError::Unavailable(_) => not_run(),
            }
        })
    }
}

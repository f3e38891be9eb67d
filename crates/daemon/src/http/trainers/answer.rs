//! Answers and refusals as HTTP responses.

use std::io::Cursor;

use rocket::Request;
use rocket::http::{ContentType, Header, Status};
use rocket::response::{Responder, Response};
use serde::Serialize;

use super::model::Finding;
use crate::drain::DrainGuard;
use crate::http::outcome::HeldBody;
use crate::shards::{PullError, Shards, SubmitError};

/// Header that says whether a refused request ran.
const OUTCOME_HEADER: &str = "Ladderstage-Outcome";

const NOT_RUN: &str = "not-run";
const UNKNOWN: &str = "unknown";

/// Seconds after which a refused trainer should ask again.
const RETRY_AFTER_SECONDS: u64 = 1;

/// A whole JSON answer. A planned stop waits until it is written.
#[derive(Debug)]
pub(super) struct TrainerAnswer {
    length: usize,
    body: HeldBody,
}

impl TrainerAnswer {
    pub(super) fn json(body: &impl Serialize, guard: DrainGuard) -> Result<Self, Refusal> {
        match serde_json::to_vec(body) {
            Ok(body) => Ok(Self {
                length: body.len(),
                body: HeldBody::whole(body.into(), guard),
            }),
            Err(error) => Err(Refusal::internal(&error.to_string())),
        }
    }
}

impl<'r> Responder<'r, 'static> for TrainerAnswer {
    fn respond_to(self, _: &'r Request<'_>) -> rocket::response::Result<'static> {
        Response::build()
            .header(ContentType::JSON)
            .sized_body(self.length, self.body)
            .ok()
    }
}

/// Why a trainer's request was not carried out, or may not have been.
#[derive(Debug)]
pub(super) struct Refusal {
    status: Status,
    outcome: &'static str,
    /// Stable name for trainers and metrics.
    reason: &'static str,
    error: String,
    findings: Vec<Finding>,
    /// The process is stopping: the caller should connect to another.
    closes_connection: bool,
}

#[derive(Serialize)]
struct RefusalBody<'a> {
    reason: &'a str,
    error: &'a str,
    #[serde(skip_serializing_if = "<[Finding]>::is_empty")]
    findings: &'a [Finding],
}

impl Refusal {
    fn not_run(status: Status, reason: &'static str, error: String) -> Self {
        Self {
            status,
            outcome: NOT_RUN,
            reason,
            error,
            findings: Vec::new(),
            closes_connection: false,
        }
    }

    /// One thing is wrong with the request.
    pub(super) fn bad_request(place: &str, problem: &str) -> Self {
        Self::findings(vec![Finding::new(place, problem)])
    }

    /// These things are wrong with the request.
    pub(super) fn findings(findings: Vec<Finding>) -> Self {
        let listed: Vec<String> = findings.iter().map(Finding::to_string).collect();
        Self {
            findings,
            ..Self::not_run(Status::BadRequest, "malformed_request", listed.join("; "))
        }
    }

    pub(super) fn too_large(most_bytes: usize) -> Self {
        let error = format!("body is over the limit of {most_bytes} bytes");
        Self::not_run(Status::PayloadTooLarge, "body_too_long", error)
    }

    pub(super) fn no_bundle() -> Self {
        let error = "no bundle is in force here yet".to_owned();
        Self::not_run(Status::ServiceUnavailable, "no_bundle", error)
    }

    pub(super) fn draining() -> Self {
        Self {
            closes_connection: true,
            ..Self::not_run(
                Status::ServiceUnavailable,
                "draining",
                "this daemon is stopping; ask another one".to_owned(),
            )
        }
    }

    /// The error without what a malformed request holds: its places only.
    fn loggable_error(&self) -> String {
        if self.findings.is_empty() {
            return self.error.clone();
        }
        let places: Vec<&str> = self.findings.iter().map(Finding::place).collect();
        places.join("; ")
    }

    fn internal(error: &str) -> Self {
        Self {
            outcome: UNKNOWN,
            ..Self::not_run(Status::InternalServerError, "internal", error.to_owned())
        }
    }
}

impl From<SubmitError> for Refusal {
    fn from(error: SubmitError) -> Self {
        let text = error.to_string();
        match error {
            SubmitError::Conflict => Self::not_run(Status::Conflict, "conflict", text),
            SubmitError::NotRun(_) => Self::not_run(Status::ServiceUnavailable, "not_run", text),
            SubmitError::Unknown(_) => Self {
                outcome: UNKNOWN,
                ..Self::not_run(Status::ServiceUnavailable, "unknown", text)
            },
        }
    }
}

impl From<PullError> for Refusal {
    fn from(error: PullError) -> Self {
        let (status, reason) = match error {
            PullError::UnknownStep => (Status::NotFound, "unknown_step"),
            PullError::Superseded => (Status::Conflict, "superseded"),
            PullError::HeldBack => (Status::ServiceUnavailable, "held_back"),
            PullError::Unavailable(_) => (Status::ServiceUnavailable, "unavailable"),
        };
        Self::not_run(status, reason, error.to_string())
    }
}

impl<'r> Responder<'r, 'static> for Refusal {
    fn respond_to(self, request: &'r Request<'_>) -> rocket::response::Result<'static> {
        if let Some(shards) = request.rocket().state::<Shards>() {
            shards.metrics().record_refusal(self.reason);
        }
        log::info!(
            "event=trainer_refused path={} status={} outcome={} reason={} error=\"{}\"",
            request.uri().path(),
            self.status.code,
            self.outcome,
            self.reason,
            self.loggable_error().escape_default()
        );
        let body = RefusalBody {
            reason: self.reason,
            error: &self.error,
            findings: &self.findings,
        };
        let body = serde_json::to_vec(&body).unwrap_or_default();
        let mut response = Response::build();
        if self.closes_connection {
            response.header(Header::new("Connection", "close"));
        }
        response
            .status(self.status)
            .header(ContentType::JSON)
            .header(Header::new(OUTCOME_HEADER, self.outcome))
            .header(Header::new("Retry-After", RETRY_AFTER_SECONDS.to_string()))
            .sized_body(body.len(), Cursor::new(body))
            .ok()
    }
}

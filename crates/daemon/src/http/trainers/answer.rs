//! Answers and errors of the trainer endpoints as HTTP responses.

use std::io::Cursor;

use rocket::Request;
use rocket::http::{ContentType, Header, Status};
use rocket::response::{Responder, Response};
use serde::Serialize;

use super::model::Finding;
use crate::drain::DrainGuard;
use crate::http::outcome::GuardedBody;
use crate::shards::{PullError, Shards, SubmitError};

/// Header with the outcome of a failed request.
const OUTCOME_HEADER: &str = "Ladderstage-Outcome";

const NOT_RUN: &str = "not-run";
const UNKNOWN: &str = "unknown";

/// `Retry-After` in seconds.
const RETRY_AFTER_SECONDS: u64 = 1;

/// JSON answer. A drain waits until it is written.
#[derive(Debug)]
pub(super) struct TrainerAnswer {
    length: usize,
    body: GuardedBody,
}

impl TrainerAnswer {
    pub(super) fn json(body: &impl Serialize, guard: DrainGuard) -> Result<Self, Refusal> {
        match serde_json::to_vec(body) {
            Ok(body) => Ok(Self {
                length: body.len(),
                body: GuardedBody::from_bytes(body.into(), guard),
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

/// Error answer to a trainer.
#[derive(Debug)]
pub(super) struct Refusal {
    status: Status,
    outcome: &'static str,
    /// Stable error code for trainers and metrics.
    reason: &'static str,
    error: String,
    findings: Vec<Finding>,
    /// Whether to close the connection, as the process is stopping.
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

    /// Creates an error for one problem in the request.
    pub(super) fn bad_request(place: &str, problem: &str) -> Self {
        Self::findings(vec![Finding::new(place, problem)])
    }

    /// Creates an error for all problems found in the request.
    pub(super) fn findings(findings: Vec<Finding>) -> Self {
        let listed: Vec<String> = findings.iter().map(Finding::to_string).collect();
        Self {
            findings,
            ..Self::not_run(Status::BadRequest, "malformed_request", listed.join("; "))
        }
    }

    pub(super) fn too_large(max_bytes: usize) -> Self {
        let error = format!("request body is longer than {max_bytes} bytes");
        Self::not_run(Status::PayloadTooLarge, "body_too_long", error)
    }

    pub(super) fn no_bundle() -> Self {
        let error = "no bundle is in force on this node yet".to_owned();
        Self::not_run(Status::ServiceUnavailable, "no_bundle", error)
    }

    pub(super) fn draining() -> Self {
        Self {
            closes_connection: true,
            ..Self::not_run(
                Status::ServiceUnavailable,
                "draining",
                "this node is draining; send the request to another node".to_owned(),
            )
        }
    }

    /// Returns the error for the log: for a malformed request only the positions, without its content.
    fn redacted_error(&self) -> String {
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
            self.redacted_error().escape_default()
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

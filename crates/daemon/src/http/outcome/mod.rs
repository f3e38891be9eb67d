//! Answers to live requests. Each answer states the outcome of its request.

mod body;
mod end;
mod refusal;
mod request_body;
mod request_headers;

use std::io::Cursor;
use std::pin::Pin;

use bytes::Bytes;
use futures_util::Stream;
use reqwest::header::HeaderMap;
use rocket::Request;
use rocket::http::{Header, Status};
use rocket::response::stream::ReaderStream;
use rocket::response::{Responder, Response, Result};

pub(in crate::http) use body::GuardedBody;
pub use end::RequestRecord;
pub use refusal::{Refusal, RequestError};
pub use request_body::{ReservedBody, read_body};
pub use request_headers::CallerHeaders;

use crate::drain::DrainGuard;
use crate::live::{LiveError, Outcome, REASON_ANSWERED, RecordedAnswer, StreamedBody};
use request_headers::REQUEST_ID;

/// Header with the outcome: `completed`, `not-run` or `unknown`.
const OUTCOME: &str = "Ladderstage-Outcome";
/// Header with the weight versions that produced the answer.
const WEIGHT_VERSIONS: &str = "Ladderstage-Weight-Versions";
/// Prefix of headers that back ends cannot set.
const RESERVED_PREFIX: &str = "ladderstage-";

/// Server-sent events that carry the outcome in the last event.
pub type EventBody = Pin<Box<dyn Stream<Item = Cursor<Bytes>> + Send>>;

enum LiveBody {
    Sized(usize, GuardedBody),
    Events(EventBody),
    /// An error answer. It has no guard, as it may be sent while draining.
    Refused(String),
}

/// Answer to a live request.
pub struct LiveAnswer {
    status: u16,
    headers: Vec<Header<'static>>,
    body: LiveBody,
}

impl LiveAnswer {
    /// Creates a complete answer.
    pub fn complete(answer: RecordedAnswer, guard: DrainGuard, end: RequestRecord) -> Self {
        let mut headers = answer_headers(&answer.headers, end.id().caller_id());
        headers.push(Header::new(OUTCOME, Outcome::Completed.as_str()));
        if !answer.content_type.is_empty() {
            headers.push(Header::new("Content-Type", answer.content_type));
        }
        headers.extend(weight_versions(&answer.weight_versions));
        end.record(Outcome::Completed, REASON_ANSWERED);
        let length = answer.body.len();
        Self {
            status: answer.status,
            headers,
            body: LiveBody::Sized(length, GuardedBody::from_bytes(answer.body, guard)),
        }
    }

    /// Creates an answer that is relayed as it is received. If it is truncated, the connection is aborted.
    pub fn relayed(
        status: u16,
        headers: &HeaderMap,
        body: Box<StreamedBody>,
        guard: DrainGuard,
        end: RequestRecord,
    ) -> Self {
        let mut headers = answer_headers(headers, end.id().caller_id());
        headers.push(Header::new(OUTCOME, Outcome::Completed.as_str()));
        let length = usize::try_from(body.length()).unwrap_or(usize::MAX);
        Self {
            status,
            headers,
            body: LiveBody::Sized(length, GuardedBody::relayed(body, guard, end)),
        }
    }

    /// Creates an answer of server-sent events. The last event carries the outcome, as it is unknown when the headers
    /// are sent.
    pub fn events(request_id: &str, first_versions: &[u64], events: EventBody) -> Self {
        let mut headers = vec![
            Header::new(REQUEST_ID, request_id.to_owned()),
            Header::new("Content-Type", "text/event-stream"),
            Header::new("Cache-Control", "no-cache"),
        ];
        headers.extend(weight_versions(first_versions));
        Self {
            status: Status::Ok.code,
            headers,
            body: LiveBody::Events(events),
        }
    }

    /// Creates an error answer and records its outcome.
    pub fn refused(refusal: impl Into<Refusal>, end: RequestRecord) -> Self {
        let refusal = refusal.into();
        let id = end.id().caller_id().to_owned();
        let has_key = end.has_key();
        let outcome = refusal.outcome(has_key);
        end.record(outcome, refusal.code());
        let mut headers = vec![
            Header::new(REQUEST_ID, id.clone()),
            Header::new(OUTCOME, outcome.as_str()),
            Header::new("Content-Type", "application/json"),
            Header::new("Retry-After", refusal.retry_after_seconds().to_string()),
        ];
        if refusal == Refusal::Live(LiveError::Draining) {
            headers.push(Header::new("Connection", "close"));
        }
        Self {
            status: refusal.status(),
            headers,
            body: LiveBody::Refused(refusal.to_json(&id, has_key)),
        }
    }
}

impl<'r> Responder<'r, 'static> for LiveAnswer {
    fn respond_to(self, _request: &'r Request<'_>) -> Result<'static> {
        let mut response = Response::build();
        response.status(Status::new(self.status));
        for header in self.headers {
            response.header_adjoin(header);
        }
        match self.body {
            LiveBody::Sized(length, body) => response.sized_body(length, body),
            LiveBody::Events(events) => response.streamed_body(ReaderStream::from(events)),
            LiveBody::Refused(text) => response.sized_body(text.len(), Cursor::new(text)),
        };
        Ok(response.finalize())
    }
}

/// Returns the back end's headers without reserved ones, plus the request id.
fn answer_headers(headers: &HeaderMap, request_id: &str) -> Vec<Header<'static>> {
    let mut kept = vec![Header::new(REQUEST_ID, request_id.to_owned())];
    for (name, value) in headers {
        if name.as_str().starts_with(RESERVED_PREFIX) {
            continue;
        }
        if let Ok(value) = std::str::from_utf8(value.as_bytes()) {
            kept.push(Header::new(name.as_str().to_owned(), value.to_owned()));
        }
    }
    kept
}

fn weight_versions(versions: &[u64]) -> Option<Header<'static>> {
    if versions.is_empty() {
        return None;
    }
    let listed: Vec<String> = versions.iter().map(u64::to_string).collect();
    Some(Header::new(WEIGHT_VERSIONS, listed.join(",")))
}

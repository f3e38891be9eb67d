//! Answers to clients, and bodies that are passed on as they come.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, RETRY_AFTER as RETRY_AFTER_HEADER, WWW_AUTHENTICATE};
use http::{HeaderValue, Response, StatusCode};
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::body::{Body, Frame, Incoming, SizeHint};

use super::state::RequestGuard;
use crate::backend::{HoldReason, Lease, end_to_end, keep_alive};
use crate::live::{DRAINED_RETRY_AFTER, LiveAnswer, RETRY_AFTER, StreamRun};

/// Error of a body that is aborted.
pub(super) type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// Body of an answer.
pub(super) type AnswerBody = BoxBody<Bytes, BodyError>;

/// What a client is answered to a live request.
pub(super) fn to_response(answer: LiveAnswer) -> Response<AnswerBody> {
    match answer {
        LiveAnswer::Whole {
            status,
            headers,
            body,
        } => {
            let mut response = whole(status, body);
            *response.headers_mut() = headers;
            response
        }
        LiveAnswer::Stream { reply, run } => {
            let status = reply.status;
            let (headers, body, lease) = reply.into_parts();
            let rest = keep_alive(&headers);
            let body = StreamedBody {
                body,
                lease: Some(lease),
                rest,
                run: Some(run),
            };
            let mut response = Response::new(BodyExt::boxed(body));
            *response.status_mut() = status;
            *response.headers_mut() = end_to_end(&headers);
            response
        }
        LiveAnswer::NotRun => not_run(),
        LiveAnswer::HeldBack(held) => not_run_before(held.retry_after),
        LiveAnswer::NoneMayServe(HoldReason::ZoneDrained) => not_run_before(DRAINED_RETRY_AFTER),
        LiveAnswer::NoneMayServe(_) => not_run(),
        LiveAnswer::Failed(status) => empty(status),
    }
}

/// A stream passed on as it comes. If its source fails, the client's connection is aborted.
struct StreamedBody {
    body: Incoming,
    lease: Option<Lease>,
    rest: Option<Duration>,
    run: Option<Box<StreamRun>>,
}

impl Body for StreamedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = std::task::ready!(Pin::new(&mut self.body).poll_frame(context));
        if frame.is_none() {
            let rest = self.rest;
            if let Some(lease) = self.lease.take() {
                lease.return_to_pool(rest);
            }
            if let Some(run) = &self.run {
                run.note_whole();
            }
        }
        if let Some(Err(_)) = frame
            && let Some(run) = self.run.take()
        {
            // The client's connection is aborted meanwhile.
            tokio::spawn(run.check_broken_run());
        }
        Poll::Ready(frame.map(|frame| frame.map_err(Into::into)))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Counts the request until its answer's body was taken to its end or dropped.
pub(super) fn counted(body: AnswerBody, guard: RequestGuard) -> AnswerBody {
    CountedBody {
        body,
        _guard: guard,
    }
    .boxed()
}

struct CountedBody {
    body: AnswerBody,
    _guard: RequestGuard,
}

impl Body for CountedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// An answer with a whole body.
pub(super) fn whole(status: StatusCode, body: Bytes) -> Response<AnswerBody> {
    let body = Full::new(body).map_err(|never| match never {}).boxed();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

/// An answer with a JSON body.
pub(super) fn json(body: Bytes) -> Response<AnswerBody> {
    let mut response = whole(StatusCode::OK, body);
    let value = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, value);
    response
}

/// An answer without a body.
pub(super) fn empty(status: StatusCode) -> Response<AnswerBody> {
    whole(status, Bytes::new())
}

/// The request carries no key that allows it.
pub(super) fn no_key() -> Response<AnswerBody> {
    let mut response = empty(StatusCode::UNAUTHORIZED);
    let scheme = HeaderValue::from_static("Bearer");
    response.headers_mut().insert(WWW_AUTHENTICATE, scheme);
    response
}

/// The request has not run and will not; says when to come back.
pub(super) fn not_run() -> Response<AnswerBody> {
    not_run_before(RETRY_AFTER)
}

/// As [`not_run`]; another try before `retry_after` would be refused as well.
fn not_run_before(retry_after: Duration) -> Response<AnswerBody> {
    let mut response = empty(StatusCode::SERVICE_UNAVAILABLE);
    let seconds = format!("{:.1}", retry_after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER_HEADER, value);
    }
    response
}

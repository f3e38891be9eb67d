//! Responses to clients, and bodies that are passed on as streams.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, RETRY_AFTER as RETRY_AFTER_HEADER, WWW_AUTHENTICATE};
use http::{HeaderValue, Response, StatusCode};
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::time::Sleep;

use super::stream_tail::StreamTail;
use crate::backend::{HoldReason, PooledConnection, end_to_end_headers, is_framed, keep_alive};
use crate::live::{DRAINED_RETRY_AFTER, LiveAnswer, RETRY_AFTER, StreamRun};

/// Retry delay sent to a client whose request did not fit the memory. Other bodies are read within
/// about this time.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Retry delay sent to a client whose request comes too late before this process exits. New connections
/// go to other fronts by then.
const STOPPING_RETRY_AFTER: Duration = Duration::ZERO;

/// Time after the time limit of a stream in which its instance ends it. Past that, the instance sends
/// without end.
const STREAM_END_MARGIN: Duration = Duration::from_millis(200);

/// Size from which a complete body does not fit the memory of its connection, in bytes.
const LARGE_BODY_BYTES: u64 = 16 * 1024;

/// Error of an aborted body.
pub(super) type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// Body of a response.
pub(super) type AnswerBody = BoxBody<Bytes, BodyError>;

/// Converts the result of a live request to a response.
pub(super) fn to_response(answer: LiveAnswer) -> Response<AnswerBody> {
    match answer {
        LiveAnswer::Complete {
            status,
            headers,
            body,
        } => {
            let mut response = complete(status, body);
            *response.headers_mut() = headers;
            response
        }
        LiveAnswer::Stream { reply, run, until } => {
            let status = reply.status;
            let (headers, body, pooled) = reply.into_parts();
            let idle_timeout = keep_alive(&headers);
            let is_unframed = status.is_success() && !is_framed(&headers);
            let body = StreamedBody {
                body,
                unframed_end: is_unframed.then(StreamTail::default),
                pooled: Some(pooled),
                idle_timeout,
                run: Some(run),
                overdue: Box::pin(tokio::time::sleep_until((until + STREAM_END_MARGIN).into())),
            };
            let mut response = Response::new(BodyExt::boxed(body));
            *response.status_mut() = status;
            *response.headers_mut() = end_to_end_headers(&headers);
            response
        }
        LiveAnswer::NotRun => not_run(),
        LiveAnswer::HeldBack(held) => not_run_until(held.retry_after),
        LiveAnswer::Drained(HoldReason::ZoneDrained) => not_run_until(DRAINED_RETRY_AFTER),
        LiveAnswer::Drained(_) => not_run(),
        LiveAnswer::Failed(status) => empty(status),
    }
}

/// Error of a stream that its instance does not end in time.
#[derive(Debug, thiserror::Error)]
#[error("the stream has not ended within its time limit")]
struct StreamOverdue;

/// Error of a stream whose connection ended before its first event or within one.
#[derive(Debug, thiserror::Error)]
#[error("the connection of the stream ended within an event")]
struct StreamCut;

/// Body that passes on a stream. If its source fails or does not end it in time, the client's
/// connection is aborted.
struct StreamedBody {
    body: Incoming,
    /// Last bytes of a stream that ends with its connection, so that only they show whether it was cut.
    unframed_end: Option<StreamTail>,
    pooled: Option<PooledConnection>,
    idle_timeout: Option<Duration>,
    run: Option<Box<StreamRun>>,
    /// Completes when the stream should have ended.
    overdue: Pin<Box<Sleep>>,
}

impl Body for StreamedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.overdue.as_mut().poll(context).is_ready() {
            if let Some(run) = &self.run {
                run.log_overdue();
            }
            return Poll::Ready(Some(Err(StreamOverdue.into())));
        }
        let frame = std::task::ready!(Pin::new(&mut self.body).poll_frame(context));
        let frame = self.check_end(frame);
        if frame.is_none() {
            let idle_timeout = self.idle_timeout;
            if let Some(pooled) = self.pooled.take() {
                pooled.return_to_pool(idle_timeout);
            }
            if let Some(run) = &self.run {
                run.record_complete();
            }
        }
        if let Some(Err(_)) = frame
            && let Some(run) = self.run.take()
        {
            // The check runs while the client's connection is aborted.
            tokio::spawn(run.check_broken_run());
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl StreamedBody {
    /// Replaces the end of a stream that was cut by an error.
    fn check_end(
        &mut self,
        frame: Option<Result<Frame<Bytes>, hyper::Error>>,
    ) -> Option<Result<Frame<Bytes>, BodyError>> {
        let Some(tail) = &mut self.unframed_end else {
            return frame.map(|frame| frame.map_err(Into::into));
        };
        match &frame {
            Some(Ok(frame)) => tail.push(frame.data_ref().map_or(&[], |data| data)),
            None if !tail.ends_an_event() => return Some(Err(StreamCut.into())),
            _ => {}
        }
        frame.map(|frame| frame.map_err(Into::into))
    }
}

/// Returns whether a complete body occupies more memory than its connection has.
pub(super) fn is_large(body: &AnswerBody) -> bool {
    let length = body.size_hint().exact();
    length.is_some_and(|length| length >= LARGE_BODY_BYTES)
}

/// Wraps a body so that the request counts as in progress until the body is read or dropped.
pub(super) fn count_until_read<G>(body: AnswerBody, guard: G) -> AnswerBody
where
    G: Send + Sync + Unpin + 'static,
{
    CountedBody {
        body,
        _guard: guard,
    }
    .boxed()
}

struct CountedBody<G> {
    body: AnswerBody,
    _guard: G,
}

impl<G: Unpin> Body for CountedBody<G> {
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

/// Builds a response with a complete body.
pub(super) fn complete(status: StatusCode, body: Bytes) -> Response<AnswerBody> {
    let body = Full::new(body).map_err(|never| match never {}).boxed();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

/// Builds a response with a JSON body.
pub(super) fn json(body: Bytes) -> Response<AnswerBody> {
    let mut response = complete(StatusCode::OK, body);
    let value = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, value);
    response
}

/// Builds a response without a body.
pub(super) fn empty(status: StatusCode) -> Response<AnswerBody> {
    complete(status, Bytes::new())
}

/// Builds the response to a request without a valid API key.
pub(super) fn unauthorized() -> Response<AnswerBody> {
    let mut response = empty(StatusCode::UNAUTHORIZED);
    let scheme = HeaderValue::from_static("Bearer");
    response.headers_mut().insert(WWW_AUTHENTICATE, scheme);
    response
}

/// Builds the response to a request that was not run, with the default retry delay.
pub(super) fn not_run() -> Response<AnswerBody> {
    not_run_until(RETRY_AFTER)
}

/// Builds the response to a request that was not run for lack of memory.
pub(super) fn no_memory() -> Response<AnswerBody> {
    not_run_until(NO_MEMORY_RETRY_AFTER)
}

/// Builds the response to a request that was not run because this process exits.
pub(super) fn stopping() -> Response<AnswerBody> {
    not_run_until(STOPPING_RETRY_AFTER)
}

/// Builds the response to a request that was not run, with the given retry delay.
fn not_run_until(retry_after: Duration) -> Response<AnswerBody> {
    let mut response = empty(StatusCode::SERVICE_UNAVAILABLE);
    let seconds = format!("{:.1}", retry_after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER_HEADER, value);
    }
    response
}

//! Forwards an application request to a back end and retries it only if it is idempotent or certainly did not run.

use bytes::{Bytes, BytesMut};
use ladderstage_platform::application::{
    ApplicationBody, ApplicationRequest, ApplicationResponse, SizedBody,
};
use ladderstage_platform::dispatch::DispatchError;
use reqwest::header::HeaderMap;
use reqwest::{Method, StatusCode};
use tokio::time::{Instant, timeout_at};

use super::attempts::{Attempt, Attempts};
use super::{LiveError, Permit};

/// Largest answer, in bytes, that is buffered completely before it is sent to the caller. If such an answer is
/// truncated, the request can still be retried. Longer answers are streamed.
pub const MAX_BUFFERED_BYTES: u64 = 256 * 1024;

/// Request to forward to an application.
#[derive(Debug, Clone)]
pub struct ApplicationCall {
    /// HTTP method.
    pub method: Method,
    /// Path at the application, percent-encoded.
    pub path: String,
    /// Query without the question mark.
    pub query: Option<String>,
    /// Headers to forward.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Answer of an application.
#[derive(Debug)]
pub struct ApplicationAnswer {
    /// Status code.
    pub status: StatusCode,
    /// Headers to send to the caller.
    pub headers: HeaderMap,
    /// Body.
    pub body: AnswerBody,
}

/// Body of an application's answer.
#[derive(Debug)]
pub enum AnswerBody {
    /// The complete body.
    Whole(Bytes),
    /// A body that is still being received.
    Streamed(Box<StreamedBody>),
}

/// Body that is streamed to the caller as it is received. Counts as in flight until dropped.
#[derive(Debug)]
pub struct StreamedBody {
    body: SizedBody,
    attempts: Attempts,
    attempt: Attempt,
}

impl StreamedBody {
    /// Returns the declared length in bytes.
    pub fn length(&self) -> u64 {
        self.body.length()
    }

    /// Returns the next bytes, or `None` at the end of the body.
    ///
    /// # Errors
    /// [`LiveError`] if the body is truncated or incomplete at the deadline.
    pub async fn next(&mut self) -> Result<Option<Bytes>, LiveError> {
        match timeout_at(self.attempts.permit.deadline, self.body.next()).await {
            Ok(Ok(Some(bytes))) => Ok(Some(bytes)),
            Ok(Ok(None)) => {
                self.attempts.record_success(&self.attempt);
                Ok(None)
            }
            Ok(Err(error)) => {
                self.attempts.record_failure(&self.attempt);
                Err(LiveError::AnswerLost {
                    detail: error.to_string(),
                })
            }
            Err(_) => Err(LiveError::DeadlineExceeded),
        }
    }
}

/// Forwards an application request, with retries.
///
/// # Errors
/// [`LiveError`] if no further attempt is possible or the deadline passes.
pub async fn forward(
    permit: Permit,
    call: &ApplicationCall,
) -> Result<ApplicationAnswer, LiveError> {
    let repeatable = is_idempotent(&call.method) && !permit.options.at_most_once;
    let mut attempts = Attempts::new(permit, repeatable);
    loop {
        let attempt = attempts.start_next(None)?;
        let limit = Instant::now() + attempts.response_timeout();
        let failure = match timeout_at(limit, try_forward(&attempts, &attempt, call)).await {
            Ok(Ok(response)) => return Ok(into_answer(attempts, attempt, response)),
            Ok(Err(error)) => error,
            Err(_) => DispatchError::Unknown("no answer in time".to_owned()),
        };
        attempts.retry_after_failure(attempt, &failure).await?;
    }
}

/// Returns whether HTTP defines the method as idempotent (RFC 9110, 9.2.2).
pub fn is_idempotent(method: &Method) -> bool {
    [
        Method::GET,
        Method::HEAD,
        Method::OPTIONS,
        Method::TRACE,
        Method::PUT,
        Method::DELETE,
    ]
    .contains(method)
}

async fn try_forward(
    attempts: &Attempts,
    attempt: &Attempt,
    call: &ApplicationCall,
) -> Result<ApplicationResponse, DispatchError> {
    let request = ApplicationRequest {
        method: call.method.clone(),
        path: call.path.clone(),
        query: call.query.clone(),
        headers: call.headers.clone(),
        body: call.body.clone(),
        request_id: attempt.id.clone(),
    };
    let client = &attempts.permit.live.services().application;
    let mut response = client
        .forward(attempt.address, &request, attempt.fresh_connection)
        .await?;
    response.body = buffer_short_body(response.body).await?;
    Ok(response)
}

async fn buffer_short_body(body: ApplicationBody) -> Result<ApplicationBody, DispatchError> {
    match body {
        ApplicationBody::Sized(body) if body.length() <= MAX_BUFFERED_BYTES => {
            read_body(body).await.map(ApplicationBody::Whole)
        }
        other => Ok(other),
    }
}

async fn read_body(mut body: SizedBody) -> Result<Bytes, DispatchError> {
    let mut buffer = BytesMut::with_capacity(body.length() as usize);
    let unknown =
        |error: ladderstage_platform::application::BodyCut| DispatchError::Unknown(error.0);
    while let Some(bytes) = body.next().await.map_err(unknown)? {
        buffer.extend_from_slice(&bytes);
    }
    Ok(buffer.freeze())
}

fn into_answer(
    attempts: Attempts,
    attempt: Attempt,
    response: ApplicationResponse,
) -> ApplicationAnswer {
    let body = match response.body {
        ApplicationBody::Whole(bytes) if response.status.is_server_error() => {
            attempts.record_failure(&attempt);
            AnswerBody::Whole(bytes)
        }
        ApplicationBody::Whole(bytes) => {
            attempts.record_success(&attempt);
            AnswerBody::Whole(bytes)
        }
        ApplicationBody::Sized(body) => AnswerBody::Streamed(Box::new(StreamedBody {
            body,
            attempts,
            attempt,
        })),
    };
    ApplicationAnswer {
        status: response.status,
        headers: response.headers,
        body,
    }
}

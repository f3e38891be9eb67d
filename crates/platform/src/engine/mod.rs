//! Model engines: completions as server-sent events, and cancelling them.

pub mod sse;
mod stream;

use std::net::SocketAddr;
use std::time::Duration;

use reqwest::StatusCode;
use serde::Serialize;

pub use crate::dispatch::DispatchError;
pub use stream::{CompletionChunk, CompletionStream, StreamError};

use crate::dispatch::{Clients, REQUEST_ID_HEADER, detail, refusal};

/// How long an engine may take to acknowledge a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// How long the body of a refusal may take; the header already said what matters.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(200);

/// Talks to model engines. Cheap to clone.
#[derive(Debug, Clone)]
pub struct EngineClient {
    clients: Clients,
}

/// One completion for an engine to run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompletionRequest {
    /// Model to run.
    pub model: String,
    /// Prompt to complete.
    pub prompt: String,
    /// Most tokens to generate, `resume_tokens` included.
    pub max_tokens: u32,
    /// Smaller goes first on the engine.
    pub priority: u32,
    /// Names this completion; the engine repeats it in every chunk.
    pub request_id: String,
    /// Text generated already, by another engine or an earlier try; empty: none.
    pub resume_text: String,
    /// Tokens in `resume_text`.
    pub resume_tokens: u32,
}

#[derive(Serialize)]
struct CompletionBody<'a> {
    model: &'a str,
    prompt: &'a str,
    max_tokens: u32,
    stream: bool,
    priority: u32,
    request_id: &'a str,
    resume_text: &'a str,
    resume_tokens: u32,
}

#[derive(Serialize)]
struct CancelBody<'a> {
    request_id: &'a str,
}

impl EngineClient {
    /// A client without connections.
    pub fn new() -> Self {
        Self {
            clients: Clients::new(),
        }
    }

    /// Starts a completion. Returns once the engine has begun to answer; the caller bounds the wait.
    ///
    /// With `fresh_connection` no earlier connection is reused, as at-most-once requests need.
    /// Dropping the future or the stream closes the connection; use [`EngineClient::cancel`] to stop the engine too.
    ///
    /// # Errors
    /// [`DispatchError`] says what is certain about the request.
    pub async fn complete(
        &self,
        address: SocketAddr,
        request: &CompletionRequest,
        fresh_connection: bool,
    ) -> Result<CompletionStream, DispatchError> {
        let response = self
            .clients
            .get(fresh_connection)
            .post(format!("http://{address}/v1/completions"))
            .header(REQUEST_ID_HEADER, &request.request_id)
            .json(&body(request))
            .send()
            .await
            .map_err(|error| DispatchError::from_transport(&error))?;
        if response.status() == StatusCode::OK {
            return Ok(CompletionStream::new(response, request.request_id.clone()));
        }
        Err(refused(response).await)
    }

    /// Asks the engine to stop a completion. Only a hint: a failure is logged and nothing relies on it.
    pub async fn cancel(&self, address: SocketAddr, request_id: &str) {
        let sent = self
            .clients
            .get(false)
            .post(format!("http://{address}/v1/cancel"))
            .timeout(CANCEL_TIMEOUT)
            .json(&CancelBody { request_id })
            .send()
            .await;
        if let Err(error) = sent {
            log::debug!(
                "event=cancel_failed engine={address} request={request_id} error=\"{error}\""
            );
        }
    }
}

impl Default for EngineClient {
    fn default() -> Self {
        Self::new()
    }
}

fn body(request: &CompletionRequest) -> CompletionBody<'_> {
    CompletionBody {
        model: &request.model,
        prompt: &request.prompt,
        max_tokens: request.max_tokens,
        stream: true,
        priority: request.priority,
        request_id: &request.request_id,
        resume_text: &request.resume_text,
        resume_tokens: request.resume_tokens,
    }
}

/// Only 429 and 503 with the engine's own header prove that nothing ran.
async fn refused(response: reqwest::Response) -> DispatchError {
    let status = response.status();
    let may_refuse = matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
    );
    let refusal = refusal(response.headers()).filter(|_| may_refuse);
    let detail = tokio::time::timeout(REFUSAL_BODY_TIMEOUT, detail(response))
        .await
        .unwrap_or_else(|_| status.to_string());
    match refusal {
        Some(refusal) => DispatchError::NotRun {
            retry_after: refusal.retry_after,
            leaving: refusal.leaving,
            detail,
        },
        None => DispatchError::Unknown(detail),
    }
}

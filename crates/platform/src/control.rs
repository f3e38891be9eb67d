//! HTTP client for small JSON requests: machine list, load reports, orders, weight versions.

use std::time::Duration;

use reqwest::{Client, RequestBuilder, Response, StatusCode};
use serde::de::DeserializeOwned;

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which an idle connection is closed; longer than the poll intervals.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Error of a control request.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ControlError {
    /// No answer, or a truncated one.
    #[error("unreachable: {0}")]
    Unreachable(String),
    /// The answer has an unexpected status.
    #[error("unexpected status {0}")]
    Status(u16),
    /// The answer is longer than this number of bytes.
    #[error("answer is longer than {0} bytes")]
    TooLong(usize),
    /// The answer cannot be parsed.
    #[error("malformed answer: {0}")]
    Malformed(String),
}

/// Creates an HTTP client without redirects, proxies and automatic retries.
pub fn client() -> Client {
    Client::builder()
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .no_proxy()
        .connect_timeout(CONNECT_TIMEOUT)
        .pool_idle_timeout(IDLE_TIMEOUT)
        .tcp_nodelay(true)
        .build()
        .expect("building a client without TLS cannot fail")
}

/// Sends a request and reads a JSON answer of at most `max_bytes` bytes within `timeout`.
pub(crate) async fn read_json<T: DeserializeOwned>(
    request: RequestBuilder,
    timeout: Duration,
    max_bytes: usize,
) -> Result<T, ControlError> {
    let response = send(request, timeout).await?;
    if response.status() != StatusCode::OK {
        return Err(ControlError::Status(response.status().as_u16()));
    }
    let body = read_body(response, max_bytes).await?;
    serde_json::from_slice(&body).map_err(|error| ControlError::Malformed(error.to_string()))
}

/// Sends a request and waits for the headers of the answer. `timeout` includes reading the body.
pub(crate) async fn send(
    request: RequestBuilder,
    timeout: Duration,
) -> Result<Response, ControlError> {
    let response = request.timeout(timeout).send().await;
    response.map_err(|error| unreachable(&error))
}

/// Reads a body of at most `max_bytes` bytes.
pub(crate) async fn read_body(
    mut response: Response,
    max_bytes: usize,
) -> Result<Vec<u8>, ControlError> {
    let mut body = Vec::new();
    while let Some(chunk) = response
        .chunk()
        .await
        .map_err(|error| unreachable(&error))?
    {
        if body.len() + chunk.len() > max_bytes {
            return Err(ControlError::TooLong(max_bytes));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body)
}

fn unreachable(error: &reqwest::Error) -> ControlError {
    ControlError::Unreachable(crate::dispatch::describe(error))
}

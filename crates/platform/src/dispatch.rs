//! HTTP clients for back ends, and errors that tell whether a request may have run.

use std::time::Duration;

use reqwest::header::{HeaderMap, RETRY_AFTER};
use reqwest::redirect;

/// Response header in which a back end states that it did not run the request.
pub const ENGINE_HEADER: &str = "Ladderstage-Engine";

/// Request header with the request id.
pub const REQUEST_ID_HEADER: &str = "Ladderstage-Request-Id";

/// Token of [`ENGINE_HEADER`]: the request was refused before it ran.
const NOT_RUN_TOKEN: &str = "not-run";

/// Token of [`ENGINE_HEADER`]: the back end is stopping and refuses all further requests.
const LEAVING_TOKEN: &str = "leaving";

/// Timeout for establishing a connection to a back end.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum length in bytes of an error body that is kept as detail.
const MAX_DETAIL_BYTES: usize = 256;

/// Error of a request to a back end.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DispatchError {
    /// No byte of the request left this process.
    #[error("request not sent: {0}")]
    NotSent(String),
    /// The back end answered that it did not run the request.
    #[error("back end refused: {detail}")]
    NotRun {
        /// Time after which the back end accepts a retry, if it said so.
        retry_after: Option<Duration>,
        /// Whether the back end is stopping and refuses all further requests.
        leaving: bool,
        /// Status and start of the body.
        detail: String,
    },
    /// The request may have run.
    #[error("outcome unknown: {0}")]
    Unknown(String),
}

impl DispatchError {
    /// Returns whether the request certainly did not run.
    pub fn is_certainly_not_run(&self) -> bool {
        !matches!(self, Self::Unknown(_))
    }

    /// Classifies a transport error. Only a failed connection attempt proves that nothing was sent.
    pub(crate) fn from_transport(error: &reqwest::Error) -> Self {
        let detail = describe(error);
        if error.is_connect() {
            return Self::NotSent(detail);
        }
        Self::Unknown(detail)
    }
}

/// HTTP clients for back ends: one reuses connections, the other does not.
#[derive(Debug, Clone)]
pub(crate) struct Clients {
    pooled: reqwest::Client,
    fresh: reqwest::Client,
}

impl Clients {
    /// Creates clients without redirects, proxies and automatic retries.
    pub(crate) fn new() -> Self {
        Self {
            pooled: build(usize::MAX),
            fresh: build(0),
        }
    }

    /// Returns the client that opens new connections, or the one that reuses them.
    pub(crate) fn get(&self, fresh_connection: bool) -> &reqwest::Client {
        if fresh_connection {
            &self.fresh
        } else {
            &self.pooled
        }
    }
}

fn build(idle_connections: usize) -> reqwest::Client {
    reqwest::Client::builder()
        .redirect(redirect::Policy::none())
        .retry(reqwest::retry::never())
        .no_proxy()
        .connect_timeout(CONNECT_TIMEOUT)
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(idle_connections)
        .tcp_nodelay(true)
        .build()
        .expect("building a client without TLS cannot fail")
}

/// Returns the causes of an error. The error's own text is omitted if there are causes, as it contains the URL.
pub(crate) fn describe(error: &reqwest::Error) -> String {
    let mut causes = Vec::new();
    let mut cause = std::error::Error::source(error);
    while let Some(inner) = cause {
        causes.push(inner.to_string());
        cause = inner.source();
    }
    if causes.is_empty() {
        return error.to_string();
    }
    causes.join(": ")
}

/// Refusal that a back end states in its headers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub(crate) retry_after: Option<Duration>,
    pub(crate) leaving: bool,
}

/// Reads a refusal from response headers. Returns `None` if they do not state that the request did not run.
pub(crate) fn refusal(headers: &HeaderMap) -> Option<Refusal> {
    let value = headers.get(ENGINE_HEADER)?.to_str().ok()?;
    let has = |token: &str| value.split(',').any(|part| part.trim() == token);
    if !has(NOT_RUN_TOKEN) {
        return None;
    }
    Some(Refusal {
        retry_after: retry_after(headers),
        leaving: has(LEAVING_TOKEN),
    })
}

/// Returns `Retry-After` if it is in seconds. The date form is ignored.
fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds = headers.get(RETRY_AFTER)?.to_str().ok()?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

/// Returns the status and the start of the body of an error response.
pub(crate) async fn detail(mut response: reqwest::Response) -> String {
    let status = response.status();
    let mut text = Vec::new();
    while text.len() < MAX_DETAIL_BYTES {
        match response.chunk().await {
            Ok(Some(bytes)) => text.extend_from_slice(&bytes),
            Ok(None) | Err(_) => break,
        }
    }
    text.truncate(MAX_DETAIL_BYTES);
    format!("{status}: {}", String::from_utf8_lossy(&text).trim())
}

//! HTTP client for daemons.

mod answers;

use std::time::Duration;

use reqwest::{Method, StatusCode};
use serde::de::DeserializeOwned;

pub use answers::{CurrentBundle, Member, MembersAnswer, NodeStatus, RollAnswer};

use crate::error::CliError;

/// Timeout of a request; longer than a daemon's deadline for a roll.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Error of a call to a daemon.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The request was not sent.
    #[error("{url}: cannot connect: {detail}")]
    NotSent {
        /// URL of the daemon.
        url: String,
        /// Cause of the failure.
        detail: String,
    },
    /// The request may have been carried out.
    #[error("{url}: no answer: {detail}")]
    NoAnswer {
        /// URL of the daemon.
        url: String,
        /// Cause of the failure.
        detail: String,
    },
    /// The daemon refused the request.
    #[error("{url}: {status}: {body}")]
    Refused {
        /// URL of the daemon.
        url: String,
        /// Status code.
        status: StatusCode,
        /// Body of the answer.
        body: String,
    },
}

impl From<CallError> for CliError {
    fn from(error: CallError) -> Self {
        Self::Failed(error.to_string())
    }
}

/// Client of the daemons selected by the command line.
#[derive(Debug, Clone)]
pub struct Client {
    urls: Vec<String>,
    http: reqwest::Client,
}

impl Client {
    /// Creates a client of the daemons with these URLs.
    pub fn new(urls: Vec<String>) -> Self {
        let http = reqwest::Client::builder()
            .timeout(TIMEOUT)
            .connect_timeout(CONNECT_TIMEOUT)
            .pool_max_idle_per_host(0)
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .no_proxy()
            .build()
            .expect("building a client without TLS cannot fail");
        let urls = urls.iter().map(|url| url.trim_end_matches('/').to_owned());
        Self {
            urls: urls.collect(),
            http,
        }
    }

    /// Returns the URLs of the daemons.
    pub fn urls(&self) -> &[String] {
        &self.urls
    }

    /// Gets JSON from the first daemon that answers.
    ///
    /// # Errors
    /// [`CallError`] if a daemon refuses the request or none answers.
    pub async fn get<A: DeserializeOwned>(&self, path: &str) -> Result<A, CallError> {
        let mut last_error = None;
        for url in &self.urls {
            match self.get_from(url, path).await {
                Ok(answer) => return Ok(answer),
                Err(error @ CallError::Refused { .. }) => return Err(error),
                Err(error) => last_error = Some(error),
            }
        }
        Err(last_error.unwrap_or_else(|| CallError::NotSent {
            url: String::new(),
            detail: "no URL of a daemon is given".to_owned(),
        }))
    }

    /// Gets JSON from a daemon.
    pub async fn get_from<A: DeserializeOwned>(
        &self,
        url: &str,
        path: &str,
    ) -> Result<A, CallError> {
        let (status, body) = self.exchange(Method::GET, url, path, None).await?;
        parse(url, status, &body)
    }

    /// Gets JSON from a daemon, with any status code.
    pub async fn get_any_status<A: DeserializeOwned>(
        &self,
        url: &str,
        path: &str,
    ) -> Result<A, CallError> {
        let (status, body) = self.exchange(Method::GET, url, path, None).await?;
        parse_any_status(url, status, &body)
    }

    /// Posts JSON to a daemon and returns its JSON answer, with any status code.
    pub async fn post_any_status<A: DeserializeOwned>(
        &self,
        url: &str,
        path: &str,
        body: String,
    ) -> Result<A, CallError> {
        let (status, body) = self.exchange(Method::POST, url, path, Some(body)).await?;
        parse_any_status(url, status, &body)
    }

    async fn exchange(
        &self,
        method: Method,
        url: &str,
        path: &str,
        body: Option<String>,
    ) -> Result<(StatusCode, String), CallError> {
        let mut request = self.http.request(method, format!("{url}{path}"));
        if let Some(body) = body {
            request = request
                .header("Content-Type", "application/json")
                .body(body);
        }
        let response = request
            .send()
            .await
            .map_err(|error| call_error(url, &error))?;
        let status = response.status();
        let body = response
            .text()
            .await
            .map_err(|error| call_error(url, &error))?;
        Ok((status, body))
    }
}

fn call_error(url: &str, error: &reqwest::Error) -> CallError {
    let (url, detail) = (url.to_owned(), root_cause(error));
    if error.is_connect() || error.is_builder() {
        return CallError::NotSent { url, detail };
    }
    CallError::NoAnswer { url, detail }
}

/// Returns the innermost cause of an error, which is the most specific one.
fn root_cause(error: &reqwest::Error) -> String {
    let mut cause: &dyn std::error::Error = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}

fn parse<A: DeserializeOwned>(url: &str, status: StatusCode, body: &str) -> Result<A, CallError> {
    if !status.is_success() {
        return Err(refused_error(url, status, body));
    }
    parse_any_status(url, status, body)
}

fn parse_any_status<A: DeserializeOwned>(
    url: &str,
    status: StatusCode,
    body: &str,
) -> Result<A, CallError> {
    serde_json::from_str(body).map_err(|_| refused_error(url, status, body))
}

fn refused_error(url: &str, status: StatusCode, body: &str) -> CallError {
    CallError::Refused {
        url: url.to_owned(),
        status,
        body: body.trim().to_owned(),
    }
}

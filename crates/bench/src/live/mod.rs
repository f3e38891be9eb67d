//! Live callers: send completions and application requests and check the answers.

mod reading;

use std::collections::BTreeSet;
use std::time::Duration;

use reqwest::{Client, Method, RequestBuilder, Response, StatusCode};
use serde::de::DeserializeOwned;
use serde_json::json;

use crate::stand_in::application::Echo;
use crate::text::{self, TextError};
use reading::{read_object, read_stream};

const CALL_TIMEOUT: Duration = Duration::from_secs(30);
const RETRY_PAUSE: Duration = Duration::from_millis(50);
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(1);
const MAX_RETRIES: u32 = 100;

/// Error of a live request.
#[derive(Debug, thiserror::Error)]
pub enum LiveError {
    /// The daemon refused the request as not run.
    #[error("refused as not run: {status} {body}")]
    NotRun {
        status: StatusCode,
        body: String,
        retry_after: Option<Duration>,
    },
    /// The request failed, or it is unknown whether it ran.
    #[error("unknown outcome: {status} {body}")]
    Unknown {
        status: StatusCode,
        body: String,
        retry_after: Option<Duration>,
    },
    #[error("connection broken: {0:?}")]
    Broken(#[from] reqwest::Error),
    /// The answer ended without its end marker or with an error event.
    #[error("incomplete answer: {0}")]
    Incomplete(String),
    /// The answer does not belong to this request.
    #[error("wrong answer: {0}")]
    WrongAnswer(String),
    /// The answer names weight versions that did not produce it.
    #[error("mislabelled answer: {0}")]
    Mislabelled(#[from] TextError),
}

impl LiveError {
    /// Returns whether the error violates a guarantee.
    pub fn is_violation(&self) -> bool {
        matches!(self, Self::WrongAnswer(_) | Self::Mislabelled(_))
    }

    /// Returns whether this is a refusal without a `Retry-After` header.
    pub fn lacks_retry_after(&self) -> bool {
        match self {
            Self::NotRun { retry_after, .. } | Self::Unknown { retry_after, .. } => {
                retry_after.is_none()
            }
            _ => false,
        }
    }
}

/// A checked completion.
#[derive(Debug, Clone)]
pub struct Completion {
    pub text: String,
    /// Weight versions named in the answer.
    pub weight_versions: BTreeSet<u64>,
    /// Whether the answer names the version of each token.
    pub is_fully_labelled: bool,
}

/// Caller of one daemon.
#[derive(Debug, Clone)]
pub struct Caller {
    daemon: String,
    client: Client,
    /// Versions that may have produced unlabelled tokens. If empty, every token must be labelled.
    possible_versions: Vec<u64>,
}

impl Caller {
    /// Creates a caller of the daemon at this base URL.
    pub fn new(daemon: &str) -> Self {
        Self {
            daemon: daemon.to_owned(),
            client: crate::http_client(),
            possible_versions: Vec::new(),
        }
    }

    /// Accepts tokens without a named version if one of these versions produced them.
    pub fn with_possible_versions(mut self, versions: impl IntoIterator<Item = u64>) -> Self {
        self.possible_versions = versions.into_iter().collect();
        self
    }

    /// Requests a completion and checks the answer.
    pub async fn complete(
        &self,
        model: &str,
        prompt: &str,
        tokens: u64,
        stream: bool,
    ) -> Result<Completion, LiveError> {
        let body = json!({
            "model": model,
            "prompt": prompt,
            "max_tokens": tokens,
            "stream": stream,
        });
        let url = format!("{}/v1/completions", self.daemon);
        let answer = send_successfully(self.client.post(url).json(&body)).await?;
        let completion = if stream {
            let body = answer.text().await?;
            read_stream(prompt, &body, &self.possible_versions)?
        } else {
            read_object(prompt, read_json(answer).await?, &self.possible_versions)?
        };
        let found = text::count_tokens(&completion.text);
        if found != tokens {
            let detail = format!("{found} tokens instead of {tokens}");
            return Err(LiveError::WrongAnswer(detail));
        }
        Ok(completion)
    }

    /// Sends an application request and checks that the answer echoes it.
    pub async fn application(
        &self,
        pool: &str,
        method: Method,
        path: &str,
        body: &str,
    ) -> Result<Echo, LiveError> {
        self.application_with(pool, method, path, body, &[]).await
    }

    /// Sends an application request with headers and checks that the answer echoes it.
    pub async fn application_with(
        &self,
        pool: &str,
        method: Method,
        path: &str,
        body: &str,
        headers: &[(&str, &str)],
    ) -> Result<Echo, LiveError> {
        let url = format!("{}/v1/apps/{pool}/{path}", self.daemon);
        let mut request = self.client.request(method.clone(), url);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let answer = send_successfully(request.body(body.to_owned())).await?;
        let echo: Echo = read_json(answer).await?;
        if echo.method != method.as_str() || echo.path != format!("/{path}") || echo.body != body {
            return Err(LiveError::WrongAnswer(format!("{echo:?}")));
        }
        Ok(echo)
    }
}

/// Retry policy: retries requests that did not run, a limited number of times.
#[derive(Debug, Default)]
pub struct Retries {
    made: u32,
}

impl Retries {
    /// Returns whether to retry after this error, after waiting for its `Retry-After` time.
    pub async fn wait_to_retry(&mut self, error: &LiveError) -> bool {
        let LiveError::NotRun { retry_after, .. } = error else {
            return false;
        };
        self.made += 1;
        if self.made > MAX_RETRIES {
            return false;
        }
        let pause = retry_after.unwrap_or(RETRY_PAUSE);
        tokio::time::sleep(pause.clamp(RETRY_PAUSE, MAX_RETRY_PAUSE)).await;
        true
    }
}

async fn send_successfully(request: RequestBuilder) -> Result<Response, LiveError> {
    let answer = request.timeout(CALL_TIMEOUT).send().await?;
    let status = answer.status();
    if status.is_success() {
        return Ok(answer);
    }
    let header = |name| {
        let value = answer.headers().get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    let is_not_run = header("Ladderstage-Outcome").is_some_and(|outcome| outcome == "not-run");
    let retry_after = header("Retry-After").and_then(|value| value.parse().ok());
    let retry_after = retry_after.map(Duration::from_secs);
    let body = answer.text().await.unwrap_or_default();
    if is_not_run {
        return Err(LiveError::NotRun {
            status,
            body,
            retry_after,
        });
    }
    Err(LiveError::Unknown {
        status,
        body,
        retry_after,
    })
}

/// Parses a JSON body. Invalid contents of a complete body are a wrong answer, not a broken
/// connection.
async fn read_json<T: DeserializeOwned>(answer: Response) -> Result<T, LiveError> {
    let body = answer.text().await?;
    serde_json::from_str(&body).map_err(|_| LiveError::WrongAnswer(body))
}

//! Errors of live requests as JSON.

use serde::Serialize;

use crate::live::{LiveError, Outcome};

/// Error in the headers or the body of a request.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// A header has an invalid value.
    #[error("header {header}: {detail}")]
    Header {
        /// Name of the header.
        header: &'static str,
        /// Description of the problem.
        detail: String,
    },
    /// The body is longer than the limit.
    #[error("request body is longer than {limit} bytes")]
    BodyTooLong {
        /// Maximum length in bytes.
        limit: u64,
    },
    /// The body was truncated.
    #[error("request body was truncated: {detail}")]
    BodyCut {
        /// Error of the connection.
        detail: String,
    },
    /// The body is malformed.
    #[error("malformed request body: {detail}")]
    Body {
        /// Description of the problem and its position.
        detail: String,
    },
}

/// Error answer to a live request.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The request is malformed and did not run.
    #[error(transparent)]
    Request(#[from] RequestError),
    /// The request failed in the live path.
    #[error(transparent)]
    Live(#[from] LiveError),
}

impl Refusal {
    /// Returns the HTTP status code.
    pub fn status(&self) -> u16 {
        match self {
            Self::Request(RequestError::BodyTooLong { .. }) => 413,
            Self::Request(_) => 400,
            Self::Live(error) => error.status(),
        }
    }

    /// Returns the outcome of the request. All tries with the same idempotency key are one request, so a try that failed
    /// before the claim was read has an unknown outcome.
    pub fn outcome(&self, has_key: bool) -> Outcome {
        match self {
            Self::Request(_) => Outcome::NotRun,
            Self::Live(error) if has_key && error.is_before_claim() => Outcome::Unknown,
            Self::Live(error) => error.outcome(),
        }
    }

    /// Returns a stable error code for callers and metrics.
    pub fn code(&self) -> &'static str {
        match self {
            Self::Request(RequestError::Header { .. }) => "bad_header",
            Self::Request(RequestError::BodyTooLong { .. }) => "body_too_long",
            Self::Request(RequestError::BodyCut { .. }) => "body_cut",
            Self::Request(RequestError::Body { .. }) => "bad_body",
            Self::Live(error) => error.code(),
        }
    }

    /// Returns the time in seconds after which the caller may retry, rounded up.
    pub fn retry_after_seconds(&self) -> u64 {
        match self {
            Self::Request(_) => 1,
            Self::Live(error) => {
                let wait = error.retry_after();
                let seconds = wait.as_secs() + u64::from(wait.subsec_nanos() > 0);
                seconds.max(1)
            }
        }
    }

    /// Serializes the error for the caller.
    pub fn to_json(&self, request_id: &str, has_key: bool) -> String {
        let body = RefusalBody {
            error: RefusalDetail {
                code: self.code(),
                message: self.to_string(),
                header: self.header(),
            },
            outcome: self.outcome(has_key).as_str(),
            request_id,
        };
        // Cannot fail, as the body has only strings and numbers.
        serde_json::to_string(&body).unwrap_or_default()
    }

    fn header(&self) -> Option<&'static str> {
        match self {
            Self::Request(RequestError::Header { header, .. }) => Some(header),
            _ => None,
        }
    }
}

#[derive(Serialize)]
struct RefusalBody<'a> {
    error: RefusalDetail,
    outcome: &'static str,
    request_id: &'a str,
}

#[derive(Serialize)]
struct RefusalDetail {
    code: &'static str,
    message: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    header: Option<&'static str>,
}

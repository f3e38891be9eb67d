//! Errors of live requests and their outcomes.

use std::time::Duration;

/// `Retry-After` of errors without a more specific value.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// `Retry-After` of a request whose idempotency key is claimed, as the first try may still be running.
const CLAIMED_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The request ran and its answer is complete.
    Completed,
    /// The request certainly did not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Outcome {
    /// Returns the value of the outcome header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Completed => "completed",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// Error of a live request.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum LiveError {
    /// The node is draining.
    #[error("this node is draining; send the request to another node")]
    Draining,
    /// The node is disconnected from its peers and from the key-value service.
    #[error("this node is disconnected from the other nodes; send the request to another node")]
    Isolated,
    /// The node has received no bundle yet.
    #[error("no bundle is in force on this node yet")]
    NoBundle,
    /// The bundle in force has no pool of this name and kind.
    #[error("unknown {kind} {pool:?}")]
    UnknownPool {
        /// Requested kind: `model` or `application`.
        kind: &'static str,
        /// Name that the caller gave.
        pool: String,
    },
    /// The bundle in force has no class of this name.
    #[error("unknown class {class:?}")]
    UnknownClass {
        /// Name that the caller gave.
        class: String,
    },
    /// The class has reached its limit of concurrent requests.
    #[error("class {class:?} is at its limit")]
    AtLimit {
        /// Name of the class.
        class: String,
        /// Time until capacity is likely to be free.
        retry_after: Duration,
    },
    /// The memory for request bodies is exhausted.
    #[error("memory for request bodies is exhausted on this node; try again")]
    NoMemory,
    /// No back end of the pool accepts work.
    #[error("no back end of pool {pool:?} accepts work")]
    NoBackend {
        /// Name of the pool.
        pool: String,
    },
    /// No attempt ran: every back end was unreachable or refused.
    #[error("no back end accepted the request: {detail}")]
    Refused {
        /// Error of the last attempt.
        detail: String,
        /// Time after which the back end accepts a retry, if it said so.
        retry_after: Option<Duration>,
    },
    /// An attempt may have run, and its answer was lost.
    #[error("answer lost: {detail}")]
    AnswerLost {
        /// Error of the last attempt.
        detail: String,
    },
    /// The deadline passed after an attempt had started.
    #[error("deadline exceeded; the request may have run")]
    DeadlineExceeded,
    /// The answer is longer than the buffer limit.
    #[error("answer is longer than {limit} bytes")]
    AnswerTooLong {
        /// Maximum length in bytes.
        limit: usize,
    },
    /// The idempotency key belongs to a different request.
    #[error("the idempotency key was used for a different request")]
    KeyReused,
    /// A request with this key was claimed, and its outcome is unknown.
    #[error("a request with this idempotency key may be running or may have run")]
    KeyClaimed,
    /// A request with this key was answered, and the answer was too long to be stored.
    #[error(
        "a request with this idempotency key was answered with status {status}; the answer was not stored"
    )]
    AnswerNotKept {
        /// Status code of the answer.
        status: u32,
    },
    /// The claim could not be read or written, so the request was not dispatched.
    #[error("no majority of journal replicas answered; this try was not dispatched")]
    NoQuorum,
}

impl LiveError {
    /// Returns the outcome of the request.
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::AnswerLost { .. }
            | Self::DeadlineExceeded
            | Self::AnswerTooLong { .. }
            | Self::KeyClaimed => Outcome::Unknown,
            Self::AnswerNotKept { .. } => Outcome::Completed,
            _ => Outcome::NotRun,
        }
    }

    /// Returns whether the request failed before the claim of its key was read, so an earlier try may have run.
    pub fn is_before_claim(&self) -> bool {
        matches!(
            self,
            Self::Draining
                | Self::Isolated
                | Self::NoBundle
                | Self::AtLimit { .. }
                | Self::NoMemory
                | Self::NoQuorum
        )
    }

    /// Returns the HTTP status code.
    pub fn status(&self) -> u16 {
        match self {
            Self::UnknownClass { .. } => 400,
            Self::UnknownPool { .. } => 404,
            Self::KeyClaimed => 409,
            Self::AnswerNotKept { .. } => 410,
            Self::KeyReused => 422,
            Self::AtLimit { .. } | Self::NoMemory => 429,
            Self::AnswerLost { .. } | Self::AnswerTooLong { .. } => 502,
            Self::DeadlineExceeded => 504,
            _ => 503,
        }
    }

    /// Returns a stable error code for callers and metrics.
    pub fn code(&self) -> &'static str {
        match self {
            Self::Draining => "draining",
            Self::Isolated => "isolated",
            Self::NoBundle => "no_bundle",
            Self::UnknownPool { .. } => "unknown_pool",
            Self::UnknownClass { .. } => "unknown_class",
            Self::AtLimit { .. } => "at_limit",
            Self::NoMemory => "no_memory",
            Self::NoBackend { .. } => "no_backend",
            Self::Refused { .. } => "refused",
            Self::AnswerLost { .. } => "answer_lost",
            Self::DeadlineExceeded => "deadline_exceeded",
            Self::AnswerTooLong { .. } => "answer_too_long",
            Self::KeyReused => "key_reused",
            Self::KeyClaimed => "key_claimed",
            Self::AnswerNotKept { .. } => "answer_not_kept",
            Self::NoQuorum => "no_quorum",
        }
    }

    /// Returns the time after which the caller may retry.
    pub fn retry_after(&self) -> Duration {
        match self {
            Self::AtLimit { retry_after, .. } => *retry_after,
            Self::Refused { retry_after, .. } => retry_after.unwrap_or(DEFAULT_RETRY_AFTER),
            Self::KeyClaimed => CLAIMED_RETRY_AFTER,
            _ => DEFAULT_RETRY_AFTER,
        }
    }
}

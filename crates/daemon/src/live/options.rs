//! Options of a live request.

use std::time::Duration;

/// Id of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestId {
    caller_id: String,
    unique: String,
}

impl RequestId {
    /// Creates the id of a request from the caller's id, if there is one. Ids sent to back ends include a random part,
    /// as two callers may use the same id.
    pub fn new(given: Option<String>, random: u64) -> Self {
        match given {
            Some(given) => Self {
                unique: format!("{given}.{random:016x}"),
                caller_id: given,
            },
            None => Self {
                caller_id: format!("{random:016x}"),
                unique: format!("{random:016x}"),
            },
        }
    }

    /// Returns the id that the caller knows.
    pub fn caller_id(&self) -> &str {
        &self.caller_id
    }

    /// Returns the id of an attempt, unique among all requests of all callers.
    pub fn attempt_id(&self, attempt: u32) -> String {
        format!("{}.{attempt}", self.unique)
    }
}

/// Options of a live request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestOptions {
    /// Request id.
    pub id: RequestId,
    /// Class of the request.
    pub class: String,
    /// Time limit set by the caller; `None` for the default of the class.
    pub deadline: Option<Duration>,
    /// Whether the request must not run twice. Implied by an idempotency key.
    pub at_most_once: bool,
    /// Identifies the request across retries by the caller.
    pub idempotency_key: Option<String>,
}

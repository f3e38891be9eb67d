//! Errors of calls.

use ladderstage_wire::messages::Refused;

/// Reason why a call returned no result, by whether the peer may have executed it.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No byte of the request was sent.
    #[error("request not sent: {0}")]
    NotSent(String),
    /// The request may have reached the peer; it is unknown whether it was executed.
    #[error("outcome unknown: {0}")]
    Unknown(String),
    /// The peer refused to execute the request.
    #[error("refused: {} ({:?})", .0.detail, .0.reason)]
    Refused(Refused),
}

//! Reads complete request bodies within the memory limit.

use bytes::Bytes;
use rocket::Data;

use super::{Refusal, RequestError};
use crate::http::body::{LimitedBody, read_limited};
use crate::live::{LivePath, Reservation};

/// Request body with its memory reservation.
#[derive(Debug)]
pub struct ReservedBody {
    /// The complete body.
    pub bytes: Bytes,
    /// Memory reserved for the body.
    pub reservation: Reservation,
}

/// Reads a body of at most `limit` bytes. `declared` is the content length that the caller declares.
///
/// # Errors
/// [`Refusal`] if the body is too long or truncated, or if the memory for bodies is exhausted.
pub async fn read_body(
    live: &LivePath,
    data: Data<'_>,
    declared: Option<u64>,
    limit: u64,
) -> Result<ReservedBody, Refusal> {
    let reserved_bytes = declared.unwrap_or(limit).min(limit);
    let reservation = live.reserve_body(reserved_bytes)?;
    let read = read_limited(data, declared, limit).await;
    let body = read.map_err(|error| RequestError::BodyCut {
        detail: error.to_string(),
    })?;
    match body {
        LimitedBody::Whole(bytes) => Ok(ReservedBody {
            bytes: bytes.into(),
            reservation,
        }),
        LimitedBody::TooLong => Err(RequestError::BodyTooLong { limit }.into()),
    }
}

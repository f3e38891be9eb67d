//! Reading callers' bodies whole or not at all.

use bytes::Bytes;
use rocket::Data;

use super::{Refusal, RequestError};
use crate::http::body::{LimitedBody, read_limited};
use crate::live::{LivePath, Reservation};

/// A body with the room it takes.
#[derive(Debug)]
pub struct HeldRequestBody {
    /// The whole body.
    pub bytes: Bytes,
    /// Room for it.
    pub reservation: Reservation,
}

/// Reads a body of at most `limit` bytes; `declared` is its length as the caller declares it.
///
/// # Errors
/// [`Refusal`] if it is too long, breaks off, or finds no room.
pub async fn read_body(
    live: &LivePath,
    data: Data<'_>,
    declared: Option<u64>,
    limit: u64,
) -> Result<HeldRequestBody, Refusal> {
    let room = declared.unwrap_or(limit).min(limit);
    let reservation = live.reserve_body(room)?;
    let read = read_limited(data, declared, limit).await;
    let body = read.map_err(|error| RequestError::BodyCut {
        detail: error.to_string(),
    })?;
    match body {
        LimitedBody::Whole(bytes) => Ok(HeldRequestBody {
            bytes: bytes.into(),
            reservation,
        }),
        LimitedBody::TooLong => Err(RequestError::BodyTooLong { limit }.into()),
    }
}

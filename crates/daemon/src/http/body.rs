//! Reads request bodies up to a limit.

use std::io;
use std::time::Duration;

use rocket::Data;
use rocket::data::{ByteUnit, ToByteUnit};
use rocket::tokio::io::{AsyncRead, AsyncReadExt, copy, sink};
use rocket::tokio::time::timeout;

/// Maximum number of bytes beyond the limit that are read and discarded.
const MAX_DISCARDED: ByteUnit = ByteUnit::Mebibyte(16);

/// Maximum time spent on discarding bytes.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Result of reading a body.
#[derive(Debug, PartialEq, Eq)]
pub enum LimitedBody {
    /// The complete body.
    Whole(Vec<u8>),
    /// The body is longer than the limit and was discarded.
    TooLong,
}

/// Reads a body of at most `limit` bytes. `declared` is the content length that the caller declares.
///
/// Closing a connection with unread bytes resets it, and the caller may not receive the answer. Therefore the rest of
/// a longer body is read and discarded within limits.
///
/// # Errors
/// The I/O error if the body is truncated.
pub async fn read_limited(
    data: Data<'_>,
    declared: Option<u64>,
    limit: u64,
) -> io::Result<LimitedBody> {
    let mut stream = data.open(MAX_DISCARDED + limit.bytes());
    if declared.is_some_and(|length| length > limit) {
        discard(stream).await;
        return Ok(LimitedBody::TooLong);
    }
    let mut body = Vec::new();
    (&mut stream).take(limit).read_to_end(&mut body).await?;
    let mut next = [0];
    if stream.read(&mut next).await? > 0 {
        discard(stream).await;
        return Ok(LimitedBody::TooLong);
    }
    Ok(LimitedBody::Whole(body))
}

async fn discard(mut stream: impl AsyncRead + Unpin) {
    // The request is rejected even if discarding fails.
    let _ = timeout(DISCARD_TIMEOUT, copy(&mut stream, &mut sink())).await;
}

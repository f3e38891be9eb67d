//! Reading callers' bodies up to a limit.

use std::io;
use std::time::Duration;

use rocket::Data;
use rocket::data::{ByteUnit, ToByteUnit};
use rocket::tokio::io::{AsyncRead, AsyncReadExt, copy, sink};
use rocket::tokio::time::timeout;

/// Most bytes beyond the limit that are read and dropped, so that a caller that sends its whole body first gets to read the refusal.
const MAX_DISCARDED: ByteUnit = ByteUnit::Mebibyte(16);

/// Longest time spent on bytes that are dropped.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// A body that was read.
#[derive(Debug, PartialEq, Eq)]
pub enum LimitedBody {
    /// All of it.
    Whole(Vec<u8>),
    /// It is longer than the limit; what was sent has been dropped.
    TooLong,
}

/// Reads a body of at most `limit` bytes; `declared` is its length as the caller declares it, in bytes.
///
/// A connection that is closed with unread bytes is reset, and its caller may never see the answer. So the rest of a longer
/// body is read and dropped, within bounds, before the refusal leaves.
///
/// # Errors
/// What the connection said if the body breaks off.
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
    // The body is refused whatever became of its rest.
    let _ = timeout(DISCARD_TIMEOUT, copy(&mut stream, &mut sink())).await;
}

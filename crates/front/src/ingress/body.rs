//! Reads the bodies of requests within their limit, their deadline and the budget of memory.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use ladderstage_clock::Instant;

use crate::body_buffer::{BodyBuffer, BodyTooLong};
use crate::memory::{BudgetExhausted, Reservation};

/// Maximum time for reading the body of a refused request. On a link of 60 Mbit/s, each megabyte
/// takes a tenth of it.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(1_400);

/// Maximum bytes of the body of a refused request that are read.
const MAX_DISCARDED_BYTES: usize = 4 * 1024 * 1024;

/// Error of reading a body.
#[derive(Debug, thiserror::Error)]
pub(super) enum ReadBodyError {
    /// The body is longer than the limit.
    #[error(transparent)]
    TooLong(#[from] BodyTooLong),
    /// The memory for the body is not available.
    #[error(transparent)]
    NoMemory(#[from] BudgetExhausted),
    /// The body did not arrive in time.
    #[error("not complete in time after {received} bytes")]
    TimedOut {
        /// Bytes that have arrived.
        received: usize,
    },
    /// The client disconnected or sent an invalid body.
    #[error("incomplete: {0}")]
    Broken(#[from] hyper::Error),
}

/// Reads a body of at most `limit` bytes, which `reservation` covers. A body whose declared length is
/// too long, or does not fit the budget, is refused before it is read.
pub(super) async fn read_body(
    body: &mut Incoming,
    limit: usize,
    deadline: Instant,
    reservation: &mut Reservation,
) -> Result<Bytes, ReadBodyError> {
    let mut buffer = BodyBuffer::new(body, limit, reservation)?;
    buffer.check_available()?;
    let reading = async {
        while let Some(frame) = body.frame().await {
            if let Some(data) = frame?.data_ref() {
                buffer.push(data, buffer.growth_for(data.len())?)?;
            }
        }
        Ok(())
    };
    let read: Result<Result<(), ReadBodyError>, _> =
        tokio::time::timeout_at(deadline.into(), reading).await;
    match read {
        Ok(result) => result?,
        Err(_) => {
            let received = buffer.len();
            return Err(ReadBodyError::TimedOut { received });
        }
    }
    Ok(buffer.into_bytes())
}

/// Reads the rest of the body of a refused request in the background, as closing a connection with
/// unread data resets it, which may lose the response.
pub(super) fn discard(mut body: Incoming) {
    if body.is_end_stream() {
        return;
    }
    tokio::spawn(async move {
        let reading = async {
            let mut bytes = 0;
            while bytes < MAX_DISCARDED_BYTES {
                match body.frame().await {
                    Some(Ok(frame)) => bytes += frame.data_ref().map_or(0, Bytes::len),
                    Some(Err(_)) | None => return,
                }
            }
            // Reading on would cost as much as serving the request.
            std::future::pending().await
        };
        // The body of a slow client is not read to its end.
        let _ = tokio::time::timeout(DISCARD_TIMEOUT, reading).await;
    });
}

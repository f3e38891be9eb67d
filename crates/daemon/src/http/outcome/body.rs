//! Response bodies that Rocket reads.

use std::io::{Cursor, Error, ErrorKind, Result, SeekFrom};
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use tokio::io::{AsyncRead, AsyncSeek, AsyncWriteExt, DuplexStream, ReadBuf};

use super::RequestRecord;
use crate::drain::DrainGuard;
use crate::live::{Outcome, REASON_ANSWERED, StreamedBody};

/// Maximum number of bytes of a relayed body that are buffered for a slow caller.
const RELAY_BUFFER_BYTES: usize = 64 * 1024;

/// Response body of known length. A drain waits until it is dropped.
///
/// Invariant: if its source fails, the body ends before its declared length and Rocket aborts the connection, so that
/// the caller detects the truncation.
#[derive(Debug)]
pub(in crate::http) struct GuardedBody {
    source: Source,
    _guard: DrainGuard,
}

#[derive(Debug)]
enum Source {
    Whole(Cursor<Bytes>),
    Relayed(DuplexStream),
}

impl GuardedBody {
    pub(in crate::http) fn from_bytes(bytes: Bytes, guard: DrainGuard) -> Self {
        Self {
            source: Source::Whole(Cursor::new(bytes)),
            _guard: guard,
        }
    }

    /// Relays a body as it is received. The relay stops if the caller disconnects.
    pub(super) fn relayed(body: Box<StreamedBody>, guard: DrainGuard, end: RequestRecord) -> Self {
        let (writer, reader) = tokio::io::duplex(RELAY_BUFFER_BYTES);
        tokio::spawn(relay(body, writer, end));
        Self {
            source: Source::Relayed(reader),
            _guard: guard,
        }
    }
}

async fn relay(mut body: Box<StreamedBody>, mut writer: DuplexStream, end: RequestRecord) {
    loop {
        match body.next().await {
            Ok(Some(bytes)) => {
                if writer.write_all(&bytes).await.is_err() {
                    return;
                }
            }
            Ok(None) => return end.record(Outcome::Completed, REASON_ANSWERED),
            Err(error) => return end.record(error.outcome(), error.code()),
        }
    }
}

impl AsyncRead for GuardedBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        match &mut self.source {
            Source::Whole(reader) => Pin::new(reader).poll_read(context, buffer),
            Source::Relayed(reader) => Pin::new(reader).poll_read(context, buffer),
        }
    }
}

/// Required by Rocket, which uses it only for bodies without a length.
impl AsyncSeek for GuardedBody {
    fn start_seek(mut self: Pin<&mut Self>, position: SeekFrom) -> Result<()> {
        match &mut self.source {
            Source::Whole(reader) => Pin::new(reader).start_seek(position),
            Source::Relayed(_) => Err(Error::from(ErrorKind::Unsupported)),
        }
    }

    fn poll_complete(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<u64>> {
        match &mut self.source {
            Source::Whole(reader) => Pin::new(reader).poll_complete(context),
            Source::Relayed(_) => Poll::Ready(Err(Error::from(ErrorKind::Unsupported))),
        }
    }
}

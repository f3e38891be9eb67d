//! Bodies of answers as Rocket reads them.

use std::io::{Cursor, Error, ErrorKind, Result, SeekFrom};
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use tokio::io::{AsyncRead, AsyncSeek, AsyncWriteExt, DuplexStream, ReadBuf};

use super::RequestEnd;
use crate::drain::DrainGuard;
use crate::live::{Outcome, REASON_ANSWERED, StreamedBody};

/// Bytes of a relayed body that may wait for a slow caller.
const RELAY_BUFFER_BYTES: usize = 64 * 1024;

/// A body of known length. A planned stop waits until Rocket has let go of it.
///
/// Invariant: if its source breaks, it ends short of its length, and Rocket aborts the caller's connection, so that
/// a cut answer cannot pass for a whole one.
#[derive(Debug)]
pub(in crate::http) struct HeldBody {
    source: Source,
    _guard: DrainGuard,
}

#[derive(Debug)]
enum Source {
    Whole(Cursor<Bytes>),
    Relayed(DuplexStream),
}

impl HeldBody {
    pub(in crate::http) fn whole(bytes: Bytes, guard: DrainGuard) -> Self {
        Self {
            source: Source::Whole(Cursor::new(bytes)),
            _guard: guard,
        }
    }

    /// Relays a body as it arrives. The relay stops when the caller goes away.
    pub(super) fn relayed(body: Box<StreamedBody>, guard: DrainGuard, end: RequestEnd) -> Self {
        let (writer, reader) = tokio::io::duplex(RELAY_BUFFER_BYTES);
        tokio::spawn(relay(body, writer, end));
        Self {
            source: Source::Relayed(reader),
            _guard: guard,
        }
    }
}

async fn relay(mut body: Box<StreamedBody>, mut writer: DuplexStream, end: RequestEnd) {
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

impl AsyncRead for HeldBody {
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

/// Rocket asks for it and uses it only where no length is given.
impl AsyncSeek for HeldBody {
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

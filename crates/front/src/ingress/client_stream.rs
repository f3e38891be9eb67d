//! Socket of a client, which records the progress of its connection and fails if the client does not
//! read its responses.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;
use tokio_util::sync::PollSemaphore;

use super::connections::ConnectionProgress;
use crate::socket;

/// Time in which a client has to read [`MIN_READ_BYTES`] of a response that does not fit the buffers of
/// its connection.
const READ_WINDOW: Duration = Duration::from_secs(10);

/// Bytes that a client has to read in each [`READ_WINDOW`].
const MIN_READ_BYTES: usize = 64 * 1024;

/// Bytes of a head that are read without waiting for other large heads.
const SMALL_HEAD_BYTES: usize = 4 * 1024;

/// Stream of one client.
pub(super) struct ClientStream {
    stream: TcpStream,
    /// Whether the options of the socket are set, which silent connections do not need.
    is_configured: bool,
    progress: ConnectionProgress,
    /// Bytes of the current head that have been read.
    head_bytes: usize,
    /// Waits for the permit to read more of a large head.
    large_heads: PollSemaphore,
    /// Set while the client's buffers are full.
    blocked: Option<BlockedWrite>,
}

/// A write that waits for the client.
struct BlockedWrite {
    window: Pin<Box<Sleep>>,
    /// Bytes written in the window.
    written: usize,
}

impl ClientStream {
    /// Wraps the socket of a connection.
    pub fn new(stream: TcpStream, progress: ConnectionProgress) -> Self {
        Self {
            stream,
            is_configured: false,
            large_heads: PollSemaphore::new(progress.large_heads()),
            progress,
            head_bytes: 0,
            blocked: None,
        }
    }

    /// Reads a part of a head: the first part at once, the others one connection at a time.
    fn poll_read_head(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.progress.end_large_head();
        let mut limit = SMALL_HEAD_BYTES.saturating_sub(self.head_bytes);
        let mut permit = None;
        if limit == 0 {
            limit = buffer.remaining();
            permit = ready!(self.large_heads.poll_acquire(context));
        }
        let part = buffer.initialize_unfilled_to(limit.min(buffer.remaining()));
        let mut part = ReadBuf::new(part);
        ready!(Pin::new(&mut self.stream).poll_read(context, &mut part))?;
        let count = part.filled().len();
        buffer.advance(count);
        self.head_bytes += count;
        if count > 0 {
            if !self.is_configured {
                self.is_configured = true;
                socket::configure(&self.stream);
            }
            if let Some(permit) = permit {
                self.progress.start_large_head(permit);
            }
            self.progress.on_bytes_read();
        }
        Poll::Ready(Ok(()))
    }

    /// Checks the progress of a client whose buffers are full.
    fn check_blocked(&mut self, context: &mut Context<'_>) -> Poll<io::Error> {
        let blocked = self.blocked.get_or_insert_with(|| BlockedWrite {
            window: Box::pin(tokio::time::sleep(READ_WINDOW)),
            written: 0,
        });
        while blocked.window.as_mut().poll(context).is_ready() {
            if blocked.written < MIN_READ_BYTES {
                let message = "the client does not read its response";
                return Poll::Ready(io::Error::new(io::ErrorKind::TimedOut, message));
            }
            blocked.written = 0;
            let next = tokio::time::Instant::now() + READ_WINDOW;
            blocked.window.as_mut().reset(next);
        }
        Poll::Pending
    }

    fn on_write(
        &mut self,
        context: &mut Context<'_>,
        wanted: usize,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        match written {
            Poll::Ready(Ok(count)) => {
                if self.blocked.is_some() {
                    self.progress.on_unblocked();
                }
                if count >= wanted {
                    self.blocked = None;
                } else if let Some(blocked) = &mut self.blocked {
                    blocked.written += count;
                }
                Poll::Ready(Ok(count))
            }
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending => {
                self.progress.on_blocked();
                Poll::Ready(Err(ready!(self.check_blocked(context))))
            }
        }
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.progress.is_reading_head() {
            return self.poll_read_head(context, buffer);
        }
        self.head_bytes = 0;
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        if buffer.filled().len() > before {
            self.progress.on_bytes_read();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, buffer);
        self.on_write(context, buffer.len(), written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let wanted = buffers.iter().map(|buffer| buffer.len()).sum();
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.on_write(context, wanted, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

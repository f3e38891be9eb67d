//! Accepts the connections of a listener within its limits.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper_util::rt::TokioTimer;
use tokio::net::{TcpListener, TcpSocket};

use super::client_stream::ClientStream;
use super::connections::{ConnectionSlot, ConnectionTable};

/// Pause after a failed accept, for example without a free file descriptor.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// Smallest buffer that the HTTP server accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Bytes of the shortest field of a head: a name of one character, a colon and the end of the line.
const SHORTEST_FIELD_BYTES: usize = 4;

/// Connections that may wait to be accepted. Behind more of them, a client of a slow machine would wait
/// longer than the second after which it tries a connection again that did not fit.
const BACKLOG: u32 = 512;

/// Listens on an address for clients.
///
/// # Errors
/// Fails if the address cannot be bound.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// A new connection.
pub(super) struct Accepted {
    pub stream: ClientStream,
    pub slot: ConnectionSlot,
    pub peer: SocketAddr,
}

/// Waits for the next connection that the limits admit. Failures are logged and waited out.
pub(super) async fn accept(listener: &TcpListener, table: &ConnectionTable) -> Accepted {
    loop {
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("event=accept_failed cause=\"{error}\"");
                tokio::time::sleep(ACCEPT_RETRY).await;
                continue;
            }
        };
        let Some(slot) = table.admit() else {
            continue;
        };
        if table.is_displacement_due() {
            // Lets displaced connections close their sockets before more are accepted.
            tokio::task::yield_now().await;
        }
        let stream = ClientStream::new(stream, slot.progress());
        return Accepted { stream, slot, peer };
    }
}

/// Returns a server for connections whose heads have at most `max_head_bytes` bytes, in any number of
/// fields.
pub(super) fn http_server(max_head_bytes: usize) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        // The connection table limits the time for a head.
        .header_read_timeout(None)
        .max_headers(max_head_bytes / SHORTEST_FIELD_BYTES)
        .max_buf_size(max_head_bytes.max(MIN_BUFFER_BYTES) + MIN_BUFFER_BYTES);
    builder
}

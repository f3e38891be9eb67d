//! Socket options for the early detection of silent peers.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Idle time before the first keep-alive probe, and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered probes after which the connection is closed.
const KEEPALIVE_PROBES: u32 = 2;

/// Maximum time that sent data may stay unacknowledged.
const USER_TIMEOUT: Duration = Duration::from_secs(2);

/// Sets the options. Failures are ignored, as the socket also works without them.
pub fn configure(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let _ = socket.set_tcp_keepalive(&keepalive);
    let _ = socket.set_tcp_user_timeout(Some(USER_TIMEOUT));
}

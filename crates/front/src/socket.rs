//! Socket options that make silent peers known soon.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// How long a silent connection rests before it is probed, and between probes.
const KEEPALIVE: Duration = Duration::from_secs(1);

/// Probes without an answer until the connection is given up.
const KEEPALIVE_PROBES: u32 = 2;

/// How long sent bytes may stay unacknowledged.
const USER_TIMEOUT: Duration = Duration::from_secs(2);

/// Sets the options; a socket that refuses one works without it.
pub fn set_up(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE)
        .with_retries(KEEPALIVE_PROBES);
    let _ = socket.set_tcp_keepalive(&keepalive);
    let _ = socket.set_tcp_user_timeout(Some(USER_TIMEOUT));
}

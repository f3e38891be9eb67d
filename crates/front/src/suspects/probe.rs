//! Detection of crashed instances after a connection broke.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;

/// Timeout of a connection attempt. The machine of a crashed process refuses within a round trip. A
/// silent one may be partitioned, and the request should not wait longer before it runs elsewhere.
const PROBE_LIMIT: Duration = Duration::from_millis(100);

/// State of an instance whose connection broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstanceFate {
    /// Its process has exited: connections to its address are refused.
    Ended,
    /// Its process is listening: only the connection was lost.
    Listening,
    /// Its machine does not respond.
    Unknown,
}

impl InstanceFate {
    /// Returns the label in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Ended => "ended",
            Self::Listening => "listening",
            Self::Unknown => "unknown",
        }
    }
}

/// Probes whether a process listens at an instance's address.
pub async fn probe(address: SocketAddr) -> InstanceFate {
    match tokio::time::timeout(PROBE_LIMIT, TcpStream::connect(address)).await {
        Ok(Ok(_)) => InstanceFate::Listening,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => InstanceFate::Ended,
        Ok(Err(_)) | Err(_) => InstanceFate::Unknown,
    }
}

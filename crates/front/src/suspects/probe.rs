//! Detection of crashed instances after a connection broke.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;

/// Timeout of a connection attempt. The machine of a crashed process refuses within a round trip. A
/// silent one may be partitioned, and the request should not wait longer before it runs elsewhere.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// State of an instance whose connection broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstanceStatus {
    /// Its process has exited: connections to its address are refused.
    Exited,
    /// Its process is listening: only the connection was lost.
    Listening,
    /// Its machine does not respond.
    Unknown,
}

impl InstanceStatus {
    /// Returns the label in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Exited => "ended",
            Self::Listening => "listening",
            Self::Unknown => "unknown",
        }
    }
}

/// Probes whether a process listens at an instance's address.
pub async fn probe(address: SocketAddr) -> InstanceStatus {
    match tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(_)) => InstanceStatus::Listening,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => InstanceStatus::Exited,
        Ok(Err(_)) | Err(_) => InstanceStatus::Unknown,
    }
}

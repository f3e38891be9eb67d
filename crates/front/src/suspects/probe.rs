//! Whether an instance ended under a request whose connection broke.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;

/// Time for the answer to a connection attempt. A machine whose process has ended refuses within a round trip; one that is silent may
/// be cut off, which says nothing of the process, and a request that may run elsewhere is not held up for longer.
const PROBE_LIMIT: Duration = Duration::from_millis(100);

/// What became of an instance whose connection broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstanceFate {
    /// Its process has ended: nobody listens at its address.
    Ended,
    /// Its process is there: only the connection was lost.
    Listening,
    /// Its machine does not answer.
    Unknown,
}

impl InstanceFate {
    /// Word for logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Ended => "ended",
            Self::Listening => "listening",
            Self::Unknown => "unknown",
        }
    }
}

/// Looks whether somebody listens at an instance's address.
pub async fn probe(address: SocketAddr) -> InstanceFate {
    match tokio::time::timeout(PROBE_LIMIT, TcpStream::connect(address)).await {
        Ok(Ok(_)) => InstanceFate::Listening,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => InstanceFate::Ended,
        Ok(Err(_)) | Err(_) => InstanceFate::Unknown,
    }
}

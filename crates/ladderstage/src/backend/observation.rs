//! What is learned about back ends, and when it held.

use std::net::SocketAddr;
use std::time::Duration;

use crate::bundle::PoolKind;
use crate::ids::{ProcessId, WeightVersion};

/// Span within which an answer was given: after its request was sent and before it arrived. Both are times since
/// the start of this process. Age is always reckoned from `sent_at`, order of two answers is certain only if one
/// span ends before the other begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ObservationInterval {
    /// When the request was sent.
    pub sent_at: Duration,
    /// When the answer arrived.
    pub received_at: Duration,
}

/// A load report, as a back end gives it.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Report {
    /// Process that gives it.
    pub process: ProcessId,
    /// Weight version it holds; 0 for applications.
    pub weight_version: WeightVersion,
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Requests it runs side by side.
    pub capacity: u32,
    /// Whether it is stopping.
    pub leaving: bool,
    /// Grows with each report of one process.
    pub sequence: u64,
}

/// A back end in the machine list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedBackend {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Zone it runs in.
    pub zone: String,
    /// Kind of back end.
    pub kind: PoolKind,
    /// Whether the list says that it is stopping.
    pub leaving: bool,
}

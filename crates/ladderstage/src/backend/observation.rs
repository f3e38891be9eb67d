//! Observations of back ends, with their times.

use std::net::SocketAddr;
use std::time::Duration;

use crate::bundle::PoolKind;
use crate::ids::{ProcessId, WeightVersion};

/// Interval within which an answer was given: after its request was sent and before it arrived.
/// Both are durations since the start of this process. Ages count from `sent_at`; the order of two
/// answers is certain only if their intervals do not overlap.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ObservationInterval {
    /// Time at which the request was sent.
    pub sent_at: Duration,
    /// Time at which the answer arrived.
    pub received_at: Duration,
}

/// A load report of a back end.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Report {
    /// Process that sent the report.
    pub process: ProcessId,
    /// Weight version that the process holds; 0 for applications.
    pub weight_version: WeightVersion,
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Maximum number of concurrent requests.
    pub capacity: u32,
    /// Whether the process is stopping.
    pub leaving: bool,
    /// Sequence number; increases with each report of one process.
    pub sequence: u64,
}

/// A back end in the machine list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedBackend {
    /// Name of the back end.
    pub name: String,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Zone in which it runs.
    pub zone: String,
    /// Kind of back end.
    pub kind: PoolKind,
    /// Whether the list reports it as stopping.
    pub leaving: bool,
}

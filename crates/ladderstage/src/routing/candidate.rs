//! Back end to which a request may be routed.

use std::net::SocketAddr;
use std::time::Duration;

/// A back end that may be given new work now, with the inputs of its cost.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Name in the machine list.
    pub name: String,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Zone in which it runs.
    pub zone: String,
    /// Process that sent the last report; 0 before the first one.
    pub process: u64,
    /// Weight version of the last report; 0 for applications.
    pub weight_version: u64,
    /// Requests running, by the last report.
    pub running: u32,
    /// Requests waiting, by the last report.
    pub waiting: u32,
    /// Maximum number of concurrent requests, by the last report.
    pub capacity: u32,
    /// Requests of this process in flight at the back end.
    pub own_in_flight: u32,
    /// Requests in `own_in_flight` that were sent after the last report was requested.
    pub dispatched_since_report: u32,
    /// Age of the last report; `Duration::MAX` before the first one.
    pub report_age: Duration,
}

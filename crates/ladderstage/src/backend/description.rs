//! Description of a back end for operators.

use serde::{Deserialize, Serialize};

/// State of a back end for operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendDescription {
    /// Name in the machine list.
    pub name: String,
    /// Pool of the bundle in force that contains the back end.
    pub pool: Option<String>,
    /// Address as `ip:port`, if the machine list has named it.
    pub address: Option<String>,
    /// Zone; empty if unknown.
    pub zone: String,
    /// Process that sent the last report; 0 before the first one.
    pub process: u64,
    /// Weight version of the last report.
    pub weight_version: u64,
    /// Requests running, by the last report.
    pub running: u32,
    /// Requests waiting, by the last report.
    pub waiting: u32,
    /// Maximum number of concurrent requests, by the last report.
    pub capacity: u32,
    /// Requests of this daemon in flight.
    pub own_in_flight: u32,
    /// Whether the current process is known to be leaving.
    pub leaving: bool,
    /// Age in milliseconds of the newest evidence that the back end is alive, if any.
    pub evidence_age_ms: Option<u64>,
    /// Age in milliseconds of the last report.
    pub report_age_ms: Option<u64>,
    /// Consecutive failures of own requests.
    pub failures: u32,
    /// Reason why it may not be given new work now, if any.
    pub unusable: Option<String>,
}

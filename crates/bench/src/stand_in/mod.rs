//! Stand-ins for the systems around ladderstage, as described in docs/PLATFORM.md.
//!
//! Each has a module with `start(config) -> Handle` and a subcommand of `ladderstage-bench
//! stand-in`. Paths under `/control/` are for tests: they set faults and read logs.

pub mod application;
pub mod engine;
pub mod key_value;
pub mod machine_list;
pub(crate) mod rate;
pub mod scorer;
pub mod weight_store;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Mutex, MutexGuard};

use serde::{Deserialize, Serialize};

/// Header with which a back end states that it did not run a refused request.
pub const ENGINE_HEADER: &str = "Ladderstage-Engine";
/// Value of [`ENGINE_HEADER`] for a single refused request.
pub const NOT_RUN: &str = "not-run";
/// Value of [`ENGINE_HEADER`] if the back end accepts no further work.
pub const NOT_RUN_LEAVING: &str = "not-run, leaving";
/// Header with the request id.
pub const REQUEST_ID_HEADER: &str = "Ladderstage-Request-Id";

/// Returns the loopback address with port 0, which binds a free port.
pub fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// Load report of a back end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Name in the machine list.
    pub name: String,
    /// Random id of this process.
    pub process: u64,
    /// Weight version that it reports as held; engines only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weight_version: Option<u64>,
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Maximum number of concurrent requests.
    pub capacity: u32,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Sequence number of the report within this process.
    pub sequence: u64,
}

/// Point at which a back end cuts its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CutPoint {
    /// Before the first byte, after the request ran or started to run.
    BeforeHeaders,
    /// Within the body.
    MidBody,
    /// After the last byte of content, before the end marker.
    BeforeEnd,
}

/// State or outcome of a request at a back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ending {
    /// Still running.
    Running,
    /// Answered completely.
    Completed,
    /// Cancelled by order or by the caller's disconnect.
    Cancelled,
    /// Cut by an injected fault.
    Cut,
}

/// Body of `POST /control/leaving`; an empty body means `true`.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct LeavingOrder {
    /// Whether the back end is leaving.
    pub leaving: bool,
}

impl LeavingOrder {
    /// Parses the body of the control call.
    pub fn read(body: &[u8]) -> Result<bool, serde_json::Error> {
        if body.is_empty() {
            return Ok(true);
        }
        serde_json::from_slice::<Self>(body).map(|order| order.leaving)
    }
}

/// Decrements a count of faults to inject; returns whether it was positive.
pub(crate) fn consume_one(remaining: &mut u32) -> bool {
    let was_positive = *remaining > 0;
    *remaining = remaining.saturating_sub(1);
    was_positive
}

/// Locks a mutex, ignoring poisoning.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

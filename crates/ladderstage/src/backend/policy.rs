//! Limits for the use of back ends.

use std::time::Duration;

/// Limits for the use of back ends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendPolicy {
    /// Maximum age of the evidence with which a back end is given work.
    pub freshness: Duration,
    /// Time for which a back end may be missing from the machine list and still be used.
    pub missing_grace: Duration,
    /// Maximum lag of the machine list behind the machines.
    pub list_lag: Duration,
    /// Number of consecutive failures that eject a back end.
    pub eject_after: u32,
    /// Duration of the first ejection; doubles with each further one.
    pub eject_base: Duration,
    /// Maximum duration of an ejection, before jitter.
    pub eject_limit: Duration,
    /// Pause after a back end refused a request because it was full.
    pub refusal_pause: Duration,
}

impl BackendPolicy {
    /// Returns the default limits with the given freshness bound.
    pub fn with_freshness(freshness: Duration) -> Self {
        Self {
            freshness,
            missing_grace: Duration::from_secs(3),
            list_lag: Duration::from_secs(15),
            eject_after: 3,
            eject_base: Duration::from_millis(500),
            eject_limit: Duration::from_secs(10),
            refusal_pause: Duration::from_millis(100),
        }
    }
}

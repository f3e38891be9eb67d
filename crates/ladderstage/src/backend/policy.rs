//! Limits on report age, absence from the machine list and failures of back ends.

use std::time::Duration;

/// Limits that decide whether a back end may be given new work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendPolicy {
    /// Maximum age of the newest evidence that a back end is alive (a load report or a complete
    /// answer to an own request) for it to be given work.
    pub freshness: Duration,
    /// Time for which a back end may be missing from the machine list and still be used.
    pub missing_grace: Duration,
    /// Maximum delay until a change of a machine appears in the machine list.
    pub max_list_lag: Duration,
    /// Number of consecutive failures that eject a back end.
    pub consecutive_failures: u32,
    /// Duration of the first ejection, before jitter; doubles with each further one.
    pub base_ejection_time: Duration,
    /// Maximum duration of an ejection, before jitter.
    pub max_ejection_time: Duration,
    /// Pause after a back end refused a request because all its slots were in use.
    pub refusal_pause: Duration,
}

impl BackendPolicy {
    /// Returns the default limits with the given freshness bound.
    pub fn with_freshness(freshness: Duration) -> Self {
        Self {
            freshness,
            missing_grace: Duration::from_secs(3),
            max_list_lag: Duration::from_secs(15),
            consecutive_failures: 3,
            base_ejection_time: Duration::from_millis(500),
            max_ejection_time: Duration::from_secs(10),
            refusal_pause: Duration::from_millis(100),
        }
    }
}

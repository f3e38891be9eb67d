//! Timing of the roster, derived from the maximum delay of changes.

use std::time::Duration;

/// Minimum lease of the roster. Allows three renewals to a store that takes 0.3 s for each.
const MIN_LEASE: Duration = Duration::from_secs(1);

/// Maximum batch interval; a longer one saves few calls.
const MAX_BATCH_INTERVAL: Duration = Duration::from_millis(800);

/// Minimum batch interval for which the roster is worth its writes.
const MIN_BATCH_INTERVAL: Duration = Duration::from_millis(200);

/// Minimum number of fronts for a roster. It costs its writer about three calls per second and
/// saves each idle front about half a call per second; in small fleets few fronts are idle.
const MIN_FRONTS: usize = 16;

/// Time for which a node waits for a roster when the whole system starts for the first time. The
/// roster is written once the instances have settled (`writer`) and the order leader has its lease.
pub const FIRST_START_WAIT: Duration = Duration::from_secs(8);

/// Time for which a restarted node waits for a roster. An existing roster is in the first answer of
/// the store.
pub const RESTART_WAIT: Duration = Duration::from_millis(500);

/// Timing of the roster.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RosterOptions {
    /// Lease of the record, which outlives its writer by at most this time.
    pub lease: Duration,
    /// Interval between watch answers of discovery at the writer.
    pub writer_batch_interval: Duration,
    /// Interval between watch answers about the roster at a reader.
    pub reader_batch_interval: Duration,
    /// Minimum number of fronts for a roster.
    pub min_fronts: usize,
}

impl RosterOptions {
    /// Returns the timing with which a change reaches all readers within `limit`, even if the
    /// writer dies just before it writes the change; `None` if `limit` is too short. `store_lease`
    /// is the shortest lease that the store grants.
    pub fn within(limit: Duration, store_lease: Duration) -> Option<Self> {
        let lease = store_lease.max(MIN_LEASE);
        let batch_interval = (limit.checked_sub(lease)? / 2).min(MAX_BATCH_INTERVAL);
        (batch_interval >= MIN_BATCH_INTERVAL).then_some(Self {
            lease,
            writer_batch_interval: batch_interval,
            reader_batch_interval: batch_interval,
            min_fronts: MIN_FRONTS,
        })
    }

    /// Returns the maximum delay of a change until it reaches a reader, excluding the duration of
    /// calls.
    pub fn max_delay(&self) -> Duration {
        self.writer_batch_interval + self.lease + self.reader_batch_interval
    }
}

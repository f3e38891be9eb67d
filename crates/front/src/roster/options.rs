//! Timing of the roster (the record of the instances that live requests may go to), derived from the
//! maximum delay of a change.

use std::time::Duration;

/// Minimum lease of the roster; long enough for three renewals of 0.3 s each.
const MIN_LEASE: Duration = Duration::from_secs(1);

/// Maximum batch interval of the writer.
const MAX_BATCH_INTERVAL: Duration = Duration::from_millis(800);

/// Maximum batch interval of a reader. Every front reads each change that it does not batch.
const MAX_READER_BATCH_INTERVAL: Duration = Duration::from_secs(3);

/// Minimum batch interval; no roster is used if a shorter one would be required.
const MIN_BATCH_INTERVAL: Duration = Duration::from_millis(200);

/// Minimum number of fronts for a roster. With fewer fronts, it costs more store calls than it
/// saves. The roster costs its writer about three calls a second and saves each idle front about
/// half a call a second.
const MIN_FRONTS: usize = 16;

/// Time for which a node waits for a roster when the whole system starts for the first time. The
/// roster is written once discovery is stable and the order leader holds its lease.
pub const FIRST_START_WAIT: Duration = Duration::from_secs(8);

/// Time for which a node of a fleet with enough fronts for a roster waits for it. Following discovery
/// at all of them would cost far more.
pub const FLEET_START_WAIT: Duration = Duration::from_secs(60);

/// Time for which a restarted node waits for a roster. If a roster exists, the
/// first answer of the store contains it.
pub const RESTART_WAIT: Duration = Duration::from_millis(500);

/// Timing of the roster.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RosterTiming {
    /// Lease duration of the roster record, which expires at most this long after its writer stops.
    pub lease: Duration,
    /// Batch interval of the writer's watch of the discovery records.
    pub writer_batch_interval: Duration,
    /// Batch interval of a reader's watch of the roster record.
    pub reader_batch_interval: Duration,
    /// Minimum number of fronts for a roster.
    pub min_fronts: usize,
}

impl RosterTiming {
    /// Returns the timing for a maximum delay of `limit`, or `None` if `limit` is too short. The
    /// delay includes the loss of the writer just before it writes a change. `store_lease` is the
    /// shortest lease that the store grants.
    pub fn within(limit: Duration, store_lease: Duration) -> Option<Self> {
        let lease = store_lease.max(MIN_LEASE);
        let intervals = limit.checked_sub(lease)?;
        let writer_batch_interval = (intervals / 2).min(MAX_BATCH_INTERVAL);
        let reader_batch_interval = intervals - writer_batch_interval;
        (writer_batch_interval >= MIN_BATCH_INTERVAL).then_some(Self {
            lease,
            writer_batch_interval,
            reader_batch_interval: reader_batch_interval.min(MAX_READER_BATCH_INTERVAL),
            min_fronts: MIN_FRONTS,
        })
    }

    /// Returns the maximum delay of a change until it reaches a reader, excluding the duration of
    /// calls.
    pub fn max_delay(&self) -> Duration {
        self.writer_batch_interval + self.lease + self.reader_batch_interval
    }
}

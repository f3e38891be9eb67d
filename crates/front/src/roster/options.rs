//! How the time within which all fronts must hear of a change is shared.

use std::time::Duration;

/// Shortest lease of the roster, which goes this long after the last renewal of a writer that died. Three renewals fit into it
/// while the store takes 0.3 s for each.
const LEAST_LEASE: Duration = Duration::from_secs(1);

/// Longest gathering: beyond this it saves hardly any calls.
const MOST_GATHER: Duration = Duration::from_millis(800);

/// Shortest gathering that makes the roster worth its writes.
const LEAST_GATHER: Duration = Duration::from_millis(200);

/// From so many fronts on there is a roster. It costs its writer about three calls a second, for closer following, and saves
/// each idle front about half a call a second; on a small fleet nearly every front has work.
const LEAST_FRONTS: usize = 16;

/// How long a node of a system that starts for the first time waits for a roster: it is written once the instances have settled, 7 s
/// after the start at most (`writer`), and the giver of orders has its lease.
pub const FIRST_START_WAIT: Duration = Duration::from_secs(8);

/// The same for a node that is started again: a roster that is there is known with the first answer of the store.
pub const RESTART_WAIT: Duration = Duration::from_millis(500);

/// When there is a roster, and its times.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RosterOptions {
    /// How long the record outlives its writer.
    pub lease: Duration,
    /// Between two answers of discovery at the writer.
    pub writer_batch_interval: Duration,
    /// Between two answers about the roster at a reader.
    pub reader_gather: Duration,
    /// From so many fronts on there is a roster.
    pub least_fronts: usize,
}

impl RosterOptions {
    /// Times by which a change reaches all readers within `limit`, also if the writer dies just before it writes the change;
    /// `None` if there are none. `store_lease` is the shortest lease that the store grants.
    pub fn within(limit: Duration, store_lease: Duration) -> Option<Self> {
        let lease = store_lease.max(LEAST_LEASE);
        let gather = (limit.checked_sub(lease)? / 2).min(MOST_GATHER);
        (gather >= LEAST_GATHER).then_some(Self {
            lease,
            writer_batch_interval: gather,
            reader_gather: gather,
            least_fronts: LEAST_FRONTS,
        })
    }

    /// The longest that a change takes to reach a reader, calls not counted.
    pub fn longest(&self) -> Duration {
        self.writer_batch_interval + self.lease + self.reader_gather
    }
}

//! Timeout of the rounds in which replicas write to their disks.
//!
//! A round that times out starts over and adds to the load of the disks, so that a fixed timeout
//! never succeeds at replicas whose disks are slower than that. The timeout is longer while the
//! replicas are alive but write slowly.

use std::time::Duration;

/// Factor by which the timeout grows when a round times out.
const GROWTH_FACTOR: u32 = 4;

/// A round is quick if it takes less than the timeout divided by this number.
const QUICK_ROUND_DIVISOR: u32 = 4;

/// Maximum age of the last heartbeat that a majority of replicas answered at which they count as
/// alive.
const MAX_HEARTBEAT_AGE: Duration = Duration::from_millis(1_500);

/// Timeout of rounds with writes.
#[derive(Debug, Clone)]
pub struct WriteTimeout {
    base: Duration,
    current: Duration,
}

impl WriteTimeout {
    /// Starts with the timeout `base`.
    pub fn new(base: Duration) -> Self {
        Self {
            base,
            current: base,
        }
    }

    /// Returns the timeout of the next round. `heartbeat_age` is the age of the last heartbeat that
    /// a majority of replicas answered. Unreachable replicas get the initial timeout, as waiting
    /// for them is futile.
    pub fn next(&self, heartbeat_age: Option<Duration>) -> Duration {
        match heartbeat_age {
            Some(age) if age < MAX_HEARTBEAT_AGE => self.current,
            _ => self.base,
        }
    }

    /// Records that a round ended with a quorum after `elapsed`. Returns whether the timeout has
    /// changed.
    pub fn record_success(&mut self, elapsed: Duration) -> bool {
        if elapsed >= self.current / QUICK_ROUND_DIVISOR {
            return false;
        }
        self.set((self.current / 2).max(self.base))
    }

    /// Records that a round with the timeout `timeout` timed out. Returns whether the timeout has
    /// changed.
    pub fn record_timeout(&mut self, timeout: Duration) -> bool {
        if timeout < self.current {
            return false;
        }
        self.set(self.base * GROWTH_FACTOR)
    }

    fn set(&mut self, timeout: Duration) -> bool {
        let is_changed = self.current != timeout;
        self.current = timeout;
        is_changed
    }
}

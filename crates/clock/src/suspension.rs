//! Notices that the machine was suspended.

use std::time::Duration;

use crate::Instant;

/// Between looks. Whatever is decided in between goes by [`Instant`]; a look only says so in the log and begins watches anew.
pub const SUSPENSION_LOOK: Duration = Duration::from_millis(500);

/// Differences below this are those between two readings of the clocks.
const LEAST_SUSPENSION: Duration = Duration::from_millis(100);

/// Compares the clock that counts suspensions with the steady one.
#[derive(Debug)]
pub struct SuspensionWatch {
    steady: std::time::Instant,
    instant: Instant,
}

impl Default for SuspensionWatch {
    fn default() -> Self {
        Self {
            steady: std::time::Instant::now(),
            instant: Instant::now(),
        }
    }
}

impl SuspensionWatch {
    /// For how long the machine was suspended since the last look; `None` if it was not.
    pub fn look(&mut self) -> Option<Duration> {
        let now = Self::default();
        let steady = now.steady.saturating_duration_since(self.steady);
        let suspended = (now.instant - self.instant).saturating_sub(steady);
        *self = now;
        (suspended >= LEAST_SUSPENSION).then_some(suspended)
    }
}

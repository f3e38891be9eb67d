//! Detects that the machine was suspended.

use std::time::Duration;

use crate::Instant;

/// Interval between checks. It only delays the log line and the restart of watches, as decisions
/// use [`Instant`].
pub const SUSPENSION_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Shorter differences come from reading the two clocks one after the other.
const MIN_SUSPENSION: Duration = Duration::from_millis(100);

/// Compares [`Instant`] with the monotonic clock, which excludes suspensions.
#[derive(Debug)]
pub struct SuspensionDetector {
    monotonic: std::time::Instant,
    boot_time: Instant,
}

impl Default for SuspensionDetector {
    fn default() -> Self {
        Self {
            monotonic: std::time::Instant::now(),
            boot_time: Instant::now(),
        }
    }
}

impl SuspensionDetector {
    /// Returns how long the machine was suspended since the last check, or `None` if it was not.
    pub fn check(&mut self) -> Option<Duration> {
        let now = Self::default();
        let monotonic = now.monotonic.saturating_duration_since(self.monotonic);
        let suspended = (now.boot_time - self.boot_time).saturating_sub(monotonic);
        *self = now;
        (suspended >= MIN_SUSPENSION).then_some(suspended)
    }
}

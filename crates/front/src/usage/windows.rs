//! Time windows on a clock that does not jump.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ladderstage_clock::Instant;

/// Schedule of usage reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UsageOptions {
    /// Length of a window; window k starts k times this after the epoch.
    pub window: Duration,
    /// Time from the end of a window to the deadline of its report.
    pub due_after: Duration,
}

/// Maps [`Instant`]s to windows. The system time, which may jump, is read only once.
#[derive(Debug, Clone, Copy)]
pub struct WindowClock {
    window: Duration,
    /// An instant and its time since the epoch.
    anchor: (Instant, Duration),
}

impl WindowClock {
    /// Creates a clock from the current system time.
    pub fn new(window: Duration) -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        Self::anchored(window, Instant::now(), since_epoch.unwrap_or_default())
    }

    /// Creates a clock on which `at` is `since_epoch` after the epoch.
    pub fn anchored(window: Duration, at: Instant, since_epoch: Duration) -> Self {
        Self {
            window: window.max(Duration::from_millis(1)),
            anchor: (at, since_epoch),
        }
    }

    /// Returns the time since the epoch at an instant.
    pub fn since_epoch(&self, at: Instant) -> Duration {
        let (anchor, since_epoch) = self.anchor;
        match at.checked_duration_since(anchor) {
            Some(later) => since_epoch + later,
            None => since_epoch.saturating_sub(anchor.duration_since(at)),
        }
    }

    /// Returns the window of an instant.
    pub fn window_of(&self, at: Instant) -> u64 {
        (self.since_epoch(at).as_millis() / self.window.as_millis()) as u64
    }

    /// Returns the time from the end of a window to an instant; `None` if the window has not ended
    /// by then.
    pub fn since_end(&self, window: u64, at: Instant) -> Option<Duration> {
        let end_ms = u128::from(window + 1) * self.window.as_millis();
        let end = Duration::from_millis(u64::try_from(end_ms).unwrap_or(u64::MAX));
        self.since_epoch(at).checked_sub(end)
    }

    /// Returns the clock advanced by `correction_ms`, which may be negative.
    #[must_use]
    pub fn corrected(&self, correction_ms: i64) -> Self {
        let (at, since_epoch) = self.anchor;
        let by = Duration::from_millis(correction_ms.unsigned_abs());
        let since_epoch = if correction_ms < 0 {
            since_epoch.saturating_sub(by)
        } else {
            since_epoch + by
        };
        Self::anchored(self.window, at, since_epoch)
    }
}

//! Windows of time, by a clock that does not jump.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ladderstage_clock::Instant;

/// How reports of use are due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UsageOptions {
    /// Length of a window; window k begins k times this after the epoch.
    pub window: Duration,
    /// A report is due this long after its window has ended.
    pub due_after: Duration,
}

/// Tells windows from the steady clock: the time of day, which may jump by seconds and back, is read once.
#[derive(Debug, Clone, Copy)]
pub struct WindowClock {
    window: Duration,
    /// A moment by both clocks; the second since the epoch.
    anchor: (Instant, Duration),
}

impl WindowClock {
    /// A clock that takes the time of day to be right now.
    pub fn new(window: Duration) -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        Self::anchored(window, Instant::now(), since_epoch.unwrap_or_default())
    }

    /// A clock by which `at` is `since_epoch` after the epoch.
    pub fn anchored(window: Duration, at: Instant, since_epoch: Duration) -> Self {
        Self {
            window: window.max(Duration::from_millis(1)),
            anchor: (at, since_epoch),
        }
    }

    /// Time since the epoch at a moment.
    pub fn since_epoch(&self, at: Instant) -> Duration {
        let (anchor, since_epoch) = self.anchor;
        match at.checked_duration_since(anchor) {
            Some(later) => since_epoch + later,
            None => since_epoch.saturating_sub(anchor.duration_since(at)),
        }
    }

    /// The window of a moment.
    pub fn window_of(&self, at: Instant) -> u64 {
        (self.since_epoch(at).as_millis() / self.window.as_millis()) as u64
    }

    /// Time from the end of a window to a moment; `None` while the window goes on or is still to come.
    pub fn since_end(&self, window: u64, at: Instant) -> Option<Duration> {
        let end_ms = u128::from(window + 1) * self.window.as_millis();
        let end = Duration::from_millis(u64::try_from(end_ms).unwrap_or(u64::MAX));
        self.since_epoch(at).checked_sub(end)
    }

    /// The clock set right by `correction_ms`, positive where it was behind.
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

//! Detects that the process stood still: it was stopped, or got no processor time.

use std::time::{Duration, Instant};

/// Compares the time between two checks with the time planned between them. Uses the monotonic
/// clock, which excludes suspensions of the machine.
#[derive(Debug)]
pub struct StallDetector {
    checked_at: Instant,
}

impl Default for StallDetector {
    fn default() -> Self {
        Self {
            checked_at: Instant::now(),
        }
    }
}

impl StallDetector {
    /// Returns how much later than `interval` after the last check this one runs.
    pub fn check(&mut self, interval: Duration) -> Duration {
        let now = Instant::now();
        let since_last = now.saturating_duration_since(self.checked_at);
        self.checked_at = now;
        since_last.saturating_sub(interval)
    }
}

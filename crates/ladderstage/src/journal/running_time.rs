//! Time during which this process ran, for measuring the silence of others.
//!
//! A process that stood still received nothing meanwhile, and would take its own standstill for the
//! silence of others. Leases and other deadlines must not use this time: they pass meanwhile.

use std::time::Duration;

/// Interval between ticks.
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum time that passes between two ticks. A busy machine delays a tick by as much now and then.
const MAX_TICK: Duration = Duration::from_millis(300);

/// Clock that advances by at most 300 ms between two ticks. Times are durations since a fixed
/// origin of the process.
#[derive(Debug, Clone, Copy, Default)]
pub struct RunningTime {
    last_tick: Duration,
    running_at_tick: Duration,
}

impl RunningTime {
    /// Records that the process runs at `now`; returns the time since the last tick. Call at every
    /// [`TICK_INTERVAL`].
    pub fn tick(&mut self, now: Duration) -> Duration {
        let since_last_tick = now.saturating_sub(self.last_tick);
        self.running_at_tick = self.at(now);
        self.last_tick = self.last_tick.max(now);
        since_last_tick
    }

    /// Returns the running time at `now`.
    pub fn at(&self, now: Duration) -> Duration {
        self.running_at_tick + now.saturating_sub(self.last_tick).min(MAX_TICK)
    }
}

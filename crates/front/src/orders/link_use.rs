//! Measures for how long each number of weight loads shares the network link over which instances
//! load weights.

use std::time::Duration;

use ladderstage_clock::Instant;

/// Time spent at each number of concurrent loads, starting with one.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LinkTimes(Vec<Duration>);

impl LinkTimes {
    /// Returns the maximum number of concurrent loads.
    pub fn max_concurrent(&self) -> usize {
        let used = self.0.iter().rposition(|time| !time.is_zero());
        used.map_or(0, |index| index + 1)
    }

    /// Returns the average number of concurrent loads, weighted by time.
    pub fn mean_concurrent(&self) -> f64 {
        let times = || self.0.iter().map(Duration::as_secs_f64);
        let loads = times()
            .enumerate()
            .map(|(index, time)| (index + 1) as f64 * time);
        loads.sum::<f64>() / times().sum::<f64>().max(f64::MIN_POSITIVE)
    }

    /// Estimates the link capacity, in concurrent loads, from a load that had these times and takes
    /// `time_alone` without concurrent loads.
    ///
    /// Assumes that each load proceeds at full speed up to the capacity and at an equal share of
    /// the link beyond it. Returns the capacity at which the load's work is just complete.
    pub fn capacity(&self, time_alone: Duration) -> f64 {
        let time_alone = time_alone.as_secs_f64();
        let seconds = |index: usize| self.0[index].as_secs_f64();
        let share = |index: usize| seconds(index) / (index + 1) as f64;
        // Work in seconds that a link with a capacity of 0, 1, 2, ... loads completes.
        let mut done = 0.0;
        let mut shares: f64 = (0..self.0.len()).map(share).sum();
        for capacity in 0..self.0.len() {
            // Each unit of capacity adds the load's share of all times with at least that many
            // loads.
            if done + shares >= time_alone {
                return capacity as f64 + (time_alone - done) / shares.max(f64::MIN_POSITIVE);
            }
            done += shares;
            shares -= share(capacity);
        }
        self.0.len() as f64
    }
}

/// Accumulates the time spent at each number of concurrent loads.
#[derive(Debug, Clone, Default)]
pub struct LinkUse {
    times: LinkTimes,
    loads: usize,
    changed_at: Option<Instant>,
}

impl LinkUse {
    /// Returns the times between `before` and `now`.
    pub fn since(&self, before: &Self, now: Instant) -> LinkTimes {
        let mut until_now = self.clone();
        until_now.set_loads(self.loads, now);
        let mut times = until_now.times;
        for (time, earlier) in times.0.iter_mut().zip(&before.times.0) {
            *time = time.saturating_sub(*earlier);
        }
        times
    }

    /// Sets the number of loads in progress from `now` on.
    pub fn set_loads(&mut self, loads: usize, now: Instant) {
        if let Some(changed_at) = self.changed_at
            && self.loads > 0
        {
            if self.times.0.len() < self.loads {
                self.times.0.resize(self.loads, Duration::ZERO);
            }
            self.times.0[self.loads - 1] += now.saturating_duration_since(changed_at);
        }
        self.loads = loads;
        self.changed_at = Some(now);
    }
}

//! How many loads shared the link that brings weights, and for how long.

use std::time::Duration;

use ladderstage_clock::Instant;

/// For how long how many loads were under way at once: the time with one load first, then that with two, and so on.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LinkTimes(Vec<Duration>);

impl LinkTimes {
    /// Most loads under way at once.
    pub fn most(&self) -> usize {
        let used = self.0.iter().rposition(|time| !time.is_zero());
        used.map_or(0, |index| index + 1)
    }

    /// Loads under way on average.
    pub fn mean(&self) -> f64 {
        let times = || self.0.iter().map(Duration::as_secs_f64);
        let loads = times()
            .enumerate()
            .map(|(index, time)| (index + 1) as f64 * time);
        loads.sum::<f64>() / times().sum::<f64>().max(f64::MIN_POSITIVE)
    }

    /// Loads that the link bears at once, as a load shows that needs `least` alone and had these times: with so many its work is
    /// done just now. Each load goes on at full speed while no more are under way than that, and at its share of it while there are
    /// more.
    pub fn borne(&self, least: Duration) -> f64 {
        let least = least.as_secs_f64();
        let seconds = |index: usize| self.0[index].as_secs_f64();
        let share = |index: usize| seconds(index) / (index + 1) as f64;
        // Seconds of work that are done on a link that bears no load fully, then one, then two, and so on.
        let mut done = 0.0;
        let mut shares: f64 = (0..self.0.len()).map(share).sum();
        for borne in 0..self.0.len() {
            // One load more adds its share of all times in which at least so many were under way.
            if done + shares >= least {
                return borne as f64 + (least - done) / shares.max(f64::MIN_POSITIVE);
            }
            done += shares;
            shares -= share(borne);
        }
        self.0.len() as f64
    }
}

/// Adds up for how long how many loads are under way.
#[derive(Debug, Clone, Default)]
pub struct LinkUse {
    times: LinkTimes,
    loads: usize,
    changed_at: Option<Instant>,
}

impl LinkUse {
    /// The times between `before` and now.
    pub fn since(&self, before: &Self, now: Instant) -> LinkTimes {
        let mut until_now = self.clone();
        until_now.set_loads(self.loads, now);
        let mut times = until_now.times;
        for (time, earlier) in times.0.iter_mut().zip(&before.times.0) {
            *time = time.saturating_sub(*earlier);
        }
        times
    }

    /// Notes how many loads are under way from now on.
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

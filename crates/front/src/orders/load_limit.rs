//! How many instances may load weights at once.
//!
//! Loads share the link that brings weights: beyond some number each one takes longer, and an instance that loads for longer
//! is of no use for longer. That number is told nowhere. It is learnt from how long loads take: the limit rises while loads
//! that use it up take no longer than alone, and falls to what their slowness shows when they do. Loads begin and end at
//! different moments, so what counts is each one's share of the link over its whole time.

use std::time::{Duration, Instant};

/// Loads that are always tried at once.
const LEAST_LIMIT: usize = 2;

/// Duration against the least one up to which loads do not slow each other down; what is measured is some tens of
/// milliseconds off.
const EVEN_RATIO: f64 = 1.12;

/// Duration against the least one from which on loads slow each other down.
const SLOW_RATIO: f64 = 1.25;

/// First time without rises after loads slowed each other down; doubles each time.
const FIRST_HOLD: Duration = Duration::from_secs(10);

/// Longest time without rises.
const LONGEST_HOLD: Duration = Duration::from_secs(160);

/// Share by which the least time is taken to grow each second: links change, and a single short load must not count for ever.
const LEAST_GROWTH_PER_SECOND: f64 = 0.000_5;

/// The limit, learnt from finished loads.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadLimit {
    limit: usize,
    least: Option<Duration>,
    /// When the least time was last looked at.
    least_at: Option<Instant>,
    hold: Duration,
    held_until: Option<Instant>,
}

/// What is known of one load that is done.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FinishedLoad {
    /// How long it took.
    pub taken: Duration,
    /// Time for which it would have had the link to itself: the sum of its shares.
    pub share: Duration,
    /// Loads under way when it began or ended, whichever are more, this one included.
    pub beside: usize,
}

impl Default for LoadLimit {
    fn default() -> Self {
        Self {
            limit: LEAST_LIMIT,
            least: None,
            least_at: None,
            hold: FIRST_HOLD,
            held_until: None,
        }
    }
}

impl LoadLimit {
    /// What another giver of orders has learnt: its limit and the least time of a load.
    pub fn from_learnt(limit: usize, least: Duration) -> Self {
        Self {
            limit: limit.max(LEAST_LIMIT),
            least: Some(least),
            ..Self::default()
        }
    }

    /// Loads that may be under way at once.
    pub fn get(&self) -> usize {
        self.limit
    }

    /// Least time that a load takes; `None` before the first one.
    pub fn least(&self) -> Option<Duration> {
        self.least
    }

    /// Takes in a finished load.
    pub fn note(&mut self, load: FinishedLoad, now: Instant) {
        let least = self.update_least(load.taken, now);
        let ratio = load.taken.as_secs_f64() / least.as_secs_f64().max(f64::MIN_POSITIVE);
        let is_held = self.held_until.is_some_and(|until| now < until);
        if ratio >= SLOW_RATIO && load.beside > LEAST_LIMIT {
            let shown = least.as_secs_f64() / load.share.as_secs_f64().max(f64::MIN_POSITIVE);
            self.limit = (shown.round() as usize).clamp(LEAST_LIMIT, self.limit);
            if !is_held {
                self.held_until = Some(now + self.hold);
                self.hold = (self.hold * 2).min(LONGEST_HOLD);
            }
        } else if ratio <= EVEN_RATIO && load.beside * 2 > self.limit && !is_held {
            // Each load of a wave that uses the limit raises it: the limit doubles with each wave.
            self.limit += 1;
        }
    }
}

impl LoadLimit {
    /// The least time, with one more load.
    fn update_least(&mut self, taken: Duration, now: Instant) -> Duration {
        let unseen = self
            .least_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let growth = 1.0 + unseen.as_secs_f64() * LEAST_GROWTH_PER_SECOND;
        let known = self.least.map(|least| least.mul_f64(growth));
        let least = known.map_or(taken, |least| least.min(taken));
        self.least = Some(least);
        self.least_at = Some(now);
        least
    }
}

/// Adds up the share of the link that one of the loads under way has over time.
#[derive(Debug, Clone, Default)]
pub struct LinkShare {
    sum: Duration,
    loads: usize,
    changed_at: Option<Instant>,
}

impl LinkShare {
    /// The sum until now. The difference of two is what a load that was under way between them had of the link.
    pub fn sum(&self, now: Instant) -> Duration {
        let Some(changed_at) = self.changed_at.filter(|_| self.loads > 0) else {
            return self.sum;
        };
        self.sum + now.saturating_duration_since(changed_at) / self.loads as u32
    }

    /// Notes how many loads are under way from now on.
    pub fn set_loads(&mut self, loads: usize, now: Instant) {
        self.sum = self.sum(now);
        self.loads = loads;
        self.changed_at = Some(now);
    }
}

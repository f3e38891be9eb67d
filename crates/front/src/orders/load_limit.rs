//! How many instances may load weights at once.
//!
//! Loads share the link that brings weights: beyond some number each one takes longer, and an instance that loads for longer
//! is of no use for longer. That number is told nowhere. It is learnt from how long loads take: the limit rises while loads
//! that use it up take no longer than alone, and falls to what their slowness shows when they do. Loads begin and end at
//! different moments, so what counts is for how long each had how many others beside it.

use std::time::{Duration, Instant};

/// Loads that are always tried at once.
const LEAST_LIMIT: usize = 2;

/// Duration against the least one up to which loads do not slow each other down; what is measured is some tens of
/// milliseconds off.
const EVEN_RATIO: f64 = 1.12;

/// The same near what the link bears: one load of ten too many shows.
const NEAR_EVEN_RATIO: f64 = 1.08;

/// Duration against the least one from which on loads slow each other down.
const SLOW_RATIO: f64 = 1.25;

/// Loads in a row that must be slow before the limit falls: one alone may be slow by itself, as at a sick instance.
const SLOW_LOADS: usize = 3;

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
    /// When the limit was lowered last.
    lowered_at: Option<Instant>,
    /// What each of the latest loads shows that the link bears, as long as all of them were slow.
    shown: Vec<f64>,
    /// Loads slowed each other down before: the limit is near what the link bears.
    is_near: bool,
    /// Loads since the last rise that used the limit up and were not slow.
    even_loads: usize,
}

/// What is known of one load that is done.
#[derive(Debug, Clone, PartialEq)]
pub struct FinishedLoad {
    /// How long it took.
    pub taken: Duration,
    /// For how long how many loads shared the link while it was under way.
    pub link: LinkTimes,
    /// Loads under way when it began or ended, whichever are more, this one included.
    pub beside: usize,
    /// It is known when it began and when it ended; else it may have taken less time.
    pub is_exact: bool,
}

impl Default for LoadLimit {
    fn default() -> Self {
        Self {
            limit: LEAST_LIMIT,
            least: None,
            least_at: None,
            hold: FIRST_HOLD,
            held_until: None,
            lowered_at: None,
            shown: Vec::new(),
            is_near: false,
            even_loads: 0,
        }
    }
}

impl LoadLimit {
    /// What another giver of orders has learnt: its limit and the least time of a load.
    pub fn from_learnt(limit: usize, least: Duration) -> Self {
        Self {
            limit: limit.max(LEAST_LIMIT),
            least: Some(least),
            is_near: true,
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

    /// Takes in a finished load. One that is not known exactly shows nothing: it seems slower than it was.
    pub fn note(&mut self, load: &FinishedLoad, now: Instant) {
        if !load.is_exact {
            return;
        }
        let least = self.update_least(load.taken, now);
        let ratio = load.taken.as_secs_f64() / least.as_secs_f64().max(f64::MIN_POSITIVE);
        if ratio >= SLOW_RATIO {
            self.note_slow_load(load, least, now);
            return;
        }
        self.shown.clear();
        let even_ratio = if self.is_near {
            NEAR_EVEN_RATIO
        } else {
            EVEN_RATIO
        };
        if ratio <= even_ratio && load.beside * 2 > self.limit {
            self.note_even_load(now);
        }
    }

    /// A load with few others beside it is slow by itself and shows nothing. One that began before the limit was lowered last had
    /// those beside it that the limit was lowered for: each burst of too many lowers it once.
    fn note_slow_load(&mut self, load: &FinishedLoad, least: Duration, now: Instant) {
        let began_before = |at: Instant| now.saturating_duration_since(at) < load.taken;
        if load.beside <= LEAST_LIMIT || self.lowered_at.is_some_and(began_before) {
            return;
        }
        self.shown.push(load.link.borne(least));
        if self.shown.len() >= SLOW_LOADS {
            self.lower(now);
        }
    }

    /// Lowers the limit to the most that one of the slow loads shows.
    fn lower(&mut self, now: Instant) {
        let shown = self.shown.drain(..).fold(0.0, f64::max);
        self.limit = (shown.round() as usize).clamp(LEAST_LIMIT, self.limit);
        self.is_near = true;
        self.even_loads = 0;
        self.lowered_at = Some(now);
        if !self.is_held(now) {
            self.held_until = Some(now + self.hold);
            self.hold = (self.hold * 2).min(LONGEST_HOLD);
        }
    }

    /// Each load of a wave that uses the limit raises it, so that it doubles with each wave; near what the link bears, a whole wave
    /// raises it by one.
    fn note_even_load(&mut self, now: Instant) {
        if self.is_held(now) {
            return;
        }
        self.even_loads += 1;
        let needed = if self.is_near { self.limit } else { 1 };
        if self.even_loads >= needed {
            self.limit += 1;
            self.even_loads = 0;
        }
    }

    fn is_held(&self, now: Instant) -> bool {
        self.held_until.is_some_and(|until| now < until)
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

/// For how long how many loads were under way at once: the time with one load first, then that with two, and so on.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LinkTimes(Vec<Duration>);

impl LinkTimes {
    /// Loads that the link bears at once, as a load shows that needs `least` alone and had these times: with so many its work is
    /// done just now. Each load goes on at full speed while no more are under way than that, and at its share of it while there are
    /// more.
    fn borne(&self, least: Duration) -> f64 {
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

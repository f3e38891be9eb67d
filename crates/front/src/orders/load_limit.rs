//! How many instances may load weights at once.
//!
//! Loads share the link that brings weights: beyond some number each one takes longer, and an instance that loads for longer
//! is of no use for longer. That number is told nowhere. It is learnt from how long loads take: the limit rises while loads
//! that use it up take no longer than alone, and falls to what their slowness shows when they do.

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

/// The limit, learnt from finished loads.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadLimit {
    limit: usize,
    hold: Duration,
    held_until: Option<Instant>,
}

/// What is known of one load that is done.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FinishedLoad {
    /// How long it took.
    pub taken: Duration,
    /// Least time that such a load has taken of late.
    pub least: Duration,
    /// Loads under way when it began or ended, whichever are more, this one included.
    pub beside: usize,
}

impl Default for LoadLimit {
    fn default() -> Self {
        Self {
            limit: LEAST_LIMIT,
            hold: FIRST_HOLD,
            held_until: None,
        }
    }
}

impl LoadLimit {
    /// Loads that may be under way at once.
    pub fn get(&self) -> usize {
        self.limit
    }

    /// Takes in a finished load.
    pub fn note(&mut self, load: FinishedLoad, now: Instant) {
        let ratio = load.taken.as_secs_f64() / load.least.as_secs_f64().max(f64::MIN_POSITIVE);
        let is_held = self.held_until.is_some_and(|until| now < until);
        if ratio >= SLOW_RATIO && load.beside > LEAST_LIMIT && !is_held {
            let shown = (load.beside as f64 / ratio).round() as usize;
            self.limit = shown.clamp(LEAST_LIMIT, self.limit);
            self.held_until = Some(now + self.hold);
            self.hold = (self.hold * 2).min(LONGEST_HOLD);
        } else if ratio <= EVEN_RATIO && load.beside * 2 > self.limit && !is_held {
            // Each load of a wave that uses the limit raises it: the limit doubles with each wave.
            self.limit += 1;
        }
    }
}

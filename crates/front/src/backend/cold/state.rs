//! Cold status of an instance, from its records and its connections.

use std::time::Duration;

use ladderstage_clock::Instant;

/// How many requests an instance can handle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Warmth {
    /// It can use all its slots.
    Warm,
    /// It may have restarted or become cold, and no record confirms it yet.
    Doubtful,
    /// Its record says that it is cold.
    Cold,
}

/// Reason to consider an instance possibly cold without a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Doubt {
    #[default]
    None,
    /// A connection failed or broke. Lasts until a response, and then for the cold time.
    Unanswered,
    /// Ends at this time.
    Until(Instant),
}

/// Cold status of one incarnation of an instance.
#[derive(Debug, Clone, Copy, Default)]
pub struct ColdState {
    /// End of the cold time by its record.
    told_until: Option<Instant>,
    doubt: Doubt,
}

impl ColdState {
    /// Applies the remaining cold time of a discovery record received at `now`. The record does not
    /// end the uncertainty, as it may be older than its cause.
    pub fn told(&mut self, remaining: Duration, now: Instant) {
        if remaining.is_zero() {
            self.told_until = None;
            return;
        }
        self.told_until = now.checked_add(remaining);
    }

    /// Records that a connection failed or broke; returns whether this is new.
    pub fn disconnected(&mut self) -> bool {
        std::mem::replace(&mut self.doubt, Doubt::Unanswered) != Doubt::Unanswered
    }

    /// Records that the instance may have become cold at `now`, for at most `time`.
    pub fn suspected(&mut self, now: Instant, time: Duration) {
        let until = now + time;
        self.doubt = match self.doubt {
            Doubt::Unanswered => Doubt::Unanswered,
            Doubt::Until(known) => Doubt::Until(known.max(until)),
            Doubt::None => Doubt::Until(until),
        };
    }

    /// Records a response at `now`: the instance is running, and cold for at most `time` longer.
    pub fn answered(&mut self, now: Instant, time: Duration) {
        if self.doubt == Doubt::Unanswered {
            self.doubt = Doubt::Until(now + time);
        }
    }

    /// Returns the status at `now`.
    pub fn warmth(&self, now: Instant) -> Warmth {
        if !self.remaining(now).is_zero() {
            return Warmth::Cold;
        }
        match self.doubt {
            Doubt::Unanswered => Warmth::Doubtful,
            Doubt::Until(until) if now < until => Warmth::Doubtful,
            Doubt::Until(_) | Doubt::None => Warmth::Warm,
        }
    }

    /// Returns the remaining cold time by its record.
    pub fn remaining(&self, now: Instant) -> Duration {
        self.told_until
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }
}

//! Whether an instance is cold, by its records and by how connections to it fare.

use std::time::Duration;

use ladderstage_clock::Instant;

/// How an instance is to be treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Warmth {
    /// It bears all that it has slots for.
    Warm,
    /// It may have been restarted, or have turned cold, and no record says so yet.
    Doubtful,
    /// It said that it is cold.
    Cold,
}

/// What keeps an instance from counting as warm although no word says that it is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Doubt {
    #[default]
    None,
    /// A connection failed or broke: lasts until an answer, and for the cold time after it.
    Unanswered,
    /// Lasts until then.
    Until(Instant),
}

/// What is known of one start of an instance.
#[derive(Debug, Clone, Copy, Default)]
pub struct ColdState {
    /// Until when it is cold, as its record said.
    told_until: Option<Instant>,
    doubt: Doubt,
}

impl ColdState {
    /// Takes from a record of discovery received at `now` how much longer the instance is cold. The record does not end doubt, as it may be
    /// older than the cause of the doubt.
    pub fn told(&mut self, remaining: Duration, now: Instant) {
        if remaining.is_zero() {
            self.told_until = None;
            return;
        }
        self.told_until = now.checked_add(remaining);
    }

    /// Notes that a connection to it failed or broke; returns whether doubt of this kind is new.
    pub fn disconnected(&mut self) -> bool {
        std::mem::replace(&mut self.doubt, Doubt::Unanswered) != Doubt::Unanswered
    }

    /// Notes that it may have turned cold at `now`, for `time` at most.
    pub fn suspected(&mut self, now: Instant, time: Duration) {
        let until = now + time;
        self.doubt = match self.doubt {
            Doubt::Unanswered => Doubt::Unanswered,
            Doubt::Until(known) => Doubt::Until(known.max(until)),
            Doubt::None => Doubt::Until(until),
        };
    }

    /// Notes that it answered at `now`: it runs, and is cold for `time` longer at most.
    pub fn answered(&mut self, now: Instant, time: Duration) {
        if self.doubt == Doubt::Unanswered {
            self.doubt = Doubt::Until(now + time);
        }
    }

    /// How it is to be treated now.
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

    /// How much longer it is cold, as it said itself.
    pub fn remaining(&self, now: Instant) -> Duration {
        self.told_until
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }
}

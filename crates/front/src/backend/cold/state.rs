//! Cold status of an instance, from its records and its connections. A cold instance has not warmed
//! up yet and can use only part of its slots.

use std::time::Duration;

use ladderstage_clock::Instant;

/// Whether an instance is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColdStatus {
    /// It can use all its slots.
    Warm,
    /// It may have restarted or become cold, and no record confirms it yet.
    Uncertain,
    /// Its record says that it is cold.
    Cold,
}

/// Why an instance may be cold although no record says so.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Uncertainty {
    #[default]
    None,
    /// A connection failed or broke, and no response has followed.
    Disconnected,
    /// The instance may be cold until this time.
    Until(Instant),
}

/// Cold status of one incarnation of an instance.
#[derive(Debug, Clone, Copy, Default)]
pub struct ColdState {
    /// End of the cold time according to the discovery record.
    cold_until: Option<Instant>,
    uncertainty: Uncertainty,
}

impl ColdState {
    /// Applies the remaining cold time of a discovery record received at `now`. It does not clear
    /// the uncertainty, since the record may predate its cause.
    pub fn apply_discovery_record(&mut self, remaining: Duration, now: Instant) {
        if remaining.is_zero() {
            self.cold_until = None;
            return;
        }
        self.cold_until = now.checked_add(remaining);
    }

    /// Records that a connection failed or broke; returns whether this is new.
    pub fn record_disconnect(&mut self) -> bool {
        std::mem::replace(&mut self.uncertainty, Uncertainty::Disconnected)
            != Uncertainty::Disconnected
    }

    /// Records that the instance may have become cold at `now`, for at most `max_cold`.
    pub fn mark_uncertain(&mut self, now: Instant, max_cold: Duration) {
        let until = now + max_cold;
        self.uncertainty = match self.uncertainty {
            Uncertainty::Disconnected => Uncertainty::Disconnected,
            Uncertainty::Until(known) => Uncertainty::Until(known.max(until)),
            Uncertainty::None => Uncertainty::Until(until),
        };
    }

    /// Records a response at `now`. After a disconnect, the instance may stay cold for `max_cold`.
    pub fn record_response(&mut self, now: Instant, max_cold: Duration) {
        if self.uncertainty == Uncertainty::Disconnected {
            self.uncertainty = Uncertainty::Until(now + max_cold);
        }
    }

    /// Returns the status at `now`.
    pub fn cold_status(&self, now: Instant) -> ColdStatus {
        if !self.remaining_cold_time(now).is_zero() {
            return ColdStatus::Cold;
        }
        match self.uncertainty {
            Uncertainty::Disconnected => ColdStatus::Uncertain,
            Uncertainty::Until(until) if now < until => ColdStatus::Uncertain,
            Uncertainty::Until(_) | Uncertainty::None => ColdStatus::Warm,
        }
    }

    /// Returns the remaining cold time according to the discovery record.
    pub fn remaining_cold_time(&self, now: Instant) -> Duration {
        self.cold_until
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }
}

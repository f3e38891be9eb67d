//! How fast a run is, and whether it should go on at another instance.

use super::run_context::RunContext;
use super::run_end::fits;
use super::text::ItemText;
use crate::backend::{Demand, Instance};
use ladderstage_clock::Instant;

/// A run that is slower than the typical pace by this factor goes on elsewhere.
const SLOW_FACTOR: f64 = 1.5;

/// The same for a run that is expected to go on for long.
const LONG_RUN_SLOW_FACTOR: f64 = 1.15;

/// Events from which on a text, or the rest of one, counts as long.
const LONG_RUN_EVENTS: u64 = 24;

/// Milliseconds that a move costs: another connection, admission, and the prompt read again.
const MOVE_COST_MS: f64 = 60.0;

/// Events after which a run's pace is known.
const EVENTS_FOR_PACE: u32 = 3;

/// A run whose last events came slower than those of the other instance by this factor goes on there, however fast it was before: an
/// instance that turns slow is left after some events, and a stumble of the front that reads them is no reason.
const TURNED_SLOW_FACTOR: f64 = 1.8;

/// Events between two looks at the pace.
const EVENTS_PER_LOOK: u32 = 4;

/// Time between the events of one run.
#[derive(Debug, Default)]
pub struct Pace {
    /// Events so far.
    pub(super) events: u32,
    first_at: Option<Instant>,
    last_at: Option<Instant>,
    /// The last event that began a look at the instance's pace.
    look_at: Option<Instant>,
    /// Paces of the last two looks, in milliseconds an event, the newer one first.
    looks_ms: [Option<f64>; 2],
}

impl Pace {
    /// Notes an event that has just arrived.
    pub(super) fn note(&mut self, instance: &Instance) {
        let now = Instant::now();
        if let Some(unit_time_ms) = self.take(now) {
            instance.record_unit_time(unit_time_ms, now);
        }
    }

    /// Takes an event that arrived at `now`; returns the instance's pace over the last few events, in milliseconds an event. A busy
    /// front reads several events at once, so that the time between two of them is often none and sometimes twice as long.
    pub fn take(&mut self, now: Instant) -> Option<f64> {
        self.first_at.get_or_insert(now);
        self.last_at = Some(now);
        self.events += 1;
        if self.events % EVENTS_PER_LOOK != 1 {
            return None;
        }
        let since = self.look_at.replace(now)?;
        let taken = now.saturating_duration_since(since);
        let unit_time_ms = taken.as_secs_f64() * 1e3 / f64::from(EVENTS_PER_LOOK);
        self.looks_ms = [Some(unit_time_ms), self.looks_ms[0]];
        Some(unit_time_ms)
    }

    /// The pace over the last two looks, in milliseconds an event; `None` before the second one.
    pub fn recent_ms(&self) -> Option<f64> {
        let [last, before] = self.looks_ms;
        Some((last? + before?) / 2.0)
    }

    /// Why the run should go on elsewhere: it is much slower than a typical run, and another instance has room.
    pub(super) fn reason_to_move(
        &self,
        context: &RunContext,
        instance: &Instance,
        partial: &ItemText,
        most_events: Option<u64>,
    ) -> Option<String> {
        if self.events <= EVENTS_FOR_PACE || self.events % EVENTS_PER_LOOK != 0 {
            return None;
        }
        let taken = self.last_at?.saturating_duration_since(self.first_at?);
        let whole = taken.as_secs_f64() * 1e3 / f64::from(self.events - 1);
        let typical = context.backends.typical_unit_time(&context.service)?;
        let model = &context.spec.model;
        let rest = expected_rest(partial.events(), most_events);
        let own = self.own_pace(whole, typical);
        if !pays_to_move(own, typical, rest) {
            return None;
        }
        let demand = rest_demand(partial.events());
        let other = context.backends.best_within(
            &context.service,
            model,
            demand,
            &context.allowed_regions(),
            |other| other.id() != instance.id() && fits(context, partial, other),
        )?;
        let theirs = other
            .candidate("", Instant::now())
            .unit_time_ms
            .unwrap_or(typical);
        let pays = pays_to_move(self.own_pace(whole, theirs), theirs, rest);
        pays.then(|| format!("slow: {own:.0} ms an event against {theirs:.0}"))
    }

    /// The pace that the rest of the run is expected to have: that of the whole run, or of its last events where they are much slower
    /// than those of an instance with `theirs_ms` an event.
    pub fn own_pace(&self, whole_ms: f64, theirs_ms: f64) -> f64 {
        let recent = self.recent_ms();
        let turned_slow = recent.filter(|recent| *recent > theirs_ms * TURNED_SLOW_FACTOR);
        turned_slow.map_or(whole_ms, |recent| recent.max(whole_ms))
    }
}

/// Events that a text with `events` so far is expected to have still: as many again, as one that has been long is likely to go on, but
/// not more than `most` in all, if that is known. A text of 145 events was moved after 144. The longest text of late is no such bound:
/// at the start of the first steps it is a short one.
pub fn expected_rest(events: u64, most: Option<u64>) -> u64 {
    most.map_or(events, |most| events.min(most.saturating_sub(events)))
}

/// What the rest of a text with `events` so far asks of an instance: one that has been long is likely to go on for long, and an
/// idle slow instance is worse for it than a fast one with others beside.
pub fn rest_demand(events: u64) -> Demand {
    if events >= LONG_RUN_EVENTS {
        Demand::LongBatch
    } else {
        Demand::Batch
    }
}

/// Whether a run that is expected to have `rest` events still should go on where an event takes `theirs_ms` instead of `own_ms`: what
/// that saves has to outweigh the move.
pub fn pays_to_move(own_ms: f64, theirs_ms: f64, rest: u64) -> bool {
    let factor = if rest >= LONG_RUN_EVENTS {
        LONG_RUN_SLOW_FACTOR
    } else {
        SLOW_FACTOR
    };
    let saved_ms = (own_ms - theirs_ms) * rest as f64;
    own_ms > theirs_ms * factor && saved_ms > MOVE_COST_MS
}

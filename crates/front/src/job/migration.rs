//! Measures the event intervals of a run and decides whether it migrates to a faster instance.

use super::run_context::RunContext;
use super::run_end::can_continue;
use super::text::ItemText;
use crate::backend::{Instance, WorkKind};
use ladderstage_clock::Instant;

/// A run migrates if its event interval exceeds the typical one by this factor.
const SLOW_FACTOR: f64 = 1.5;

/// Same as [`SLOW_FACTOR`], for a run with many remaining events.
const LONG_RUN_SLOW_FACTOR: f64 = 1.15;

/// Minimum number of events at which a text, or its remainder, counts as long.
const LONG_RUN_EVENTS: u64 = 24;

/// Cost of a migration in milliseconds: connecting, admission and another prefill of the prompt.
const MIGRATION_COST_MS: f64 = 60.0;

/// Number of events that a run must exceed before it can migrate because it is slow.
const MIN_EVENTS: u32 = 3;

/// A run also migrates if its most recent interval exceeds that of the other instance by this
/// factor, however fast the run was before.
const SLOWDOWN_FACTOR: f64 = 1.8;

/// Number of events in one measurement window.
const EVENTS_PER_WINDOW: u32 = 4;

/// Intervals between the events of one run.
#[derive(Debug, Default)]
pub struct EventIntervals {
    /// Number of events so far.
    pub(super) events: u32,
    first_at: Option<Instant>,
    last_at: Option<Instant>,
    /// Arrival of the event that started the current window.
    window_started_at: Option<Instant>,
    /// Mean event intervals of the last two windows in milliseconds, the latest first.
    windows_ms: [Option<f64>; 2],
}

impl EventIntervals {
    /// Records an event that has just arrived and updates the instance's event interval.
    pub(super) fn record_arrival(&mut self, instance: &Instance) {
        let now = Instant::now();
        if let Some(interval_ms) = self.add_event(now) {
            instance.record_unit_time(interval_ms, now);
        }
    }

    /// Adds an event that arrived at `now`; returns the mean interval in milliseconds if the event
    /// completes a window. Single intervals are unreliable because a busy front reads several
    /// events at once.
    pub fn add_event(&mut self, now: Instant) -> Option<f64> {
        self.first_at.get_or_insert(now);
        self.last_at = Some(now);
        self.events += 1;
        if self.events % EVENTS_PER_WINDOW != 1 {
            return None;
        }
        let since = self.window_started_at.replace(now)?;
        let elapsed = now.saturating_duration_since(since);
        let interval_ms = elapsed.as_secs_f64() * 1e3 / f64::from(EVENTS_PER_WINDOW);
        self.windows_ms = [Some(interval_ms), self.windows_ms[0]];
        Some(interval_ms)
    }

    /// Returns the mean event interval of the last two windows in milliseconds, or `None` before
    /// the second one.
    pub fn recent_ms(&self) -> Option<f64> {
        let [last, before] = self.windows_ms;
        Some((last? + before?) / 2.0)
    }

    /// Returns the reason to migrate the run if its instance is slow and a faster one has free
    /// capacity.
    pub(super) fn reason_to_migrate(
        &self,
        context: &RunContext,
        instance: &Instance,
        partial: &ItemText,
        max_events: Option<u64>,
    ) -> Option<String> {
        if self.events <= MIN_EVENTS || self.events % EVENTS_PER_WINDOW != 0 {
            return None;
        }
        let elapsed = self.last_at?.saturating_duration_since(self.first_at?);
        let mean_ms = elapsed.as_secs_f64() * 1e3 / f64::from(self.events - 1);
        let service = instance.service();
        let route = context.route.current()?;
        let service = route.service_after(&service);
        let typical = context.backends.typical_unit_time(service)?;
        let remaining = expected_remaining_events(partial.events(), max_events);
        let instance_ms = instance.recent_unit_time_ms()?;
        let expected_ms = |other_ms| {
            let run_ms = self.expected_interval_ms(mean_ms, other_ms);
            expected_interval_at_instance(run_ms, instance_ms)
        };
        if !is_migration_worthwhile(expected_ms(typical), typical, remaining) {
            return None;
        }
        let demand = remaining_demand(partial.events());
        let other = context.backends.best_in_regions(
            service,
            context.required_weights(),
            demand,
            &context.allowed_regions(),
            |other| other.id() != instance.id() && can_continue(context, partial, other),
        )?;
        let other_ms = other
            .candidate("", Instant::now())
            .unit_time_ms
            .unwrap_or(typical);
        let own_ms = expected_ms(other_ms);
        let is_worthwhile = is_migration_worthwhile(own_ms, other_ms, remaining);
        is_worthwhile.then(|| {
            format!(
                "slow: {own_ms:.0} ms per event, {other_ms:.0} ms elsewhere, mean {mean_ms:.0} ms"
            )
        })
    }

    /// Returns the expected event interval of the remaining run in milliseconds: the mean of the
    /// complete run, or that of the last windows if the run has become much slower than
    /// `other_ms`, the interval at the other instance, or has recovered from a stall.
    pub fn expected_interval_ms(&self, mean_ms: f64, other_ms: f64) -> f64 {
        match self.recent_ms() {
            Some(recent) if recent > other_ms * SLOWDOWN_FACTOR => recent.max(mean_ms),
            Some(recent) => recent.min(mean_ms),
            None => mean_ms,
        }
    }
}

/// Returns the event interval that a run may expect if it stays at its instance, in milliseconds:
/// no more than the recent interval of all runs there. A run that is slower than that was delayed
/// by something that a migration does not change, such as a stall of this node or of all instances.
pub fn expected_interval_at_instance(run_ms: f64, instance_ms: f64) -> f64 {
    run_ms.min(instance_ms)
}

/// Returns the expected number of remaining events: as many as there are already, but no more than
/// `limit` allows in total. The longest recent text is not used as a limit because it is too short
/// when a trainer starts.
pub fn expected_remaining_events(events: u64, limit: Option<u64>) -> u64 {
    limit.map_or(events, |limit| events.min(limit.saturating_sub(events)))
}

/// Returns the demand of the remainder of a text: a long text prefers a fast instance to an idle
/// slow one.
pub fn remaining_demand(events: u64) -> WorkKind {
    if events >= LONG_RUN_EVENTS {
        WorkKind::LongBatch
    } else {
        WorkKind::Batch
    }
}

/// Returns whether a run with `remaining` expected events should migrate to an instance with the
/// event interval `other_ms`: the time saved must exceed the cost of migration.
pub fn is_migration_worthwhile(own_ms: f64, other_ms: f64, remaining: u64) -> bool {
    let factor = if remaining >= LONG_RUN_EVENTS {
        LONG_RUN_SLOW_FACTOR
    } else {
        SLOW_FACTOR
    };
    let saved_ms = (own_ms - other_ms) * remaining as f64;
    own_ms > other_ms * factor && saved_ms > MIGRATION_COST_MS
}

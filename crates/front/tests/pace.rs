//! Tests the migration of runs to faster instances, and the related timeouts.

use std::time::Duration;

use ladderstage_clock::Instant;
use ladderstage_front::backend::{Candidate, WorkKind, choose};

use ladderstage_front::job::{
    EventIntervals, exclusion_after_rejection, expected_interval_at_instance,
    expected_remaining_events, first_event_timeout, is_migration_worthwhile, remaining_demand,
};
use ladderstage_front::region::Distance;

#[test]
fn a_slow_run_migrates_if_that_saves_more_time_than_it_costs() {
    assert!(
        is_migration_worthwhile(170.0, 40.0, 4),
        "an instance that turned slow"
    );
    assert!(
        is_migration_worthwhile(51.0, 39.0, 24),
        "a long run on a slow machine"
    );
    assert!(
        !is_migration_worthwhile(51.0, 39.0, 12),
        "a run that may end soon"
    );
    assert!(!is_migration_worthwhile(43.0, 39.0, 100), "hardly slower");
}

/// Guards against migrating runs with very short event intervals back and forth.
#[test]
fn a_run_does_not_migrate_if_that_saves_less_time_than_it_costs() {
    assert!(!is_migration_worthwhile(4.0, 1.0, 4));
    assert!(!is_migration_worthwhile(2.0, 1.0, 40));
}

/// Guards against choosing an idle but slower instance for the remainder of a long text.
#[test]
fn the_remainder_of_a_long_text_goes_to_the_fastest_instance_with_free_capacity() {
    let instance = |load, interval_ms| Candidate {
        load,
        slots: 8,
        distance: Distance::SameZone,
        round_trip_ms: None,
        unit_time_ms: Some(interval_ms),
    };
    let idle_and_fast = [instance(0, 66.0), instance(5, 48.0), instance(1, 66.0)];
    assert_eq!(choose(&idle_and_fast, remaining_demand(4), 0), Some(0));
    assert_eq!(choose(&idle_and_fast, remaining_demand(24), 0), Some(1));
    let full = [instance(0, 66.0), instance(8, 48.0), instance(1, 66.0)];
    assert_eq!(choose(&full, remaining_demand(24), 0), Some(0));
}

/// Guards against waiting too long for the first event at an instance that hangs.
#[test]
fn the_first_event_timeout_follows_the_event_interval() {
    let wait_ms = |interval_ms| first_event_timeout(interval_ms).as_millis();
    assert_eq!(wait_ms(Some(47.0)), 1_100);
    assert_eq!(wait_ms(Some(80.0)), 1_600);
    assert_eq!(wait_ms(Some(900.0)), 2_500);
    assert_eq!(wait_ms(None), 2_500);
}

/// Guards against measured event intervals that are too short because a busy front reads several
/// events at once.
#[test]
fn events_that_are_read_together_do_not_make_an_instance_look_fast() {
    let start = Instant::now();
    let mut intervals = EventIntervals::default();
    let intervals_ms: Vec<f64> = (0..41)
        .filter_map(|event| {
            // Events are generated every 48 ms and read two at a time.
            let read_at = (event + event % 2) * 48;
            intervals.add_event(start + Duration::from_millis(read_at))
        })
        .collect();
    assert_eq!(intervals_ms.len(), 10);
    assert!(
        intervals_ms
            .iter()
            .all(|interval_ms| (interval_ms - 48.0).abs() < 1.0),
        "{intervals_ms:?}"
    );
}

/// Guards against starving an interrupted text because new items occupy every slot that becomes
/// free.
#[test]
fn an_interrupted_text_queues_where_no_slot_is_free() {
    let instance = |load, interval_ms| Candidate {
        load,
        slots: 8,
        distance: Distance::SameZone,
        round_trip_ms: None,
        unit_time_ms: Some(interval_ms),
    };
    let full = [instance(8, 66.0), instance(8, 48.0)];
    assert_eq!(choose(&full, WorkKind::Batch, 0), None);
    assert_eq!(choose(&full, WorkKind::InterruptedBatch, 0), Some(1));
    let one_is_free = [instance(7, 66.0), instance(8, 48.0)];
    assert_eq!(choose(&one_is_free, WorkKind::InterruptedBatch, 0), Some(0));
    let others_wait = [instance(9, 66.0), instance(9, 48.0)];
    assert_eq!(choose(&others_wait, WorkKind::InterruptedBatch, 0), None);
}

/// Guards against hiding a late slowdown of an instance in the mean over the complete run.
#[test]
fn a_run_leaves_an_instance_that_turns_slow_however_fast_it_was_before() {
    let start = Instant::now();
    let mut intervals = EventIntervals::default();
    let mut at_ms = 0;
    let mut moved_after = None;
    for event in 1..=145_u64 {
        at_ms += if event <= 100 { 50 } else { 150 };
        intervals.add_event(start + Duration::from_millis(at_ms));
        let mean_ms = at_ms as f64 / event as f64;
        let own_interval_ms = intervals.expected_interval_ms(mean_ms, 50.0);
        let remaining = expected_remaining_events(event, Some(145));
        if moved_after.is_none() && is_migration_worthwhile(own_interval_ms, 50.0, remaining) {
            moved_after = Some(event);
        }
    }
    assert!(
        moved_after.is_some_and(|event| (101..=109).contains(&event)),
        "{moved_after:?}"
    );
}

#[test]
fn a_short_stall_of_the_reader_does_not_migrate_a_run() {
    let start = Instant::now();
    let mut intervals = EventIntervals::default();
    for event in 1..=60_u64 {
        // Nothing is read for 250 ms, then all pending events at once.
        let read_at = if (30..35).contains(&event) {
            35 * 50
        } else {
            event * 50
        };
        intervals.add_event(start + Duration::from_millis(read_at));
        let own_interval_ms = intervals.expected_interval_ms(50.0, 50.0);
        assert!(
            !is_migration_worthwhile(own_interval_ms, 50.0, event),
            "at event {event}: {own_interval_ms} ms"
        );
    }
}

/// Guards against runs that swap instances after a stall of all of them: each run's mean looked
/// slow beside the other instance's recent interval.
#[test]
fn a_stall_of_all_instances_migrates_no_run() {
    const INTERVAL_MS: u64 = 100;
    for stall_ms in [200, 600, 1_100] {
        for first_stalled in 1..=12_u64 {
            let start = Instant::now();
            let mut intervals = EventIntervals::default();
            let mut instance_ms = INTERVAL_MS as f64;
            for event in 1..=60_u64 {
                let delay = if event >= first_stalled { stall_ms } else { 0 };
                let at_ms = event * INTERVAL_MS + delay;
                if let Some(window) = intervals.add_event(start + Duration::from_millis(at_ms)) {
                    instance_ms += (window - instance_ms) / 4.0;
                }
                let mean_ms = (at_ms - INTERVAL_MS) as f64 / (event - 1).max(1) as f64;
                // The other instance went through the same stall.
                let other_ms = instance_ms;
                let run_ms = intervals.expected_interval_ms(mean_ms, other_ms);
                let own_ms = expected_interval_at_instance(run_ms, instance_ms);
                assert!(
                    !is_migration_worthwhile(own_ms, other_ms, event),
                    "stall of {stall_ms} ms at event {first_stalled}, at event {event}: {own_ms} ms"
                );
            }
        }
    }
}

/// Guards against a mean that still contains a stall long after it.
#[test]
fn a_run_that_has_recovered_from_a_stall_does_not_migrate() {
    let start = Instant::now();
    let mut intervals = EventIntervals::default();
    for event in 1..=40_u64 {
        let at_ms = event * 100 + if event > 3 { 1_000 } else { 0 };
        intervals.add_event(start + Duration::from_millis(at_ms));
        if event >= 16 {
            let mean_ms = (at_ms - 100) as f64 / (event - 1) as f64;
            let own_ms = intervals.expected_interval_ms(mean_ms, 100.0);
            assert!(!is_migration_worthwhile(own_ms, 100.0, event), "{event}");
        }
    }
}

#[test]
fn remaining_events_are_bounded_by_the_maximum() {
    assert_eq!(expected_remaining_events(24, Some(145)), 24);
    assert_eq!(expected_remaining_events(100, Some(145)), 45);
    assert_eq!(expected_remaining_events(144, Some(145)), 1);
    assert_eq!(expected_remaining_events(150, Some(145)), 0);
    assert_eq!(expected_remaining_events(30, None), 30);
    assert!(!is_migration_worthwhile(
        59.0,
        48.0,
        expected_remaining_events(144, Some(145))
    ));
}

#[test]
fn an_instance_that_rejects_with_free_slots_is_excluded_for_the_typical_load_time() {
    let typical = Duration::from_millis(930);
    let short = exclusion_after_rejection(false, Some(typical));
    assert_eq!(exclusion_after_rejection(true, Some(typical)), typical);
    assert_eq!(
        exclusion_after_rejection(true, None),
        short,
        "until it is known how long loads take"
    );
    assert!(short < typical);
}

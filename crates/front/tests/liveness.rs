//! Tests of whether an instance answers, on which the migration of stalled runs depends.

use std::time::Duration;

use ladderstage_clock::Instant;
use ladderstage_front::backend::Liveness;

/// Time between two events of an instance, in milliseconds.
const EVENT_INTERVAL_MS: u64 = 100;

/// Silence after which a run looks for another instance, in milliseconds.
const STALL_TIMEOUT_MS: u64 = 1_200;

fn at(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

/// Returns an instance with one request that has had events until `until_ms`, `phase_ms` after each
/// multiple of the interval.
fn running(start: Instant, phase_ms: u64, until_ms: u64) -> Liveness {
    let mut liveness = Liveness::new(start);
    liveness.record_first_request(start);
    let events = (phase_ms..=until_ms).step_by(EVENT_INTERVAL_MS as usize);
    events.for_each(|ms| liveness.record_answer(at(start, ms)));
    liveness
}

/// Guards against runs that swap instances while all of them are silent, or resume one after the
/// other.
#[test]
fn an_instance_that_is_silent_too_does_not_answer() {
    const STALL_START_MS: u64 = 1_000;
    let start = Instant::now();
    for phase_ms in (0..EVENT_INTERVAL_MS).step_by(10) {
        for stall_ms in [1_300, 2_000, 3_000, 5_000] {
            let mut other = running(start, phase_ms, STALL_START_MS);
            let stall_end_ms = STALL_START_MS + stall_ms;
            for ms in (STALL_START_MS + STALL_TIMEOUT_MS..stall_end_ms).step_by(50) {
                assert!(!other.is_answering(1, at(start, ms)), "silent at {ms} ms");
            }
            let resumed_ms = [0, 50, 100, 200].map(|after_ms| stall_end_ms + after_ms);
            for ms in resumed_ms {
                other.record_answer(at(start, ms));
                assert!(!other.is_answering(1, at(start, ms)), "resumed at {ms} ms");
            }
        }
    }
}

/// Guards against a silent instance that looks idle once all runs have left it, and against its
/// next request, which would make it look alive.
#[test]
fn an_instance_that_was_left_unanswered_answers_again_only_after_an_answer() {
    let start = Instant::now();
    let mut left = running(start, 0, 1_000);
    left.record_unanswered();
    assert!(!left.is_answering(0, at(start, 2_200)));
    assert_eq!(
        left.silence(0, at(start, 2_200)),
        Duration::from_millis(1_200)
    );
    left.record_first_request(at(start, 2_300));
    assert!(!left.is_answering(1, at(start, 2_300)));
    for ms in (3_000..=3_400).step_by(100) {
        left.record_answer(at(start, ms));
    }
    assert!(left.is_answering(1, at(start, 3_400)));
    assert!(left.is_answering(0, at(start, 9_000)));
}

/// Guards against stalled runs that wait for an instance that could continue them at once.
#[test]
fn an_instance_that_is_idle_or_sends_events_answers() {
    let start = Instant::now();
    let idle = Liveness::new(start);
    assert!(idle.is_answering(0, start));
    assert!(idle.is_answering(0, at(start, 60_000)));
    let other = running(start, 50, 2_000);
    assert!(other.is_answering(1, at(start, 2_000)));
    let mut restarted = other.clone();
    restarted.record_first_request(at(start, 30_000));
    assert!(restarted.is_answering(1, at(start, 30_100)));
}

/// Guards against a probe for each of many runs that wait for the same instance.
#[test]
fn a_silent_instance_is_probed_at_intervals() {
    let start = Instant::now();
    let mut silent = running(start, 0, 1_000);
    assert!(silent.start_probe(at(start, 6_000)));
    assert!(!silent.start_probe(at(start, 6_000)));
    assert!(!silent.start_probe(at(start, 7_100)));
    assert!(silent.start_probe(at(start, 7_300)));
    silent.record_answer(at(start, 7_310));
    assert!(!silent.is_answering(1, at(start, 7_700)));
    assert!(silent.start_probe(at(start, 7_700)));
    silent.record_answer(at(start, 7_710));
    assert!(silent.is_answering(1, at(start, 7_710)));
}

/// Guards against a run that moves because another instance has had a single event after a
/// standstill of all.
#[test]
fn a_single_answer_after_a_gap_is_not_enough() {
    let start = Instant::now();
    let mut other = running(start, 0, 1_000);
    other.record_answer(at(start, 2_000));
    for ms in (2_000..=2_600).step_by(50) {
        assert!(!other.is_answering(1, at(start, ms)), "at {ms} ms");
    }
}

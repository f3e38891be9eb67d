//! Admission limits, priorities and retry hints.

use std::time::Duration;

use ladderstage::admission::{Admission, AdmissionError, MAX_RETRY_AFTER, MIN_RETRY_AFTER};
use ladderstage::bundle::ClassSpec;
use proptest::prelude::*;

fn class(name: &str, priority: u32, limit: u32) -> ClassSpec {
    ClassSpec {
        name: name.to_owned(),
        priority,
        limit,
        deadline_ms: 1_000,
        retry_budget_percent: 10,
    }
}

fn admission(total: u32, classes: &[ClassSpec]) -> Admission {
    let mut admission = Admission::new(total);
    admission.configure(classes);
    admission
}

#[test]
fn a_less_important_class_leaves_slots_for_the_important_one() {
    let classes = [class("live", 0, 3), class("batch", 5, 10)];
    let mut admission = admission(5, &classes);
    let now = Duration::ZERO;
    let admitted = (0..10)
        .filter(|_| admission.admit("batch", now).is_ok())
        .count();
    assert_eq!(admitted, 2);
    let admitted = (0..10)
        .filter(|_| admission.admit("live", now).is_ok())
        .count();
    assert_eq!(admitted, 3);
}

#[test]
fn retry_hint_follows_the_completion_rate() {
    let mut admission = admission(100, &[class("live", 0, 1)]);
    let start = Duration::from_secs(100);
    for step in 0..20 {
        let now = start + Duration::from_millis(step * 500);
        admission.admit("live", now).unwrap();
        admission.finish("live", now);
    }
    let now = start + Duration::from_millis(9_500);
    admission.admit("live", now).unwrap();
    let mut refuse = || match admission.admit("live", now) {
        Err(AdmissionError::Full { retry_after, .. }) => retry_after,
        other => panic!("{other:?}"),
    };
    // At two completions per second, the tenth refused request finds a slot after about five
    // seconds.
    let hints: Vec<Duration> = (0..10).map(|_| refuse()).collect();
    assert_eq!(hints[0], MIN_RETRY_AFTER);
    assert_eq!(hints[9], Duration::from_secs(5));
}

#[test]
fn an_unknown_class_is_reported_by_name() {
    let error = admission(1, &[]).admit("x", Duration::ZERO).unwrap_err();
    assert_eq!(
        error,
        AdmissionError::UnknownClass {
            class: "x".to_owned()
        }
    );
}

proptest! {
    #[test]
    fn limits_hold(
        total in 0u32..8,
        limits in prop::collection::vec(0u32..5, 3),
        steps in prop::collection::vec((0usize..3, any::<bool>(), 0u64..2_000), 0..80),
    ) {
        let names = ["a", "b", "c"];
        let classes: Vec<ClassSpec> = (0..3).map(|i| class(names[i], i as u32, limits[i])).collect();
        let mut admission = admission(total, &classes);
        let mut in_flight = [0u32; 3];
        let mut now = Duration::ZERO;
        for (index, arrives, wait) in steps {
            now += Duration::from_millis(wait);
            if arrives {
                match admission.admit(names[index], now) {
                    Ok(()) => in_flight[index] += 1,
                    Err(AdmissionError::Full { retry_after, .. }) => {
                        prop_assert!(retry_after >= MIN_RETRY_AFTER && retry_after <= MAX_RETRY_AFTER);
                    }
                    Err(error) => return Err(TestCaseError::fail(error.to_string())),
                }
            } else if in_flight[index] > 0 {
                in_flight[index] -= 1;
                admission.finish(names[index], now);
            }
            prop_assert!(in_flight[index] <= limits[index]);
            prop_assert!(in_flight.iter().sum::<u32>() <= total);
            prop_assert_eq!(admission.in_flight(names[index]), in_flight[index]);
        }
    }
}

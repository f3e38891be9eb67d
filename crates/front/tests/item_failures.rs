//! Failures of an item that pass from job to job. Guards against failures that are lost with the text, or
//! that count twice.

use ladderstage_front::job::{ItemFailures, ItemText};
use ladderstage_wire::messages::JobItem;
use proptest::prelude::*;

const MAX_ATTEMPTS: u32 = 3;

fn item() -> JobItem {
    JobItem {
        id: "item".to_owned(),
        ..JobItem::default()
    }
}

#[test]
fn an_item_runs_until_it_has_failed_in_three_rounds() {
    let failed = |failed_runs| ItemFailures {
        failed_runs,
        is_unprocessable: false,
    };
    assert!(failed(0).may_run(MAX_ATTEMPTS));
    assert!(failed(3 * MAX_ATTEMPTS - 1).may_run(MAX_ATTEMPTS));
    assert!(!failed(3 * MAX_ATTEMPTS).may_run(MAX_ATTEMPTS));
    let unprocessable = ItemFailures {
        is_unprocessable: true,
        ..failed(0)
    };
    assert!(!unprocessable.may_run(MAX_ATTEMPTS));
}

#[test]
fn failures_of_an_item_without_text_are_kept_for_a_later_job() {
    assert_eq!(ItemText::default().for_later_job(&item(), ""), None);
    let mut text = ItemText::default();
    text.record_failed_run();
    text.mark_unprocessable();
    text.start_over();
    let kept = text.for_later_job(&item(), "").unwrap();
    assert_eq!(kept.events, 0);
    let failures = ItemFailures::from(&kept);
    assert_eq!(failures.failed_runs, 1);
    assert!(failures.is_unprocessable);
}

proptest! {
    /// Sources that know of the same failures may be merged in any order, and repeatedly.
    #[test]
    fn merged_failures_do_not_depend_on_the_order_or_on_repetitions(
        counts in prop::collection::vec((0_u32..20, any::<bool>()), 1..6),
    ) {
        let sources: Vec<ItemFailures> = counts
            .iter()
            .map(|(failed_runs, is_unprocessable)| ItemFailures {
                failed_runs: *failed_runs,
                is_unprocessable: *is_unprocessable,
            })
            .collect();
        let merged = |sources: &mut dyn Iterator<Item = &ItemFailures>| {
            let mut all = ItemFailures::default();
            sources.for_each(|source| all.merge(*source));
            all
        };
        let forwards = merged(&mut sources.iter());
        let repeated = merged(&mut sources.iter().rev().chain(&sources));
        prop_assert_eq!(forwards, repeated);
        prop_assert_eq!(
            forwards.failed_runs,
            sources.iter().map(|source| source.failed_runs).max().unwrap_or(0)
        );
    }
}

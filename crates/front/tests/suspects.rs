//! Contents that crash instances are suspected, held back and cleared.

use std::time::Duration;

use ladderstage_clock::Instant;
use ladderstage_front::suspects::{
    Admission, Cleared, ContentDigest, FIRST_HOLD, LONGEST_HOLD, MOST_CONTENTS, RequestContent,
    SUSPICION, SuspectLedger,
};
use proptest::prelude::*;

/// Crashes after which the contents of these tests are held back.
const MOST_ENDS: usize = 3;

const BUSY_RETRY: Duration = Duration::from_millis(500);

fn ledger() -> SuspectLedger {
    SuspectLedger::new(BUSY_RETRY)
}

fn content(number: u64) -> ContentDigest {
    ContentDigest::from_bits(number)
}

/// Crashes `count` instances under one content at intervals of a second; returns the time of the
/// last crash.
fn end_instances(ledger: &mut SuspectLedger, count: usize, begin: Instant) -> Instant {
    let mut now = begin;
    for instance in 0..count {
        now += Duration::from_secs(1);
        assert!(ledger.note_end(content(1), &format!("i-{instance}@1"), begin, now));
    }
    now
}

#[test]
fn each_part_of_a_request_changes_its_content_digest() {
    let one = RequestContent {
        host: "host",
        method: "POST",
        path: "/a",
        tenant: "tenant",
        body: b"body",
    };
    let digest = ContentDigest::of(&one);
    assert_eq!(digest, ContentDigest::of(&one.clone()));
    let others = [
        RequestContent {
            host: "other",
            ..one
        },
        RequestContent {
            method: "PUT",
            ..one
        },
        RequestContent { path: "/b", ..one },
        RequestContent {
            tenant: "another",
            ..one
        },
        RequestContent {
            body: b"bodies",
            ..one
        },
        RequestContent {
            tenant: "tenantb",
            body: b"ody",
            ..one
        },
    ];
    for other in others {
        assert_ne!(digest, ContentDigest::of(&other), "{other:?}");
    }
}

#[test]
fn a_content_is_held_back_after_its_last_crash_and_tried_once_after_the_hold() {
    let (mut ledger, begin) = (ledger(), Instant::now());
    assert_eq!(ledger.admit(content(1), MOST_ENDS, begin), Admission::Free);
    let last = end_instances(&mut ledger, MOST_ENDS, begin);
    assert_eq!(
        ledger.admit(content(1), MOST_ENDS, last),
        Admission::Held {
            retry_after: FIRST_HOLD
        }
    );
    assert_eq!(ledger.admit(content(2), MOST_ENDS, last), Admission::Free);
    let after = last + FIRST_HOLD;
    assert_eq!(
        ledger.admit(content(1), MOST_ENDS, after),
        Admission::Watched
    );
    assert_eq!(
        ledger.admit(content(1), MOST_ENDS, after),
        Admission::Held {
            retry_after: BUSY_RETRY
        },
        "one trial run at a time"
    );
    // The trial run crashes one more instance, which doubles the hold.
    assert!(ledger.note_end(content(1), "i-9@1", after, after));
    ledger.run_over(content(1));
    assert_eq!(
        ledger.admit(content(1), MOST_ENDS, after),
        Admission::Held {
            retry_after: FIRST_HOLD * 2
        }
    );
}

#[test]
fn concurrent_runs_of_a_suspect_are_limited_to_the_crashes_left() {
    let (mut ledger, begin) = (ledger(), Instant::now());
    let now = end_instances(&mut ledger, 1, begin);
    for _ in 1..MOST_ENDS {
        assert_eq!(ledger.admit(content(1), MOST_ENDS, now), Admission::Watched);
    }
    let busy = Admission::Held {
        retry_after: BUSY_RETRY,
    };
    assert_eq!(ledger.admit(content(1), MOST_ENDS, now), busy);
    ledger.run_over(content(1));
    assert_eq!(ledger.admit(content(1), MOST_ENDS, now), Admission::Watched);
}

#[test]
fn a_completed_run_clears_its_content() {
    let (mut ledger, begin) = (ledger(), Instant::now());
    let now = end_instances(&mut ledger, MOST_ENDS, begin);
    assert_eq!(ledger.clear(content(1)), Cleared::Untold);
    assert_eq!(ledger.admit(content(1), MOST_ENDS, now), Admission::Free);
    assert_eq!(ledger.clear(content(1)), Cleared::Unsuspected);
}

#[test]
fn a_clearing_is_shared_only_if_the_suspicion_was() {
    let (mut ledger, begin) = (ledger(), Instant::now());
    assert!(!ledger.note_told(content(1)));
    end_instances(&mut ledger, 1, begin);
    assert!(ledger.note_told(content(1)));
    assert_eq!(ledger.clear(content(1)), Cleared::Told);
    ledger.merge(content(2), ["i-1@1"], begin);
    assert_eq!(ledger.clear(content(2)), Cleared::Told);
}

#[test]
fn a_suspect_that_is_not_held_back_expires() {
    let (mut ledger, begin) = (ledger(), Instant::now());
    let now = end_instances(&mut ledger, MOST_ENDS - 1, begin);
    assert_eq!(
        ledger.admit(content(1), MOST_ENDS, now + SUSPICION),
        Admission::Free
    );
    assert!(ledger.is_empty());
}

#[test]
fn runs_broken_by_one_crash_count_once_and_a_later_incarnation_counts_again() {
    let (mut ledger, begin) = (ledger(), Instant::now());
    let first = begin + Duration::from_secs(1);
    assert!(ledger.note_end(content(1), "i-1@7", begin, first));
    // A second run on the instance when it crashed.
    assert!(!ledger.note_end(content(1), "i-1@7", begin, first));
    // The instance restarted, accepted another run and crashed, before discovery reported its new
    // incarnation.
    let again = first + Duration::from_secs(3);
    assert!(ledger.note_end(content(1), "i-1@7", again, again));
    assert!(!ledger.note_end(content(1), "i-1@7", again, again));
    assert_eq!(ledger.ends(content(1)).len(), 2);
    assert!(ledger.note_end(content(1), "i-1@8", again, again));
    assert_eq!(ledger.ends(content(1)).len(), MOST_ENDS);
}

#[test]
fn the_number_of_suspects_is_bounded_and_the_oldest_is_removed_first() {
    let (mut ledger, begin) = (ledger(), Instant::now());
    for number in 0..MOST_CONTENTS as u64 + 1 {
        let now = begin + Duration::from_millis(number);
        ledger.note_end(content(number), "i-1@1", begin, now);
    }
    assert_eq!(ledger.len(), MOST_CONTENTS);
    assert!(ledger.ends(content(0)).is_empty());
    assert_eq!(ledger.ends(content(1)).len(), 1);
}

proptest! {
    /// All fronts reach the same state whatever the order and repetition of updates, and no hold
    /// exceeds the maximum.
    #[test]
    fn the_order_and_repetition_of_updates_do_not_matter(
        told in prop::collection::vec(0_u8..6, 0..20),
        seed in any::<u64>(),
    ) {
        let begin = Instant::now();
        let names: Vec<String> = told.iter().map(|end| format!("i-{end}@1")).collect();
        let mut shuffled = names.clone();
        let shift = seed as usize % names.len().max(1);
        shuffled.rotate_left(shift);
        shuffled.extend(names.iter().rev().cloned());
        let (mut one, mut other) = (ledger(), ledger());
        one.merge(content(1), names.iter().map(String::as_str), begin);
        for end in &shuffled {
            other.merge(content(1), [end.as_str()], begin);
        }
        prop_assert_eq!(one.ends(content(1)), other.ends(content(1)));
        let distinct = one.ends(content(1)).len();
        let admission = one.admit(content(1), MOST_ENDS, begin);
        match admission {
            Admission::Held { retry_after } => {
                prop_assert!(distinct >= MOST_ENDS);
                prop_assert!(retry_after <= LONGEST_HOLD);
            }
            Admission::Free | Admission::Watched => prop_assert!(distinct < MOST_ENDS),
        }
    }
}

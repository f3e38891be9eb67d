//! Tests of `SuspectLedger`: suspicion, holding back and clearing of request contents that crash
//! instances.

use std::time::Duration;

use ladderstage_clock::Instant;
use ladderstage_front::suspects::{
    Admission, Cleared, ContentDigest, FIRST_HOLD, MAX_HOLD, MAX_SUSPECTS, RequestContent,
    SUSPICION_LIFETIME, SuspectLedger,
};
use proptest::prelude::*;

/// Number of crashes after which a content is held back.
const MAX_CRASHES: usize = 3;

const BUSY_RETRY: Duration = Duration::from_millis(500);

fn ledger() -> SuspectLedger {
    SuspectLedger::new(BUSY_RETRY)
}

fn content(number: u64) -> ContentDigest {
    ContentDigest::from_bits(number)
}

/// Records crashes of `count` instances under content 1, one second apart. Returns the time of the
/// last one.
fn record_crashes(ledger: &mut SuspectLedger, count: usize, start: Instant) -> Instant {
    let mut now = start;
    for instance in 0..count {
        now += Duration::from_secs(1);
        assert!(ledger.record_crash(content(1), &format!("i-{instance}@1"), start, now));
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
    let (mut ledger, start) = (ledger(), Instant::now());
    assert_eq!(
        ledger.admit(content(1), MAX_CRASHES, start),
        Admission::Free
    );
    let last = record_crashes(&mut ledger, MAX_CRASHES, start);
    assert_eq!(
        ledger.admit(content(1), MAX_CRASHES, last),
        Admission::Held {
            retry_after: FIRST_HOLD
        }
    );
    assert_eq!(ledger.admit(content(2), MAX_CRASHES, last), Admission::Free);
    let after = last + FIRST_HOLD;
    assert_eq!(
        ledger.admit(content(1), MAX_CRASHES, after),
        Admission::Tracked
    );
    assert_eq!(
        ledger.admit(content(1), MAX_CRASHES, after),
        Admission::Held {
            retry_after: BUSY_RETRY
        },
        "one trial run at a time"
    );
    // The trial run crashes one more instance, which doubles the hold.
    assert!(ledger.record_crash(content(1), "i-9@1", after, after));
    ledger.finish_run(content(1));
    assert_eq!(
        ledger.admit(content(1), MAX_CRASHES, after),
        Admission::Held {
            retry_after: FIRST_HOLD * 2
        }
    );
}

#[test]
fn concurrent_runs_of_a_suspect_are_limited_to_the_crashes_left() {
    let (mut ledger, start) = (ledger(), Instant::now());
    let now = record_crashes(&mut ledger, 1, start);
    for _ in 1..MAX_CRASHES {
        assert_eq!(
            ledger.admit(content(1), MAX_CRASHES, now),
            Admission::Tracked
        );
    }
    let busy = Admission::Held {
        retry_after: BUSY_RETRY,
    };
    assert_eq!(ledger.admit(content(1), MAX_CRASHES, now), busy);
    ledger.finish_run(content(1));
    assert_eq!(
        ledger.admit(content(1), MAX_CRASHES, now),
        Admission::Tracked
    );
}

#[test]
fn a_completed_run_clears_its_content() {
    let (mut ledger, start) = (ledger(), Instant::now());
    let now = record_crashes(&mut ledger, MAX_CRASHES, start);
    assert_eq!(ledger.clear(content(1)), Cleared::Local);
    assert_eq!(ledger.admit(content(1), MAX_CRASHES, now), Admission::Free);
    assert_eq!(ledger.clear(content(1)), Cleared::NotSuspected);
}

#[test]
fn clearing_is_reported_as_shared_only_if_the_suspect_was_shared() {
    let (mut ledger, start) = (ledger(), Instant::now());
    assert!(!ledger.mark_shared(content(1)));
    record_crashes(&mut ledger, 1, start);
    assert!(ledger.mark_shared(content(1)));
    assert_eq!(ledger.clear(content(1)), Cleared::Shared);
    ledger.merge(content(2), ["i-1@1"], start);
    assert_eq!(ledger.clear(content(2)), Cleared::Shared);
}

#[test]
fn a_suspect_that_is_not_held_back_expires() {
    let (mut ledger, start) = (ledger(), Instant::now());
    let now = record_crashes(&mut ledger, MAX_CRASHES - 1, start);
    assert_eq!(
        ledger.admit(content(1), MAX_CRASHES, now + SUSPICION_LIFETIME),
        Admission::Free
    );
    assert!(ledger.is_empty());
}

#[test]
fn runs_broken_by_one_crash_count_once_and_later_crashes_count_again() {
    let (mut ledger, start) = (ledger(), Instant::now());
    let first = start + Duration::from_secs(1);
    assert!(ledger.record_crash(content(1), "i-1@7", start, first));
    // A second run that was on the instance when it crashed.
    assert!(!ledger.record_crash(content(1), "i-1@7", start, first));
    // The instance restarted, accepted another run and crashed, before discovery reported its new
    // incarnation.
    let again = first + Duration::from_secs(3);
    assert!(ledger.record_crash(content(1), "i-1@7", again, again));
    assert!(!ledger.record_crash(content(1), "i-1@7", again, again));
    assert_eq!(ledger.crashes(content(1)).len(), 2);
    assert!(ledger.record_crash(content(1), "i-1@8", again, again));
    assert_eq!(ledger.crashes(content(1)).len(), MAX_CRASHES);
}

#[test]
fn the_number_of_suspects_is_bounded_and_the_oldest_is_removed_first() {
    let (mut ledger, start) = (ledger(), Instant::now());
    for number in 0..MAX_SUSPECTS as u64 + 1 {
        let now = start + Duration::from_millis(number);
        ledger.record_crash(content(number), "i-1@1", start, now);
    }
    assert_eq!(ledger.len(), MAX_SUSPECTS);
    assert!(ledger.crashes(content(0)).is_empty());
    assert_eq!(ledger.crashes(content(1)).len(), 1);
}

proptest! {
    /// Ledgers that merge the same crashes in another order, or repeatedly, are equal, and no hold
    /// exceeds `MAX_HOLD`.
    #[test]
    fn the_order_and_repetition_of_updates_do_not_matter(
        crash_ids in prop::collection::vec(0_u8..6, 0..20),
        rotation in any::<u64>(),
    ) {
        let start = Instant::now();
        let names: Vec<String> = crash_ids.iter().map(|crash| format!("i-{crash}@1")).collect();
        let mut reordered = names.clone();
        let shift = rotation as usize % names.len().max(1);
        reordered.rotate_left(shift);
        reordered.extend(names.iter().rev().cloned());
        let (mut one, mut other) = (ledger(), ledger());
        one.merge(content(1), names.iter().map(String::as_str), start);
        for crash in &reordered {
            other.merge(content(1), [crash.as_str()], start);
        }
        prop_assert_eq!(one.crashes(content(1)), other.crashes(content(1)));
        let distinct = one.crashes(content(1)).len();
        let admission = one.admit(content(1), MAX_CRASHES, start);
        match admission {
            Admission::Held { retry_after } => {
                prop_assert!(distinct >= MAX_CRASHES);
                prop_assert!(retry_after <= MAX_HOLD);
            }
            Admission::Free | Admission::Tracked => prop_assert!(distinct < MAX_CRASHES),
        }
    }
}

//! Tests of the clock that includes suspensions.

use std::time::Duration;

use ladderstage_clock::testing::suspend;
use ladderstage_clock::{Instant, StallDetector, SuspensionDetector};

const SUSPENSION: Duration = Duration::from_secs(20);

#[test]
fn a_suspension_is_included_and_detected_once() {
    let mut detector = SuspensionDetector::default();
    let before = Instant::now();
    let deadline = before + Duration::from_secs(10);
    assert_eq!(detector.check(), None);
    suspend(SUSPENSION);
    assert!(before.elapsed() >= SUSPENSION);
    assert!(Instant::now() > deadline);
    let detected = detector.check().unwrap();
    assert!(
        detected >= SUSPENSION - Duration::from_secs(1),
        "{detected:?}"
    );
    assert_eq!(detector.check(), None);
}

#[test]
fn other_threads_are_not_suspended() {
    let before = Instant::now();
    std::thread::spawn(|| suspend(Duration::from_secs(3_600)))
        .join()
        .unwrap();
    assert!(before.elapsed() < Duration::from_secs(3_600));
}

#[test]
fn differences_saturate_at_zero() {
    let now = Instant::now();
    let later = now + SUSPENSION;
    assert_eq!(later - now, SUSPENSION);
    assert_eq!(now - later, Duration::ZERO);
    assert_eq!(now.checked_duration_since(later), None);
    assert_eq!(later.checked_sub(SUSPENSION), Some(now));
    assert_eq!(later.elapsed(), Duration::ZERO);
    assert!(now - Duration::MAX < now);
}

#[tokio::test]
async fn a_wait_for_a_deadline_that_passed_during_a_suspension_ends_at_once() {
    let deadline = Instant::now() + Duration::from_secs(10);
    suspend(SUSPENSION);
    let waiting = tokio::time::sleep_until(deadline.into());
    tokio::time::timeout(Duration::from_secs(5), waiting)
        .await
        .unwrap();
}

#[test]
fn a_stall_is_detected_once_and_is_no_suspension() {
    let stall = Duration::from_millis(200);
    let mut suspensions = SuspensionDetector::default();
    let mut detector = StallDetector::default();
    std::thread::sleep(stall);
    assert!(detector.check(Duration::ZERO) >= stall);
    assert_eq!(detector.check(Duration::from_secs(3_600)), Duration::ZERO);
    assert_eq!(suspensions.check(), None);
}

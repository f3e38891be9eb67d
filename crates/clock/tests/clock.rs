//! The clock that counts suspensions.

use std::time::Duration;

use ladderstage_clock::testing::suspend;
use ladderstage_clock::{Instant, SuspensionWatch};

const TWENTY_SECONDS: Duration = Duration::from_secs(20);

#[test]
fn a_suspension_counts_and_is_noticed_once() {
    let mut watch = SuspensionWatch::default();
    let before = Instant::now();
    let deadline = before + Duration::from_secs(10);
    assert_eq!(watch.look(), None);
    suspend(TWENTY_SECONDS);
    assert!(before.elapsed() >= TWENTY_SECONDS);
    assert!(Instant::now() > deadline);
    let noticed = watch.look().unwrap();
    assert!(
        noticed >= TWENTY_SECONDS - Duration::from_secs(1),
        "{noticed:?}"
    );
    assert_eq!(watch.look(), None);
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
fn times_before_and_after_each_other_are_never_negative() {
    let now = Instant::now();
    let later = now + TWENTY_SECONDS;
    assert_eq!(later - now, TWENTY_SECONDS);
    assert_eq!(now - later, Duration::ZERO);
    assert_eq!(now.checked_duration_since(later), None);
    assert_eq!(later.checked_sub(TWENTY_SECONDS), Some(now));
    assert_eq!(later.elapsed(), Duration::ZERO);
    assert!(now - Duration::MAX < now);
}

#[tokio::test]
async fn a_wait_until_a_moment_that_passed_while_suspended_is_over_at_once() {
    let deadline = Instant::now() + Duration::from_secs(10);
    suspend(TWENTY_SECONDS);
    let waiting = tokio::time::sleep_until(deadline.into());
    tokio::time::timeout(Duration::from_secs(5), waiting)
        .await
        .unwrap();
}

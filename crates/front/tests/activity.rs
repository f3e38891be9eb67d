//! Tests that polling is frequent only while work is in progress.

use std::time::Duration;

use ladderstage_front::activity::Activity;

/// Longer than any test takes.
const NEVER: Duration = Duration::from_secs(3_600);

#[tokio::test(start_paused = true)]
async fn a_long_pause_ends_when_work_starts() {
    let activity = Activity::default();
    let pause = activity.pause_until_next_poll(Duration::from_millis(10), NEVER);
    let work = async {
        tokio::time::sleep(Duration::from_secs(5)).await;
        activity.start()
    };
    let started = tokio::time::Instant::now();
    let ((), guard) = tokio::join!(pause, work);
    assert_eq!(started.elapsed().as_secs(), 5);
    activity
        .pause_until_next_poll(Duration::from_millis(10), NEVER)
        .await;
    assert_eq!(started.elapsed().as_secs(), 5, "work is in progress");
    drop(guard);
    assert!(!activity.is_active());
    activity.wait_until_idle().await;
}

#[tokio::test(start_paused = true)]
async fn a_pause_without_work_ends_at_its_limit() {
    let activity = Activity::default();
    let started = tokio::time::Instant::now();
    activity
        .pause_until_next_poll(Duration::from_millis(400), Duration::from_millis(800))
        .await;
    assert_eq!(started.elapsed(), Duration::from_millis(800));
}

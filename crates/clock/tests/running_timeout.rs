//! Tests of timeouts that exclude standstills of this process.

use std::time::Duration;

use ladderstage_clock::running_timeout;
use tokio::sync::mpsc;

const LIMIT: Duration = Duration::from_millis(1_000);

/// Longer than the limit.
const STANDSTILL: Duration = Duration::from_millis(1_500);

/// Guards against a front that takes its own standstill for the silence of an instance.
#[tokio::test]
async fn a_standstill_of_the_process_is_no_silence() {
    let (sender, mut received) = mpsc::channel(1);
    // Sends while the process runs: a tenth of the limit after the standstill.
    let sending = tokio::spawn(async move {
        std::thread::sleep(STANDSTILL);
        tokio::time::sleep(LIMIT / 10).await;
        sender.send("event").await
    });
    let event = running_timeout(LIMIT, received.recv()).await;
    assert_eq!(event, Ok(Some("event")));
    sending.await.unwrap().unwrap();
}

#[tokio::test]
async fn a_silent_sender_times_out() {
    let (_sender, mut received) = mpsc::channel::<()>(1);
    let silent = running_timeout(LIMIT, received.recv()).await.unwrap_err();
    assert!(silent.after >= LIMIT);
}

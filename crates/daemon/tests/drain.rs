//! Draining refuses new requests and waits for requests in flight.

use std::time::Duration;

use ladderstage_daemon::drain::Drain;

#[tokio::test]
async fn a_drain_waits_for_all_guards_and_refuses_new_work() {
    let drain = Drain::new();
    let first = drain.track_request().unwrap();
    drain.start();
    drain.start();
    assert!(drain.is_draining());
    assert!(drain.track_request().is_none());
    let second = first.clone();
    drop(first);
    let waiting = tokio::spawn({
        let drain = drain.clone();
        async move { drain.wait_until_idle().await }
    });
    tokio::task::yield_now().await;
    assert_eq!(drain.in_flight(), 1);
    assert!(!waiting.is_finished());
    drop(second);
    tokio::time::timeout(Duration::from_secs(20), waiting)
        .await
        .unwrap()
        .unwrap();
}

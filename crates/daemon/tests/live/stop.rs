//! Draining with streams in progress, and cancellation when a caller disconnects.

use std::time::Duration;

use ladderstage_bench::stand_in::Ending;

use crate::fixture::{Fixture, send_and_read};
use crate::network::until;

const TIMEOUT: Duration = Duration::from_secs(30);

#[tokio::test(flavor = "multi_thread")]
async fn streams_complete_during_a_drain_that_refuses_new_requests() {
    let fixture = Fixture::start(1, 0).await;
    let front = &fixture.fronts[0];
    let mut stream = front.complete("a sill", 200, true).send().await.unwrap();
    let first = stream.chunk().await.unwrap().unwrap();
    front.drain.start();
    let refused = front.complete("a sill", 5, false).send().await.unwrap();
    assert_eq!(refused.headers()["connection"], "close");
    let answer = send_and_read(front.complete("a sill", 5, false)).await;
    assert_eq!((answer.status, answer.outcome.as_str()), (503, "not-run"));
    let mut text = String::from_utf8(first.to_vec()).unwrap();
    while let Some(bytes) = stream.chunk().await.unwrap() {
        text.push_str(std::str::from_utf8(&bytes).unwrap());
    }
    assert!(text.ends_with("data: [DONE]\n\n"));
    tokio::time::timeout(TIMEOUT, front.drain.wait_until_idle())
        .await
        .unwrap();
    assert_eq!(fixture.engine_runs().await.len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_cancelled_when_its_caller_disconnects() {
    let fixture = Fixture::start(1, 0).await;
    let front = &fixture.fronts[0];
    let mut stream = front.complete("a sill", 60_000, true).send().await.unwrap();
    stream.chunk().await.unwrap();
    drop(stream);
    tokio::time::timeout(TIMEOUT, front.drain.wait_until_idle())
        .await
        .unwrap();
    until("the engine stopped", async || {
        fixture.engine_runs().await[0].ending == Ending::Cancelled
    })
    .await;
}

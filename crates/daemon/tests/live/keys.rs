//! Retries of requests with an idempotency key, through other daemons and during journal failures.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use ladderstage_bench::stand_in::CutPoint;
use ladderstage_bench::stand_in::application::{ApplicationFaults, Echo};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::fixture::{Fixture, send_and_read};
use crate::network::{Network, until};

/// Number of tries in the randomized test, alternating between the daemons every 10 ms.
const TRIES: usize = 500;
/// Number of keys; odd, so that each key is tried through both daemons.
const KEYS: usize = 51;

fn delayed() -> ApplicationFaults {
    ApplicationFaults {
        delay_ms: 500,
        ..ApplicationFaults::default()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn retries_on_any_node_get_the_recorded_answer() {
    let fixture = Fixture::start(0, 2).await;
    let first = send_and_read(fixture.fronts[0].keyed("k", "a")).await;
    let second = send_and_read(fixture.fronts[1].keyed("k", "a")).await;
    assert_eq!((first.status, second.status), (200, 200));
    assert_eq!(first.text, second.text);
    let other = send_and_read(fixture.fronts[1].keyed("k", "b")).await;
    assert_eq!((other.status, other.outcome.as_str()), (422, "not-run"));
    assert_eq!(fixture.application_runs().await.len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_tries_of_a_key_run_once() {
    let fixture = Fixture::start(0, 2).await;
    fixture.fault_applications(delayed()).await;
    let tries = (0..12).map(|index| send_and_read(fixture.fronts[index % 2].keyed("k", "a")));
    let answers = join_all(tries).await;
    for answer in &answers {
        let is_allowed = ["completed", "unknown"].contains(&answer.outcome.as_str());
        assert!(is_allowed, "{} {}", answer.status, answer.text);
    }
    assert_eq!(fixture.application_runs().await.len(), 1);
    until("the outcome is recorded", async || {
        send_and_read(fixture.fronts[1].keyed("k", "a"))
            .await
            .outcome
            == "completed"
    })
    .await;
    assert_eq!(fixture.application_runs().await.len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_outcome_is_recorded_after_the_caller_disconnects() {
    let fixture = Fixture::start(0, 2).await;
    fixture.fault_applications(delayed()).await;
    let request = fixture.fronts[0]
        .keyed("k", "a")
        .timeout(Duration::from_millis(200));
    assert!(request.send().await.is_err());
    until("the outcome is recorded", async || {
        send_and_read(fixture.fronts[1].keyed("k", "a"))
            .await
            .outcome
            == "completed"
    })
    .await;
    assert!(fixture.application_runs().await.len() <= 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_leaves_the_outcome_unknown() {
    let fixture = Fixture::start(0, 2).await;
    let faults = ApplicationFaults {
        cut: Some(CutPoint::MidBody),
        cuts: 1,
        ..Default::default()
    };
    fixture.fault_applications(faults).await;
    let first = send_and_read(fixture.fronts[0].keyed("k", "a")).await;
    let second = send_and_read(fixture.fronts[1].keyed("k", "a")).await;
    assert_eq!((first.status, first.outcome.as_str()), (502, "unknown"));
    assert_eq!((second.status, second.outcome.as_str()), (409, "unknown"));
    assert_eq!(fixture.application_runs().await.len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_did_not_run_releases_its_key() {
    let fixture = Fixture::start(0, 2).await;
    fixture
        .fault_applications(ApplicationFaults {
            refusals: 9,
            ..Default::default()
        })
        .await;
    let first = send_and_read(fixture.fronts[0].keyed("k", "a")).await;
    assert_eq!(first.outcome, "not-run");
    fixture
        .fault_applications(ApplicationFaults::default())
        .await;
    let second = send_and_read(fixture.fronts[1].keyed("k", "a")).await;
    assert_eq!((second.status, second.outcome.as_str()), (200, "completed"));
    assert_eq!(fixture.application_runs().await.len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn keyed_requests_are_not_dispatched_without_a_majority() {
    let fixture = Fixture::start(0, 2).await;
    fixture.network.set_disconnected(&["n1", "n2"]);
    let answer = send_and_read(fixture.fronts[0].keyed("k", "a")).await;
    // Unknown, as an earlier try of the key might have run.
    assert_eq!((answer.status, answer.outcome.as_str()), (503, "unknown"));
    assert_eq!(fixture.application_runs().await.len(), 0);
    fixture.network.set_disconnected(&[]);
    let answer = send_and_read(fixture.fronts[0].keyed("k", "a")).await;
    assert_eq!(answer.outcome, "completed");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_that_ran_is_never_reported_as_not_run() {
    let fixture = Fixture::start(0, 2).await;
    assert_eq!(
        send_and_read(fixture.fronts[0].keyed("k", "a"))
            .await
            .outcome,
        "completed"
    );
    fixture.network.set_disconnected(&["n0", "n2"]);
    assert_eq!(
        send_and_read(fixture.fronts[1].keyed("k", "a"))
            .await
            .outcome,
        "unknown"
    );
    *fixture.fronts[0].node.disconnected.lock().unwrap() = true;
    assert_eq!(
        send_and_read(fixture.fronts[0].keyed("k", "a"))
            .await
            .outcome,
        "unknown"
    );
    fixture.fronts[1].drain.start();
    assert_eq!(
        send_and_read(fixture.fronts[1].keyed("k", "a"))
            .await
            .outcome,
        "unknown"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn claims_on_frozen_replicas_run_at_most_once() {
    let fixture = Fixture::start(0, 2).await;
    fixture.network.freeze(&["n0", "n1", "n2"]);
    let (first, second) = tokio::join!(
        send_and_read(fixture.fronts[0].keyed("k", "a")),
        send_and_read(fixture.fronts[1].keyed("k", "a"))
    );
    for answer in [first, second] {
        assert_ne!(answer.outcome, "completed", "{}", answer.text);
    }
    assert_eq!(fixture.application_runs().await.len(), 0);
    fixture.network.freeze(&[]);
    let tries = (0..6).map(|index| send_and_read(fixture.fronts[index % 2].keyed("k", "a")));
    join_all(tries).await;
    assert!(fixture.application_runs().await.len() <= 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_run_at_most_once_while_replicas_freeze_and_disconnect() {
    let fixture = Fixture::start(0, 2).await;
    fixture.fault_applications(delayed()).await;
    let seed = rand::random();
    println!("seed {seed}");
    let inject_faults = tokio::spawn(inject_faults(fixture.network.clone(), seed));
    let tries = (0..TRIES).map(|index| {
        let key = format!("k{}", index % KEYS);
        let request = fixture.fronts[index % 2].keyed(&key, key.clone());
        async move {
            tokio::time::sleep(Duration::from_millis(10 * index as u64)).await;
            send_and_read(request).await
        }
    });
    let answers = join_all(tries).await;
    inject_faults.abort();
    let count = |outcome| {
        answers
            .iter()
            .filter(|answer| answer.outcome == outcome)
            .count()
    };
    println!(
        "completed {} unknown {} not-run {}",
        count("completed"),
        count("unknown"),
        count("not-run")
    );
    let mut ran: Vec<String> = Vec::new();
    for run in fixture.application_runs().await {
        assert!(
            !ran.contains(&run.body),
            "{} ran twice, seed {seed}",
            run.body
        );
        ran.push(run.body);
    }
    for answer in answers
        .iter()
        .filter(|answer| answer.outcome == "completed")
    {
        let echo: Echo = serde_json::from_str(&answer.text).unwrap();
        assert!(ran.contains(&echo.body));
    }
}

/// Freezes or disconnects one or two replicas at random.
async fn inject_faults(network: Arc<Network>, seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    loop {
        let names = ["n0", "n1", "n2"];
        let first = random.random_range(0..3);
        let some = [
            &names[first..=first],
            &names[first.min(1)..first.min(1) + 2],
        ];
        match random.random_range(0..5) {
            0 => network.freeze(some[0]),
            1 => network.set_disconnected(some[0]),
            2 | 3 => network.set_disconnected(some[1]),
            _ => {
                network.freeze(&[]);
                network.set_disconnected(&[]);
            }
        }
        tokio::time::sleep(Duration::from_millis(random.random_range(0..8))).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn recorded_completions_are_replayed_in_the_same_format() {
    let fixture = Fixture::start(1, 0).await;
    for stream in [false, true] {
        let key = format!("k-{stream}");
        let ask = |front: usize| {
            let request = fixture.fronts[front].complete("a sill", 5, stream);
            request.header("Idempotency-Key", &key)
        };
        let (first, second) = (send_and_read(ask(0)).await, send_and_read(ask(1)).await);
        assert_eq!(first.text, second.text);
        assert_eq!(first.text.ends_with("data: [DONE]\n\n"), stream);
    }
    assert_eq!(fixture.engine_runs().await.len(), 2);
}

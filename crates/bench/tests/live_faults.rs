//! Live requests through daemons that are paused, killed and stopped. Checked by the back ends'
//! logs.

use std::time::{Duration, Instant};

use ladderstage_bench::cluster::{APPLICATION_POOL, Cluster, ClusterConfig, MODEL_POOL};
use ladderstage_bench::http_client;
use ladderstage_bench::stand_in::application::{ApplicationFaults, ApplicationLog};
use reqwest::RequestBuilder;
use serde_json::json;

const TIMEOUT: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(10);

async fn cluster(delay_ms: u64) -> Cluster {
    let cluster = Cluster::start_ready(&ClusterConfig::three_daemons(2))
        .await
        .unwrap();
    let faults = ApplicationFaults {
        delay_ms,
        ..ApplicationFaults::default()
    };
    for application in &cluster.platform.applications {
        application.stand_in.set_faults(&faults).await.unwrap();
    }
    cluster
}

/// Returns a keyed pricing request, which must not run twice. Its body identifies it in the back
/// ends' logs.
fn price(cluster: &Cluster, daemon: usize, key: &str) -> RequestBuilder {
    let url = format!(
        "{}/v1/apps/{APPLICATION_POOL}/price",
        cluster.daemons[daemon].url()
    );
    let request = http_client().post(url).timeout(TIMEOUT);
    request.header("Idempotency-Key", key).body(key.to_owned())
}

/// Returns the status and outcome, or `None` if the connection broke.
async fn answer(request: RequestBuilder) -> Option<(u16, String)> {
    let response = request.send().await.ok()?;
    let outcome = response.headers().get("Ladderstage-Outcome");
    let outcome = outcome
        .map_or("", |value| value.to_str().unwrap())
        .to_owned();
    Some((response.status().as_u16(), outcome))
}

/// Returns the number of runs of a key's request.
async fn runs(cluster: &Cluster, key: &str) -> usize {
    let mut count = 0;
    for application in &cluster.platform.applications {
        let log: ApplicationLog = application.stand_in.log().await.unwrap();
        count += log.runs.iter().filter(|run| run.body == key).count();
    }
    count
}

async fn until(what: &str, condition: impl AsyncFn() -> bool) {
    let start = Instant::now();
    while !condition().await {
        assert!(start.elapsed() < TIMEOUT, "timed out waiting until {what}");
        tokio::time::sleep(POLL).await;
    }
}

fn unknown() -> Option<(u16, String)> {
    Some((409, "unknown".to_owned()))
}

fn completed() -> Option<(u16, String)> {
    Some((200, "completed".to_owned()))
}

#[tokio::test(flavor = "multi_thread")]
async fn a_keyed_request_runs_once_when_its_daemon_is_paused() {
    let mut cluster = cluster(1_000).await;
    let first = tokio::spawn(answer(price(&cluster, 0, "k")));
    until("the request runs", async || runs(&cluster, "k").await == 1).await;
    cluster.daemons[0].pause();
    assert_eq!(answer(price(&cluster, 1, "k")).await, unknown());
    cluster.daemons[0].resume();
    assert_eq!(first.await.unwrap(), completed());
    until("the outcome is recorded", async || {
        answer(price(&cluster, 2, "k")).await == completed()
    })
    .await;
    assert_eq!(runs(&cluster, "k").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_keyed_request_runs_once_whenever_its_daemon_is_paused() {
    let mut cluster = cluster(0).await;
    for step in 0..24 {
        let key = format!("k{step}");
        let first = tokio::spawn(answer(price(&cluster, 0, &key)));
        tokio::time::sleep(Duration::from_micros(500 * step)).await;
        cluster.daemons[0].pause();
        let second = answer(price(&cluster, 1, &key)).await;
        cluster.daemons[0].resume();
        let first = first.await.unwrap();
        let count = runs(&cluster, &key).await;
        assert!(count <= 1, "{key} ran {count} times: {first:?} {second:?}");
        if [&first, &second].contains(&&completed()) {
            assert_eq!(count, 1, "{key}: {first:?} {second:?}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_keyed_request_is_not_run_again_after_its_daemon_was_killed() {
    let mut cluster = cluster(1_000).await;
    let first = tokio::spawn(answer(price(&cluster, 0, "k")));
    until("the request runs", async || runs(&cluster, "k").await == 1).await;
    cluster.daemons[0].kill();
    assert_ne!(first.await.unwrap(), completed());
    for daemon in [1, 2, 1] {
        let (_, outcome) = answer(price(&cluster, daemon, "k")).await.unwrap();
        assert_eq!(outcome, "unknown");
    }
    assert_eq!(runs(&cluster, "k").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn nothing_is_dispatched_without_a_majority() {
    let mut cluster = cluster(0).await;
    cluster.daemons[1].kill();
    cluster.daemons[2].kill();
    let (status, outcome) = answer(price(&cluster, 0, "k")).await.unwrap();
    // An earlier attempt with the key might have run.
    assert_eq!((status, outcome.as_str()), (503, "unknown"));
    assert_eq!(runs(&cluster, "k").await, 0);
    cluster.start_daemon(1).await.unwrap();
    until("the key is free", async || {
        answer(price(&cluster, 0, "k")).await == completed()
    })
    .await;
    assert_eq!(runs(&cluster, "k").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_cuts_nothing_off() {
    let mut cluster = cluster(1_000).await;
    let url = format!("{}/v1/completions", cluster.daemons[0].url());
    let body = json!({"model": MODEL_POOL, "prompt": "a sill", "max_tokens": 300, "stream": true});
    let mut stream = http_client().post(url).json(&body).send().await.unwrap();
    let mut text = stream.chunk().await.unwrap().unwrap().to_vec();
    let pricing = tokio::spawn(answer(price(&cluster, 0, "k")));
    until("the request runs", async || runs(&cluster, "k").await == 1).await;
    cluster.daemons[0].terminate();
    cluster.daemons[0].terminate();
    while let Some(bytes) = stream.chunk().await.unwrap() {
        text.extend_from_slice(&bytes);
    }
    assert!(text.ends_with(b"data: [DONE]\n\n"));
    assert_eq!(pricing.await.unwrap(), completed());
    assert_eq!(answer(price(&cluster, 1, "k")).await, completed());
    assert_eq!(runs(&cluster, "k").await, 1);
}

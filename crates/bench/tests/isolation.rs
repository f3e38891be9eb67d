//! A daemon that is partitioned from the region's other members and from the key-value service
//! accepts no new work. Checked by the back ends' logs.

mod common;

use std::time::Duration;

use common::{assert_not_run, assert_refused};
use ladderstage_bench::cluster::{APPLICATION_POOL, Cluster, ClusterConfig, MODEL_POOL, Timing};
use ladderstage_bench::http_client;
use ladderstage_bench::live::{Caller, LiveError};
use ladderstage_bench::proxy::Faults;
use ladderstage_bench::stand_in::application::ApplicationLog;
use ladderstage_bench::stand_in::engine::EngineLog;
use ladderstage_bench::trainer::StepSpec;
use ladderstage_bench::waiting::until;
use reqwest::{Method, StatusCode};

const TIMEOUT: Duration = Duration::from_secs(30);
const ISOLATED: usize = 2;
const TOKENS: u64 = 5;
const STEP: u64 = 1;
/// Distinguishes an immediate refusal from one at the request's deadline of 20 s.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(5);
fn config() -> ClusterConfig {
    let timing = [
        ("probe_interval_ms", 300),
        ("suspicion_ms", 900),
        ("bundle_evidence_bound_ms", 1_500),
    ];
    ClusterConfig {
        timing: Timing::from(timing.map(|(name, value)| (name.to_owned(), value))),
        ..ClusterConfig::three_daemons(2)
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn isolated_daemon_takes_no_new_work_until_healed() {
    let cluster = Cluster::start_ready(&config()).await.unwrap();
    let daemon = &cluster.daemons[ISOLATED];
    let url = daemon.url();
    // A daemon may be ready a second before it has the engines' first load reports.
    until("first load reports", TIMEOUT, async || {
        let caller = Caller::new(&url);
        let probe = caller.complete(MODEL_POOL, "first", TOKENS, false);
        probe.await.is_ok()
    })
    .await;
    assert_serves(&url, "before").await;
    isolate(&cluster);
    until("new work is refused", TIMEOUT, async || {
        let caller = Caller::new(&url);
        let probe = caller.complete(MODEL_POOL, "probe", TOKENS, false);
        matches!(probe.await, Err(LiveError::NotRun { .. }))
    })
    .await;
    let runs_before = run_count(&cluster).await;
    tokio::time::timeout(REFUSAL_TIMEOUT, assert_refuses(&url))
        .await
        .expect("refusals at once");
    assert_eq!(run_count(&cluster).await, runs_before, "refused work ran");
    let (status, body) = readiness(&url).await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{body}");
    assert!(body.contains("members of the region"), "{body}");
    for other in &cluster.daemons[..ISOLATED] {
        assert_serves(&other.url(), "meanwhile").await;
    }

    heal(&cluster);
    daemon.wait_until_ready(TIMEOUT).await.unwrap();
    assert_serves(&url, "after").await;
}

fn isolate(cluster: &Cluster) {
    cluster.set_peer_faults(ISOLATED, Faults::refusing());
    let daemon = &cluster.daemons[ISOLATED];
    daemon.key_value.set(Faults::refusing());
    daemon.key_value.cut();
}

fn heal(cluster: &Cluster) {
    cluster.set_peer_faults(ISOLATED, Faults::default());
    cluster.daemons[ISOLATED].key_value.heal();
}

async fn assert_serves(url: &str, when: &str) {
    let caller = Caller::new(url);
    let text = format!("{when}, through {url}");
    caller
        .complete(MODEL_POOL, &text, TOKENS, true)
        .await
        .unwrap();
    let priced = caller.application(APPLICATION_POOL, Method::POST, "price", &text);
    priced.await.unwrap();
}

/// Asserts that requests of all kinds are refused as not run, with a `Retry-After` header.
async fn assert_refuses(url: &str) {
    let caller = Caller::new(url);
    for is_streamed in [false, true] {
        assert_not_run(
            caller
                .complete(MODEL_POOL, "cut off", TOKENS, is_streamed)
                .await,
        );
    }
    let priced = caller.application(APPLICATION_POOL, Method::POST, "price", "cut off");
    assert_not_run(priced.await);
    // The daemon cannot tell whether an earlier attempt with this key ran.
    let keyed = http_client()
        .post(format!("{url}/v1/apps/{APPLICATION_POOL}/price"))
        .header("Idempotency-Key", "cut-off");
    assert_refused(keyed, "unknown").await;
    let spec = StepSpec::generate(MODEL_POOL, STEP, 1, TOKENS as u32);
    let step = format!("{url}/v1/trainers/trainer-1/steps/{STEP}");
    assert_refused(http_client().post(&step).json(&spec), "not-run").await;
    assert_refused(http_client().get(format!("{step}/samples")), "not-run").await;
}

async fn readiness(url: &str) -> (StatusCode, String) {
    let answer = http_client().get(format!("{url}/readyz")).send().await;
    let answer = answer.unwrap();
    (answer.status(), answer.text().await.unwrap())
}

/// Returns the number of runs at all back ends.
async fn run_count(cluster: &Cluster) -> usize {
    let mut count = 0;
    for engine in &cluster.platform.engines {
        let log: EngineLog = engine.stand_in.log().await.unwrap();
        count += log.runs.len();
    }
    for application in &cluster.platform.applications {
        let log: ApplicationLog = application.stand_in.log().await.unwrap();
        count += log.runs.len();
    }
    count
}

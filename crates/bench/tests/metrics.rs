//! Counters in `/metrics` after a step, a roll and two refusals.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use ladderstage_bench::cluster::{Cluster, ClusterConfig, MODEL_POOL};
use ladderstage_bench::http_client;
use ladderstage_bench::trainer::{PullOptions, StepSpec};

const TIMEOUT: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(100);
const SAMPLES: u32 = 12;
const TOKENS: u32 = 20;

/// Returns the sums of all daemons' metrics, by name and labels.
async fn scrape(cluster: &Cluster) -> Sums {
    let mut sums = BTreeMap::new();
    for url in cluster.urls() {
        let answer = http_client().get(format!("{url}/metrics")).send().await;
        let text = answer.unwrap().text().await.unwrap();
        for line in text.lines().filter(|line| !line.starts_with('#')) {
            let (name, value) = line.rsplit_once(' ').unwrap();
            *sums.entry(name.to_owned()).or_default() += value.parse::<f64>().unwrap();
        }
    }
    sums
}

type Sums = BTreeMap<String, f64>;

fn sum(sums: &Sums, name: &str) -> f64 {
    sums.get(name).copied().unwrap_or_default()
}

/// Returns whether every daemon has the second bundle and sees its weight version on both engines.
fn is_rolled_out(sums: &Sums) -> bool {
    sum(sums, "ladderstage_bundle_revision") == 6.0
        && sum(sums, "ladderstage_weights_in_force_seconds_count") >= 2.0
        && sum(sums, "ladderstage_engine_orders_pending") == 0.0
}

async fn scrape_rolled_out(cluster: &Cluster) -> Sums {
    let start = Instant::now();
    loop {
        let sums = scrape(cluster).await;
        if is_rolled_out(&sums) {
            return sums;
        }
        assert!(start.elapsed() < TIMEOUT, "not rolled out: {sums:#?}");
        tokio::time::sleep(POLL).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn work_and_refusals_are_counted() {
    let cluster = Cluster::start_ready(&ClusterConfig::three_daemons(2))
        .await
        .unwrap();
    let mut trainer = cluster.trainer("counted");
    let spec = StepSpec::generate(MODEL_POOL, 1, SAMPLES, TOKENS);
    let report = trainer.run(1, &spec, &PullOptions::default()).await;
    assert_eq!(report.unwrap().delivered, u64::from(SAMPLES));

    let url = &cluster.urls()[0];
    let unknown_step = format!("{url}/v1/trainers/counted/steps/99/samples");
    let answer = http_client().get(unknown_step).send().await.unwrap();
    assert_eq!(answer.status(), 404);
    let refusal: serde_json::Value = answer.json().await.unwrap();
    assert_eq!(refusal["reason"], "unknown_step");
    let unknown_class = http_client()
        .post(format!("{url}/v1/completions"))
        .header("Ladderstage-Class", "none")
        .body(format!("{{\"model\":\"{MODEL_POOL}\",\"prompt\":\"x\"}}"));
    assert_eq!(unknown_class.send().await.unwrap().status(), 400);
    let malformed = http_client()
        .post(format!("{url}/v1/trainers/counted/steps/2"))
        .body(r#"{"pool":"karm-lm","samples":"a secret prompt"}"#);
    assert_eq!(malformed.send().await.unwrap().status(), 400);
    let log = cluster.daemons[0].log();
    assert!(log.contains("reason=malformed_request") && !log.contains("a secret"));
    cluster.roll(&cluster.bundle(2, 2)).await.unwrap();

    let sums = scrape_rolled_out(&cluster).await;
    let sum = |name: &str| sum(&sums, name);
    assert_eq!(
        sum(r#"ladderstage_trainer_refusals_total{reason="unknown_step"}"#),
        1.0
    );
    assert_eq!(
        sum(r#"ladderstage_live_requests_total{outcome="not-run",reason="unknown_class"}"#),
        1.0
    );
    assert!(sum("ladderstage_sample_staleness_versions_count") >= f64::from(SAMPLES));
    assert_eq!(sum("ladderstage_sample_staleness_versions_sum"), 0.0);
    assert!(sum("ladderstage_sample_age_seconds_sum") > 0.0);
    assert!(sum("ladderstage_trainer_idle_seconds_total") > 0.0);
    assert!(sum("ladderstage_journal_commit_seconds_count") > 0.0);
    assert!(sum(r#"ladderstage_bundle_rolls_total{outcome="accepted"}"#) >= 2.0);
    assert!(sum("ladderstage_bundle_in_force_timestamp_seconds") > 0.0);
    assert!(sum("ladderstage_peer_bytes_sent_total") > 0.0);
    assert!(sum("process_cpu_seconds_total") > 0.0);
}

//! End-to-end test with real processes: live completions, application requests, steps of samples,
//! and a roll.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use ladderstage_bench::cluster::{APPLICATION_POOL, Cluster, ClusterConfig, MODEL_POOL};
use ladderstage_bench::live::{Caller, Completion, Retries};
use ladderstage_bench::stand_in::application::ApplicationLog;
use ladderstage_bench::stand_in::engine::EngineLog;
use ladderstage_bench::trainer::{PullOptions, StepReport, StepSpec, Trainer};
use reqwest::Method;

const TIMEOUT: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(20);
const SAMPLES: u32 = 40;
const TOKENS: u32 = 30;

async fn complete(daemon: &str, prompt: &str, stream: bool) -> Completion {
    let caller = Caller::new(daemon);
    let mut retries = Retries::default();
    loop {
        match caller.complete(MODEL_POOL, prompt, 10, stream).await {
            Err(error) if retries.wait_to_retry(&error).await => {}
            result => return result.unwrap(),
        }
    }
}

async fn run_step(trainer: &mut Trainer, step: u64) -> StepReport {
    let spec = StepSpec::generate(MODEL_POOL, step, SAMPLES, TOKENS);
    let options = PullOptions {
        max: 8,
        drop_every: 3,
        rotates_daemons: true,
        ..PullOptions::default()
    };
    trainer.run(step, &spec, &options).await.unwrap()
}

fn assert_complete(report: &StepReport) {
    assert_eq!(report.violations, []);
    let counts = (report.delivered, report.duplicated, report.lost);
    assert_eq!(counts, (u64::from(SAMPLES), 0, 0));
}

/// Sends both kinds of completion through each daemon; returns the versions that they name.
async fn live_versions(cluster: &Cluster, round: &str) -> BTreeSet<u64> {
    let mut versions = BTreeSet::new();
    for (index, url) in cluster.urls().iter().enumerate() {
        for stream in [false, true] {
            let prompt = format!("{round} {index} {stream}");
            versions.extend(complete(url, &prompt, stream).await.weight_versions);
        }
    }
    versions
}

async fn price_once_through_each_daemon(cluster: &Cluster) {
    let urls = cluster.urls();
    for (index, url) in urls.iter().enumerate() {
        let caller = Caller::new(url);
        let body = format!("{{\"facade\":{index}}}");
        let call = caller.application(APPLICATION_POOL, Method::POST, "price?fast=1", &body);
        call.await.unwrap();
    }
    let mut bodies = Vec::new();
    for application in &cluster.platform.applications {
        let log: ApplicationLog = application.stand_in.log().await.unwrap();
        bodies.extend(log.runs.into_iter().map(|run| run.body));
    }
    bodies.sort();
    let expected: Vec<String> = (0..urls.len())
        .map(|index| format!("{{\"facade\":{index}}}"))
        .collect();
    assert_eq!(bodies, expected);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn all_kinds_of_work_during_a_roll() {
    let config = ClusterConfig {
        stand_ins_as_processes: true,
        ..ClusterConfig::three_daemons(4)
    };
    let cluster = Cluster::start_ready(&config).await.unwrap();
    assert_eq!(live_versions(&cluster, "before").await, [1].into());
    price_once_through_each_daemon(&cluster).await;

    let mut trainer = cluster.trainer("fitting-notes");
    let first = run_step(&mut trainer, 1).await;
    assert_complete(&first);
    assert_eq!(first.weight_versions, [1].into());

    let bundle = cluster.bundle(2, 2);
    let (rolled, second) = tokio::join!(cluster.roll(&bundle), run_step(&mut trainer, 2));
    rolled.unwrap();
    assert_complete(&second);
    cluster
        .operator()
        .wait_until_in_force_everywhere(2, TIMEOUT)
        .await
        .unwrap();

    let start = Instant::now();
    while cluster.held_versions().await.unwrap() != [2].into() {
        assert!(
            start.elapsed() < TIMEOUT,
            "not all engines hold version 2 in time"
        );
        tokio::time::sleep(POLL).await;
    }
    assert_eq!(live_versions(&cluster, "after").await, [2].into());
    let third = run_step(&mut trainer, 3).await;
    assert_complete(&third);
    assert_eq!(third.weight_versions, [2].into());
    assert_eq!(third.bundle_revisions, [2].into());

    let mut versions_run = BTreeSet::new();
    for engine in &cluster.platform.engines {
        let log: EngineLog = engine.stand_in.log().await.unwrap();
        let segments = log.runs.iter().flat_map(|run| &run.segments);
        versions_run.extend(segments.map(|segment| segment.weight_version));
    }
    assert_eq!(versions_run, [1, 2].into());
}

//! Daemons killed, paused and stopped during a step: every sample is still delivered once with true
//! labels.

use std::time::Duration;

use ladderstage_bench::cluster::{Cluster, ClusterConfig, MODEL_POOL};
use ladderstage_bench::http_client;
use ladderstage_bench::live::{Caller, LiveError};
use ladderstage_bench::stand_in::engine::EngineLog;
use ladderstage_bench::trainer::{PullOptions, StepReport, StepSpec, Trainer};
use serde_json::{Value, json};
use tokio::task::JoinHandle;

const TIMEOUT: Duration = Duration::from_secs(60);
const TRAINER: &str = "fitting-notes";
const SAMPLES: u32 = 60;
const TOKENS: u32 = 60;
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
const POLL: Duration = Duration::from_millis(20);

fn options() -> PullOptions {
    PullOptions {
        max: 4,
        drop_every: 5,
        rotates_daemons: true,
        deadline: TIMEOUT,
        ..PullOptions::default()
    }
}

async fn run_step(trainer: &mut Trainer, step: u64) -> StepReport {
    let spec = StepSpec::generate(MODEL_POOL, step, SAMPLES, TOKENS);
    trainer.run(step, &spec, &options()).await.unwrap()
}

fn assert_complete(report: &StepReport) {
    assert_eq!(report.violations, []);
    let counts = (report.delivered, report.duplicated, report.lost);
    assert_eq!(counts, (u64::from(SAMPLES), 0, 0));
}

/// Returns the index of a running daemon other than `except` that owns the step's shard.
async fn owner(cluster: &Cluster, step: u64, except: Option<usize>) -> Option<usize> {
    let log = format!("shard/{TRAINER}/{step}/0");
    for (index, daemon) in cluster.daemons.iter().enumerate() {
        if Some(index) == except {
            continue;
        }
        let url = format!("{}/v1/status", daemon.url());
        let answer = http_client().get(url).timeout(CALL_TIMEOUT).send().await;
        let Ok(answer) = answer else { continue };
        let status: Value = answer.json().await.unwrap_or_default();
        let shards = status["shards"].as_array();
        let owns = shards.is_some_and(|shards| shards.iter().any(|shard| shard["log"] == log));
        if owns {
            return Some(index);
        }
    }
    None
}

/// Waits for an owner while the step runs; returns `None` once the step has ended.
async fn owner_of(
    running: &JoinHandle<StepReport>,
    cluster: &Cluster,
    step: u64,
    except: Option<usize>,
) -> Option<usize> {
    while !running.is_finished() {
        if let Some(index) = owner(cluster, step, except).await {
            return Some(index);
        }
        tokio::time::sleep(POLL).await;
    }
    None
}

/// Starts a step and finds its owner; starts another step if one ended before its owner was found.
async fn start_step(cluster: &Cluster, first: u64) -> (JoinHandle<StepReport>, usize, u64) {
    let mut step = first;
    loop {
        let mut trainer = cluster.trainer(TRAINER);
        let running = tokio::spawn(async move { run_step(&mut trainer, step).await });
        match owner_of(&running, cluster, step, None).await {
            Some(owner) => return (running, owner, step + 1),
            None => assert_complete(&running.await.unwrap()),
        }
        step += 1;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn owners_killed_during_their_steps() {
    let mut cluster = Cluster::start_ready(&ClusterConfig::three_daemons(4))
        .await
        .unwrap();
    let mut next_step = 1;
    for _ in 0..3 {
        let (step, owner, next) = start_step(&cluster, next_step).await;
        next_step = next;
        cluster.daemons[owner].kill();
        assert_complete(&step.await.unwrap());
        cluster.start_daemon(owner).await.unwrap();
        cluster.daemons[owner]
            .wait_until_ready(TIMEOUT)
            .await
            .unwrap();
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn owners_paused_past_their_successors_takeover() {
    let mut cluster = Cluster::start_ready(&ClusterConfig::three_daemons(4))
        .await
        .unwrap();
    let mut next_step = 1;
    for _ in 0..3 {
        let (step, owner, next) = start_step(&cluster, next_step).await;
        next_step = next;
        cluster.daemons[owner].pause();
        owner_of(&step, &cluster, next - 1, Some(owner)).await;
        cluster.daemons[owner].resume();
        assert_complete(&step.await.unwrap());
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn engines_that_cut_answers_and_fail_swaps_during_a_roll() {
    let cluster = Cluster::start_ready(&ClusterConfig::three_daemons(4))
        .await
        .unwrap();
    let engines = &cluster.platform.engines;
    let cut = json!({"cut": "mid-body", "cuts": 20});
    let claim = json!({"swap": "claims-done", "cut": "before-end", "cuts": 20});
    let fails = json!({"swap": "fails", "cut": "before-headers", "cuts": 20});
    for (engine, fault) in engines.iter().zip([&cut, &claim, &fails]) {
        engine.stand_in.set_faults(fault).await.unwrap();
    }
    let mut trainer = cluster.trainer(TRAINER);
    let bundle = cluster.bundle(2, 2);
    let (rolled, first) = tokio::join!(cluster.roll(&bundle), run_step(&mut trainer, 1));
    rolled.unwrap();
    assert_complete(&first);
    let strict = {
        let mut bundle = cluster.bundle(3, 2);
        bundle.pools[0].staleness_bound = 0;
        bundle
    };
    let (rolled, second) = tokio::join!(cluster.roll(&strict), run_step(&mut trainer, 2));
    rolled.unwrap();
    assert_complete(&second);
}

/// Returns the number of requests that engines have started to run.
async fn runs_at_engines(cluster: &Cluster) -> usize {
    let mut runs = 0;
    for engine in &cluster.platform.engines {
        let log: EngineLog = engine.stand_in.log().await.unwrap();
        runs += log.runs.len();
    }
    runs
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_stop_cuts_nothing_off() {
    let mut cluster = Cluster::start_ready(&ClusterConfig::three_daemons(4))
        .await
        .unwrap();
    let url = cluster.daemons[0].url();
    let calls: Vec<_> = (0..12)
        .map(|index| {
            let caller = Caller::new(&url);
            tokio::spawn(async move {
                let prompt = format!("stop {index}");
                caller
                    .complete(MODEL_POOL, &prompt, 300, index % 2 == 0)
                    .await
            })
        })
        .collect();
    while runs_at_engines(&cluster).await == 0 {
        tokio::time::sleep(POLL).await;
    }
    let mut trainer = cluster.trainer(TRAINER);
    let step = tokio::spawn(async move { run_step(&mut trainer, 1).await });
    cluster.daemons[0].terminate();
    cluster.daemons[0].terminate();
    let mut completed = 0;
    for call in calls {
        match call.await.unwrap() {
            Ok(_) => completed += 1,
            Err(LiveError::NotRun { .. }) => {}
            Err(error) => panic!("cut off: {error}"),
        }
    }
    assert!(completed > 0, "no call was in flight at the stop");
    let process = cluster.daemons[0].process.as_mut().unwrap();
    assert!(process.wait(TIMEOUT).await.unwrap().success());
    assert_complete(&step.await.unwrap());
}

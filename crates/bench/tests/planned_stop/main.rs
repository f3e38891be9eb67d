//! A planned stop cuts no request in flight. Checked by the callers' answers and the back ends'
//! logs.

#[path = "../common/mod.rs"]
mod common;
mod connections;
mod stalled_reader;
mod work;

use std::time::Duration;

use common::{assert_not_run, assert_refused};
use connections::Connection;
use ladderstage_bench::cluster::{APPLICATION_POOL, Cluster, Daemon, MODEL_POOL};
use ladderstage_bench::http_client;
use ladderstage_bench::live::{Caller, LiveError};
use ladderstage_bench::load::Load;
use ladderstage_bench::trainer::{PullOptions, SingleAnswer, StepSpec};
use ladderstage_bench::waiting::until;
use reqwest::Method;
use stalled_reader::StalledReader;
use work::{Runs, Work, config, shard_log};

const TIMEOUT: Duration = Duration::from_secs(30);
/// Shorter than the time that callers have to read the end of an answer: idle connections must not
/// delay a stop that long.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);
const STEP: u64 = 1;
/// Time during which a reader stalls after the drain has finished.
const STALL: Duration = Duration::from_secs(4);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn all_kinds_of_work_in_flight() {
    stop_with_work_in_flight(1).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn second_signal_while_work_is_in_flight() {
    stop_with_work_in_flight(2).await;
}

/// Stops the owner of a step's shard, with `signals` signals, while work of all kinds is in flight.
async fn stop_with_work_in_flight(signals: usize) {
    let mut cluster = Cluster::start_ready(&config()).await.unwrap();
    let mut trainer = cluster.trainer("trainer-1");
    let spec = StepSpec::generate(MODEL_POOL, STEP, 16, 60);
    trainer.submit(STEP, &spec, TIMEOUT).await.unwrap();
    let log = shard_log("trainer-1", STEP);
    let all = [0, 1, 2];
    let is_half_done = |committed, in_flight| committed > 0 && in_flight > 0;
    let owner = cluster.wait_for_owner_among(&all, &log, TIMEOUT, |shard| {
        is_half_done(shard.committed, shard.in_flight)
    });
    let stopping = owner.await.unwrap();
    let work = Work::start(&cluster, stopping).await;
    let url = cluster.daemons[stopping].url();
    let mut idle = Connection::open(&url).await;
    idle.get("/healthz").await;
    let mut unused = Connection::open(&url).await;

    for signal in 1..=signals {
        cluster.daemons[stopping].terminate();
        let daemon = &cluster.daemons[stopping];
        let event = ["event=drain_started", "event=stop_in_progress"][signal - 1];
        until(event, TIMEOUT, async || daemon.log().contains(event)).await;
    }
    assert_refuses_new_work(&cluster, &url).await;
    work.assert_completes(&cluster).await;
    let process = cluster.daemons[stopping].process.as_mut().unwrap();
    let status = process.wait(STOP_TIMEOUT).await.unwrap();
    assert_eq!(status.code(), Some(0), "{}", process.log_tail());
    idle.assert_closed().await;
    unused.assert_closed().await;

    let others: Vec<usize> = all.into_iter().filter(|index| *index != stopping).collect();
    trainer.use_daemons(others.iter().map(|index| cluster.daemons[*index].url()));
    let report = trainer.pull(STEP, &spec, &PullOptions::default()).await;
    let report = report.unwrap();
    assert_eq!(report.violations, [], "{report:?}");
    let counts = (report.delivered, report.duplicated, report.lost);
    assert_eq!(counts, (16, 0, 0), "delivered, duplicated, lost");
}

/// Asserts that requests of all kinds are refused as not run, with a `Retry-After` header, and did
/// not run.
async fn assert_refuses_new_work(cluster: &Cluster, url: &str) {
    let caller = Caller::new(url);
    let text = "asked for while stopping";
    assert_not_run(caller.complete(MODEL_POOL, text, 5, false).await);
    assert_not_run(caller.complete(MODEL_POOL, text, 5, true).await);
    let priced = caller.application(APPLICATION_POOL, Method::POST, "price", text);
    assert_not_run(priced.await);
    let spec = StepSpec::generate(MODEL_POOL, STEP, 1, 5);
    let step = format!("{url}/v1/trainers/trainer-2/steps/{STEP}");
    assert_refused(http_client().post(&step).json(&spec), "not-run").await;
    assert_refused(http_client().get(format!("{step}/samples")), "not-run").await;
    let endings = Runs::read(cluster).await.endings(text);
    assert!(endings.is_empty(), "a refused request ran: {endings:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reader_that_stalls_gets_its_complete_answer() {
    let mut cluster = Cluster::start_ready(&config()).await.unwrap();
    let mut reader = StalledReader::with_unsent_end(&mut cluster.daemons[0]).await;
    cluster.daemons[0].terminate();
    let daemon = &cluster.daemons[0];
    let finished = "event=drain_finished";
    until(finished, TIMEOUT, async || daemon.log().contains(finished)).await;
    tokio::time::sleep(STALL).await;
    reader.read_to_end().await;
    let process = cluster.daemons[0].process.as_mut().unwrap();
    let status = process.wait(STOP_TIMEOUT).await.unwrap();
    assert_eq!(status.code(), Some(0), "{}", process.log_tail());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn all_daemons_in_turn_under_load() {
    let mut cluster = Cluster::start_ready(&config()).await.unwrap();
    let urls = cluster.urls();
    let mut load = Load::new();
    for (number, url) in urls.iter().enumerate() {
        load.add_caller(&format!("moving {number}"), &urls);
        load.add_caller(&format!("staying {number}"), std::slice::from_ref(url));
    }
    load.add_trainer(cluster.trainer("trainer-1"));
    for index in 0..cluster.daemons.len() {
        wait_for_work(&cluster.daemons[index]).await;
        let daemon = &mut cluster.daemons[index];
        daemon.terminate();
        let process = daemon.process.as_mut().unwrap();
        let status = process.wait(STOP_TIMEOUT).await.unwrap();
        assert_eq!(status.code(), Some(0), "{}", process.log_tail());
        cluster.start_daemon(index).await.unwrap();
        cluster.wait_until_all_ready().await.unwrap();
        cluster
            .wait_for_replica_set(&[index], 1, TIMEOUT)
            .await
            .unwrap();
        wait_for_work(&cluster.daemons[index]).await;
    }
    let report = load.stop().await;
    let runs = Runs::read(&cluster).await;
    for failure in &report.failures {
        // A connection may break before its request is accepted, as the listener is closed.
        let is_broken = matches!(failure.error, LiveError::Broken(_));
        let endings = runs.endings(&failure.text);
        assert!(
            is_broken && endings.is_empty(),
            "cut off: {failure:?}, ran: {endings:?}"
        );
    }
    for url in &urls {
        assert!(report.completed.contains_key(url), "{:?}", report.completed);
    }
    report.assert_steps_complete();
}

async fn wait_for_work(daemon: &Daemon) {
    until("each daemon has work", TIMEOUT, async || {
        let status = daemon.status().await;
        status.is_ok_and(|status| status.in_flight > 0)
    })
    .await;
}

/// Asserts that a waiting pull was answered, possibly without samples or with a refusal.
fn assert_answered<T: std::fmt::Debug>(answer: &SingleAnswer<T>) {
    match answer {
        SingleAnswer::Success(_) => {}
        SingleAnswer::Refused { status, .. } if status.as_u16() == 503 => {}
        other => panic!("pull in flight: {other:?}"),
    }
}

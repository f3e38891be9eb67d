//! Stand-ins run as processes, can be paused and killed, and end when their handle is dropped.

use std::time::Duration;

use ladderstage_bench::cluster::{Platform, PlatformConfig};
use ladderstage_bench::http_client;
use ladderstage_bench::processes::{Process, ProcessError};
use ladderstage_bench::stand_in::engine::EngineConfig;

const TIMEOUT: Duration = Duration::from_secs(20);

#[tokio::test]
async fn a_platform_of_processes_answers_and_pauses() {
    let folder = tempfile::tempdir().unwrap();
    let config = PlatformConfig {
        engines: vec![EngineConfig::default()],
        applications: vec![Default::default()],
        zones: vec!["bergen-a".to_owned()],
        as_processes: true,
    };
    let mut platform = Platform::start(&config, folder.path()).await.unwrap();
    let url = format!("{}/v1/machines", platform.machine_list.url());
    let machines = http_client()
        .get(url)
        .send()
        .await
        .unwrap()
        .text()
        .await
        .unwrap();
    let engine = &mut platform.engines[0];
    assert!(machines.contains(&engine.proxy.address.to_string()));

    let load = format!("http://{}/v1/load", engine.proxy.address);
    let process = engine.stand_in.process.as_mut().unwrap();
    process.pause();
    let unanswered = http_client().get(&load).timeout(Duration::from_millis(100));
    assert!(unanswered.send().await.is_err());
    process.resume();
    assert!(
        http_client()
            .get(&load)
            .timeout(TIMEOUT)
            .send()
            .await
            .is_ok()
    );
    process.terminate();
    assert!(!process.wait(TIMEOUT).await.unwrap().success());
}

#[tokio::test]
async fn a_process_that_fails_to_start_shows_its_log() {
    let folder = tempfile::tempdir().unwrap();
    let arguments = ["stand-in", "sundial"];
    let mut process =
        Process::start("ladderstage-bench", "wrong", arguments, folder.path()).unwrap();
    match process.address("listening").await {
        Err(ProcessError::Exited { log, .. }) => assert!(log.contains("sundial"), "{log}"),
        other => panic!("{other:?}"),
    }
    let missing = Process::start("no-such-program", "missing", [""], folder.path());
    assert!(matches!(missing, Err(ProcessError::Missing(_))));
}

#[tokio::test]
async fn a_process_that_is_paused_twice_is_paused_once() {
    let folder = tempfile::tempdir().unwrap();
    let arguments = [
        "stand-in",
        "weight-store",
        "--listen",
        "127.0.0.1:0",
        "--newest-version",
        "1",
    ];
    let mut process =
        Process::start("ladderstage-bench", "weights", arguments, folder.path()).unwrap();
    process.address("listening").await.unwrap();
    let paused = tokio::task::spawn_blocking(move || {
        process.pause();
        process.pause();
        process.resume();
        process
    });
    let mut process = paused.await.unwrap();
    assert!(process.exit_status().unwrap().is_none());
}

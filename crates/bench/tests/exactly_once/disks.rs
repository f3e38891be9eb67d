//! Journal replicas whose disks are lost, emptied or corrupted.

use std::fs::{self, File};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

use ladderstage_bench::cluster::{Cluster, ClusterConfig, ClusterError, MODEL_POOL};
use ladderstage_bench::processes::ProcessError;
use ladderstage_bench::trainer::{SingleAnswer, StepSpec};
use reqwest::StatusCode;

use crate::scenario::{STEP, Scenario, TIMEOUT, config, pull_options};

const DATABASE: &str = "journal.redb";
const WATERMARK: &str = "journal.commits";
/// Replica set versions per replacement: a joint set and the final one.
const VERSIONS_PER_REPLACEMENT: u64 = 2;
const PULLS: usize = 5;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn replica_lost_for_good_is_replaced_and_then_another_is_lost() {
    let mut scenario = Scenario::with_submitted_step(&config_with_spare(), 24, 10).await;
    let owner = scenario.wait_for_all_committed().await;
    let runs = scenario.wait_for_idle_engines().await;
    let mut replicas = vec![0, 1, 2];
    replicas.retain(|replica| *replica != owner);
    let (first, second) = (replicas[0], replicas[1]);

    lose_and_replace(&mut scenario, first).await;
    scenario.cluster.daemons[second].kill();

    let report = scenario.pull_all().await;
    scenario.assert_exactly_once(&report);
    scenario.assert_no_runs_since(runs).await;
    let spec = StepSpec::generate(MODEL_POOL, STEP + 1, 24, 10);
    let options = pull_options();
    let next_step = scenario.trainer.run(STEP + 1, &spec, &options);
    let report = next_step.await.unwrap();
    scenario.assert_exactly_once(&report);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn finished_step_is_known_after_all_replicas_that_saw_it_are_lost() {
    let cluster = Cluster::start_ready(&config_with_spare()).await.unwrap();
    let mut scenario = Scenario::new(cluster, 24, 10);
    let (first, second, behind) = (0, 1, 2);
    scenario.cluster.daemons[behind].kill();
    scenario.submit().await;
    let report = scenario.pull_all().await;
    scenario.assert_exactly_once(&report);
    let runs = scenario.wait_for_idle_engines().await;
    scenario.cluster.start_daemon(behind).await.unwrap();
    scenario.cluster.wait_until_all_ready().await.unwrap();

    lose_and_replace(&mut scenario, first).await;
    scenario.cluster.daemons[second].kill();
    scenario.assert_only_first_body_is_accepted().await;
    for daemon in scenario.daemons_except(&[first, second]) {
        let again = scenario.pull_until_final(daemon, None, 8).await;
        let conflict = Some(StatusCode::CONFLICT);
        assert_eq!(again.status(), conflict, "the step has finished: {again:?}");
    }
    scenario.assert_no_runs_since(runs).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn emptied_replica_does_not_count_for_a_majority() {
    let mut held = StepOnTwoReplicas::start().await;
    fs::remove_dir_all(held.folder()).unwrap();
    held.start_damaged().await.expect("an empty folder is used");
    held.assert_nothing_is_decided().await;
    held.assert_complete_with_other_holder().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn database_without_its_last_commits() {
    let mut held = StepOnTwoReplicas::start().await;
    fs::copy(&held.early_database, held.folder().join(DATABASE)).unwrap();
    held.assert_refused_or_complete(DATABASE).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn truncated_database() {
    check_damaged_file(DATABASE, |file, length| file.set_len(length * 3 / 4)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn database_with_an_overwritten_tail() {
    check_damaged_file(DATABASE, |file, length| {
        let garbage = vec![0xa5; length as usize / 2];
        file.write_all_at(&garbage, length - garbage.len() as u64)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn truncated_watermark() {
    check_damaged_file(WATERMARK, |file, length| file.set_len(length - 5)).await;
}

/// Three replicas and a fourth daemon with a spare data folder.
fn config_with_spare() -> ClusterConfig {
    let mut config = config(4);
    config.spares = vec!["daemon-4".to_owned()];
    let replace_after = "replica_replace_after_ms".to_owned();
    config.timing.insert(replace_after, 2_000);
    config
}

/// Kills a replica, deletes its data folder and waits until a spare has replaced it.
async fn lose_and_replace(scenario: &mut Scenario, replica: usize) {
    let rest = scenario.daemons_except(&[replica]);
    let known = scenario.cluster.wait_for_replica_set(&rest, 1, TIMEOUT);
    known.await.unwrap();
    let status = scenario.cluster.daemons[rest[0]].status().await.unwrap();
    let replaced = status.replica_set_version + VERSIONS_PER_REPLACEMENT;
    scenario.cluster.daemons[replica].kill();
    fs::remove_dir_all(data_folder(&scenario.cluster, replica)).unwrap();
    let known = scenario
        .cluster
        .wait_for_replica_set(&rest, replaced, TIMEOUT);
    known.await.unwrap();
}

async fn check_damaged_file(file: &str, damage: impl FnOnce(&File, u64) -> std::io::Result<()>) {
    let mut held = StepOnTwoReplicas::start().await;
    let path = held.folder().join(file);
    let handle = File::options().write(true).open(&path).unwrap();
    let length = handle.metadata().unwrap().len();
    damage(&handle, length).unwrap();
    held.assert_refused_or_complete(file).await;
}

/// A step whose committed samples are stored at two of three replicas only; all three are down.
struct StepOnTwoReplicas {
    scenario: Scenario,
    /// Replica that has the step and whose files are to be damaged.
    damaged: usize,
    /// Replica that has the step.
    holder: usize,
    /// Replica that was down before the step started.
    behind: usize,
    /// Copy of the damaged replica's database from before the step.
    early_database: PathBuf,
    /// Number of engine runs up to the last commit.
    runs: usize,
}

impl StepOnTwoReplicas {
    async fn start() -> Self {
        let cluster = Cluster::start_ready(&config(3)).await.unwrap();
        let mut scenario = Scenario::new(cluster, 24, 10);
        let (damaged, holder, behind) = (0, 1, 2);
        scenario.cluster.daemons[damaged].kill();
        let database = data_folder(&scenario.cluster, damaged).join(DATABASE);
        let early_database = database.with_extension("early");
        fs::copy(&database, &early_database).unwrap();
        scenario.cluster.start_daemon(damaged).await.unwrap();
        scenario.cluster.daemons[behind].kill();
        scenario.submit().await;
        scenario.wait_for_all_committed().await;
        let runs = scenario.wait_for_idle_engines().await;
        for index in [damaged, holder] {
            scenario.cluster.daemons[index].kill();
        }
        Self {
            scenario,
            damaged,
            holder,
            behind,
            early_database,
            runs,
        }
    }

    fn folder(&self) -> PathBuf {
        data_folder(&self.scenario.cluster, self.damaged)
    }

    /// Starts the replica that is behind and the damaged one; the error is the log of a refused
    /// start.
    async fn start_damaged(&mut self) -> Result<(), String> {
        let cluster = &mut self.scenario.cluster;
        cluster.start_daemon(self.behind).await.unwrap();
        match cluster.start_daemon(self.damaged).await {
            Ok(()) => cluster.wait_until_all_ready().await.unwrap(),
            Err(ClusterError::Process(ProcessError::Exited { log, .. })) => return Err(log),
            Err(error) => panic!("{error}"),
        }
        Ok(())
    }

    /// Asserts that the damaged replica refuses to start and names the file, or starts with all
    /// acknowledged data.
    async fn assert_refused_or_complete(&mut self, file: &str) {
        match self.start_damaged().await {
            Ok(()) => self.assert_recovered().await,
            Err(log) => assert!(log.contains(file), "does not name the file:\n{log}"),
        }
        self.assert_complete_with_other_holder().await;
    }

    /// Asserts that without the other holder, hence without a majority, pulls fail and no other
    /// body is accepted.
    async fn assert_nothing_is_decided(&self) {
        let other = StepSpec::generate(MODEL_POOL, STEP, 12, 10);
        for daemon in [self.damaged, self.behind] {
            for _ in 0..PULLS {
                let answer = self.scenario.pull_once(daemon, None, 8).await;
                let unavailable = Some(StatusCode::SERVICE_UNAVAILABLE);
                assert_eq!(answer.status(), unavailable, "{answer:?}");
            }
            let url = self.scenario.cluster.daemons[daemon].url();
            let submitted = self.scenario.trainer.submit_at(&url, STEP, &other).await;
            assert!(!matches!(submitted, SingleAnswer::Success(())));
        }
    }

    /// Asserts that the damaged replica and the one that is behind have all samples.
    async fn assert_recovered(&self) {
        let answer = self.scenario.pull_samples(self.damaged, None, 8).await;
        assert_eq!(answer.samples.len(), 8);
        self.scenario.assert_no_runs_since(self.runs).await;
    }

    async fn assert_complete_with_other_holder(&mut self) {
        let started = self.scenario.cluster.start_daemon(self.holder);
        started.await.unwrap();
        let report = self.scenario.pull_all().await;
        self.scenario.assert_exactly_once(&report);
        self.scenario.assert_no_runs_since(self.runs).await;
    }
}

fn data_folder(cluster: &Cluster, daemon: usize) -> PathBuf {
    let settings = &cluster.daemons[daemon].settings;
    settings.data_folder.as_deref().map(Path::to_owned).unwrap()
}

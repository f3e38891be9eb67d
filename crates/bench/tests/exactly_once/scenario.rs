//! A cluster with one trainer and one step, and the engines' runs of it.

use std::time::{Duration, Instant};

use ladderstage::ids::ShardKey;
use ladderstage_bench::cluster::{Cluster, ClusterConfig, MODEL_POOL, OwnedShard, Timing};
use ladderstage_bench::stand_in::Ending;
use ladderstage_bench::stand_in::engine::{EngineLog, Run};
use ladderstage_bench::trainer::{
    PullOptions, SamplesAnswer, SingleAnswer, StepChecker, StepReport, StepSpec, Trainer,
};
use tokio::task::JoinHandle;

pub const TIMEOUT: Duration = Duration::from_secs(30);
pub const STEP: u64 = 1;
pub const TRAINER: &str = "trainer-1";
const ENGINES: usize = 2;
/// Long poll time of a pull.
const WAIT: Duration = Duration::from_millis(500);
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Returns a configuration with a failure detection time of about a second.
pub fn config(daemons: usize) -> ClusterConfig {
    let timing = [
        ("probe_interval_ms", 300),
        ("suspicion_ms", 900),
        ("owner_heartbeat_ms", 150),
        ("owner_timeout_ms", 900),
    ];
    let timing = timing.map(|(name, value)| (name.to_owned(), value));
    ClusterConfig {
        timing: Timing::from(timing),
        ..ClusterConfig::with_daemons(daemons, ENGINES)
    }
}

/// A running cluster and a trainer with a step of one shard.
pub struct Scenario {
    pub cluster: Cluster,
    pub trainer: Trainer,
    pub spec: StepSpec,
}

impl Scenario {
    /// Starts a cluster and submits a step of this many samples, most of them of `tokens` tokens.
    pub async fn with_submitted_step(config: &ClusterConfig, samples: u32, tokens: u32) -> Self {
        let cluster = Cluster::start_ready(config).await.unwrap();
        let mut scenario = Self::new(cluster, samples, tokens);
        scenario.submit().await;
        scenario
    }

    /// Creates a scenario whose step is not submitted yet.
    pub fn new(cluster: Cluster, samples: u32, tokens: u32) -> Self {
        Self {
            trainer: cluster.trainer(TRAINER),
            spec: StepSpec::generate(MODEL_POOL, STEP, samples, tokens),
            cluster,
        }
    }

    /// Submits the step through any daemon.
    pub async fn submit(&mut self) {
        let submitted = self.trainer.submit(STEP, &self.spec, TIMEOUT);
        submitted.await.unwrap();
    }

    /// Returns the indices of all other daemons.
    pub fn daemons_except(&self, excluded: &[usize]) -> Vec<usize> {
        let all = 0..self.cluster.daemons.len();
        all.filter(|index| !excluded.contains(index)).collect()
    }

    /// Waits until one of these daemons owns the shard and the shard meets the condition.
    pub async fn wait_for_owner_among(
        &self,
        daemons: &[usize],
        condition: impl Fn(&OwnedShard) -> bool,
    ) -> usize {
        let log = shard_log();
        let owner = self
            .cluster
            .wait_for_owner_among(daemons, &log, TIMEOUT, condition);
        owner.await.unwrap()
    }

    /// Waits until any daemon owns the shard and the shard meets the condition.
    pub async fn wait_for_owner(&self, condition: impl Fn(&OwnedShard) -> bool) -> usize {
        self.wait_for_owner_among(&self.daemons_except(&[]), condition)
            .await
    }

    /// Waits until every sample is committed; returns the owner.
    pub async fn wait_for_all_committed(&self) -> usize {
        let slots = self.spec.samples.len();
        self.wait_for_owner(|shard| shard.committed == slots).await
    }

    /// Pulls once, without retries.
    pub async fn pull_once(
        &self,
        daemon: usize,
        after: Option<&str>,
        max: u32,
    ) -> SingleAnswer<SamplesAnswer> {
        let url = self.cluster.daemons[daemon].url();
        self.trainer.pull_at(&url, STEP, after, max, WAIT).await
    }

    /// Pulls once from the beginning, without retries, in the background.
    pub fn pull_in_background(
        &self,
        daemon: usize,
        max: u32,
    ) -> JoinHandle<SingleAnswer<SamplesAnswer>> {
        let url = self.cluster.daemons[daemon].url();
        let trainer = self.cluster.trainer(TRAINER);
        tokio::spawn(async move { trainer.pull_at(&url, STEP, None, max, WAIT).await })
    }

    /// Repeats a pull until the answer is not a server error.
    pub async fn pull_until_final(
        &self,
        daemon: usize,
        after: Option<&str>,
        max: u32,
    ) -> SingleAnswer<SamplesAnswer> {
        let start = Instant::now();
        loop {
            let answer = self.pull_once(daemon, after, max).await;
            match answer.status() {
                Some(status) if !status.is_server_error() => return answer,
                _ => assert!(start.elapsed() < TIMEOUT, "no answer in time: {answer:?}"),
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Pulls from this daemon until samples follow the cursor.
    pub async fn pull_samples(
        &self,
        daemon: usize,
        after: Option<&str>,
        max: u32,
    ) -> SamplesAnswer {
        let start = Instant::now();
        loop {
            match self.pull_until_final(daemon, after, max).await {
                SingleAnswer::Success(answer) if !answer.samples.is_empty() => return answer,
                SingleAnswer::Success(_) => {
                    assert!(start.elapsed() < TIMEOUT, "no samples in time")
                }
                other => panic!("finally refused: {other:?}"),
            }
        }
    }

    pub fn checker(&self) -> StepChecker {
        self.trainer.checker(STEP, &self.spec)
    }

    /// Pulls the step from its beginning to its end.
    pub async fn pull_all(&mut self) -> StepReport {
        let checker = self.checker();
        self.pull_rest(checker, None).await
    }

    /// Pulls the step from the cursor to its end, dropping some answers.
    pub async fn pull_rest(&mut self, checker: StepChecker, cursor: Option<String>) -> StepReport {
        let options = pull_options();
        let rest = self.trainer.pull_from(STEP, checker, cursor, &options);
        rest.await.unwrap()
    }

    /// Asserts that each slot was delivered once and nothing else was.
    pub fn assert_exactly_once(&self, report: &StepReport) {
        assert_eq!(report.violations, [], "{report:?}");
        let counts = (report.delivered, report.duplicated, report.lost);
        let slots = self.spec.samples.len() as u64;
        assert_eq!(counts, (slots, 0, 0), "delivered, duplicated, lost");
    }

    /// Waits until the engines are idle; returns their number of runs.
    pub async fn wait_for_idle_engines(&self) -> usize {
        let start = Instant::now();
        loop {
            let runs = self.runs().await;
            if runs.iter().all(|run| run.ending != Ending::Running) {
                return runs.len();
            }
            assert!(start.elapsed() < TIMEOUT, "still running: {runs:?}");
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Asserts that the engines have run nothing since they had this many runs, so that no
    /// committed sample was lost.
    pub async fn assert_no_runs_since(&self, runs_before: usize) {
        let runs = self.runs().await;
        let since: Vec<&Run> = runs.iter().skip(runs_before).collect();
        assert!(since.is_empty(), "runs since then: {since:?}");
    }

    /// Returns the runs in the engines' logs.
    async fn runs(&self) -> Vec<Run> {
        let mut runs = Vec::new();
        for engine in &self.cluster.platform.engines {
            let log: EngineLog = engine.stand_in.log().await.unwrap();
            runs.extend(log.runs);
        }
        runs.sort_by_key(|run| run.started_ms);
        runs
    }
}

/// Returns options with small answers, one in three of them dropped, and a daemon change after each
/// pull.
pub fn pull_options() -> PullOptions {
    PullOptions {
        max: 5,
        drop_every: 3,
        rotates_daemons: true,
        ..PullOptions::default()
    }
}

/// Returns the name of the journal log of the step's only shard.
pub fn shard_log() -> String {
    let key = ShardKey {
        trainer: TRAINER.to_owned(),
        step: STEP,
        shard: 0,
    };
    key.log()
}

/// Returns the slot and attempt of each sample in an answer.
pub fn attempts(answer: &SamplesAnswer) -> Vec<(u32, u32)> {
    let samples = answer.samples.iter();
    samples
        .map(|sample| (sample.slot, sample.attempt))
        .collect()
}

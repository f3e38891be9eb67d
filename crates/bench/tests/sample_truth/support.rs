//! Helpers beyond the shared scenario.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use ladderstage::bundle::Bundle;
use ladderstage_bench::cluster::{Cluster, ClusterConfig, Operator};
use ladderstage_bench::http_client;
use ladderstage_bench::proxy::Faults;
use ladderstage_bench::stand_in::engine::{EngineFaults, EngineLog, Run};
use ladderstage_bench::stand_in::{Ending, LoadReport};
use ladderstage_bench::text::Segment;
use ladderstage_bench::trainer::{Sample, SamplesAnswer, SingleAnswer, StepChecker, StepReport};
use tokio::task::JoinHandle;

use crate::scenario::{STEP, Scenario, TIMEOUT, config};

/// Maximum number of samples per answer.
pub const MAX: u32 = 8;
/// Revision and weight version of the last bundle that [`Scenario::roll_beyond_staleness_bound`] rolls.
pub const BEYOND_BOUND: u64 = 3;
/// Oldest weight version that this bundle allows.
pub const OLDEST_ADMITTED: u64 = 2;
/// Maximum age of bundle evidence in [`slow_takeover_config`].
const EVIDENCE_BOUND: Duration = Duration::from_millis(1_500);
/// Resets new connections.
pub const REFUSE: Faults = Faults {
    refuse: true,
    ..NO_FAULTS
};
/// Forwards nothing and loses nothing.
pub const FREEZE: Faults = Faults {
    freeze: true,
    ..NO_FAULTS
};
/// Drops all bytes, and resets the connections that lost some when the fault ends.
pub const SWALLOW: Faults = Faults {
    swallow_to_target: true,
    swallow_from_target: true,
    ..NO_FAULTS
};
const NO_FAULTS: Faults = Faults {
    delay_ms: 0,
    refuse: false,
    freeze: false,
    swallow_to_target: false,
    swallow_from_target: false,
    cut_after_bytes: None,
};
const POLL: Duration = Duration::from_millis(20);

/// Returns a configuration of three daemons that do not take over from a paused owner, so that the
/// epoch does not stop its deliveries.
pub fn slow_takeover_config() -> ClusterConfig {
    let mut config = config(3);
    let evidence_bound = EVIDENCE_BOUND.as_millis() as u64;
    for (name, value) in [
        ("bundle_evidence_bound_ms", evidence_bound),
        ("owner_timeout_ms", 60_000),
    ] {
        config.timing.insert(name.to_owned(), value);
    }
    config
}

/// Waits until the bundle evidence that a daemon had at `since` is too old for deliveries.
pub async fn wait_until_evidence_expires(since: Instant) {
    let margin = EVIDENCE_BOUND / 2;
    tokio::time::sleep_until((since + EVIDENCE_BOUND + margin).into()).await;
}

pub async fn until(what: &str, condition: impl AsyncFn() -> bool) {
    let start = Instant::now();
    while !condition().await {
        assert!(start.elapsed() < TIMEOUT, "timed out waiting until {what}");
        tokio::time::sleep(POLL).await;
    }
}

/// Returns the weight version of each token.
pub fn token_versions(segments: &[Segment]) -> Vec<u64> {
    let tokens = segments
        .iter()
        .flat_map(|segment| std::iter::repeat_n(segment.weight_version, segment.tokens as usize));
    tokens.collect()
}

/// Asserts that no sample of the answer has a token of an older version.
pub fn assert_none_older(answer: &SingleAnswer<SamplesAnswer>, oldest_admitted: u64) {
    let SingleAnswer::Success(answer) = answer else {
        return;
    };
    for sample in &answer.samples {
        let versions = token_versions(&sample.segments);
        let is_not_stale = versions.iter().all(|version| *version >= oldest_admitted);
        assert!(
            is_not_stale,
            "slot {} attempt {} holds {:?} under bundle {}",
            sample.slot, sample.attempt, sample.segments, answer.bundle_revision
        );
    }
}

impl Scenario {
    /// Like [`Scenario::with_submitted_step`], without submitting the step.
    pub async fn with_unsubmitted_step(config: &ClusterConfig, samples: u32, tokens: u32) -> Self {
        let cluster = Cluster::start_ready(config).await.unwrap();
        Self::new(cluster, samples, tokens)
    }

    pub async fn set_engine_faults(&self, engine: usize, faults: EngineFaults) {
        let stand_in = &self.cluster.platform.engines[engine].stand_in;
        stand_in.set_faults(&faults).await.unwrap();
    }

    pub async fn set_all_engine_faults(&self, faults: &EngineFaults) {
        for engine in 0..self.cluster.platform.engines.len() {
            self.set_engine_faults(engine, faults.clone()).await;
        }
    }

    pub async fn engine_log(&self, engine: usize) -> EngineLog {
        let stand_in = &self.cluster.platform.engines[engine].stand_in;
        stand_in.log().await.unwrap()
    }

    /// Returns the weight versions with which an engine generated tokens.
    pub async fn versions_run(&self, engine: usize) -> BTreeSet<u64> {
        let log = self.engine_log(engine).await;
        let segments = log.runs.iter().flat_map(|run| &run.segments);
        segments.map(|segment| segment.weight_version).collect()
    }

    /// Waits until an engine reports this version as held.
    pub async fn wait_for_reported_version(&self, engine: usize, weight_version: u64) {
        let stand_in = &self.cluster.platform.engines[engine].stand_in;
        let url = format!("{}/v1/load", stand_in.url());
        until("the engine reports the version", async || {
            let answer = http_client().get(&url).send().await.unwrap();
            let report: LoadReport = answer.json().await.unwrap();
            report.weight_version == Some(weight_version)
        })
        .await;
    }

    /// Waits until an engine has generated this many tokens of a running sample.
    pub async fn wait_for_tokens(&self, engine: usize, tokens: u64) {
        until("the engine has partly generated a sample", async || {
            let log = self.engine_log(engine).await;
            let is_partly_generated =
                |run: &Run| run.ending == Ending::Running && run.end_token >= tokens;
            log.runs.iter().any(is_partly_generated)
        })
        .await;
    }

    /// Waits until a daemon has logged this text.
    pub async fn wait_for_log(&self, text: &str) {
        let daemons = &self.cluster.daemons;
        until(text, async || {
            daemons.iter().any(|daemon| daemon.log().contains(text))
        })
        .await;
    }

    /// Rolls a bundle through these daemons and waits until it is in force at them.
    pub async fn roll_among(&self, daemons: &[usize], bundle: &Bundle) {
        let urls = daemons
            .iter()
            .map(|index| self.cluster.daemons[*index].url());
        let operator = Operator {
            daemons: urls.collect(),
            ..self.cluster.operator()
        };
        operator.roll(bundle, TIMEOUT).await.unwrap();
        let in_force = operator.wait_until_in_force_everywhere(bundle.revision, TIMEOUT);
        in_force.await.unwrap();
    }

    /// Rolls weight versions 2 and 3 through these daemons, which makes version 1 too old for the
    /// staleness bound of 1. A single bundle must not raise the version by more than its bound.
    pub async fn roll_beyond_staleness_bound_among(&self, daemons: &[usize]) {
        for revision in 2..=BEYOND_BOUND {
            let bundle = self.cluster.bundle(revision, revision);
            self.roll_among(daemons, &bundle).await;
        }
    }

    /// Like [`Scenario::roll_beyond_staleness_bound_among`], through all daemons.
    pub async fn roll_beyond_staleness_bound(&self) {
        self.roll_beyond_staleness_bound_among(&self.daemons_except(&[]))
            .await;
    }

    /// Pulls the step from the cursor to its end and asserts that each slot is delivered once and
    /// none is stale.
    pub async fn assert_rest_is_not_stale(&mut self, checker: StepChecker, cursor: Option<String>) {
        let report = self.pull_rest(checker, cursor).await;
        self.assert_exactly_once(&report);
        assert_eq!(report.bundle_revisions, [BEYOND_BOUND].into());
        let oldest = report.weight_versions.first();
        assert!(oldest >= Some(&OLDEST_ADMITTED), "{report:?}");
    }

    /// Rolls a bundle and waits until it is in force everywhere.
    pub async fn roll(&self, bundle: &Bundle) {
        self.roll_among(&self.daemons_except(&[]), bundle).await;
    }

    /// Pulls once from the beginning with this long poll time, without retries, in the background.
    pub fn long_poll_in_background(
        &self,
        daemon: usize,
        wait: Duration,
    ) -> JoinHandle<SingleAnswer<SamplesAnswer>> {
        let url = self.cluster.daemons[daemon].url();
        let trainer = self.cluster.trainer(self.trainer.name());
        tokio::spawn(async move { trainer.pull_at(&url, STEP, None, MAX, wait).await })
    }

    /// Pulls the step to its end; returns the samples and the report.
    pub async fn pull_all_samples(&self) -> (Vec<Sample>, StepReport) {
        let start = Instant::now();
        let mut checker = self.checker();
        let mut samples = Vec::new();
        let mut cursor = None;
        loop {
            let asked_at = Instant::now();
            let answer = match self.pull_once(0, cursor.as_deref(), MAX).await {
                SingleAnswer::Success(answer) => answer,
                other => {
                    assert!(
                        start.elapsed() < TIMEOUT,
                        "step did not finish in time: {other:?}"
                    );
                    tokio::time::sleep(POLL).await;
                    continue;
                }
            };
            let is_end = answer.complete && answer.samples.is_empty();
            cursor = Some(answer.cursor.clone());
            samples.extend(answer.samples.iter().cloned());
            checker.add_answer(answer, asked_at);
            if is_end {
                return (samples, checker.finish());
            }
            assert!(
                start.elapsed() < TIMEOUT,
                "timed out at {}",
                checker.progress()
            );
        }
    }

    /// Returns the engines' runs of this attempt, in token order.
    pub async fn runs_of(&self, sample: &Sample) -> Vec<Run> {
        let prefix = format!(
            "{}/{}/{}/{}/",
            sample.trainer, sample.step, sample.slot, sample.attempt
        );
        let mut runs = Vec::new();
        for engine in 0..self.cluster.platform.engines.len() {
            let log = self.engine_log(engine).await;
            runs.extend(
                log.runs
                    .into_iter()
                    .filter(|run| run.request_id.starts_with(&prefix)),
            );
        }
        runs.sort_by_key(|run| (run.first_token, run.end_token));
        runs
    }

    /// Asserts that each token's label is the version with which an engine's log says it was
    /// generated.
    pub async fn assert_labels_match_runs(&self, samples: &[Sample]) {
        for sample in samples {
            let mut generated = Vec::new();
            let runs = self.runs_of(sample).await;
            for run in &runs {
                generated.truncate(run.first_token as usize);
                generated.extend(token_versions(&run.segments));
            }
            let named = token_versions(&sample.segments);
            assert_eq!(named, generated, "slot {}: {runs:?}", sample.slot);
        }
    }
}

//! Demo in one process: stand-ins, three nodes, live callers, a trainer, and a bundle that is
//! rolled under load.

mod callers;
mod nodes;
mod report;

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::cluster::{
    APPLICATION_POOL, Backend, ClusterConfig, ClusterError, MODEL_POOL, Operator, Platform,
    PlatformConfig, PoolNames, test_bundle,
};
use crate::trainer::{BundleRequirements, PullOptions, StepSpec, Trainer, TrainerError};
use callers::DemoCaller;
use nodes::Nodes;
pub use report::DemoReport;

const ENGINES: usize = 4;
const CALLERS: usize = 4;
const SAMPLES: u32 = 64;
const TOKENS: u32 = 40;
const TRAINER: &str = "fitting-notes";
const START_TIMEOUT: Duration = Duration::from_secs(10);
const STEP_TIMEOUT: Duration = Duration::from_secs(10);
/// Time limit of the demo.
const TIMEOUT: Duration = Duration::from_secs(28);

/// Error of the demo itself.
#[derive(Debug, thiserror::Error)]
pub enum DemoError {
    /// A stand-in or a call of the operator failed.
    #[error("{0}")]
    Cluster(#[from] ClusterError),
    /// The temporary folder could not be created.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    #[error("invalid settings: {0}")]
    Settings(String),
    #[error("node did not start: {0}")]
    Node(String),
    /// A step did not finish.
    #[error("step did not finish: {0}")]
    Trainer(#[from] TrainerError),
    /// The demo exceeded its time limit.
    #[error("demo did not finish within {} s", TIMEOUT.as_secs())]
    TimedOut,
}

/// Runs the demo.
///
/// # Errors
/// If the demo itself fails; violated guarantees are in the report.
pub async fn run() -> Result<DemoReport, DemoError> {
    let start = Instant::now();
    let running = tokio::time::timeout(TIMEOUT, run_without_timeout());
    let mut report = running.await.map_err(|_| DemoError::TimedOut)??;
    report.seconds = start.elapsed().as_secs_f64();
    Ok(report)
}

async fn run_without_timeout() -> Result<DemoReport, DemoError> {
    let folder = tempfile::tempdir()?;
    let platform = Platform::start(&platform_config(), folder.path()).await?;
    let nodes = Nodes::start(&platform, folder.path()).await?;
    let scenario = Scenario {
        operator: Operator {
            daemons: nodes.urls(),
            requirements: BundleRequirements::default(),
        },
        platform,
    };
    let report = scenario.run().await?;
    nodes.stop().await;
    Ok(report)
}

fn platform_config() -> PlatformConfig {
    let config = ClusterConfig::three_daemons(ENGINES);
    PlatformConfig {
        engines: config.engines,
        applications: config.applications,
        zones: vec!["bergen-a".to_owned(), "bergen-b".to_owned()],
        as_processes: false,
    }
}

struct Scenario {
    operator: Operator,
    platform: Platform,
}

impl Scenario {
    async fn run(&self) -> Result<DemoReport, DemoError> {
        self.roll(1, 1).await?;
        let (stop, stopped) = watch::channel(false);
        let (seen, mut seen_versions) = watch::channel(BTreeSet::new());
        let mut callers = self.start_callers(&stopped, &seen);

        let mut report = DemoReport::default();
        let mut trainer = self.trainer();
        // The roll overlaps the first step; the second step runs on the new version.
        let (first, rolled) = tokio::join!(
            run_step(&mut trainer, 1),
            self.roll_after_first_version(&mut seen_versions)
        );
        rolled?;
        report.add_step(&first?);
        report.add_step(&run_step(&mut trainer, 2).await?);

        wait_for(&mut seen_versions, 2).await;
        let _ = stop.send(true);
        while let Some(caller) = callers.join_next().await {
            report.merge(caller.unwrap_or_default());
        }
        report.bundle_revision = self.revision_everywhere().await?;
        check_versions(&mut report);
        Ok(report)
    }

    async fn roll(&self, revision: u64, weight_version: u64) -> Result<(), DemoError> {
        let names = |pool: &str, backends: &[Backend]| PoolNames {
            pool: pool.to_owned(),
            backends: backends
                .iter()
                .map(|backend| backend.name.clone())
                .collect(),
        };
        let model = names(MODEL_POOL, &self.platform.engines);
        let application = names(APPLICATION_POOL, &self.platform.applications);
        let bundle = test_bundle(revision, weight_version, model, application);
        self.operator.roll(&bundle, START_TIMEOUT).await?;
        self.operator
            .wait_until_in_force_everywhere(revision, START_TIMEOUT)
            .await?;
        Ok(())
    }

    /// Rolls the second bundle once live callers have received version 1.
    async fn roll_after_first_version(
        &self,
        seen_versions: &mut watch::Receiver<BTreeSet<u64>>,
    ) -> Result<(), DemoError> {
        wait_for(seen_versions, 1).await;
        self.roll(2, 2).await
    }

    fn start_callers(
        &self,
        stopped: &watch::Receiver<bool>,
        seen: &watch::Sender<BTreeSet<u64>>,
    ) -> JoinSet<DemoReport> {
        let mut callers = JoinSet::new();
        for index in 0..CALLERS {
            let daemon = &self.operator.daemons[index % self.operator.daemons.len()];
            let caller = DemoCaller::new(index, daemon, seen.clone());
            callers.spawn(caller.run(stopped.clone()));
        }
        callers
    }

    fn trainer(&self) -> Trainer {
        let daemons = self.operator.daemons.clone();
        Trainer::new(TRAINER, daemons, self.operator.requirements.clone())
    }

    /// Returns the lowest revision in force at any daemon.
    async fn revision_everywhere(&self) -> Result<u64, DemoError> {
        let mut lowest = u64::MAX;
        for daemon in &self.operator.daemons {
            let current = crate::cluster::current_bundle(daemon).await?;
            lowest = lowest.min(current.revision);
        }
        Ok(lowest)
    }
}

async fn run_step(
    trainer: &mut Trainer,
    step: u64,
) -> Result<crate::trainer::StepReport, TrainerError> {
    let spec = StepSpec::generate(MODEL_POOL, step, SAMPLES, TOKENS);
    let options = PullOptions {
        max: 8,
        drop_every: 4,
        rotates_daemons: true,
        deadline: STEP_TIMEOUT,
        ..PullOptions::default()
    };
    trainer.run(step, &spec, &options).await
}

/// Waits until live callers have received the version; limited by the demo's time limit.
async fn wait_for(seen_versions: &mut watch::Receiver<BTreeSet<u64>>, weight_version: u64) {
    let seen = seen_versions.wait_for(|seen| seen.contains(&weight_version));
    // The sender outlives this call.
    let _ = seen.await;
}

/// Checks that both versions were received and that the second bundle is in force.
fn check_versions(report: &mut DemoReport) {
    if !report.weight_versions_seen.is_superset(&[1, 2].into()) {
        let seen = format!("{:?}", report.weight_versions_seen);
        report
            .violations
            .push(format!("only weight versions {seen} were received"));
    }
    if report.bundle_revision != 2 {
        let text = format!("bundle {} in force instead of 2", report.bundle_revision);
        report.violations.push(text);
    }
}

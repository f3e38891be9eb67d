//! Fault injection with seeded random faults on real daemons and stand-ins under load. Results are
//! checked against the logs of stand-ins and callers, not against the daemons' own statements.

mod checker;
mod draw;
mod evidence;
mod fault;
mod faults;
mod load;
mod plan;
mod recovery;
mod report;
mod violation;

use std::path::Path;
use std::time::{Duration, Instant};

use crate::cluster::{Cluster, ClusterConfig, ClusterError, DaemonPlan};
use evidence::{BackendLogs, Observations, Recorder};
pub use evidence::{Outcome, RequestKind};
pub use fault::{ApplicationFault, EngineFault, Fault, KeyValueFault, Layout, LinkFault};
use faults::Injector;
use load::{BundleRoller, Load};
pub use plan::{Action, Plan, PlannedAction, PlannedFault};
pub use report::ChaosReport;
pub use violation::{Guarantee, Violation};

/// Minimum length of a run, in seconds.
pub const MIN_SECONDS: u64 = 8;
/// Fault-free time at the end of a run.
const FAULT_FREE_TIME: Duration = Duration::from_secs(5);
/// Time for steps to complete after the load has ended.
const STEP_GRACE: Duration = Duration::from_secs(60);
const ENGINES: usize = 4;
/// Zone of each daemon. The last daemon has no data folder.
const ZONES: [&str; 4] = ["bergen-a", "bergen-b", "forde", "bergen-a"];

/// Parameters of a run.
#[derive(Debug, Clone, Copy)]
pub struct ChaosConfig {
    /// Seed of the faults and the load.
    pub seed: u64,
    /// Length of the load.
    pub length: Duration,
}

/// Reason why a run gave no result.
#[derive(Debug, thiserror::Error)]
pub enum ChaosError {
    /// The cluster could not be started, or its logs could not be read.
    #[error("{0}")]
    Cluster(#[from] ClusterError),
    /// A log file could not be written.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// Logs could not be serialized.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
}

/// Runs load and faults, waits for recovery, and checks all guarantees.
///
/// # Errors
/// If the run itself fails, as opposed to a guarantee.
pub async fn run(config: &ChaosConfig) -> Result<ChaosReport, ChaosError> {
    let cluster_config = cluster_config();
    let plan = Plan::new(
        config.seed,
        config.length.saturating_sub(FAULT_FREE_TIME),
        &layout(&cluster_config),
    );
    let cluster = Cluster::start_ready(&cluster_config).await?;
    let recorder = Recorder::default();
    let roller = BundleRoller::new(config.seed, &cluster, &recorder);
    let start = Instant::now();
    let step_timeout = config.length + STEP_GRACE;
    let load = Load::start(config.seed, &cluster, &roller, &recorder, step_timeout);
    let mut injector = Injector::new(cluster, cluster_config);
    if let Err(error) = injector.run(&plan).await {
        recorder.record_violation(
            Guarantee::Recovery,
            format!("could not start or end a fault: {error}"),
        );
    }
    tokio::time::sleep(config.length.saturating_sub(start.elapsed())).await;
    load.stop();
    recovery::check(&injector.cluster, &roller, &recorder).await;
    load.finish().await;
    check_daemons(&mut injector.cluster, &recorder);

    let logs = injector.backend_logs().await?;
    let mut observations = recorder.take();
    observations
        .violations
        .extend(checker::check_all(&observations.requests, &logs));
    let log_folder = keep_logs(&mut injector.cluster, &plan, &observations, &logs)?;
    let mut report = ChaosReport::new(config.seed, config.length.as_secs(), &plan, observations);
    report.logs = log_folder;
    Ok(report)
}

fn cluster_config() -> ClusterConfig {
    let daemons = ZONES.iter().enumerate().map(|(index, zone)| DaemonPlan {
        node: format!("daemon-{}", index + 1),
        zone: (*zone).to_owned(),
        is_replica: index + 1 < ZONES.len(),
    });
    ClusterConfig {
        daemons: daemons.collect(),
        stand_ins_as_processes: true,
        ..ClusterConfig::with_daemons(ZONES.len(), ENGINES)
    }
}

/// Returns the zone index of each daemon.
fn zones_of(config: &ClusterConfig) -> Vec<usize> {
    let zones: Vec<&str> = config
        .daemons
        .iter()
        .map(|plan| plan.zone.as_str())
        .collect();
    let index = |zone: &&str| zones.iter().position(|other| other == zone);
    zones.iter().filter_map(index).collect()
}

fn layout(config: &ClusterConfig) -> Layout {
    Layout {
        zones: zones_of(config),
        engines: config.engines.len(),
        applications: config.applications.len(),
    }
}

/// Checks that all daemons still run and that none has panicked.
fn check_daemons(cluster: &mut Cluster, recorder: &Recorder) {
    for daemon in &mut cluster.daemons {
        let name = daemon.name().to_owned();
        let Some(process) = &mut daemon.process else {
            continue;
        };
        if let Ok(Some(status)) = process.exit_status() {
            let evidence = format!("{name} exited with {status}:\n{}", process.log_tail());
            recorder.record_violation(Guarantee::NoCrash, evidence);
        }
    }
    for daemon in &cluster.daemons {
        let path = cluster.folder().join(format!("{}.log", daemon.name()));
        let log = std::fs::read(path).unwrap_or_default();
        let log = String::from_utf8_lossy(&log);
        for line in log.lines().filter(|line| line.contains("panicked at")) {
            let evidence = format!("{}: {line}", daemon.name());
            recorder.record_violation(Guarantee::NoCrash, evidence);
        }
    }
}

/// Keeps the logs if a guarantee was violated, and returns their folder.
fn keep_logs(
    cluster: &mut Cluster,
    plan: &Plan,
    observations: &Observations,
    logs: &BackendLogs,
) -> Result<Option<std::path::PathBuf>, ChaosError> {
    if observations.violations.is_empty() {
        return Ok(None);
    }
    cluster.keep_folder();
    let folder = cluster.folder();
    write_json(&folder.join("plan.json"), plan)?;
    write_json(&folder.join("callers.json"), observations)?;
    write_json(&folder.join("back-ends.json"), logs)?;
    Ok(Some(folder.to_owned()))
}

fn write_json(path: &Path, value: &impl serde::Serialize) -> Result<(), ChaosError> {
    std::fs::write(path, serde_json::to_vec_pretty(value)?)?;
    Ok(())
}

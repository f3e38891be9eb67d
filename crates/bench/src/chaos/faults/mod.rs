//! Applies a fault plan to a cluster.

mod applications;
mod daemons;
mod engines;
mod links;
mod services;

use std::time::Instant;

use super::evidence::BackendLogs;
use super::fault::{EngineFault, Fault};
use super::plan::{Action, Plan};
use crate::cluster::{Cluster, ClusterConfig, ClusterError};

/// Starts and ends faults on a cluster.
pub(super) struct Injector {
    pub(super) cluster: Cluster,
    config: ClusterConfig,
    /// Logs of back ends that have exited.
    logs_of_exited: BackendLogs,
}

impl Injector {
    pub(super) fn new(cluster: Cluster, config: ClusterConfig) -> Self {
        Self {
            cluster,
            config,
            logs_of_exited: BackendLogs::default(),
        }
    }

    /// Runs the plan. All faults have ended when it returns.
    ///
    /// # Errors
    /// If a fault could not be started or ended.
    pub(super) async fn run(&mut self, plan: &Plan) -> Result<(), ClusterError> {
        let start = Instant::now();
        for planned in plan.actions() {
            let early = planned.at.saturating_sub(start.elapsed());
            tokio::time::sleep(early).await;
            log::info!(
                "event=fault ms={} action={:?} fault={:?}",
                start.elapsed().as_millis(),
                planned.action,
                planned.fault
            );
            match planned.action {
                Action::Begin => self.start_fault(&planned.fault).await?,
                Action::End => self.end_fault(&planned.fault).await?,
            }
        }
        Ok(())
    }

    /// Returns the logs of all back ends, including those that have exited.
    pub(super) async fn backend_logs(&self) -> Result<BackendLogs, ClusterError> {
        let mut logs = self.logs_of_exited.clone();
        for engine in &self.cluster.platform.engines {
            logs.add_engine(&engine.name, engine.stand_in.log().await?);
        }
        for application in &self.cluster.platform.applications {
            logs.add_application(&application.name, application.stand_in.log().await?);
        }
        Ok(logs)
    }

    async fn start_fault(&mut self, fault: &Fault) -> Result<(), ClusterError> {
        match fault {
            Fault::DaemonKilled(daemon) => self.cluster.daemons[*daemon].kill(),
            Fault::DaemonPaused(daemon) => self.cluster.daemons[*daemon].pause(),
            Fault::DaemonTerminated(daemon) => self.cluster.daemons[*daemon].terminate(),
            Fault::AllDaemonsKilled => self.kill_all_daemons(),
            Fault::Link {
                first,
                second,
                fault,
            } => self.start_link_fault(*first, *second, *fault),
            Fault::ZoneCut(zone) => self.isolate_zone(*zone),
            Fault::Engine { engine, fault } => self.start_engine_fault(*engine, *fault).await?,
            Fault::Application { application, fault } => {
                self.start_application_fault(*application, *fault).await?;
            }
            Fault::KeyValue(fault) => self.start_key_value_fault(*fault).await?,
            Fault::MachineListDown => self.set_machine_list_down().await?,
            Fault::MachineListLate => self.set_machine_list_late().await?,
            Fault::ScorerDown => self.set_scorer_down().await?,
        }
        Ok(())
    }

    async fn end_fault(&mut self, fault: &Fault) -> Result<(), ClusterError> {
        match fault {
            Fault::DaemonKilled(daemon) => self.cluster.start_daemon(*daemon).await,
            Fault::DaemonPaused(daemon) => {
                self.cluster.daemons[*daemon].resume();
                Ok(())
            }
            Fault::DaemonTerminated(daemon) => self.restart_stopped_daemon(*daemon).await,
            Fault::AllDaemonsKilled => self.start_all_daemons().await,
            Fault::Link { first, second, .. } => {
                self.end_link_fault(*first, *second);
                Ok(())
            }
            Fault::ZoneCut(zone) => {
                self.reconnect_zone(*zone);
                Ok(())
            }
            Fault::Engine { engine, fault } => self.end_engine_fault(*engine, *fault).await,
            Fault::Application { application, .. } => {
                self.end_application_fault(*application).await
            }
            Fault::KeyValue(_) => self.end_key_value_fault().await,
            Fault::MachineListDown | Fault::MachineListLate => self.end_machine_list_fault().await,
            Fault::ScorerDown => self.end_scorer_fault().await,
        }
    }
}

/// Returns whether the fault ends the engine's process.
fn replaces_engine(fault: EngineFault) -> bool {
    matches!(fault, EngineFault::Killed | EngineFault::Leaving)
}

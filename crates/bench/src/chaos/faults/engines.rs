//! Faults of engines, including exit, planned stop and replacement.

use std::time::{Duration, Instant};

use super::super::fault::EngineFault;
use super::{Injector, replaces_engine};
use crate::cluster::ClusterError;
use crate::proxy::Faults;
use crate::stand_in::engine::{EngineFaults, EngineLog, SwapFault};
use crate::stand_in::machine_list::MachineState;
use crate::stand_in::{Ending, LeavingOrder};

const POLL: Duration = Duration::from_millis(20);
/// Time for an unreachable engine to end all its runs.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

impl Injector {
    pub(super) async fn start_engine_fault(
        &mut self,
        engine: usize,
        fault: EngineFault,
    ) -> Result<(), ClusterError> {
        match fault {
            EngineFault::Killed => self.kill_engine(engine).await,
            EngineFault::Leaving => self.order_to_leave(engine).await,
            _ => {
                let stand_in = &self.cluster.platform.engines[engine].stand_in;
                stand_in.set_faults(&engine_faults(fault)).await
            }
        }
    }

    pub(super) async fn end_engine_fault(
        &mut self,
        engine: usize,
        fault: EngineFault,
    ) -> Result<(), ClusterError> {
        if !replaces_engine(fault) {
            let stand_in = &self.cluster.platform.engines[engine].stand_in;
            return stand_in.set_faults(&EngineFaults::default()).await;
        }
        if fault == EngineFault::Leaving {
            self.kill_engine(engine).await?;
        }
        let config = &self.config.engines[engine];
        self.cluster.restart_engine(engine, config).await?;
        let backend = &mut self.cluster.platform.engines[engine];
        backend.proxy.heal();
        backend.machine.state = MachineState::Live;
        self.cluster.platform.publish_machines().await
    }

    /// Kills the engine's process. Connections are reset first and the log is read before SIGKILL,
    /// so that no run goes unrecorded.
    async fn kill_engine(&mut self, engine: usize) -> Result<(), ClusterError> {
        let backend = &mut self.cluster.platform.engines[engine];
        backend.proxy.set(Faults {
            refuse: true,
            ..Faults::default()
        });
        backend.proxy.cut();
        let start = Instant::now();
        let log = loop {
            let log: EngineLog = backend.stand_in.log().await?;
            let is_idle = log.runs.iter().all(|run| run.ending != Ending::Running);
            if is_idle || start.elapsed() > IDLE_TIMEOUT {
                break log;
            }
            tokio::time::sleep(POLL).await;
        };
        if let Some(process) = &mut backend.stand_in.process {
            process.kill();
        }
        self.logs_of_exited.add_engine(&backend.name, log);
        Ok(())
    }

    async fn order_to_leave(&mut self, engine: usize) -> Result<(), ClusterError> {
        let backend = &mut self.cluster.platform.engines[engine];
        let order = LeavingOrder { leaving: true };
        backend.stand_in.control("leaving", &order).await?;
        backend.machine.state = MachineState::Leaving;
        self.cluster.platform.publish_machines().await
    }
}

fn engine_faults(fault: EngineFault) -> EngineFaults {
    let mut faults = EngineFaults::default();
    match fault {
        EngineFault::Killed | EngineFault::Leaving => {}
        EngineFault::Cuts { point, answers } => {
            faults.cut = Some(point);
            faults.cuts = answers;
        }
        EngineFault::Refuses { requests } => faults.refusals = requests,
        EngineFault::Stalls => faults.stall = true,
        EngineFault::SwapFails => faults.swap = SwapFault::Fails,
        EngineFault::ClaimsSwap => faults.swap = SwapFault::ClaimsDone,
        EngineFault::OmitsVersion => faults.omit_weight_version = true,
    }
    faults
}

//! Faults of application back ends: cut and refused answers, delays, reset connections.

use super::super::fault::ApplicationFault;
use super::Injector;
use crate::cluster::ClusterError;
use crate::stand_in::application::ApplicationFaults;

const DELAY_MS: u64 = 800;
/// Number of consecutive connections to reset.
const RESET_CONNECTIONS: u32 = 8;

impl Injector {
    pub(super) async fn start_application_fault(
        &self,
        application: usize,
        fault: ApplicationFault,
    ) -> Result<(), ClusterError> {
        let backend = &self.cluster.platform.applications[application];
        let mut faults = ApplicationFaults::default();
        match fault {
            ApplicationFault::Cuts { point, answers } => {
                faults.cut = Some(point);
                faults.cuts = answers;
            }
            ApplicationFault::Refuses { requests } => faults.refusals = requests,
            ApplicationFault::Slow => faults.delay_ms = DELAY_MS,
            ApplicationFault::Reset => {
                backend.proxy.cut();
                backend.proxy.reset_next(RESET_CONNECTIONS);
            }
        }
        backend.stand_in.set_faults(&faults).await
    }

    pub(super) async fn end_application_fault(
        &self,
        application: usize,
    ) -> Result<(), ClusterError> {
        let backend = &self.cluster.platform.applications[application];
        backend.proxy.reset_next(0);
        backend
            .stand_in
            .set_faults(&ApplicationFaults::default())
            .await
    }
}

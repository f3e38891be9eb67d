//! Faults of the key-value service, the machine list and the scorer.

use super::super::fault::KeyValueFault;
use super::Injector;
use crate::cluster::ClusterError;
use crate::stand_in::key_value::KeyValueFaults;
use crate::stand_in::machine_list::MachineListFaults;
use crate::stand_in::scorer::ScorerFaults;

const LIMITED_REQUESTS_PER_SECOND: f64 = 2.0;
const LOST_ANSWERS: u32 = 3;
const LIST_DELAY_MS: u64 = 10_000;

impl Injector {
    pub(super) async fn start_key_value_fault(
        &self,
        fault: KeyValueFault,
    ) -> Result<(), ClusterError> {
        let mut faults = KeyValueFaults::default();
        match fault {
            KeyValueFault::Down => faults.down = true,
            KeyValueFault::Slow { delay_ms } => faults.slow_ms = delay_ms,
            KeyValueFault::RateLimited => faults.requests_per_second = LIMITED_REQUESTS_PER_SECOND,
            KeyValueFault::LosesAnswers => faults.lost_answers = LOST_ANSWERS,
            KeyValueFault::Stale => faults.stale_reads = true,
        }
        self.cluster.platform.key_value.set_faults(&faults).await
    }

    pub(super) async fn end_key_value_fault(&self) -> Result<(), ClusterError> {
        let key_value = &self.cluster.platform.key_value;
        key_value.set_faults(&KeyValueFaults::default()).await
    }

    pub(super) async fn set_machine_list_down(&self) -> Result<(), ClusterError> {
        let faults = MachineListFaults {
            down: true,
            ..MachineListFaults::default()
        };
        self.cluster.platform.machine_list.set_faults(&faults).await
    }

    pub(super) async fn set_machine_list_late(&self) -> Result<(), ClusterError> {
        let faults = MachineListFaults {
            late_ms: LIST_DELAY_MS,
            ..MachineListFaults::default()
        };
        self.cluster.platform.machine_list.set_faults(&faults).await
    }

    pub(super) async fn end_machine_list_fault(&self) -> Result<(), ClusterError> {
        let machine_list = &self.cluster.platform.machine_list;
        machine_list.set_faults(&MachineListFaults::default()).await
    }

    pub(super) async fn set_scorer_down(&self) -> Result<(), ClusterError> {
        let faults = ScorerFaults {
            down: true,
            ..ScorerFaults::default()
        };
        self.cluster.platform.scorer.set_faults(&faults).await
    }

    pub(super) async fn end_scorer_fault(&self) -> Result<(), ClusterError> {
        let scorer = &self.cluster.platform.scorer;
        scorer.set_faults(&ScorerFaults::default()).await
    }
}

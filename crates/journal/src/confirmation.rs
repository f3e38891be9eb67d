//! Checks that a writer still owns its log, without writing to it.

use std::collections::BTreeSet;

use ladderstage_wire::messages::mod_Request::OneOfkind as RequestKind;
use ladderstage_wire::messages::mod_Response::OneOfkind as ResponseKind;
use ladderstage_wire::messages::{OwnedLog, OwnerHeartbeat};

use super::JournalError;
use super::calls::{ReplicaCalls, RoundStep};
use super::writer::WriterShared;

impl WriterShared {
    /// Checks that a quorum of this writer's replica set has promised the log to no higher epoch.
    /// Every later writer needs the promise of a quorum too, so on `Ok` none had taken the log over
    /// when this call started.
    ///
    /// # Errors
    ///
    /// `Fenced`, `StaleReplicaSet`, or `NoQuorum` if too few replicas responded.
    pub async fn confirm_ownership(&self) -> Result<(), JournalError> {
        let quorum = ReplicaCalls::quorum(&self.set);
        let mut unfenced = BTreeSet::new();
        let mut fenced = BTreeSet::new();
        let logs = vec![self.owned_log()];
        let request = RequestKind::owner_heartbeat(OwnerHeartbeat {
            node: self.lock().state.identity().node.clone(),
            process: self.epoch.owner,
            logs,
        });
        let round = self.calls.round(&self.set, &request, |answer| {
            let ResponseKind::owner_heartbeat(reply) = answer else {
                return RoundStep::Continue;
            };
            if reply.replica_set_version > self.set.version {
                return RoundStep::Finish(Err(JournalError::StaleReplicaSet));
            }
            let replicas = match reply.fenced_logs.is_empty() {
                true => &mut unfenced,
                false => &mut fenced,
            };
            replicas.insert(reply.replica_id);
            if quorum.is_met_by(&unfenced) {
                RoundStep::Finish(Ok(()))
            } else if quorum.is_blocked_by(&fenced) {
                RoundStep::Finish(Err(JournalError::Fenced))
            } else {
                RoundStep::Continue
            }
        });
        round.await?
    }

    /// Returns the description of this writer that heartbeats carry.
    pub fn owned_log(&self) -> OwnedLog {
        OwnedLog {
            log: self.log.clone(),
            epoch: self.epoch.to_wire(),
        }
    }
}

//! Whether a writer still has its log, asked without writing to it.

use std::collections::BTreeSet;

use ladderstage_wire::messages::mod_Request::OneOfkind as RequestKind;
use ladderstage_wire::messages::mod_Response::OneOfkind as ResponseKind;
use ladderstage_wire::messages::{OwnedLog, OwnerHeartbeat};

use super::JournalError;
use super::calls::{ReplicaCalls, Round};
use super::writer::WriterShared;

impl WriterShared {
    /// `Ok` only if a quorum had promised the log to no higher epoch when it was asked, under this writer's replica
    /// set. As every later writer needs the promise of a quorum too, none had the log at the time of the call.
    pub async fn confirm_ownership(&self) -> Result<(), JournalError> {
        let quorum = ReplicaCalls::quorum(&self.set);
        let mut holding = BTreeSet::new();
        let mut fenced = BTreeSet::new();
        let logs = vec![self.owned_log()];
        let request = RequestKind::owner_heartbeat(OwnerHeartbeat {
            node: self.lock().state.identity().node.clone(),
            process: self.epoch.owner,
            logs,
        });
        let round = self.calls.round(&self.set, &request, |answer| {
            let ResponseKind::owner_heartbeat(reply) = answer else {
                return Round::Continue;
            };
            if reply.replica_set_version > self.set.version {
                return Round::Finish(Err(JournalError::StaleReplicaSet));
            }
            let answered = match reply.fenced_logs.is_empty() {
                true => &mut holding,
                false => &mut fenced,
            };
            answered.insert(reply.replica_id);
            if quorum.is_met_by(&holding) {
                Round::Finish(Ok(()))
            } else if quorum.is_blocked_by(&fenced) {
                Round::Finish(Err(JournalError::Fenced))
            } else {
                Round::Continue
            }
        });
        round.await?
    }

    /// How heartbeats name this writer.
    pub fn owned_log(&self) -> OwnedLog {
        OwnedLog {
            log: self.log.clone(),
            epoch: self.epoch.to_wire(),
        }
    }
}

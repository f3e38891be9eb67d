//! In-memory journal replica.

use ladderstage::journal::replica::{self, Decision, EntryChange, LogState};
use ladderstage::journal::replica_set;
use ladderstage::journal::writer::ReplicaWrite;
pub use ladderstage_wire::messages::mod_WriteReply::Outcome;
use ladderstage_wire::messages::{
    ExportedLog, LogEntry, ReadLogReply, ReplicaMember, ReplicaSet, Seal, SealReply, WriteReply,
};

/// The durable state of a replica. A restart therefore only affects messages in transit.
#[derive(Debug, Clone, Default)]
pub struct SimulatedReplica {
    pub id: u64,
    pub state: LogState,
    pub entries: Vec<LogEntry>,
    /// Replica set known to the replica; without one it accepts nothing.
    pub set: Option<ReplicaSet>,
    /// Whether its disk is permanently lost.
    pub lost: bool,
}

impl SimulatedReplica {
    pub fn accepts(&self, version: u64) -> bool {
        !self.lost && replica_set::accepts(self.set.as_ref(), self.id, version).is_ok()
    }

    pub fn apply_replica_set(&mut self, set: &ReplicaSet) {
        if self
            .set
            .as_ref()
            .is_none_or(|known| known.version < set.version)
        {
            self.set = Some(set.clone());
        }
    }

    pub fn export(&self) -> ExportedLog {
        ExportedLog {
            promised: self.state.promised.to_wire(),
            log_epoch: self.state.log_epoch.to_wire(),
            length: self.state.length,
            entries: self.entries.clone(),
            ..ExportedLog::default()
        }
    }

    pub fn import(&mut self, exported: &ExportedLog) {
        let decision = replica::import(&self.state, exported);
        self.store(&decision, &exported.entries);
    }

    pub fn seal(&mut self, request: &Seal) -> SealReply {
        let decision = replica::seal(&self.state, request);
        let accepted = decision.outcome == Outcome::STORED;
        self.store(&decision, &[]);
        SealReply {
            replica_id: self.id,
            accepted,
            promised: self.state.promised.to_wire(),
            log_epoch: self.state.log_epoch.to_wire(),
            length: self.state.length,
            ..SealReply::default()
        }
    }

    pub fn read(&self) -> ReadLogReply {
        ReadLogReply {
            replica_id: self.id,
            found: !self.state.log_epoch.is_none(),
            promised: self.state.promised.to_wire(),
            log_epoch: self.state.log_epoch.to_wire(),
            entries: self.entries.clone(),
            retired: false,
        }
    }

    pub fn write(&mut self, write: &ReplicaWrite) -> WriteReply {
        let (decision, entries) = match write {
            ReplicaWrite::Install(install) => {
                (replica::install(&self.state, install), &install.entries)
            }
            ReplicaWrite::Append(append) => (replica::append(&self.state, append), &append.entries),
        };
        self.store(&decision, entries);
        decision.write_reply(self.id)
    }

    fn store(&mut self, decision: &Decision, entries: &[LogEntry]) {
        match decision.entries {
            EntryChange::Keep => {}
            EntryChange::Replace => self.entries = entries.to_vec(),
            EntryChange::ReplaceFrom { kept } => {
                self.entries.truncate(kept as usize);
                self.entries.extend_from_slice(entries);
            }
            EntryChange::Extend { skip } => self.entries.extend_from_slice(&entries[skip..]),
        }
        self.state = decision.state.clone();
    }
}

pub fn new_replica(id: u64) -> SimulatedReplica {
    SimulatedReplica {
        id,
        ..Default::default()
    }
}

pub fn member_of(replica: &SimulatedReplica) -> ReplicaMember {
    ReplicaMember {
        node: format!("node-{}", replica.id),
        replica_id: replica.id,
    }
}

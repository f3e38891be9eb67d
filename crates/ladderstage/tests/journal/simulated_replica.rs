//! In-memory journal replica.

use std::collections::BTreeMap;

use ladderstage::journal::WriterEpoch;
use ladderstage::journal::parts::{LogPosition, PartAssembler};
use ladderstage::journal::replica::{self, Decision, EntryChange, LogState};
use ladderstage::journal::replica_set;
use ladderstage::journal::writer::ReplicaWrite;
pub use ladderstage_wire::messages::mod_WriteReply::Outcome;
use ladderstage_wire::messages::{
    EntryPart, Epoch, ExportedLog, KnownLog, LogEntry, ReadLogReply, ReplicaMember, ReplicaSet,
    Seal, SealReply, StageEntries, WriteReply,
};

/// The durable state of a replica. A restart therefore only affects messages in transit.
#[derive(Debug, Clone, Default)]
pub struct SimulatedReplica {
    pub id: u64,
    pub state: LogState,
    pub entries: Vec<LogEntry>,
    /// Staged parts by the epoch of their writer and their position.
    pub staged: BTreeMap<(WriterEpoch, LogPosition), EntryPart>,
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
            closed: self.state.closed,
            retired: self.state.retired,
            entries: self.entries.clone(),
            ..ExportedLog::default()
        }
    }

    /// Returns what it tells a replica from which it copies, so that known entries are left out.
    pub fn known(&self) -> KnownLog {
        KnownLog {
            log_epoch: self.state.log_epoch.to_wire(),
            length: self.state.length,
            retired: self.state.retired,
            ..KnownLog::default()
        }
    }

    /// Deletes all entries of a closed log but the first; returns whether it did.
    pub fn retire(&mut self) -> bool {
        if self.lost || !self.state.closed || self.state.retired {
            return false;
        }
        self.entries.truncate(1);
        self.staged.clear();
        self.state.retired = true;
        true
    }

    /// Imports a copy; returns whether all its staged entries were present.
    pub fn import(&mut self, exported: &ExportedLog) -> bool {
        let decision = replica::import(&self.state, exported);
        let staged = Staged::new(0, exported.staged_length, &exported.log_epoch);
        self.store(decision, &exported.entries, staged).outcome == Outcome::STORED
    }

    pub fn stage(&mut self, request: &StageEntries) -> WriteReply {
        let epoch = WriterEpoch::from(&request.epoch);
        for part in &request.parts {
            let key = (epoch, LogPosition::start_of(part));
            self.staged.insert(key, part.clone());
        }
        WriteReply {
            replica_id: self.id,
            outcome: Outcome::STORED,
            promised: self.state.promised.to_wire(),
            length: self.state.length,
        }
    }

    pub fn seal(&mut self, request: &Seal) -> SealReply {
        let decision = replica::seal(&self.state, request);
        let accepted = decision.outcome == Outcome::STORED;
        self.store(decision, &[], None);
        SealReply {
            replica_id: self.id,
            accepted,
            promised: self.state.promised.to_wire(),
            log_epoch: self.state.log_epoch.to_wire(),
            length: self.state.length,
            retired: self.state.retired,
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
            retired: self.state.retired,
            ..ReadLogReply::default()
        }
    }

    pub fn write(&mut self, write: &ReplicaWrite) -> WriteReply {
        let (decision, entries, staged) = match write {
            ReplicaWrite::Install(install) => (
                replica::install(&self.state, install),
                &install.entries,
                Staged::new(install.kept_length, install.staged_length, &install.epoch),
            ),
            ReplicaWrite::Append(append) => (
                replica::append(&self.state, append),
                &append.entries,
                Staged::new(append.first_index, append.staged_length, &append.epoch),
            ),
            ReplicaWrite::Stage(stage) => return self.stage(stage),
        };
        self.store(decision, entries, staged).write_reply(self.id)
    }

    fn store(
        &mut self,
        decision: Decision,
        entries: &[LogEntry],
        staged: Option<Staged>,
    ) -> Decision {
        let Some(first) = decision.entries.first_added(self.state.length) else {
            self.state = decision.state.clone();
            return decision;
        };
        let added = match (&staged, decision.entries) {
            (Some(staged), _) => match self.staged_entries(first, staged) {
                Some(entries) => entries,
                None => return replica::missing_entries(&self.state),
            },
            (None, EntryChange::Extend { skip }) => entries[skip..].to_vec(),
            (None, _) => entries.to_vec(),
        };
        self.entries.truncate(first as usize);
        self.entries.extend(added);
        self.state = decision.state.clone();
        let epoch = decision.state.log_epoch;
        self.staged.retain(|(writer, _), _| *writer > epoch);
        decision
    }

    /// Returns the staged entries from `first` on; `None` if some are missing.
    fn staged_entries(&self, first: u64, staged: &Staged) -> Option<Vec<LogEntry>> {
        let mut assembler = PartAssembler::new(first);
        let mut entries = Vec::new();
        let range =
            (staged.epoch, LogPosition::at(first))..(staged.epoch, LogPosition::at(staged.end));
        for part in self.staged.range(range).map(|(_, part)| part) {
            entries.extend(assembler.push(part).ok()?);
        }
        (assembler.position().index >= staged.end).then_some(entries)
    }
}

/// Staged entries that take the place of those in a message.
struct Staged {
    epoch: WriterEpoch,
    end: u64,
}

impl Staged {
    fn new(first: u64, length: u64, epoch: &Option<Epoch>) -> Option<Self> {
        (length > 0).then(|| Self {
            epoch: WriterEpoch::from(epoch),
            end: first + length,
        })
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

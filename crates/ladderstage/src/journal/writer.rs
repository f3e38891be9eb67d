//! Writer side of one log: seals a quorum, reads the newest log found, installs it where it is
//! missing, and appends.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

use ladderstage_wire::messages::mod_WriteReply::Outcome;
use ladderstage_wire::messages::{
    Append, Install, LogEntry, ReadLogReply, Seal, SealReply, StageEntries, WriteReply,
};

use super::epoch::WriterEpoch;
use super::parts::{self, DEFAULT_PART_BYTES};
use super::progress::{ReplicaProgress, Staging};
use super::quorum::{Quorum, ReplicaId};
use super::{read, replica};

/// Identity of a writer towards the replicas.
#[derive(Debug, Clone)]
pub struct WriterIdentity {
    /// Name of the log.
    pub log: String,
    /// Epoch of the writer, unique among writers.
    pub epoch: WriterEpoch,
    /// Node on which the writer runs.
    pub node: String,
    /// If set, replicas refuse the writer once they have promised a higher epoch than this one to
    /// another writer.
    pub last_promised: Option<WriterEpoch>,
}

/// Progress of sealing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SealProgress {
    /// No quorum has answered yet.
    Waiting,
    /// A quorum has promised.
    Sealed,
    /// No quorum can promise any more: at least one replica has promised this higher epoch to
    /// another writer.
    Fenced(WriterEpoch),
}

/// A writer that asks the replicas of a quorum to promise its epoch.
#[derive(Debug, Clone)]
pub struct Sealing {
    identity: WriterIdentity,
    quorum: Quorum,
    found: BTreeMap<ReplicaId, FoundLog>,
    refused: BTreeSet<ReplicaId>,
    highest: WriterEpoch,
}

/// State of a log at one replica.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
struct FoundLog {
    epoch: WriterEpoch,
    /// A retired log was finished by the writer of its epoch, so no other log of that epoch has
    /// more entries.
    is_retired: bool,
    length: u64,
}

impl Sealing {
    /// Starts sealing at the replicas of `quorum`.
    pub fn new(identity: WriterIdentity, quorum: Quorum) -> Self {
        Self {
            identity,
            quorum,
            found: BTreeMap::new(),
            refused: BTreeSet::new(),
            highest: WriterEpoch::default(),
        }
    }

    /// Returns the message for every replica.
    pub fn request(&self) -> Seal {
        Seal {
            replica_set_version: self.quorum.version(),
            log: self.identity.log.clone(),
            epoch: self.identity.epoch.to_wire(),
            owner_node: self.identity.node.clone(),
            without_entries: true,
            last_promised: self.identity.last_promised.and_then(WriterEpoch::to_wire),
        }
    }

    /// Applies the answer of one replica.
    pub fn on_reply(&mut self, reply: &SealReply) -> SealProgress {
        if self.quorum.contains(reply.replica_id) {
            self.count(reply);
        }
        self.progress()
    }

    /// Returns the highest epoch that a refusing replica has promised to another writer.
    pub fn highest_promised(&self) -> WriterEpoch {
        self.highest
    }

    /// Returns whether the newest log found is retired; such a log accepts no writer.
    pub fn is_retired(&self) -> bool {
        self.newest().is_retired
    }

    /// Continues with reading the newest log found. Call only after [`SealProgress::Sealed`].
    pub fn into_sealed(self) -> SealedLog {
        SealedLog {
            newest: self.newest(),
            identity: self.identity,
            quorum: self.quorum,
            found: self.found,
        }
    }

    fn newest(&self) -> FoundLog {
        self.found.values().max().copied().unwrap_or_default()
    }

    fn count(&mut self, reply: &SealReply) {
        if !reply.accepted {
            self.highest = self.highest.max(WriterEpoch::from(&reply.promised));
            self.refused.insert(reply.replica_id);
            return;
        }
        // Replicas of earlier versions send their entries and no length.
        let length = reply.length.max(reply.entries.len() as u64);
        let found = FoundLog {
            epoch: WriterEpoch::from(&reply.log_epoch),
            is_retired: reply.retired,
            length,
        };
        self.found.entry(reply.replica_id).or_insert(found);
    }

    fn progress(&self) -> SealProgress {
        let promised = self.found.keys().copied().collect();
        if self.quorum.is_met_by(&promised) {
            SealProgress::Sealed
        } else if self.quorum.is_blocked_by(&self.refused) {
            SealProgress::Fenced(self.highest)
        } else {
            SealProgress::Waiting
        }
    }
}

/// A log that a quorum has sealed. The newest log found is read next, from one replica that holds
/// it.
#[derive(Debug, Clone)]
pub struct SealedLog {
    identity: WriterIdentity,
    quorum: Quorum,
    found: BTreeMap<ReplicaId, FoundLog>,
    newest: FoundLog,
}

impl SealedLog {
    /// Returns whether the newest log has no entries to read.
    pub fn is_empty(&self) -> bool {
        self.newest.length == 0
    }

    /// Returns the replicas that hold the newest log.
    pub fn sources(&self) -> BTreeSet<ReplicaId> {
        let holders = self.found.iter();
        holders
            .filter(|(_, found)| **found == self.newest)
            .map(|(replica, _)| *replica)
            .collect()
    }

    /// Returns whether an answer of one of the sources is the newest log or parts of it, unchanged
    /// since it was sealed.
    pub fn is_newest(&self, reply: &ReadLogReply) -> bool {
        self.sources().contains(&reply.replica_id)
            && WriterEpoch::from(&reply.promised) == self.identity.epoch
            && WriterEpoch::from(&reply.log_epoch) == self.newest.epoch
            && read::stored_length(reply) == self.newest.length
    }

    /// Returns the number of entries of the newest log that a replica holds. A replica that has not
    /// answered yet is assumed to hold all; it asks for an install otherwise.
    fn kept_by(&self, replica: ReplicaId) -> u64 {
        match self.found.get(&replica) {
            Some(found) if found.epoch == self.newest.epoch => found.length,
            Some(_) => 0,
            None => self.newest.length,
        }
    }

    /// Continues with installing the log. `entries` are those of answers that
    /// [`SealedLog::is_newest`] accepted, or empty if the log is empty.
    pub fn into_writer(self, entries: Vec<LogEntry>) -> LogWriterState {
        LogWriterState::new(self, entries)
    }
}

/// Message to one replica.
#[derive(Debug, Clone, PartialEq)]
pub enum ReplicaWrite {
    /// Replaces the replica's log.
    Install(Install),
    /// Appends to the entries that the replica holds under this epoch.
    Append(Append),
    /// Stages entries of a later install or append that is too long for one message.
    Stage(StageEntries),
}

impl ReplicaWrite {
    /// Returns the range of entries that this message adds to the replica's log.
    pub fn added(&self) -> Range<u64> {
        let (first, staged, entries) = match self {
            Self::Install(install) => {
                (install.kept_length, install.staged_length, &install.entries)
            }
            Self::Append(append) => (append.first_index, append.staged_length, &append.entries),
            Self::Stage(_) => return 0..0,
        };
        first..first + replica::added_length(staged, entries)
    }

    fn closes(&self) -> bool {
        matches!(self, Self::Append(append) if append.closes)
    }
}

/// A writer with the promises of a quorum. Entries are only ever added, so an index of one epoch
/// never has two contents. A write without a quorum is repeated unchanged, or the writer is
/// abandoned.
#[derive(Debug, Clone)]
pub struct LogWriterState {
    identity: WriterIdentity,
    quorum: Quorum,
    entries: Vec<LogEntry>,
    closed: bool,
    /// Maximum size of the entries in one message, in bytes; larger writes are staged in parts.
    part_bytes: usize,
    /// Epoch of the adopted log.
    adopted_epoch: WriterEpoch,
    progress: BTreeMap<ReplicaId, ReplicaProgress>,
}

impl LogWriterState {
    fn new(sealed: SealedLog, entries: Vec<LogEntry>) -> Self {
        let replicas = sealed.quorum.replicas().into_iter();
        let progress = replicas
            .map(|replica| {
                let progress = ReplicaProgress {
                    kept: sealed.kept_by(replica),
                    ..ReplicaProgress::default()
                };
                (replica, progress)
            })
            .collect();
        Self {
            adopted_epoch: sealed.newest.epoch,
            identity: sealed.identity,
            quorum: sealed.quorum,
            entries,
            closed: false,
            part_bytes: DEFAULT_PART_BYTES,
            progress,
        }
    }

    /// Sets the maximum size of the entries in one message, in bytes.
    pub fn with_part_bytes(self, part_bytes: usize) -> Self {
        Self { part_bytes, ..self }
    }

    /// Returns the identity of this writer.
    pub fn identity(&self) -> &WriterIdentity {
        &self.identity
    }

    /// Returns the quorum that commits entries.
    pub fn quorum(&self) -> &Quorum {
        &self.quorum
    }

    /// Returns the complete log, including entries that are not committed yet.
    pub fn entries(&self) -> &[LogEntry] {
        &self.entries
    }

    /// Adds entries to store; `closes` marks the log as finished.
    pub fn add(&mut self, entries: Vec<LogEntry>, closes: bool) {
        self.entries.extend(entries);
        self.closed |= closes;
    }

    /// Returns the next message for the replica; `None` if it holds everything or has fenced this
    /// epoch.
    pub fn next_write(&self, replica: ReplicaId) -> Option<ReplicaWrite> {
        let progress = self.progress.get(&replica)?;
        let first = self.next_index(progress)?;
        let Some(staging) = self.staging_from(progress, first) else {
            return Some(self.write(progress, first..self.length(), false));
        };
        if staging.is_complete() {
            return Some(self.write(progress, first..staging.end, true));
        }
        Some(ReplicaWrite::Stage(self.stage(&staging)))
    }

    /// Returns the size of the entries that `replica` lacks, in bytes.
    pub fn outstanding_bytes(&self, replica: ReplicaId) -> usize {
        let progress = self.progress.get(&replica);
        let first = progress.and_then(|progress| self.next_index(progress));
        first.map_or(0, |first| self.size_of(first..self.length()))
    }

    /// Returns the size of the entries that `write` sends or takes from the staged ones, in bytes.
    pub fn payload_bytes(&self, write: &ReplicaWrite) -> usize {
        match write {
            ReplicaWrite::Stage(stage) => stage.parts.iter().map(|part| part.payload.len()).sum(),
            ReplicaWrite::Install(_) | ReplicaWrite::Append(_) => self.size_of(write.added()),
        }
    }

    /// Applies the answer of `replica` to `sent`. Answers with another replica id are ignored.
    pub fn on_reply(&mut self, replica: ReplicaId, sent: &ReplicaWrite, reply: &WriteReply) {
        if reply.replica_id != replica {
            return;
        }
        let length = self.length();
        let Some(progress) = self.progress.get_mut(&replica) else {
            return;
        };
        match (reply.outcome, sent) {
            (Outcome::STORED, ReplicaWrite::Stage(stage)) => {
                progress.fenced |= WriterEpoch::from(&reply.promised) > self.identity.epoch;
                progress.on_staged(stage, length);
            }
            (Outcome::STORED, _) => {
                progress.held = Some(progress.held.unwrap_or(0).max(sent.added().end));
                progress.closed |= sent.closes();
                progress.staging = None;
            }
            (Outcome::FENCED, _) => progress.fenced = true,
            (Outcome::NEEDS_INSTALL, _) => self.on_complete_log_needed(replica),
            (Outcome::FAILED | Outcome::UNSPECIFIED, _) => {}
        }
    }

    /// Records that the replica needs the complete log because it cannot determine what it holds.
    pub fn on_complete_log_needed(&mut self, replica: ReplicaId) {
        if let Some(progress) = self.progress.get_mut(&replica) {
            progress.held = None;
            progress.kept = 0;
            progress.staging = None;
        }
    }

    /// Records that the replica does not know a request. An earlier version knows no installs that
    /// leave out stored entries, or none that leave out staged ones either.
    pub fn on_unknown_request(&mut self, replica: ReplicaId, sent: &ReplicaWrite) {
        let sends_parts = match sent {
            ReplicaWrite::Stage(_) => true,
            ReplicaWrite::Install(install) => install.staged_length > 0,
            ReplicaWrite::Append(append) => append.staged_length > 0,
        };
        if !sends_parts {
            return self.on_complete_log_needed(replica);
        }
        if let Some(progress) = self.progress.get_mut(&replica) {
            progress.refuses_parts = true;
            progress.staging = None;
        }
    }

    /// Records that the replica could not be reached. It may run another version afterwards.
    pub fn on_unreachable(&mut self, replica: ReplicaId) {
        if let Some(progress) = self.progress.get_mut(&replica) {
            progress.refuses_parts = false;
        }
    }

    /// Records that the replica refuses this writer permanently, for example because it knows a
    /// newer replica set.
    pub fn on_fenced(&mut self, replica: ReplicaId) {
        if let Some(progress) = self.progress.get_mut(&replica) {
            progress.fenced = true;
        }
    }

    /// Returns whether a quorum holds all added entries, and the close if the log is finished.
    pub fn is_committed(&self) -> bool {
        self.quorum.is_met_by(&self.holders())
    }

    /// Returns whether no quorum can be formed from the replicas that hold all added entries and
    /// those in `active`, whose answers are still awaited.
    pub fn cannot_commit_with(&self, active: &BTreeSet<ReplicaId>) -> bool {
        let reachable = self.holders().union(active).copied().collect();
        !self.quorum.is_met_by(&reachable)
    }

    /// Returns whether no quorum can accept writes from this writer any more.
    pub fn is_fenced(&self) -> bool {
        let fenced = self.replicas_where(|progress| progress.fenced);
        self.quorum.is_blocked_by(&fenced)
    }

    fn holders(&self) -> BTreeSet<ReplicaId> {
        let length = self.entries.len() as u64;
        self.replicas_where(|progress| {
            progress.held >= Some(length) && (progress.closed || !self.closed)
        })
    }

    fn replicas_where(&self, holds: impl Fn(&ReplicaProgress) -> bool) -> BTreeSet<ReplicaId> {
        self.progress
            .iter()
            .filter(|(_, progress)| holds(progress))
            .map(|(replica, _)| *replica)
            .collect()
    }

    /// Returns the number of entries of the complete log.
    fn length(&self) -> u64 {
        self.entries.len() as u64
    }

    fn size_of(&self, range: Range<u64>) -> usize {
        let entries = &self.entries[range.start as usize..range.end as usize];
        entries.iter().map(|entry| entry.payload.len()).sum()
    }

    /// Returns the index of the first entry that a replica needs; `None` if it needs no message.
    fn next_index(&self, progress: &ReplicaProgress) -> Option<u64> {
        if progress.fenced {
            return None;
        }
        let Some(held) = progress.held else {
            return Some(progress.kept);
        };
        let is_behind = held < self.length() || (self.closed && !progress.closed);
        is_behind.then_some(held)
    }

    /// Returns the staging of the entries from `first` on; `None` if they fit into one message or the
    /// replica takes no parts.
    fn staging_from(&self, progress: &ReplicaProgress, first: u64) -> Option<Staging> {
        let started = progress.staging.filter(|staging| staging.first == first);
        if started.is_some() || progress.refuses_parts {
            return started;
        }
        let is_long = self.size_of(first..self.length()) > self.part_bytes;
        is_long.then(|| Staging::new(first, self.length()))
    }

    fn stage(&self, staging: &Staging) -> StageEntries {
        StageEntries {
            replica_set_version: self.quorum.version(),
            log: self.identity.log.clone(),
            epoch: self.identity.epoch.to_wire(),
            parts: parts::split(&self.entries, staging.next, staging.end, self.part_bytes),
        }
    }

    /// Returns the message that adds `range` to the replica's log. The entries are left out if they
    /// are staged.
    fn write(
        &self,
        progress: &ReplicaProgress,
        range: Range<u64>,
        is_staged: bool,
    ) -> ReplicaWrite {
        let added = &self.entries[range.start as usize..range.end as usize];
        let (entries, staged_length) = match is_staged {
            true => (Vec::new(), added.len() as u64),
            false => (added.to_vec(), 0),
        };
        if progress.held.is_none() {
            return ReplicaWrite::Install(Install {
                replica_set_version: self.quorum.version(),
                log: self.identity.log.clone(),
                epoch: self.identity.epoch.to_wire(),
                owner_node: self.identity.node.clone(),
                entries,
                kept_epoch: self.adopted_epoch.to_wire(),
                kept_length: range.start,
                staged_length,
            });
        }
        ReplicaWrite::Append(Append {
            replica_set_version: self.quorum.version(),
            log: self.identity.log.clone(),
            epoch: self.identity.epoch.to_wire(),
            first_index: range.start,
            entries,
            closes: self.closed && range.end == self.length(),
            staged_length,
        })
    }
}

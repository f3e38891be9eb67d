//! In-memory writers and network for the journal's property tests.

use std::collections::BTreeSet;

use ladderstage::journal::parts::{self, LogPosition};
use ladderstage::journal::replica_set;
use ladderstage::journal::writer::{
    LogWriterState, ReplicaWrite, SealProgress, SealedLog, Sealing, WriterIdentity,
};
use ladderstage::journal::{EpochSource, Quorum, WriterEpoch};
use ladderstage_wire::messages::{
    ExportedLog, LogEntry, ReadLogReply, ReplicaSet, Seal, SealReply, StageEntries, WriteReply,
};

use crate::simulated_replica::{SimulatedReplica, member_of, new_replica};

/// Number of spare replicas that may replace others.
const SPARES: u64 = 2;

pub const LOG: &str = "shard/trainer/1/0";

#[derive(Debug)]
enum Phase {
    Idle,
    Sealing(Sealing),
    Reading(SealedLog),
    Writing(LogWriterState),
}

/// A writer process; `generation` counts its takeovers.
#[derive(Debug)]
struct SimulatedWriter {
    epochs: EpochSource,
    generation: usize,
    appended: u64,
    phase: Phase,
    set: ReplicaSet,
}

#[derive(Debug, Clone)]
enum Message {
    Seal(Seal),
    SealReply(SealReply),
    Read,
    ReadReply(ReadLogReply),
    Write(ReplicaWrite),
    WriteReply(ReplicaWrite, WriteReply),
}

impl Message {
    /// Returns the replica set version of a request.
    fn version(&self) -> Option<u64> {
        match self {
            Self::Seal(seal) => Some(seal.replica_set_version),
            Self::Write(ReplicaWrite::Install(install)) => Some(install.replica_set_version),
            Self::Write(ReplicaWrite::Append(append)) => Some(append.replica_set_version),
            Self::Write(ReplicaWrite::Stage(stage)) => Some(stage.replica_set_version),
            Self::Read | Self::SealReply(_) | Self::ReadReply(_) | Self::WriteReply(..) => None,
        }
    }
}

#[derive(Debug, Clone)]
struct Envelope {
    writer: usize,
    generation: usize,
    replica: usize,
    message: Message,
}

/// One step of an interleaving; indexes are taken modulo the number of items.
#[derive(Debug, Clone)]
pub enum Step {
    TakeOver {
        writer: usize,
    },
    Append {
        writer: usize,
    },
    Send {
        writer: usize,
        replica: usize,
    },
    Deliver {
        message: usize,
    },
    DeliverCopy {
        message: usize,
    },
    Lose {
        message: usize,
    },
    /// Drops the messages in transit from and to a replica, as its restart does.
    DropMessagesOfReplica {
        replica: usize,
    },
    /// Starts the replacement of a replica; `is_lost` says whether its disk is lost or it still
    /// runs.
    Replace {
        member: usize,
        is_lost: bool,
    },
    /// Gives a writer the current replica set.
    UpdateWriterSet {
        writer: usize,
    },
    /// Gives a replica the current replica set; it then refuses messages under older sets.
    UpdateReplicaSet {
        replica: usize,
    },
    /// The joining replica fences a current replica and copies its log.
    Copy {
        source: usize,
    },
    /// The joining replica stages the next parts of the log that it copies, or imports them if it has all.
    CopyParts,
    CompleteReplacement,
}

/// Log that the joining replica copies under set `version`.
#[derive(Debug)]
struct CopiedLog {
    version: u64,
    source: usize,
    joining: usize,
    log: ExportedLog,
    position: LogPosition,
}

/// Simulated replicas, writers and network.
#[derive(Debug)]
pub struct Simulation {
    pub replicas: Vec<SimulatedReplica>,
    /// Entries that some writer knows to be committed.
    pub committed: Vec<LogEntry>,
    /// Replica set stored in the key-value service.
    pub set: ReplicaSet,
    /// Replicas that the joining replica has copied under `set`.
    copied: BTreeSet<u64>,
    copying: Option<CopiedLog>,
    /// Maximum size of the entries in one message, in bytes.
    part_bytes: usize,
    writers: Vec<SimulatedWriter>,
    network: Vec<Envelope>,
}

impl Simulation {
    /// Creates a simulation in which writes and copies with more than `part_bytes` are sent in parts.
    pub fn new(replicas: usize, writers: usize, part_bytes: usize) -> Self {
        let set = set_of(1..=replicas as u64);
        let mut simulation = Self {
            replicas: (1..=replicas as u64 + SPARES).map(new_replica).collect(),
            committed: Vec::new(),
            copied: BTreeSet::new(),
            copying: None,
            part_bytes,
            writers: (1..=writers as u64)
                .map(|id| new_writer(id, &set))
                .collect(),
            network: Vec::new(),
            set,
        };
        for replica in &mut simulation.replicas[..replicas] {
            replica.apply_replica_set(&simulation.set);
        }
        simulation
    }

    pub fn apply(&mut self, step: &Step) {
        match *step {
            Step::TakeOver { writer } => self.take_over(writer % self.writers.len()),
            Step::Append { writer } => self.append(writer % self.writers.len()),
            Step::Send { writer, replica } => {
                self.send(writer % self.writers.len(), replica % self.replicas.len());
            }
            Step::Deliver { message } => {
                if let Some(index) = self.pick(message) {
                    let envelope = self.network.swap_remove(index);
                    self.deliver(envelope);
                }
            }
            Step::DeliverCopy { message } => {
                if let Some(index) = self.pick(message) {
                    self.deliver(self.network[index].clone());
                }
            }
            Step::Lose { message } => {
                if let Some(index) = self.pick(message) {
                    self.network.swap_remove(index);
                }
            }
            Step::DropMessagesOfReplica { replica } => {
                let replica = replica % self.replicas.len();
                self.network.retain(|envelope| envelope.replica != replica);
            }
            Step::Replace { member, is_lost } => self.replace(member, is_lost),
            Step::UpdateWriterSet { writer } => {
                let index = writer % self.writers.len();
                self.writers[index].set = self.set.clone();
            }
            Step::UpdateReplicaSet { replica } => {
                let index = replica % self.replicas.len();
                self.replicas[index].apply_replica_set(&self.set);
            }
            Step::Copy { source } => self.copy(source),
            Step::CopyParts => self.copy_parts(),
            Step::CompleteReplacement => self.complete_replacement(),
        }
    }

    /// Starts the replacement of a replica unless one is in progress or no spare is left.
    fn replace(&mut self, member: usize, is_lost: bool) {
        if !self.set.next.is_empty() {
            return;
        }
        let replaced = self.set.current[member % self.set.current.len()].replica_id;
        let candidates: Vec<_> = self
            .replicas
            .iter()
            .filter(|replica| !replica.lost)
            .map(member_of)
            .collect();
        let lost = BTreeSet::from([replaced]);
        let Some(joint) = replica_set::propose_replacement(&self.set, &lost, &candidates) else {
            return;
        };
        self.replicas[index_of(replaced)].lost |= is_lost;
        self.set = joint;
        self.copied.clear();
    }

    fn copy(&mut self, source: usize) {
        let joining_replicas = replica_set::joining_replicas(&self.set);
        let Some(joining) = joining_replicas
            .first()
            .map(|member| index_of(member.replica_id))
        else {
            return;
        };
        let source = self.set.current[source % self.set.current.len()].replica_id;
        if self.replicas[index_of(source)].lost {
            return;
        }
        self.replicas[joining].apply_replica_set(&self.set);
        self.replicas[index_of(source)].apply_replica_set(&self.set);
        let mut log = self.replicas[index_of(source)].export();
        log.entries.clear();
        self.copying = Some(CopiedLog {
            version: self.set.version,
            source: index_of(source),
            joining,
            log,
            position: LogPosition::default(),
        });
        self.copy_parts();
    }

    /// Continues a copy; abandons it if the source was lost or its log has a new writer.
    fn copy_parts(&mut self) {
        let Some(mut copying) = self.copying.take() else {
            return;
        };
        let source = &self.replicas[copying.source];
        let log_epoch = WriterEpoch::from(&copying.log.log_epoch);
        let is_current = copying.version == self.set.version && !source.lost;
        if !is_current || source.state.log_epoch != log_epoch {
            return;
        }
        if copying.position.index >= copying.log.length {
            copying.log.staged_length = copying.log.length;
            if self.replicas[copying.joining].import(&copying.log) {
                self.copied.insert(replica_id(copying.source));
            }
            return;
        }
        let end = copying.log.length;
        let parts = parts::split(&source.entries, copying.position, end, self.part_bytes);
        copying.position = LogPosition::end_of(parts.last().expect("progress"));
        self.replicas[copying.joining].stage(&StageEntries {
            epoch: copying.log.log_epoch.clone(),
            parts,
            ..StageEntries::default()
        });
        self.copying = Some(copying);
    }

    fn complete_replacement(&mut self) {
        let current = ReplicaSet {
            next: Vec::new(),
            ..self.set.clone()
        };
        if let Some(complete) = replica_set::complete(&self.set)
            && Quorum::new(&current).is_met_by(&self.copied)
        {
            self.set = complete;
        }
    }

    /// Checks that a writer sealing any quorum finds every committed entry.
    pub fn check_every_quorum(&self) {
        let quorum = Quorum::new(&self.set);
        for subset in 0u32..1 << self.replicas.len() {
            let is_in = |replica: &&SimulatedReplica| subset & (1 << index_of(replica.id)) != 0;
            let participants: Vec<_> = self.replicas.iter().filter(is_in).collect();
            let ids = participants.iter().map(|replica| replica.id).collect();
            if participants.iter().any(|replica| replica.lost) || !quorum.is_met_by(&ids) {
                continue;
            }
            let found = self.entries_adopted_from(&participants);
            assert!(
                found.starts_with(&self.committed),
                "lost entries: replicas {ids:?} hold {} of {} committed entries",
                common_prefix(&found, &self.committed),
                self.committed.len()
            );
        }
    }

    fn entries_adopted_from(&self, participants: &[&SimulatedReplica]) -> Vec<LogEntry> {
        let epoch = WriterEpoch {
            round: u64::MAX,
            owner: 99,
        };
        let mut sealing = Sealing::new(identity(epoch), Quorum::new(&self.set));
        let request = sealing.request();
        let mut progress = SealProgress::Waiting;
        for replica in participants {
            progress = sealing.on_reply(&(*replica).clone().seal(&request));
        }
        assert_eq!(progress, SealProgress::Sealed);
        let sealed = sealing.into_sealed();
        let sources = sealed.sources();
        let source = participants
            .iter()
            .find(|replica| sources.contains(&replica.id));
        source
            .expect("a replica holds the newest log")
            .entries
            .clone()
    }

    fn take_over(&mut self, index: usize) {
        let writer = &mut self.writers[index];
        let epoch = writer.epochs.next_epoch().expect("an epoch is left");
        writer.generation += 1;
        let quorum = Quorum::new(&writer.set);
        let replicas = quorum.replicas();
        let sealing = Sealing::new(identity(epoch), quorum);
        let request = sealing.request();
        let generation = writer.generation;
        writer.phase = Phase::Sealing(sealing);
        for replica in replicas.into_iter().map(index_of) {
            self.network.push(Envelope {
                writer: index,
                generation,
                replica,
                message: Message::Seal(request.clone()),
            });
        }
    }

    fn append(&mut self, index: usize) {
        let writer = &mut self.writers[index];
        let Phase::Writing(state) = &mut writer.phase else {
            return;
        };
        writer.appended += 1;
        let payload = format!("{index}/{}/{}", writer.generation, writer.appended);
        let entry = LogEntry {
            payload: payload.into_bytes(),
        };
        state.add(vec![entry], false);
        (0..self.replicas.len()).for_each(|replica| self.send(index, replica));
    }

    fn send(&mut self, index: usize, replica: usize) {
        let writer = &self.writers[index];
        let Phase::Writing(state) = &writer.phase else {
            return;
        };
        if let Some(write) = state.next_write(self.replicas[replica].id) {
            self.network.push(Envelope {
                writer: index,
                generation: writer.generation,
                replica,
                message: Message::Write(write),
            });
        }
    }

    fn pick(&self, message: usize) -> Option<usize> {
        message.checked_rem(self.network.len())
    }

    fn deliver(&mut self, envelope: Envelope) {
        let replica = &mut self.replicas[envelope.replica];
        if envelope
            .message
            .version()
            .is_some_and(|version| !replica.accepts(version))
        {
            return;
        }
        let reply = match &envelope.message {
            Message::Seal(seal) => Message::SealReply(replica.seal(seal)),
            Message::Read => Message::ReadReply(replica.read()),
            Message::Write(write) => Message::WriteReply(write.clone(), replica.write(write)),
            Message::SealReply(_) | Message::ReadReply(_) | Message::WriteReply(..) => {
                return self.handle_reply(envelope);
            }
        };
        self.network.push(Envelope {
            message: reply,
            ..envelope
        });
    }

    fn handle_reply(&mut self, envelope: Envelope) {
        let writer = &mut self.writers[envelope.writer];
        if writer.generation != envelope.generation {
            return;
        }
        let phase = std::mem::replace(&mut writer.phase, Phase::Idle);
        let mut sources = BTreeSet::new();
        writer.phase = match (phase, envelope.message) {
            (Phase::Sealing(sealing), Message::SealReply(reply)) => {
                let phase = on_seal_reply(sealing, &reply, writer, self.part_bytes);
                if let Phase::Reading(sealed) = &phase {
                    sources = sealed.sources();
                }
                phase
            }
            (Phase::Reading(sealed), Message::ReadReply(reply)) if sealed.is_newest(&reply) => {
                let state = sealed.into_writer(reply.entries);
                Phase::Writing(state.with_part_bytes(self.part_bytes))
            }
            (Phase::Writing(mut state), Message::WriteReply(sent, reply)) => {
                state.on_reply(self.replicas[envelope.replica].id, &sent, &reply);
                Phase::Writing(state)
            }
            (phase, _) => phase,
        };
        for replica in sources.into_iter().map(index_of) {
            self.network.push(Envelope {
                writer: envelope.writer,
                generation: envelope.generation,
                replica,
                message: Message::Read,
            });
        }
        self.record_commit(envelope.writer);
    }

    fn record_commit(&mut self, index: usize) {
        let Phase::Writing(state) = &self.writers[index].phase else {
            return;
        };
        if !state.is_committed() {
            return;
        }
        let entries = state.entries();
        let common_len = entries.len().min(self.committed.len());
        assert_eq!(
            entries[..common_len],
            self.committed[..common_len],
            "different entries committed at the same index"
        );
        self.committed.extend_from_slice(&entries[common_len..]);
    }
}

fn on_seal_reply(
    mut sealing: Sealing,
    reply: &SealReply,
    writer: &mut SimulatedWriter,
    part_bytes: usize,
) -> Phase {
    match sealing.on_reply(reply) {
        SealProgress::Waiting => Phase::Sealing(sealing),
        SealProgress::Sealed => {
            let sealed = sealing.into_sealed();
            if sealed.is_empty() {
                let state = sealed.into_writer(Vec::new());
                Phase::Writing(state.with_part_bytes(part_bytes))
            } else {
                Phase::Reading(sealed)
            }
        }
        SealProgress::Fenced(highest) => {
            writer.epochs.observe(highest);
            Phase::Idle
        }
    }
}

fn replica_id(index: usize) -> u64 {
    index as u64 + 1
}

fn index_of(replica: u64) -> usize {
    replica as usize - 1
}

fn new_writer(process: u64, set: &ReplicaSet) -> SimulatedWriter {
    SimulatedWriter {
        set: set.clone(),
        epochs: EpochSource::new(process),
        generation: 0,
        appended: 0,
        phase: Phase::Idle,
    }
}

pub fn quorum_of(ids: impl Iterator<Item = u64>) -> Quorum {
    Quorum::new(&set_of(ids))
}

fn set_of(ids: impl Iterator<Item = u64>) -> ReplicaSet {
    ReplicaSet {
        version: 1,
        current: ids.map(|id| member_of(&new_replica(id))).collect(),
        next: Vec::new(),
    }
}

pub fn identity(epoch: WriterEpoch) -> WriterIdentity {
    WriterIdentity {
        log: LOG.to_owned(),
        epoch,
        node: "node".to_owned(),
        last_promised: None,
    }
}

fn common_prefix(left: &[LogEntry], right: &[LogEntry]) -> usize {
    left.iter().zip(right).take_while(|(a, b)| a == b).count()
}

//! In-memory writers and network for the journal's property tests.

use std::collections::BTreeSet;

use ladderstage::journal::writer::{
    LogWriterState, ReplicaWrite, SealProgress, SealedLog, Sealing, WriterIdentity,
};
use ladderstage::journal::{EpochSource, Quorum, WriterEpoch, quorum};
use ladderstage_wire::messages::{LogEntry, ReadLogReply, ReplicaSet, Seal, SealReply, WriteReply};

use crate::set_changes::{ChangeStep, CompletionRule, SetChanges};
use crate::simulated_replica::{SimulatedReplica, member_of, new_replica};

/// Number of spare replicas that may replace others.
const SPARES: u64 = 4;

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
    /// Whether it has finished the log.
    closed: bool,
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
    /// Delivers several messages in an order that `seed` determines.
    DeliverMany {
        count: usize,
        seed: u64,
    },
    Lose {
        message: usize,
    },
    /// From now on, messages to and from the replicas in a bit mask are lost, and no others.
    Isolate {
        replicas: usize,
    },
    /// Drops the messages in transit from and to a replica, as its restart does.
    DropMessagesOfReplica {
        replica: usize,
    },
    /// Gives a writer the current replica set.
    UpdateWriterSet {
        writer: usize,
    },
    /// Gives a replica the current replica set; it then refuses messages under older sets.
    UpdateReplicaSet {
        replica: usize,
    },
    /// The writer finishes the log.
    Close {
        writer: usize,
    },
    /// Changes the replica set.
    Change(ChangeStep),
}

/// Simulated replicas, writers and network.
#[derive(Debug)]
pub struct Simulation {
    pub replicas: Vec<SimulatedReplica>,
    /// Entries that some writer knows to be committed.
    pub committed: Vec<LogEntry>,
    /// Replica set stored in the key-value service.
    pub set: ReplicaSet,
    pub changes: SetChanges,
    /// First rule found broken.
    pub violation: Option<String>,
    /// Highest epoch that a quorum is known to have promised.
    sealed: WriterEpoch,
    /// Maximum size of the entries in one message, in bytes.
    pub part_bytes: usize,
    writers: Vec<SimulatedWriter>,
    network: Vec<Envelope>,
    /// Replicas whose messages are lost, as a bit mask.
    pub isolated: usize,
}

impl Simulation {
    /// Creates a simulation in which writes and copies with more than `part_bytes` are sent in parts.
    pub fn new(replicas: usize, writers: usize, part_bytes: usize) -> Self {
        let set = set_of(1..=replicas as u64);
        let mut simulation = Self {
            replicas: (1..=replicas as u64 + SPARES).map(new_replica).collect(),
            committed: Vec::new(),
            changes: SetChanges::new(&set, CompletionRule::EveryJoiner),
            violation: None,
            sealed: WriterEpoch::default(),
            part_bytes,
            writers: (1..=writers as u64)
                .map(|id| new_writer(id, &set))
                .collect(),
            network: Vec::new(),
            isolated: 0,
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
            Step::DeliverMany { count, seed } => {
                for number in numbers(seed).take(count) {
                    self.apply(&Step::Deliver { message: number });
                }
            }
            Step::Isolate { replicas } => self.isolated = replicas,
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
                self.drop_messages_of(replica % self.replicas.len());
            }
            Step::UpdateWriterSet { writer } => {
                let index = writer % self.writers.len();
                self.writers[index].set = self.set.clone();
            }
            Step::UpdateReplicaSet { replica } => {
                let index = replica % self.replicas.len();
                self.replicas[index].apply_replica_set(&self.set);
            }
            Step::Close { writer } => self.close(writer % self.writers.len()),
            Step::Change(ref step) => self.change(step),
        }
    }

    /// Completes joint sets by `rule`.
    pub fn with_completion_rule(mut self, rule: CompletionRule) -> Self {
        self.changes = SetChanges::new(&self.set, rule);
        self
    }

    pub fn drop_messages_of(&mut self, replica: usize) {
        self.network.retain(|envelope| envelope.replica != replica);
    }

    /// Checks that a writer sealing any quorum finds every committed entry and every promise.
    pub fn check_every_quorum(&mut self) {
        self.check_quorums(|_, _| true);
        assert_eq!(self.violation, None);
    }

    /// Checks the quorums that are none without any one of their replicas, and records what is wrong.
    pub fn check_smallest_quorums(&mut self) {
        self.check_quorums(|quorum, ids| {
            let without = |id: &u64| {
                let mut rest = ids.clone();
                rest.remove(id);
                rest
            };
            ids.iter().all(|id| !quorum.is_met_by(&without(id)))
        });
    }

    fn check_quorums(&mut self, is_checked: impl Fn(&Quorum, &BTreeSet<u64>) -> bool) {
        let quorum = Quorum::new(&self.set);
        let members = quorum::members(&self.set);
        let members: Vec<&SimulatedReplica> = members
            .iter()
            .map(|member| &self.replicas[index_of(member.replica_id)])
            .filter(|replica| !replica.lost)
            .collect();
        let violation = (0u32..1 << members.len()).find_map(|subset| {
            let numbered = members.iter().enumerate();
            let participants: Vec<&SimulatedReplica> = numbered
                .filter(|(bit, _)| subset & (1 << bit) != 0)
                .map(|(_, replica)| *replica)
                .collect();
            let ids = participants.iter().map(|replica| replica.id).collect();
            let is_quorum = quorum.is_met_by(&ids) && is_checked(&quorum, &ids);
            is_quorum
                .then(|| self.find_missing(&participants))
                .flatten()
        });
        self.violation = self.violation.take().or(violation);
    }

    /// Returns what a writer that seals `participants` does not find.
    fn find_missing(&self, participants: &[&SimulatedReplica]) -> Option<String> {
        let ids: Vec<u64> = participants.iter().map(|replica| replica.id).collect();
        let promises = participants.iter().map(|replica| replica.state.promised);
        if promises.max() < Some(self.sealed) {
            return Some(format!("replicas {ids:?} forgot promise {:?}", self.sealed));
        }
        let found = self.adopted_from(participants);
        let kept = match found.state.retired {
            // The first entry stays.
            true => self.committed.len().min(1),
            false => self.committed.len(),
        };
        let is_found = found.state.length >= self.committed.len() as u64
            && found.entries.starts_with(&self.committed[..kept]);
        let held = common_prefix(&found.entries, &self.committed);
        let total = self.committed.len();
        (!is_found)
            .then(|| format!("lost entries: replicas {ids:?} hold {held} of {total} committed"))
    }

    /// Returns the replica whose log a writer adopts that seals `participants`.
    fn adopted_from<'a>(&self, participants: &[&'a SimulatedReplica]) -> &'a SimulatedReplica {
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
        let sources = sealing.into_sealed().sources();
        let source = participants
            .iter()
            .find(|replica| sources.contains(&replica.id));
        source.expect("a replica holds the newest log")
    }

    fn close(&mut self, index: usize) {
        let writer = &mut self.writers[index];
        let Phase::Writing(state) = &mut writer.phase else {
            return;
        };
        writer.closed = true;
        state.add(Vec::new(), true);
        (0..self.replicas.len()).for_each(|replica| self.send(index, replica));
    }

    fn take_over(&mut self, index: usize) {
        let writer = &mut self.writers[index];
        let epoch = writer.epochs.next_epoch().expect("an epoch is left");
        writer.generation += 1;
        writer.closed = false;
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
        if writer.closed {
            return;
        }
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
        if self.is_isolated(envelope.replica) {
            return;
        }
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

    pub fn is_isolated(&self, replica: usize) -> bool {
        self.isolated & (1 << replica) != 0
    }

    fn handle_reply(&mut self, envelope: Envelope) {
        let writer = &mut self.writers[envelope.writer];
        if writer.generation != envelope.generation {
            return;
        }
        let phase = std::mem::replace(&mut writer.phase, Phase::Idle);
        let mut sources = BTreeSet::new();
        if let Phase::Sealing(sealing) = &phase
            && let Message::SealReply(reply) = &envelope.message
            && sealing.clone().on_reply(reply) == SealProgress::Sealed
        {
            self.sealed = self.sealed.max(WriterEpoch::from(&sealing.request().epoch));
        }
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
        if entries[..common_len] != self.committed[..common_len] {
            let violation = "different entries committed at the same index".to_owned();
            self.violation.get_or_insert(violation);
            return;
        }
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
        SealProgress::Sealed if sealing.is_retired() => Phase::Idle,
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

/// Returns numbers that `seed` determines.
pub fn numbers(seed: u64) -> impl Iterator<Item = usize> {
    (1u64..).map(move |count| {
        let mixed = seed.wrapping_add(count.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        (mixed ^ (mixed >> 31)) as usize >> 8
    })
}

pub fn replica_id(index: usize) -> u64 {
    index as u64 + 1
}

pub fn index_of(replica: u64) -> usize {
    replica as usize - 1
}

fn new_writer(process: u64, set: &ReplicaSet) -> SimulatedWriter {
    SimulatedWriter {
        set: set.clone(),
        epochs: EpochSource::new(process),
        generation: 0,
        appended: 0,
        closed: false,
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

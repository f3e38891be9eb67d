//! Changes of the simulated replica set: losses of disks, coordinators, copies and their reports.

use std::collections::{BTreeMap, BTreeSet};

use ladderstage::journal::parts::{self, LogPosition};
use ladderstage::journal::replica::omit_known;
use ladderstage::journal::{Quorum, WriterEpoch, quorum, replica_set};
use ladderstage_wire::messages::{ExportedLog, ReplicaMember, ReplicaSet, StageEntries};

use crate::simulated_replica::{SimulatedReplica, member_of, new_replica};
use crate::support::{Simulation, index_of, numbers, replica_id};

/// Maximum number of disks in one simulation, lost ones included.
const MAX_DISKS: usize = 16;

/// Maximum number of reports in transit.
const MAX_REPORTS: usize = 8;

/// One step of a change of the replica set; indexes are taken modulo the number of items.
#[derive(Debug, Clone)]
pub enum ChangeStep {
    /// The disks of some members are lost at once, as far as the set bears it. Their nodes may come back
    /// with empty ones.
    LoseDisks {
        member: usize,
        count: usize,
        come_back: bool,
    },
    /// The disk of a joining replica is lost, if the set bears it.
    LoseJoiner { joiner: usize, comes_back: bool },
    /// A coordinator computes the set after the one that it knows.
    Propose {
        coordinator: usize,
        change: Change,
        /// Whether it reads the recorded set first.
        learns: bool,
        /// Members that run but are missing for the coordinator, as a bit mask.
        missing: usize,
        /// Order and number of the spares that it knows.
        spares: usize,
        /// Whether it stores its proposal at once and announces it to the replicas in a bit mask.
        told: Option<usize>,
    },
    /// A coordinator stores its proposal, unless another set was recorded since it read the set, and
    /// announces it to the replicas in a bit mask.
    Swap { coordinator: usize, told: usize },
    /// A replica fences a current one, from which it copies next.
    Copy {
        replica: usize,
        source: usize,
        /// Whether it learns the recorded set first.
        learns: bool,
    },
    /// A replica continues its copy.
    CopyParts { replica: usize },
    /// Replicas copy and send logs for a while, in an order that `seed` determines.
    CopyMany { count: usize, seed: u64 },
    /// A coordinator receives a report of a finished copy, which stays in transit.
    DeliverReport { report: usize, coordinator: usize },
    /// A replica sends its log to the replicas that stay after a removal.
    Push { replica: usize },
    /// A replica that has sent its log to all that stay completes a removal.
    CompleteRemoval { replica: usize },
    /// A replica restarts and forgets the copy that it has made.
    Restart { replica: usize },
    /// A replica retires its log if it is closed.
    Retire { replica: usize },
}

/// Kind of a change that a coordinator proposes.
#[derive(Debug, Clone, Copy)]
pub enum Change {
    Replacement,
    Removal {
        member: usize,
    },
    Addition,
    Completion,
    Rollback,
    /// A spare takes any one place of the next set, or of the current one if the set is not joint.
    Exchange {
        place: usize,
    },
}

/// Rule by which a joint set is completed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CompletionRule {
    /// Every joining replica has copied under this version.
    EveryJoiner,
    /// One joining replica has copied under this version.
    FirstJoiner,
}

/// A node that changes the set. What it knows may be out of date.
#[derive(Debug, Clone)]
struct Coordinator {
    set: ReplicaSet,
    copied: BTreeMap<u64, u64>,
    proposal: Option<ReplicaSet>,
}

/// Report of a replica that it has copied the logs under a version of the set.
#[derive(Debug, Clone, Copy)]
struct CopyReport {
    replica: u64,
    version: u64,
}

/// Copy at a replica, in its memory only.
#[derive(Debug, Clone, Default)]
struct CopyTask {
    version: u64,
    copied: BTreeSet<u64>,
    reading: Option<CopiedLog>,
    has_copied: bool,
    pushing: Option<PushedLog>,
    has_pushed: bool,
}

/// Log that a replica copies from another one.
#[derive(Debug, Clone)]
struct CopiedLog {
    source: usize,
    /// `None` until the source, which is fenced already, was asked.
    exported: Option<ExportedLog>,
    position: LogPosition,
}

/// Log that a replica sends to those that stay.
#[derive(Debug, Clone)]
struct PushedLog {
    log: ExportedLog,
    receivers: Vec<usize>,
}

/// State of the changes of the set.
#[derive(Debug)]
pub struct SetChanges {
    rule: CompletionRule,
    /// Number of replicas that the set should have.
    target_count: usize,
    coordinators: [Coordinator; 2],
    tasks: BTreeMap<u64, CopyTask>,
    reports: Vec<CopyReport>,
    /// Number of disks lost since the set was not joint and all its members ran.
    lost_since_whole: usize,
    pub counts: ChangeCounts,
}

/// Numbers of what happened, to check that interleavings exercise something.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ChangeCounts {
    /// Disks lost.
    pub lost: usize,
    /// Disks lost while the set was joint.
    pub lost_while_joint: usize,
    /// Lost replicas that were joining.
    pub lost_joiners: usize,
    /// Proposals refused because another set was recorded.
    pub refused_swaps: usize,
    /// Changes completed in which one replica joined.
    pub completed_by_one: usize,
    /// Changes completed in which several replicas joined.
    pub completed_by_several: usize,
    /// Changes completed that removed replicas only.
    pub removals: usize,
    /// Joint sets that were followed by another joint set.
    pub changed_joint_sets: usize,
    /// Joint sets that were rolled back.
    pub rolled_back: usize,
    /// Reports received for another version than the one that the coordinator knows.
    pub late_reports: usize,
    /// Joining replicas lost after they had reported their copies.
    pub lost_after_report: usize,
    /// Copies, finished or not, that a restart forgot.
    pub forgotten_copies: usize,
    /// Logs retired.
    pub retired: usize,
}

impl ChangeCounts {
    /// Returns the number of changes completed in which replicas joined.
    pub fn replacements(&self) -> usize {
        self.completed_by_one + self.completed_by_several
    }
}

impl SetChanges {
    pub fn new(set: &ReplicaSet, rule: CompletionRule) -> Self {
        let coordinator = Coordinator {
            set: set.clone(),
            copied: BTreeMap::new(),
            proposal: None,
        };
        Self {
            rule,
            target_count: set.current.len(),
            coordinators: [coordinator.clone(), coordinator],
            tasks: BTreeMap::new(),
            reports: Vec::new(),
            lost_since_whole: 0,
            counts: ChangeCounts::default(),
        }
    }

    fn coordinator(&mut self, index: usize) -> &mut Coordinator {
        let count = self.coordinators.len();
        &mut self.coordinators[index % count]
    }

    fn can_complete(&self, set: &ReplicaSet, copied: &BTreeMap<u64, u64>) -> bool {
        match self.rule {
            CompletionRule::EveryJoiner => replica_set::have_all_joined(set, copied),
            CompletionRule::FirstJoiner => replica_set::joining_replicas(set)
                .iter()
                .any(|member| copied.get(&member.replica_id) == Some(&set.version)),
        }
    }
}

impl Simulation {
    pub fn change(&mut self, step: &ChangeStep) {
        match *step {
            ChangeStep::LoseDisks {
                member,
                count,
                come_back,
            } => {
                let members = quorum::members(&self.set);
                let from = member % members.len();
                for member in members.iter().cycle().skip(from).take(count) {
                    self.lose_disk(member.replica_id, come_back);
                }
            }
            ChangeStep::LoseJoiner { joiner, comes_back } => {
                let joining_replicas = replica_set::joining_replicas(&self.set);
                if let Some(id) = pick(&joining_replicas, joiner).map(|joiner| joiner.replica_id) {
                    self.lose_disk(id, comes_back);
                }
            }
            ChangeStep::Propose {
                coordinator,
                change,
                learns,
                missing,
                spares,
                told,
            } => {
                if learns {
                    self.changes.coordinator(coordinator).set = self.set.clone();
                }
                self.propose(coordinator, change, missing, spares);
                if let Some(told) = told {
                    self.swap_proposal(coordinator, told);
                }
            }
            ChangeStep::Swap { coordinator, told } => self.swap_proposal(coordinator, told),
            ChangeStep::Copy {
                replica,
                source,
                learns,
            } => self.start_copy(replica, source, learns),
            ChangeStep::CopyParts { replica } => self.copy_parts(replica),
            ChangeStep::CopyMany { count, seed } => {
                for number in numbers(seed).take(count) {
                    let (kind, number) = (number % 8, number / 8);
                    match kind {
                        0 | 1 => self.start_copy(number, number / 16, true),
                        2 => self.push(number),
                        _ => self.copy_parts(number),
                    }
                }
            }
            ChangeStep::DeliverReport {
                report,
                coordinator,
            } => self.deliver_report(report, coordinator),
            ChangeStep::Push { replica } => self.push(replica),
            ChangeStep::CompleteRemoval { replica } => self.complete_removal(replica),
            ChangeStep::Restart { replica } => {
                if let Some(id) = pick_key(&self.changes.tasks, replica) {
                    self.changes.tasks.remove(&id);
                    self.changes.counts.forgotten_copies += 1;
                    self.drop_messages_of(index_of(id));
                }
            }
            ChangeStep::Retire { replica } => {
                let index = replica % self.replicas.len();
                self.changes.counts.retired += usize::from(self.replicas[index].retire());
            }
        }
    }

    fn lose_disk(&mut self, id: u64, comes_back: bool) {
        let bearable = (self.set.current.len() - 1) / 2;
        if self.is_lost(id) || self.changes.lost_since_whole >= bearable {
            return;
        }
        self.replicas[index_of(id)].lost = true;
        let task = self.changes.tasks.remove(&id);
        let has_reported =
            task.is_some_and(|task| task.has_copied && task.version == self.set.version);
        self.changes.lost_since_whole += 1;
        let is_joint = !self.set.next.is_empty();
        let joining_replicas = replica_set::joining_replicas(&self.set);
        let is_joining = joining_replicas
            .iter()
            .any(|member| member.replica_id == id);
        let counts = &mut self.changes.counts;
        counts.lost += 1;
        counts.lost_while_joint += usize::from(is_joint);
        counts.lost_joiners += usize::from(is_joining);
        counts.lost_after_report += usize::from(is_joining && has_reported);
        if comes_back && self.replicas.len() < MAX_DISKS {
            let id = replica_id(self.replicas.len());
            self.replicas.push(new_replica(id));
        }
    }

    fn propose(&mut self, coordinator: usize, change: Change, missing: usize, spares: usize) {
        let spares = self.known_spares(spares);
        let view = self.changes.coordinator(coordinator).clone();
        let set = &view.set;
        let members = quorum::members(set).into_iter().enumerate();
        let lost = members
            .filter(|(bit, member)| missing & (1 << bit) != 0 || self.is_lost(member.replica_id))
            .map(|(_, member)| member.replica_id)
            .collect();
        let target_count = self.changes.target_count;
        let proposal = match change {
            Change::Replacement => replica_set::propose_replacement(set, &lost, &spares),
            Change::Removal { member } => {
                let leaving = set.current[member % set.current.len()].replica_id;
                replica_set::propose_removal(set, leaving, (target_count - 1).max(2))
            }
            Change::Addition => replica_set::propose_addition(set, target_count, &spares),
            Change::Completion if self.changes.can_complete(set, &view.copied) => {
                replica_set::complete(set)
            }
            Change::Rollback if !set.next.is_empty() => Some(ReplicaSet {
                version: set.version + 1,
                current: set.current.clone(),
                next: Vec::new(),
            }),
            Change::Completion | Change::Rollback => None,
            Change::Exchange { place } => exchange(set, place, spares.first()),
        };
        if proposal.is_some() {
            self.changes.coordinator(coordinator).proposal = proposal;
        }
    }

    /// Returns the running disks, of which members are no spares, from a random one on.
    fn known_spares(&self, number: usize) -> Vec<ReplicaMember> {
        let running = self.replicas.iter().filter(|replica| !replica.lost);
        let mut spares: Vec<_> = running.map(member_of).collect();
        spares.retain(|spare| !contains(&self.set, spare.replica_id));
        let count = spares.len();
        spares.rotate_left(number.checked_rem(count).unwrap_or(0));
        // One in four coordinators knows one spare only, and one in eight none.
        match number % 8 {
            0 => spares.clear(),
            1 | 2 => spares.truncate(1),
            _ => {}
        }
        spares
    }

    fn swap_proposal(&mut self, coordinator: usize, told: usize) {
        if let Some(proposal) = self.changes.coordinator(coordinator).proposal.take() {
            self.swap(proposal, told);
        }
    }

    /// Stores a set if it follows the recorded one.
    fn swap(&mut self, to: ReplicaSet, told: usize) {
        let from = &self.set;
        let counts = &mut self.changes.counts;
        if to.version != from.version + 1 {
            counts.refused_swaps += 1;
            return;
        }
        let joiners = replica_set::joining_replicas(from).len();
        match (from.next.is_empty(), to.next.is_empty()) {
            (false, false) => counts.changed_joint_sets += 1,
            (false, true) if to.current == from.current => counts.rolled_back += 1,
            (false, true) => match joiners {
                0 => counts.removals += 1,
                1 => counts.completed_by_one += 1,
                _ => counts.completed_by_several += 1,
            },
            (true, _) => {}
        }
        let is_completed = to.next.is_empty() && to.current != from.current;
        self.set = to;
        for (bit, replica) in self.replicas.iter_mut().enumerate() {
            let is_told = !replica.lost && told & (1 << bit) != 0;
            if is_told && contains(&self.set, replica.id) {
                replica.apply_replica_set(&self.set);
            }
        }
        let current = &self.set.current;
        let is_whole = self.set.next.is_empty()
            && !current.iter().any(|member| self.is_lost(member.replica_id));
        if is_whole {
            self.changes.lost_since_whole = 0;
        }
        if is_completed {
            self.check_smallest_quorums();
        }
    }

    fn start_copy(&mut self, replica: usize, source: usize, learns: bool) {
        let copiers: Vec<u64> = match learns {
            true => copiers(&self.set),
            false => self
                .replicas
                .iter()
                .filter(|replica| known_copiers(replica).contains(&replica.id))
                .map(|replica| replica.id)
                .collect(),
        };
        let Some(id) = pick(&copiers, replica).copied() else {
            return;
        };
        if self.is_lost(id) {
            return;
        }
        if learns {
            self.replicas[index_of(id)].apply_replica_set(&self.set);
        }
        let Some(set) = self.replicas[index_of(id)].set.clone() else {
            return;
        };
        let isolated = self.isolated;
        let task = self.changes.tasks.entry(id).or_default();
        if task.version != set.version {
            *task = CopyTask {
                version: set.version,
                ..CopyTask::default()
            };
        }
        if set.current.iter().any(|member| member.replica_id == id) {
            task.copied.insert(id);
        }
        let sources = set.current.iter().map(|member| member.replica_id);
        let sources: Vec<u64> = sources.filter(|id| !task.copied.contains(id)).collect();
        let is_needed = !task.has_copied && task.reading.is_none();
        let Some(source) = pick(&sources, source).filter(|_| is_needed) else {
            return;
        };
        if isolated & (1 << index_of(*source) | 1 << index_of(id)) != 0 {
            return;
        }
        let source = &mut self.replicas[index_of(*source)];
        if source.lost {
            return;
        }
        source.apply_replica_set(&set);
        task.reading = Some(CopiedLog {
            source: index_of(source.id),
            exported: None,
            position: LogPosition::default(),
        });
    }

    /// Continues a copy; abandons it if the source was lost or its log has changed, or one of the two
    /// replicas knows a newer set.
    fn copy_parts(&mut self, replica: usize) {
        let is_reading = |(_, task): &(&u64, &CopyTask)| task.reading.is_some();
        let tasks = self.changes.tasks.iter();
        let reading: Vec<u64> = tasks.filter(is_reading).map(|(id, _)| *id).collect();
        let Some(id) = pick(&reading, replica).copied() else {
            return;
        };
        let Some(mut task) = self.changes.tasks.remove(&id) else {
            return;
        };
        if let Some(reading) = task.reading.take() {
            task.reading = self.copy_next(id, &mut task, reading);
        }
        self.changes.tasks.insert(id, task);
    }

    /// Copies the next parts; returns what is left to copy.
    fn copy_next(
        &mut self,
        id: u64,
        task: &mut CopyTask,
        mut reading: CopiedLog,
    ) -> Option<CopiedLog> {
        let source = &self.replicas[reading.source];
        let joining = &self.replicas[index_of(id)];
        let is_isolated = self.is_isolated(reading.source) || self.is_isolated(index_of(id));
        if source.lost || is_isolated || !joining.accepts(task.version) {
            return None;
        }
        let Some(log) = &mut reading.exported else {
            if !source.accepts(task.version) {
                return None;
            }
            let mut log = source.export();
            omit_known(&mut log, &joining.known());
            let size: usize = log.entries.iter().map(|entry| entry.payload.len()).sum();
            if size > self.part_bytes {
                log.entries.clear();
                log.is_long = true;
            }
            reading.exported = Some(log);
            return Some(reading);
        };
        if log.is_long {
            let is_same = source.state.log_epoch == WriterEpoch::from(&log.log_epoch)
                && source.state.retired == log.retired;
            if !is_same {
                return None;
            }
            let end = if log.retired { 1 } else { log.length };
            if reading.position.index < end {
                let parts = parts::split(&source.entries, reading.position, end, self.part_bytes);
                reading.position = LogPosition::end_of(parts.last().expect("progress"));
                let epoch = log.log_epoch.clone();
                self.replicas[index_of(id)].stage(&StageEntries {
                    epoch,
                    parts,
                    ..StageEntries::default()
                });
                return Some(reading);
            }
            log.is_long = false;
            log.staged_length = end;
        }
        if !self.replicas[index_of(id)].import(log) {
            return None;
        }
        task.copied.insert(replica_id(reading.source));
        let set = self.replicas[index_of(id)].set.clone();
        if set.is_some_and(|set| Quorum::new(&set).is_intersected_by(&task.copied)) {
            task.has_copied = true;
            let report = CopyReport {
                replica: id,
                version: task.version,
            };
            self.changes.reports.insert(0, report);
            self.changes.reports.truncate(MAX_REPORTS);
        }
        None
    }

    fn deliver_report(&mut self, report: usize, coordinator: usize) {
        let Some(report) = pick(&self.changes.reports, report).copied() else {
            return;
        };
        let coordinator = self.changes.coordinator(coordinator);
        let is_late = coordinator.set.version != report.version;
        coordinator.copied.insert(report.replica, report.version);
        self.changes.counts.late_reports += usize::from(is_late);
    }

    /// Sends the log of a leaving replica, or of one that stays and has copied the others, to the next
    /// replica that stays. All of them are fenced first.
    fn push(&mut self, replica: usize) {
        let leaving = replica_set::leaving_replicas(&self.set);
        let mut pushers: Vec<u64> = match replica_set::is_shrinking(&self.set) {
            true => leaving.iter().map(|member| member.replica_id).collect(),
            false => Vec::new(),
        };
        let tasks = self.changes.tasks.iter();
        let copied = tasks.filter(|(_, task)| task.has_copied).map(|(id, _)| *id);
        pushers.extend(copied);
        let Some(id) = pick(&pushers, replica).copied() else {
            return;
        };
        if self.is_lost(id) {
            return;
        }
        if leaving.iter().any(|member| member.replica_id == id) {
            self.replicas[index_of(id)].apply_replica_set(&self.set);
        }
        let own = &self.replicas[index_of(id)];
        let Some(set) = own.set.clone().filter(replica_set::is_shrinking) else {
            return;
        };
        let mut task = self.changes.tasks.remove(&id).unwrap_or_default();
        if task.version != set.version {
            task = CopyTask {
                version: set.version,
                ..CopyTask::default()
            };
        }
        let may_push = task.has_copied || replica_set::is_removed_by_shrink(&set, id);
        task.pushing = match task.pushing.take() {
            _ if !may_push || task.has_pushed => None,
            None => self.start_push(id, &set),
            Some(pushing) => self.push_next(&mut task, pushing),
        };
        self.changes.tasks.insert(id, task);
    }

    fn start_push(&mut self, id: u64, set: &ReplicaSet) -> Option<PushedLog> {
        let receivers = set.next.iter().map(|member| member.replica_id);
        let receivers: Vec<u64> = receivers.filter(|receiver| *receiver != id).collect();
        for receiver in &receivers {
            if self.is_lost(*receiver) || self.is_isolated(index_of(*receiver)) {
                return None;
            }
            self.replicas[index_of(*receiver)].apply_replica_set(set);
        }
        let log = self.replicas[index_of(id)].export();
        let receivers = receivers.into_iter().map(index_of).collect();
        Some(PushedLog { log, receivers })
    }

    fn push_next(&mut self, task: &mut CopyTask, mut pushing: PushedLog) -> Option<PushedLog> {
        let receiver = pushing.receivers.pop()?;
        if self.is_isolated(receiver) {
            return None;
        }
        let receiver = &mut self.replicas[receiver];
        if !receiver.accepts(task.version) {
            return None;
        }
        receiver.import(&pushing.log);
        task.has_pushed = pushing.receivers.is_empty();
        Some(pushing)
    }

    fn complete_removal(&mut self, replica: usize) {
        let tasks = self.changes.tasks.values();
        let pushed: Vec<u64> = tasks
            .filter(|task| task.has_pushed)
            .map(|task| task.version)
            .collect();
        let is_current = pick(&pushed, replica) == Some(&self.set.version);
        if is_current
            && replica_set::is_shrinking(&self.set)
            && let Some(complete) = replica_set::complete(&self.set)
        {
            self.swap(complete, replica);
        }
    }

    fn is_lost(&self, id: u64) -> bool {
        self.replicas[index_of(id)].lost
    }
}

/// Returns the set after `set` in which `spare` takes any place, unless it removes replicas.
fn exchange(set: &ReplicaSet, place: usize, spare: Option<&ReplicaMember>) -> Option<ReplicaSet> {
    let mut next = match set.next.is_empty() {
        true => set.current.clone(),
        false => set.next.clone(),
    };
    let place = place % next.len();
    next[place] = spare.filter(|_| !replica_set::is_shrinking(set))?.clone();
    Some(ReplicaSet {
        version: set.version + 1,
        current: set.current.clone(),
        next,
    })
}

/// Returns the replicas that copy logs under a set.
fn copiers(set: &ReplicaSet) -> Vec<u64> {
    let copiers = match replica_set::is_shrinking(set) {
        true => set.next.iter().collect(),
        false => replica_set::joining_replicas(set),
    };
    copiers.iter().map(|member| member.replica_id).collect()
}

fn known_copiers(replica: &SimulatedReplica) -> Vec<u64> {
    replica.set.as_ref().map(copiers).unwrap_or_default()
}

fn contains(set: &ReplicaSet, id: u64) -> bool {
    let members = quorum::members(set);
    members.iter().any(|member| member.replica_id == id)
}

fn pick<T>(items: &[T], number: usize) -> Option<&T> {
    items.get(number.checked_rem(items.len())?)
}

fn pick_key<T>(items: &BTreeMap<u64, T>, number: usize) -> Option<u64> {
    let index = number.checked_rem(items.len())?;
    items.keys().nth(index).copied()
}

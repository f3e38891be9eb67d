//! Exactly-once delivery of a shard despite losses, duplicates, rolls and takeovers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ladderstage::shard::{AttemptId, Pull, PullOutcome, SampleAges, ShardState, split_step};
use ladderstage::staleness::{StalenessBound, append_tokens};
use ladderstage_wire::messages::mod_ShardEntry::OneOfkind as Kind;
use ladderstage_wire::messages::{Sample, SampleSpec, ShardEntry, ShardSpec};
use proptest::prelude::*;

const SLOTS: u32 = 5;
const FIRST_SLOT: u32 = 128;

struct NoAges;

impl SampleAges for NoAges {
    fn age(&self, _: AttemptId) -> Option<Duration> {
        None
    }
}

fn opened(slots: u32) -> ShardEntry {
    let samples = vec![SampleSpec::default(); slots as usize];
    ShardEntry {
        kind: Kind::opened(ShardSpec {
            trainer: "trainer".to_owned(),
            step: 4,
            first_slot: FIRST_SLOT,
            samples,
            ..ShardSpec::default()
        }),
    }
}

fn sample(id: AttemptId, version: u64) -> Sample {
    let mut segments = Vec::new();
    append_tokens(&mut segments, version, 3);
    Sample {
        slot: id.slot,
        attempt: id.attempt,
        text: format!("{}.{}", id.slot, id.attempt),
        segments,
        ..Sample::default()
    }
}

fn bound(weight_version: u64, versions: u64) -> StalenessBound {
    StalenessBound {
        weight_version,
        versions,
        age: None,
    }
}

#[derive(Debug, Clone)]
enum Step {
    /// The owner runs the next attempt with a version `lag` away from the one in force.
    Generate {
        pick: usize,
        lag: i8,
    },
    /// A pull with a cursor that the trainer has held (0 is the newest) at one of the owners (0 is
    /// the current one).
    Pull {
        cursor: usize,
        owner: usize,
        max: usize,
        fate: Fate,
    },
    /// A response in transit arrives at the trainer.
    Arrive {
        pick: usize,
    },
    Roll {
        versions: u64,
    },
    /// A new owner takes over; a prefix of the previous owner's uncommitted entries may survive.
    TakeOver {
        surviving: usize,
    },
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Fate {
    Arrives,
    Late,
    /// The journal append ends without a quorum.
    Uncommitted,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let fate = prop_oneof![
        4 => Just(Fate::Arrives),
        3 => Just(Fate::Late),
        2 => Just(Fate::Uncommitted),
    ];
    let step = prop_oneof![
        5 => (0..8usize, -2..2i8).prop_map(|(pick, lag)| Step::Generate { pick, lag }),
        6 => (0..4usize, 0..3usize, 1..4usize, fate)
            .prop_map(|(cursor, owner, max, fate)| Step::Pull { cursor, owner, max, fate }),
        3 => (0..8usize).prop_map(|pick| Step::Arrive { pick }),
        1 => (0..3u64).prop_map(|versions| Step::Roll { versions }),
        1 => (0..4usize).prop_map(|surviving| Step::TakeOver { surviving }),
    ];
    prop::collection::vec(step, 0..80)
}

struct Response {
    asked_after: u64,
    answer: u64,
    samples: Vec<AttemptId>,
    complete: bool,
}

struct Model {
    log: Vec<ShardEntry>,
    /// States of the owners, the current one last; the others are paused and have not seen later
    /// entries.
    owners: Vec<ShardState>,
    /// Entries whose append ended without a quorum.
    uncommitted: Vec<ShardEntry>,
    bound: StalenessBound,
    in_transit: Vec<Response>,
    /// Cursors that the trainer has held, the current one last.
    cursors: Vec<u64>,
    received: BTreeMap<u32, u32>,
    complete: bool,
}

impl Model {
    fn new() -> Self {
        let log = vec![opened(SLOTS)];
        Self {
            owners: vec![ShardState::from_entries(&log)],
            log,
            uncommitted: Vec::new(),
            bound: bound(10, 1),
            in_transit: Vec::new(),
            cursors: vec![0],
            received: BTreeMap::new(),
            complete: false,
        }
    }

    fn owner(&self) -> &ShardState {
        self.owners.last().unwrap()
    }

    fn cursor(&self) -> u64 {
        *self.cursors.last().unwrap()
    }

    fn commit(&mut self, entries: Vec<ShardEntry>) {
        let entries = [std::mem::take(&mut self.uncommitted), entries].concat();
        for entry in entries {
            assert!(self.owners.last_mut().unwrap().apply(&entry), "{entry:?}");
            self.log.push(entry);
        }
    }

    fn generate(&mut self, pick: usize, lag: i8) {
        self.commit(Vec::new());
        let needed = self.owner().needed_attempts(&BTreeSet::new());
        if needed.is_empty() {
            return;
        }
        let id = needed[pick % needed.len()].id;
        let version = self.bound.weight_version.saturating_add_signed(lag.into());
        let entry = self.owner().commit_entry(&sample(id, version)).unwrap();
        self.commit(vec![entry]);
    }

    fn pull(&mut self, cursor: usize, owner: usize, max: usize, fate: Fate) {
        let asked_after = self.cursors[self.cursors.len().saturating_sub(1 + cursor)];
        let index = self.owners.len().saturating_sub(1 + owner);
        let is_present = index + 1 == self.owners.len();
        if is_present {
            self.commit(Vec::new());
        }
        let pull = Pull {
            after_answer: asked_after,
            max_samples: max,
        };
        let decision = self.owners[index].pull(pull, &self.bound, &NoAges);
        if !is_present && !decision.entries.is_empty() {
            return; // fenced
        }
        if fate == Fate::Uncommitted {
            self.uncommitted = decision.entries;
            return;
        }
        if !decision.entries.is_empty() {
            self.commit(decision.entries);
        }
        let (answer, samples) = match decision.outcome {
            PullOutcome::Answer { answer, samples } => (answer, samples),
            PullOutcome::Complete => (asked_after, Vec::new()),
            PullOutcome::Superseded => {
                assert_ne!(
                    asked_after,
                    self.cursor(),
                    "the newest cursor is superseded"
                );
                return;
            }
            PullOutcome::UnknownAnswer => {
                assert!(!is_present, "the current owner lacks a committed answer");
                return;
            }
            PullOutcome::Wait => return,
        };
        assert!(samples.len() <= max);
        for id in &samples {
            let sample = self.owners[index]
                .sample(*id)
                .expect("the owner holds the sample");
            assert!(self.bound.admits_versions(&sample.segments), "stale {id:?}");
        }
        let complete = samples.is_empty();
        self.in_transit.push(Response {
            asked_after,
            answer,
            samples,
            complete,
        });
        if fate == Fate::Arrives {
            self.arrive(self.in_transit.len() - 1);
        }
    }

    /// Delivers a response. The trainer accepts one response per cursor; duplicates may arrive.
    fn arrive(&mut self, pick: usize) {
        let Some(response) = self.in_transit.get(pick) else {
            return;
        };
        if response.asked_after != self.cursor() {
            return;
        }
        if response.complete {
            assert_eq!(
                self.received.len(),
                SLOTS as usize,
                "complete before all slots were received"
            );
            self.complete = true;
            return;
        }
        for id in &response.samples {
            let earlier = self.received.insert(id.slot, id.attempt);
            assert_eq!(earlier, None, "slot {} received twice", id.slot);
        }
        self.cursors.push(response.answer);
    }

    fn take_over(&mut self, surviving: usize) {
        let tail = std::mem::take(&mut self.uncommitted);
        self.log.extend(tail.into_iter().take(surviving));
        self.owners.push(ShardState::from_entries(&self.log));
    }

    fn run(&mut self, step: Step) {
        match step {
            Step::Generate { pick, lag } => self.generate(pick, lag),
            Step::Pull {
                cursor,
                owner,
                max,
                fate,
            } => self.pull(cursor, owner, max, fate),
            Step::Arrive { pick } => self.arrive(pick),
            Step::Roll { versions } => {
                self.bound = bound(self.bound.weight_version + 1, versions);
                if self.uncommitted.is_empty() {
                    let stale = self.owner().discard_entries(&self.bound, &NoAges);
                    self.commit(stale);
                }
            }
            Step::TakeOver { surviving } => self.take_over(surviving),
        }
    }

    /// Runs without faults until the trainer has received all samples.
    fn finish(&mut self) {
        for _ in 0..4 * SLOTS {
            self.generate(0, 0);
            self.pull(0, 0, 2, Fate::Arrives);
        }
        assert!(self.complete);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, ..ProptestConfig::default() })]

    #[test]
    fn every_slot_is_received_exactly_once(steps in steps()) {
        let mut model = Model::new();
        for step in steps {
            model.run(step);
        }
        model.finish();
        prop_assert_eq!(model.received.len(), SLOTS as usize);
        prop_assert_eq!(ShardState::from_entries(&model.log), model.owner().clone());
    }

    /// Guards against duplicated log entries: applying a log twice must give the same state.
    #[test]
    fn contradicting_entries_change_nothing(steps in steps()) {
        let mut model = Model::new();
        for step in steps {
            model.run(step);
        }
        let mut state = ShardState::from_entries(&model.log);
        let before = state.clone();
        for entry in &model.log {
            prop_assert!(!state.apply(entry), "applied twice: {:?}", entry);
        }
        prop_assert_eq!(state, before);
    }
}

fn committed(state: &mut ShardState, slot: u32, version: u64) {
    let needed = state.needed_attempts(&BTreeSet::new());
    let need = needed.iter().find(|need| need.id.slot == slot).unwrap();
    let entry = state.commit_entry(&sample(need.id, version)).unwrap();
    assert!(state.apply(&entry));
}

fn pull_and_commit(state: &mut ShardState, after_answer: u64, in_force: u64) -> PullOutcome {
    let pull = Pull {
        after_answer,
        max_samples: 10,
    };
    let decision = state.pull(pull, &bound(in_force, 0), &NoAges);
    for entry in &decision.entries {
        assert!(state.apply(entry));
    }
    decision.outcome
}

#[test]
fn samples_are_delivered_in_commit_order_and_repeated_until_acknowledged() {
    let mut state = ShardState::from_entries(&[opened(3)]);
    committed(&mut state, FIRST_SLOT + 2, 1);
    committed(&mut state, FIRST_SLOT, 1);
    let first = pull_and_commit(&mut state, 0, 1);
    let PullOutcome::Answer { answer, samples } = &first else {
        panic!("{first:?}");
    };
    let slots: Vec<u32> = samples.iter().map(|id| id.slot).collect();
    assert_eq!(slots, [FIRST_SLOT + 2, FIRST_SLOT]);
    committed(&mut state, FIRST_SLOT + 1, 1);
    assert_eq!(pull_and_commit(&mut state, 0, 1), first);
    assert!(matches!(
        pull_and_commit(&mut state, *answer, 1),
        PullOutcome::Answer { .. }
    ));
    assert_eq!(pull_and_commit(&mut state, 0, 1), PullOutcome::Superseded);
}

#[test]
fn an_attempt_received_before_its_replacement_counts() {
    let mut state = ShardState::from_entries(&[opened(1)]);
    committed(&mut state, FIRST_SLOT, 1);
    let PullOutcome::Answer { answer, .. } = pull_and_commit(&mut state, 0, 1) else {
        panic!("no answer");
    };
    assert_eq!(pull_and_commit(&mut state, 0, 2), PullOutcome::Wait);
    let needed = state.needed_attempts(&BTreeSet::new());
    assert!(needed[0].is_regeneration);
    committed(&mut state, FIRST_SLOT, 2);
    assert_eq!(
        pull_and_commit(&mut state, answer, 2),
        PullOutcome::Complete
    );
    assert!(state.is_complete());
}

#[test]
fn regenerated_attempts_go_first_then_the_longest() {
    let mut state = ShardState::from_entries(&[opened(3)]);
    committed(&mut state, FIRST_SLOT + 1, 1);
    for entry in state.discard_entries(&bound(5, 1), &NoAges) {
        assert!(state.apply(&entry));
    }
    let order: Vec<(u32, u32)> = state
        .needed_attempts(&BTreeSet::from([FIRST_SLOT]))
        .iter()
        .map(|need| (need.id.slot, need.id.attempt))
        .collect();
    assert_eq!(order, [(FIRST_SLOT + 1, 2), (FIRST_SLOT + 2, 1)]);
}

#[test]
fn splitting_a_step_keeps_all_samples() {
    let spec = ShardSpec {
        samples: vec![SampleSpec::default(); 300],
        ..ShardSpec::default()
    };
    let shards = split_step(&spec);
    let sizes: Vec<(u32, usize)> = shards
        .iter()
        .map(|shard| (shard.first_slot, shard.samples.len()))
        .collect();
    assert_eq!(sizes, [(0, 128), (128, 128), (256, 44)]);
    assert!(shards.iter().all(|shard| shard.shard_count == 3));
}

#[test]
fn only_one_of_two_answers_on_one_base_is_acknowledged() {
    let mut state = ShardState::from_entries(&[opened(2)]);
    committed(&mut state, FIRST_SLOT, 1);
    let PullOutcome::Answer { answer: first, .. } = pull_and_commit(&mut state, 0, 1) else {
        panic!("no answer");
    };
    for entry in state.discard_entries(&bound(2, 0), &NoAges) {
        assert!(state.apply(&entry));
    }
    committed(&mut state, FIRST_SLOT + 1, 2);
    let PullOutcome::Answer { answer: second, .. } = pull_and_commit(&mut state, 0, 2) else {
        panic!("no answer");
    };
    assert!(second > first);
    pull_and_commit(&mut state, second, 2);
    assert_eq!(
        pull_and_commit(&mut state, first, 2),
        PullOutcome::Superseded
    );
}

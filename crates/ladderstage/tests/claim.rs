//! Claims of idempotency keys: the request of one key runs at most once, whatever the journal
//! answers and in any order.

use ladderstage::claim::{
    AppendResult, ClaimRefusal, ClaimState, ClaimStep, Claimant, Settlement, TakeOverResult,
};
use ladderstage_wire::messages::{ClaimEntry, ClaimOutcome};
use proptest::prelude::*;

/// Model of a log: an append without an answer stays undecided until the next takeover.
#[derive(Default)]
struct ModelLog {
    epoch: u64,
    committed: Vec<ClaimEntry>,
    undecided: Option<ClaimEntry>,
}

impl ModelLog {
    fn take_over(&mut self, choice: u8) -> TakeOverResult {
        match choice % 8 {
            0 => return TakeOverResult::Fenced,
            1 => return TakeOverResult::NoQuorum,
            2 => {
                self.epoch += 1;
                return TakeOverResult::NoQuorum;
            }
            // A replica of the majority that answered holds the undecided entry.
            3..=5 => self.committed.extend(self.undecided.take()),
            _ => self.undecided = None,
        }
        self.epoch += 1;
        TakeOverResult::Acquired(ClaimState::fold(&self.committed))
    }

    /// Returns the state for a reader, whose quorum may or may not include the replica with the
    /// undecided entry.
    fn read_unfenced(&self, choice: u8) -> ClaimState {
        let undecided = self.undecided.iter().filter(|_| choice % 2 == 0);
        ClaimState::fold(self.committed.iter().chain(undecided))
    }

    fn append(&mut self, epoch: u64, entry: ClaimEntry, choice: u8) -> AppendResult {
        if epoch != self.epoch {
            let fenced = choice % 2 == 0;
            return if fenced {
                AppendResult::Fenced
            } else {
                AppendResult::NoQuorum
            };
        }
        match choice % 6 {
            0 => {}
            1 => self.undecided = Some(entry),
            2 => self.committed.push(entry),
            _ => {
                self.committed.push(entry);
                return AppendResult::Committed;
            }
        }
        AppendResult::NoQuorum
    }
}

enum Phase {
    Claiming(ClaimStep),
    Running,
    /// Recording the outcome, through the log taken over at this epoch, if any.
    Settling(Settlement, Option<u64>),
    Done,
}

struct Actor {
    claimant: Claimant,
    epoch: u64,
    phase: Phase,
    ran: bool,
    refusal: Option<ClaimRefusal>,
    /// Whether the actor has read the log without fencing before this takeover.
    has_read_unfenced: bool,
}

impl Actor {
    fn new(id: u64, digest: u8) -> Self {
        Self {
            claimant: Claimant::new(id, vec![digest]),
            epoch: 0,
            phase: Phase::Claiming(ClaimStep::TakeOver),
            ran: false,
            refusal: None,
            has_read_unfenced: false,
        }
    }

    fn step(&mut self, log: &mut ModelLog, choice: u8) {
        self.phase = match std::mem::replace(&mut self.phase, Phase::Done) {
            Phase::Claiming(ClaimStep::TakeOver)
                if !std::mem::replace(&mut self.has_read_unfenced, true) =>
            {
                Phase::Claiming(
                    self.claimant
                        .after_unfenced_read(&log.read_unfenced(choice)),
                )
            }
            Phase::Claiming(ClaimStep::TakeOver) => {
                self.has_read_unfenced = false;
                let result = log.take_over(choice);
                self.epoch = log.epoch;
                Phase::Claiming(self.claimant.after_take_over(result))
            }
            Phase::Claiming(ClaimStep::Append(entry)) => {
                let result = log.append(self.epoch, entry, choice);
                Phase::Claiming(self.claimant.after_append(result))
            }
            Phase::Claiming(ClaimStep::Dispatch) => Phase::Running,
            Phase::Claiming(ClaimStep::Refuse(refusal)) => {
                self.refusal = Some(refusal);
                Phase::Done
            }
            Phase::Running => self.run(choice),
            Phase::Settling(settlement, None) => self.reopen(log, settlement, choice),
            Phase::Settling(settlement, Some(epoch)) => {
                let entry = settlement.clone().into_entry();
                match log.append(epoch, entry, choice) {
                    AppendResult::Committed => Phase::Done,
                    _ => Phase::Settling(settlement, None),
                }
            }
            Phase::Done => Phase::Done,
        };
    }

    fn run(&mut self, choice: u8) -> Phase {
        let settlement = match choice % 3 {
            0 => Settlement::Released,
            1 => Settlement::Unknown,
            _ => Settlement::Answered(answer(self.claimant.id())),
        };
        self.ran = settlement != Settlement::Released;
        Phase::Settling(settlement, Some(self.epoch))
    }

    fn reopen(&mut self, log: &mut ModelLog, settlement: Settlement, choice: u8) -> Phase {
        match log.take_over(choice) {
            TakeOverResult::Acquired(state) if state.is_open_for(self.claimant.id()) => {
                Phase::Settling(settlement, Some(log.epoch))
            }
            TakeOverResult::Acquired(_) => Phase::Done,
            _ => Phase::Settling(settlement, None),
        }
    }

    fn is_running(&self) -> bool {
        matches!(self.phase, Phase::Running)
    }
}

fn answer(claimant: u64) -> ClaimOutcome {
    ClaimOutcome {
        status: 200,
        body: claimant.to_be_bytes().to_vec(),
        body_kept: true,
        ..ClaimOutcome::default()
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4000))]

    #[test]
    fn one_key_runs_at_most_once(schedule in prop::collection::vec((0usize..3, any::<u8>()), 0..60)) {
        let mut log = ModelLog::default();
        let mut actors: Vec<Actor> = (1..=3).map(|id| Actor::new(id, 7)).collect();
        for (index, choice) in schedule {
            actors[index].step(&mut log, choice);
            let running = actors.iter().filter(|actor| actor.is_running()).count();
            let ran = actors.iter().filter(|actor| actor.ran).count();
            prop_assert!(running + ran <= 1, "{running} running, {ran} ran");
        }
        for actor in &actors {
            if let Some(ClaimRefusal::Replay(outcome)) = &actor.refusal {
                let source = actors.iter().find(|other| answer(other.claimant.id()) == *outcome);
                prop_assert!(source.is_some_and(|source| source.ran));
            }
        }
    }
}

/// Runs one actor on a log on which all calls succeed.
fn run_alone(log: &mut ModelLog, mut actor: Actor, run_choice: u8) -> Actor {
    for _ in 0..10 {
        let choice = if actor.is_running() { run_choice } else { 5 };
        actor.step(log, choice);
    }
    actor
}

#[test]
fn a_second_request_gets_the_outcome_of_the_first() {
    let mut log = ModelLog::default();
    let released = run_alone(&mut log, Actor::new(1, 7), 0);
    assert!(!released.ran);
    let answered = run_alone(&mut log, Actor::new(2, 7), 2);
    assert!(answered.ran, "a released key may be claimed again");
    let replayed = run_alone(&mut log, Actor::new(3, 7), 2);
    assert_eq!(replayed.refusal, Some(ClaimRefusal::Replay(answer(2))));
    let other_body = run_alone(&mut log, Actor::new(4, 8), 2);
    assert_eq!(other_body.refusal, Some(ClaimRefusal::KeyReused));
}

#[test]
fn not_run_is_never_answered_once_the_claim_may_be_stored() {
    let mut claimant = Claimant::new(1, vec![7]);
    let refuse = |refusal| ClaimStep::Refuse(refusal);
    let mut untouched = claimant.clone();
    let step = untouched.after_take_over(TakeOverResult::NoQuorum);
    assert_eq!(step, refuse(ClaimRefusal::NotRun));
    claimant.after_take_over(TakeOverResult::Acquired(ClaimState::Unclaimed));
    assert_eq!(
        claimant.after_append(AppendResult::NoQuorum),
        ClaimStep::TakeOver
    );
    let step = claimant.after_take_over(TakeOverResult::NoQuorum);
    assert_eq!(step, refuse(ClaimRefusal::Unknown));
    let retired = Claimant::new(2, vec![7]).after_take_over(TakeOverResult::Retired);
    assert_eq!(retired, refuse(ClaimRefusal::Unknown));
}

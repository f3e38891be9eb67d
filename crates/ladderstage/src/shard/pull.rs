//! What a trainer's cursor acknowledges, and what it is handed next.

use std::collections::BTreeSet;
use std::time::Duration;

use ladderstage_wire::messages::mod_ShardEntry::OneOfkind as Kind;
use ladderstage_wire::messages::{Acknowledged, HandOut, ShardEntry};

use super::attempts::discarded;
use super::state::Answer;
use super::{AttemptId, ShardState};
use crate::staleness::StalenessBound;

/// How old committed samples are, as far as their owner knows.
pub trait SampleAges {
    /// Time since the first token of an attempt; `None`: unknown, as after a takeover.
    fn age(&self, id: AttemptId) -> Option<Duration>;
}

/// One question of a trainer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pull {
    /// The answer that it took last; 0: none.
    pub after_answer: u64,
    /// Most samples that it wants; 0 counts as 1.
    pub max_samples: usize,
}

/// What to journal, and what to reply once that is committed.
#[derive(Debug, Clone, PartialEq)]
pub struct PullDecision {
    /// Entries that must be committed before the reply leaves.
    pub entries: Vec<ShardEntry>,
    /// The reply.
    pub outcome: PullOutcome,
}

/// Reply to one question of a trainer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PullOutcome {
    /// Samples to hand out, in commit order.
    Answer {
        /// Acknowledges these samples when it comes back as `after_answer`.
        answer: u64,
        /// What is handed out.
        samples: Vec<AttemptId>,
    },
    /// Nothing fresh yet.
    Wait,
    /// Every slot is settled.
    Complete,
    /// Another answer was acknowledged instead of the one asked after.
    Superseded,
    /// The answer asked after is newer than this state: its reader is not the owner (any more).
    UnknownAnswer,
}

impl PullDecision {
    fn without_entries(outcome: PullOutcome) -> Self {
        Self {
            entries: Vec::new(),
            outcome,
        }
    }
}

impl ShardState {
    /// Decides on a trainer's question. Nothing in the reply is stale against `bound`.
    pub fn pull(&self, pull: Pull, bound: &StalenessBound, ages: &dyn SampleAges) -> PullDecision {
        if pull.after_answer == self.acknowledged {
            return self.pull_on_path(pull, None, bound, ages);
        }
        let taken = self
            .open_answers
            .iter()
            .find(|answer| answer.id == pull.after_answer);
        match taken {
            Some(taken) => self.pull_on_path(pull, Some(taken), bound, ages),
            None if pull.after_answer > self.last_answer => {
                PullDecision::without_entries(PullOutcome::UnknownAnswer)
            }
            None => PullDecision::without_entries(PullOutcome::Superseded),
        }
    }

    fn pull_on_path(
        &self,
        pull: Pull,
        taken: Option<&Answer>,
        bound: &StalenessBound,
        ages: &dyn SampleAges,
    ) -> PullDecision {
        let max_samples = pull.max_samples.max(1);
        let mut entries = Vec::new();
        if let Some(taken) = taken {
            entries.push(acknowledged(taken.id));
        }
        let waiting = self.waiting_after(taken);
        let (fresh, stale): (Vec<_>, Vec<_>) = waiting
            .into_iter()
            .partition(|id| self.is_fresh(*id, bound, ages));
        entries.extend(stale.into_iter().map(discarded));
        let repeated = match taken {
            // No answer can follow one that was not acknowledged before.
            Some(_) => None,
            None => self.open_answer(max_samples, &fresh),
        };
        let outcome = match repeated {
            Some(open) => PullOutcome::Answer {
                answer: open.id,
                samples: open.samples.clone(),
            },
            None => self.new_answer(fresh, taken, max_samples),
        };
        if let PullOutcome::Answer { answer, samples } = &outcome
            && *answer > self.last_answer
        {
            entries.push(handed_out(*answer, pull.after_answer, samples));
        }
        PullDecision { entries, outcome }
    }

    /// Live attempts of unsettled slots in commit order, without the slots that `taken` settles.
    fn waiting_after(&self, taken: Option<&Answer>) -> Vec<AttemptId> {
        let settled: BTreeSet<u32> = taken
            .into_iter()
            .flat_map(|answer| answer.samples.iter())
            .map(|id| id.slot)
            .collect();
        self.commit_order
            .iter()
            .copied()
            .filter(|id| !settled.contains(&id.slot) && self.live_attempt(*id).is_some())
            .collect()
    }

    /// The newest open answer that fits and is wholly fresh.
    fn open_answer(&self, max_samples: usize, fresh: &[AttemptId]) -> Option<&Answer> {
        let fresh: BTreeSet<AttemptId> = fresh.iter().copied().collect();
        self.open_answers.iter().rev().find(|answer| {
            answer.samples.len() <= max_samples
                && answer.samples.iter().all(|id| fresh.contains(id))
        })
    }

    fn new_answer(
        &self,
        mut fresh: Vec<AttemptId>,
        taken: Option<&Answer>,
        max_samples: usize,
    ) -> PullOutcome {
        if fresh.is_empty() {
            return match self.is_complete_after(taken) {
                true => PullOutcome::Complete,
                false => PullOutcome::Wait,
            };
        }
        fresh.truncate(max_samples);
        PullOutcome::Answer {
            answer: self.last_answer + 1,
            samples: fresh,
        }
    }

    fn is_complete_after(&self, taken: Option<&Answer>) -> bool {
        let Some(spec) = &self.spec else {
            return false;
        };
        let settles =
            |slot: u32| taken.is_some_and(|answer| answer.samples.iter().any(|id| id.slot == slot));
        self.slots
            .iter()
            .enumerate()
            .all(|(index, slot)| slot.settled.is_some() || settles(spec.first_slot + index as u32))
    }
}

fn acknowledged(answer: u64) -> ShardEntry {
    ShardEntry {
        kind: Kind::acknowledged(Acknowledged { answer }),
    }
}

fn handed_out(answer: u64, base: u64, samples: &[AttemptId]) -> ShardEntry {
    ShardEntry {
        kind: Kind::handed_out(HandOut {
            answer,
            base,
            samples: samples.iter().map(|id| (*id).into()).collect(),
        }),
    }
}

//! Handling of trainer pulls: acknowledges the previous answer and selects the next one.

use std::collections::BTreeSet;
use std::time::Duration;

use ladderstage_wire::messages::mod_ShardEntry::OneOfkind as Kind;
use ladderstage_wire::messages::{Acknowledged, HandOut, ShardEntry};

use super::attempts::discard_entry;
use super::state::Answer;
use super::{AttemptId, ShardState};
use crate::staleness::StalenessBound;

/// Ages of committed samples as known to the shard's owner.
pub trait SampleAges {
    /// Returns the time since the first token of an attempt; `None` if unknown, as after a
    /// takeover.
    fn age(&self, id: AttemptId) -> Option<Duration>;
}

/// A pull request of a trainer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pull {
    /// Last answer that the trainer received; 0 means none.
    pub after_answer: u64,
    /// Maximum number of samples to return; 0 counts as 1.
    pub max_samples: usize,
}

/// Entries to commit and the reply to send afterwards.
#[derive(Debug, Clone, PartialEq)]
pub struct PullDecision {
    /// Entries that must be committed before the reply is sent.
    pub entries: Vec<ShardEntry>,
    /// Reply to the trainer.
    pub outcome: PullOutcome,
}

/// Reply to a pull request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PullOutcome {
    /// Samples to deliver, in commit order.
    Answer {
        /// Id of the answer; acknowledges its samples when it is returned as `after_answer`.
        answer: u64,
        /// Delivered samples.
        samples: Vec<AttemptId>,
    },
    /// No fresh sample is available yet.
    Wait,
    /// Every slot is settled.
    Complete,
    /// Another answer was acknowledged instead of the one that the pull refers to.
    Superseded,
    /// The answer that the pull refers to is newer than this state, so this process is not, or is
    /// no longer, the owner.
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
    /// Decides on a pull: returns the entries to commit (the acknowledgement of the answer that the
    /// trainer received, discards of stale samples, and a new answer) and the reply. The reply
    /// contains no sample that is stale under `bound`.
    pub fn pull(&self, pull: Pull, bound: &StalenessBound, ages: &dyn SampleAges) -> PullDecision {
        if pull.after_answer == self.acknowledged {
            return self.pull_from(pull, None, bound, ages);
        }
        let acked = self
            .unacknowledged_answers
            .iter()
            .find(|answer| answer.id == pull.after_answer);
        match acked {
            Some(acked) => self.pull_from(pull, Some(acked), bound, ages),
            None if pull.after_answer > self.last_answer => {
                PullDecision::without_entries(PullOutcome::UnknownAnswer)
            }
            None => PullDecision::without_entries(PullOutcome::Superseded),
        }
    }

    fn pull_from(
        &self,
        pull: Pull,
        acked: Option<&Answer>,
        bound: &StalenessBound,
        ages: &dyn SampleAges,
    ) -> PullDecision {
        let max_samples = pull.max_samples.max(1);
        let mut entries = Vec::new();
        if let Some(acked) = acked {
            entries.push(acknowledged(acked.id));
        }
        let deliverable = self.deliverable_after(acked);
        let (fresh, stale): (Vec<_>, Vec<_>) = deliverable
            .into_iter()
            .partition(|id| self.is_fresh(*id, bound, ages));
        entries.extend(stale.into_iter().map(discard_entry));
        let repeated = match acked {
            // No answer can follow one that is only acknowledged now.
            Some(_) => None,
            None => self.reusable_answer(max_samples, &fresh),
        };
        let outcome = match repeated {
            Some(open) => PullOutcome::Answer {
                answer: open.id,
                samples: open.samples.clone(),
            },
            None => self.new_answer(fresh, acked, max_samples),
        };
        if let PullOutcome::Answer { answer, samples } = &outcome
            && *answer > self.last_answer
        {
            entries.push(handed_out(*answer, pull.after_answer, samples));
        }
        PullDecision { entries, outcome }
    }

    /// Returns the live attempts of unsettled slots in commit order, without the slots that
    /// `acked` settles.
    fn deliverable_after(&self, acked: Option<&Answer>) -> Vec<AttemptId> {
        let settled: BTreeSet<u32> = acked
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

    /// Returns the newest unacknowledged answer that has at most `max_samples` samples, all of them
    /// fresh.
    fn reusable_answer(&self, max_samples: usize, fresh: &[AttemptId]) -> Option<&Answer> {
        let fresh: BTreeSet<AttemptId> = fresh.iter().copied().collect();
        self.unacknowledged_answers.iter().rev().find(|answer| {
            answer.samples.len() <= max_samples
                && answer.samples.iter().all(|id| fresh.contains(id))
        })
    }

    fn new_answer(
        &self,
        mut fresh: Vec<AttemptId>,
        acked: Option<&Answer>,
        max_samples: usize,
    ) -> PullOutcome {
        if fresh.is_empty() {
            return match self.is_complete_after(acked) {
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

    fn is_complete_after(&self, acked: Option<&Answer>) -> bool {
        let Some(spec) = &self.spec else {
            return false;
        };
        let settles =
            |slot: u32| acked.is_some_and(|answer| answer.samples.iter().any(|id| id.slot == slot));
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

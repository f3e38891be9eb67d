//! Selects the slots that need an attempt, and builds the log entries that commit generated samples
//! or discard stale ones.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use ladderstage_wire::messages::mod_ShardEntry::OneOfkind as Kind;
use ladderstage_wire::messages::{Discarded, Sample, SampleSpec, ShardEntry};

use super::{AttemptId, SampleAges, ShardState};
use crate::staleness::StalenessBound;

/// An attempt to run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NeededAttempt {
    /// Slot and number of the attempt.
    pub id: AttemptId,
    /// Whether an earlier attempt of the slot became stale; such attempts run before all others.
    pub is_regeneration: bool,
    /// Expected length in tokens; the maximum length if the trainer gave none.
    pub expected_tokens: u32,
}

impl ShardState {
    /// Returns the attempts to run for slots that are not `in_flight`: regenerations first, then by
    /// descending expected length.
    pub fn needed_attempts(&self, in_flight: &BTreeSet<u32>) -> Vec<NeededAttempt> {
        let Some(spec) = &self.spec else {
            return Vec::new();
        };
        let mut needed = Vec::new();
        for (index, slot) in self.slots.iter().enumerate() {
            let slot_number = spec.first_slot + index as u32;
            if slot.settled.is_some() || slot.has_live_attempt() || in_flight.contains(&slot_number)
            {
                continue;
            }
            let last_attempt = slot.attempts.keys().next_back().copied().unwrap_or(0);
            needed.push(NeededAttempt {
                id: AttemptId {
                    slot: slot_number,
                    attempt: last_attempt + 1,
                },
                is_regeneration: last_attempt > 0,
                expected_tokens: expected_tokens(&spec.samples[index]),
            });
        }
        needed.sort_by_key(|need| {
            let longest_first = Reverse(need.expected_tokens);
            (!need.is_regeneration, longest_first, need.id)
        });
        needed
    }

    /// Returns whether the slot exists, is not settled and has no live attempt.
    pub fn needs_attempt(&self, slot: u32) -> bool {
        self.slot(slot)
            .is_some_and(|slot| slot.settled.is_none() && !slot.has_live_attempt())
    }

    /// Returns the entry that commits a generated sample; `None` if its slot is settled, has a live
    /// attempt or is unknown. The prompt, trainer and step are left out because the spec holds
    /// them.
    pub fn commit_entry(&self, sample: &Sample) -> Option<ShardEntry> {
        let slot = self.slot(sample.slot)?;
        if !self.needs_attempt(sample.slot) || slot.attempts.contains_key(&sample.attempt) {
            return None;
        }
        let kept = Sample {
            trainer: String::new(),
            step: 0,
            prompt: String::new(),
            ..sample.clone()
        };
        Some(ShardEntry {
            kind: Kind::committed(kept),
        })
    }

    /// Returns the entries that discard the committed attempts that exceed the staleness bound.
    pub fn discard_entries(
        &self,
        bound: &StalenessBound,
        ages: &dyn SampleAges,
    ) -> Vec<ShardEntry> {
        self.commit_order
            .iter()
            .filter(|id| self.live_attempt(**id).is_some() && !self.is_fresh(**id, bound, ages))
            .map(|id| discard_entry(*id))
            .collect()
    }

    pub(super) fn is_fresh(
        &self,
        id: AttemptId,
        bound: &StalenessBound,
        ages: &dyn SampleAges,
    ) -> bool {
        self.live_attempt(id)
            .is_some_and(|attempt| bound.admits(&attempt.sample.segments, ages.age(id)))
    }
}

pub(super) fn discard_entry(id: AttemptId) -> ShardEntry {
    ShardEntry {
        kind: Kind::discarded(Discarded {
            sample: Some(id.into()),
        }),
    }
}

fn expected_tokens(sample: &SampleSpec) -> u32 {
    match sample.expected_tokens {
        0 => sample.max_tokens,
        expected => expected.min(sample.max_tokens),
    }
}

//! State of a shard, computed from its log.

use std::collections::BTreeMap;

use ladderstage_wire::messages::mod_ShardEntry::OneOfkind as Kind;
use ladderstage_wire::messages::{HandOut, Sample, ShardEntry, ShardSpec, SlotAttempt};

/// Identity of one attempt at one slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId {
    /// Slot within the step.
    pub slot: u32,
    /// Attempt number, from 1.
    pub attempt: u32,
}

impl From<&SlotAttempt> for AttemptId {
    fn from(message: &SlotAttempt) -> Self {
        Self {
            slot: message.slot,
            attempt: message.attempt,
        }
    }
}

impl From<AttemptId> for SlotAttempt {
    fn from(id: AttemptId) -> Self {
        Self {
            slot: id.slot,
            attempt: id.attempt,
        }
    }
}

/// State of a shard after a prefix of its log.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ShardState {
    pub(super) spec: Option<ShardSpec>,
    pub(super) slots: Vec<Slot>,
    /// Committed attempts in commit order.
    pub(super) commit_order: Vec<AttemptId>,
    /// Answers that follow the acknowledged one, oldest first.
    pub(super) unacknowledged_answers: Vec<Answer>,
    /// Last acknowledged answer; 0 means none.
    pub(super) acknowledged: u64,
    /// Highest answer id sent.
    pub(super) last_answer: u64,
}

#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct Slot {
    /// Committed attempts by number; cleared once the slot is settled.
    pub(super) attempts: BTreeMap<u32, Attempt>,
    /// Number of the attempt that the trainer acknowledged.
    pub(super) settled: Option<u32>,
}

impl Slot {
    pub(super) fn has_live_attempt(&self) -> bool {
        self.attempts.values().any(|attempt| !attempt.discarded)
    }
}

#[derive(Debug, Clone, PartialEq)]
pub(super) struct Attempt {
    pub(super) sample: Sample,
    pub(super) discarded: bool,
}

#[derive(Debug, Clone, PartialEq)]
pub(super) struct Answer {
    pub(super) id: u64,
    pub(super) samples: Vec<AttemptId>,
}

impl ShardState {
    /// Returns the state after these entries.
    pub fn from_entries<'a>(entries: impl IntoIterator<Item = &'a ShardEntry>) -> Self {
        let mut state = Self::default();
        for entry in entries {
            state.apply(entry);
        }
        state
    }

    /// Applies one committed entry. Returns `false` and changes nothing if the entry contradicts
    /// earlier ones.
    pub fn apply(&mut self, entry: &ShardEntry) -> bool {
        match &entry.kind {
            Kind::opened(spec) => self.apply_opened(spec),
            Kind::committed(sample) => self.apply_committed(sample),
            Kind::handed_out(hand_out) => self.apply_handed_out(hand_out),
            Kind::acknowledged(acknowledged) => self.apply_acknowledged(acknowledged.answer),
            Kind::discarded(discarded) => match &discarded.sample {
                Some(sample) => self.apply_discarded(sample.into()),
                None => false,
            },
            Kind::None => false,
        }
    }

    /// Returns the spec of the shard once it is opened.
    pub fn spec(&self) -> Option<&ShardSpec> {
        self.spec.as_ref()
    }

    /// Returns the last acknowledged answer; 0 means none.
    pub fn acknowledged(&self) -> u64 {
        self.acknowledged
    }

    /// Returns whether every slot is settled.
    pub fn is_complete(&self) -> bool {
        self.spec.is_some() && self.slots.iter().all(|slot| slot.settled.is_some())
    }

    /// Returns the number of settled slots.
    pub fn settled_count(&self) -> usize {
        self.slots
            .iter()
            .filter(|slot| slot.settled.is_some())
            .count()
    }

    /// Returns the number of slots with a committed sample that the trainer has not acknowledged.
    pub fn committed_count(&self) -> usize {
        self.slots
            .iter()
            .filter(|slot| slot.settled.is_none() && slot.has_live_attempt())
            .count()
    }

    /// Returns a committed sample of an unsettled slot, completed with the trainer, step and prompt
    /// from the spec.
    pub fn sample(&self, id: AttemptId) -> Option<Sample> {
        let spec = self.spec.as_ref()?;
        let index = self.slot_index(id.slot)?;
        let attempt = self.slots[index].attempts.get(&id.attempt)?;
        let mut sample = attempt.sample.clone();
        sample.trainer = spec.trainer.clone();
        sample.step = spec.step;
        sample.prompt = spec.samples[index].prompt.clone();
        Some(sample)
    }

    pub(super) fn slot_index(&self, slot: u32) -> Option<usize> {
        let first = self.spec.as_ref()?.first_slot;
        let index = slot.checked_sub(first)? as usize;
        (index < self.slots.len()).then_some(index)
    }

    pub(super) fn slot(&self, slot: u32) -> Option<&Slot> {
        Some(&self.slots[self.slot_index(slot)?])
    }

    pub(super) fn live_attempt(&self, id: AttemptId) -> Option<&Attempt> {
        let slot = self.slot(id.slot)?;
        if slot.settled.is_some() {
            return None;
        }
        let attempt = slot.attempts.get(&id.attempt)?;
        (!attempt.discarded).then_some(attempt)
    }

    fn apply_opened(&mut self, spec: &ShardSpec) -> bool {
        if self.spec.is_some() {
            return false;
        }
        self.slots = vec![Slot::default(); spec.samples.len()];
        self.spec = Some(spec.clone());
        true
    }

    fn apply_committed(&mut self, sample: &Sample) -> bool {
        let Some(index) = self.slot_index(sample.slot) else {
            return false;
        };
        let slot = &mut self.slots[index];
        let known = slot.attempts.contains_key(&sample.attempt);
        if known || slot.settled.is_some() || slot.has_live_attempt() {
            return false;
        }
        let attempt = Attempt {
            sample: sample.clone(),
            discarded: false,
        };
        slot.attempts.insert(sample.attempt, attempt);
        self.commit_order.push(AttemptId {
            slot: sample.slot,
            attempt: sample.attempt,
        });
        true
    }

    fn apply_handed_out(&mut self, hand_out: &HandOut) -> bool {
        let samples: Vec<AttemptId> = hand_out.samples.iter().map(AttemptId::from).collect();
        let follows = hand_out.base == self.acknowledged && hand_out.answer > self.last_answer;
        let all_live = samples.iter().all(|id| self.live_attempt(*id).is_some());
        if !follows || !all_live {
            return false;
        }
        self.last_answer = hand_out.answer;
        self.unacknowledged_answers.push(Answer {
            id: hand_out.answer,
            samples,
        });
        true
    }

    fn apply_acknowledged(&mut self, answer: u64) -> bool {
        let Some(position) = self
            .unacknowledged_answers
            .iter()
            .position(|open| open.id == answer)
        else {
            return false;
        };
        let acknowledged_answer = self.unacknowledged_answers.swap_remove(position);
        for id in &acknowledged_answer.samples {
            self.settle(*id);
        }
        // Other answers with the same base can no longer be acknowledged; their remaining samples
        // may be delivered again.
        self.unacknowledged_answers.clear();
        self.acknowledged = answer;
        let slots = &self.slots;
        let first = self.spec.as_ref().map_or(0, |spec| spec.first_slot);
        self.commit_order
            .retain(|id| slots[(id.slot - first) as usize].settled.is_none());
        true
    }

    /// Settles the slot with the attempt that the trainer received, even if it was discarded
    /// meanwhile. The first acknowledged attempt counts.
    fn settle(&mut self, id: AttemptId) {
        let Some(index) = self.slot_index(id.slot) else {
            return;
        };
        let slot = &mut self.slots[index];
        if slot.settled.is_none() {
            slot.settled = Some(id.attempt);
            slot.attempts.clear();
        }
    }

    fn apply_discarded(&mut self, id: AttemptId) -> bool {
        let Some(index) = self.slot_index(id.slot) else {
            return false;
        };
        match self.slots[index].attempts.get_mut(&id.attempt) {
            Some(attempt) if !attempt.discarded => {
                attempt.discarded = true;
                true
            }
            _ => false,
        }
    }
}

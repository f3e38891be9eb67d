//! Which attempts an owner runs, and what becomes of them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use tokio::task::{AbortHandle, Id, JoinError};

use super::attempt::{Attempt, AttemptEnd, AttemptFailure};
use super::log::CommitError;
use super::owner::Owner;
use super::placement::{StaleEngines, place};
use crate::jitter::backoff;

/// Attempts of one shard under way at a time.
const MAX_ATTEMPTS: usize = 32;

/// First delay before a slot whose attempt failed is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Longest such delay.
const RETRY_DELAY_MOST: Duration = Duration::from_secs(3);

/// The task that runs an attempt at a slot.
#[derive(Debug)]
pub(super) struct SlotTask {
    id: Id,
    abort: AbortHandle,
}

/// Slots whose attempts failed, and when they are tried again.
#[derive(Debug, Default)]
pub(super) struct SlotBackoffs {
    slots: BTreeMap<u32, Backoff>,
}

#[derive(Debug)]
struct Backoff {
    failures: u32,
    not_before: Instant,
}

impl SlotBackoffs {
    fn is_held(&self, slot: u32) -> bool {
        let backoff = self.slots.get(&slot);
        backoff.is_some_and(|backoff| backoff.not_before > Instant::now())
    }

    fn record_failure(&mut self, slot: u32) {
        let failures = self.slots.get(&slot).map_or(0, |backoff| backoff.failures);
        let delay = backoff(RETRY_DELAY, failures, RETRY_DELAY_MOST);
        let backoff = Backoff {
            failures: failures + 1,
            not_before: Instant::now() + delay,
        };
        self.slots.insert(slot, backoff);
    }

    fn clear(&mut self, slot: u32) {
        self.slots.remove(&slot);
    }
}

impl Owner {
    /// Commits all generated samples that are still wanted, at once.
    pub(super) async fn commit_generated(&mut self) -> Result<(), CommitError> {
        let state = self.log.state();
        let mut slots = BTreeSet::new();
        let mut entries = Vec::new();
        for generated in &self.ready {
            if let Some(entry) = state.accept(&generated.sample)
                && slots.insert(generated.sample.slot)
            {
                entries.push(entry);
            }
        }
        for generated in self.ready.drain(..) {
            self.first_tokens
                .insert(generated.id(), generated.first_token_at);
        }
        self.log.commit(entries, false).await
    }

    pub(super) fn attempt_ended(&mut self, ended: Result<(Id, AttemptEnd), JoinError>) {
        let task = match &ended {
            Ok((task, _)) => *task,
            Err(error) => error.id(),
        };
        let slot = self
            .in_flight
            .iter()
            .find(|(_, running)| running.id == task)
            .map(|(slot, _)| *slot);
        let Some(slot) = slot else {
            return; // given up before
        };
        self.in_flight.remove(&slot);
        match ended {
            Ok((_, Ok(generated))) => {
                self.backoffs.clear(slot);
                self.ready.push(generated);
            }
            Ok((_, Err(failure))) => self.attempt_failed(slot, &failure),
            Err(error) => {
                ::log::error!(
                    "event=attempt_task_failed shard={} error=\"{error}\"",
                    self.key
                );
                self.backoffs.record_failure(slot);
            }
        }
    }

    fn attempt_failed(&mut self, slot: u32, failure: &AttemptFailure) {
        ::log::info!(
            "event=attempt_failed shard={} slot={slot} error=\"{failure}\"",
            self.key
        );
        self.shared.metrics.note_failed_attempt();
        self.backoffs.record_failure(slot);
    }

    /// Stops attempts at slots that need none any more.
    pub(super) fn cancel_unwanted(&mut self) {
        let state = self.log.state();
        self.in_flight.retain(|slot, running| {
            let is_wanted = state.needs_attempt(*slot);
            if !is_wanted {
                running.abort.abort();
            }
            is_wanted
        });
    }

    /// Starts attempts while there are open slots and engines that may take them.
    pub(super) fn start_attempts(&mut self) {
        let Some(spec) = self.log.state().spec() else {
            return;
        };
        let busy: BTreeSet<u32> = self.in_flight.keys().copied().collect();
        for need in self.log.state().attempts_needed(&busy) {
            if self.in_flight.len() >= MAX_ATTEMPTS {
                return;
            }
            if self.backoffs.is_held(need.id.slot) {
                continue;
            }
            let sample = &spec.samples[(need.id.slot - spec.first_slot) as usize];
            let avoid = StaleEngines::default();
            let Some(placement) = place(&self.shared, &spec.pool, &sample.prompt, &avoid) else {
                return;
            };
            let attempt = Attempt::new(self.shared.clone(), spec, sample, need.id);
            let abort = self.attempts.spawn(attempt.run(placement));
            let task = SlotTask {
                id: abort.id(),
                abort,
            };
            self.in_flight.insert(need.id.slot, task);
        }
    }

    pub(super) fn has_slot_without_attempt(&self) -> bool {
        let busy = self.in_flight.keys().copied().collect();
        !self.log.state().attempts_needed(&busy).is_empty()
    }
}

//! Starts, cancels and collects the attempts of an owned shard.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use tokio::task::{AbortHandle, Id, JoinError};

use super::attempt::{Attempt, AttemptFailure, AttemptResult};
use super::owner::Owner;
use super::placement::{StaleEngines, place_rollout};
use super::shard_log::CommitError;
use crate::jitter::backoff;

/// Maximum number of concurrent attempts of one shard.
const MAX_ATTEMPTS: usize = 32;

/// Delay before the retry of a slot after its first failed attempt.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Maximum delay before the retry of a slot.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(3);

/// Task that runs an attempt at a slot.
#[derive(Debug)]
pub(super) struct SlotTask {
    id: Id,
    abort: AbortHandle,
}

/// Retry times of the slots whose attempts failed.
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
    fn is_backing_off(&self, slot: u32) -> bool {
        let backoff = self.slots.get(&slot);
        backoff.is_some_and(|backoff| backoff.not_before > Instant::now())
    }

    fn record_failure(&mut self, slot: u32) {
        let failures = self.slots.get(&slot).map_or(0, |backoff| backoff.failures);
        let delay = backoff(FIRST_RETRY_DELAY, failures, MAX_RETRY_DELAY);
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
    /// Commits all generated samples that are still needed in one append.
    pub(super) async fn commit_generated(&mut self) -> Result<(), CommitError> {
        let state = self.log.state();
        let mut slots = BTreeSet::new();
        let mut entries = Vec::new();
        for generated in &self.generated {
            if let Some(entry) = state.commit_entry(&generated.sample)
                && slots.insert(generated.sample.slot)
            {
                entries.push(entry);
            }
        }
        for generated in self.generated.drain(..) {
            self.first_token_times
                .insert(generated.id(), generated.first_token_at);
        }
        self.log.commit(entries, false).await
    }

    pub(super) fn handle_attempt_end(&mut self, ended: Result<(Id, AttemptResult), JoinError>) {
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
            return; // cancelled before
        };
        self.in_flight.remove(&slot);
        match ended {
            Ok((_, Ok(generated))) => {
                self.backoffs.clear(slot);
                self.generated.push(generated);
            }
            Ok((_, Err(failure))) => self.handle_attempt_failure(slot, &failure),
            Err(error) => {
                ::log::error!(
                    "event=attempt_task_failed shard={} error=\"{error}\"",
                    self.key
                );
                self.backoffs.record_failure(slot);
            }
        }
    }

    fn handle_attempt_failure(&mut self, slot: u32, failure: &AttemptFailure) {
        ::log::info!(
            "event=attempt_failed shard={} slot={slot} error=\"{failure}\"",
            self.key
        );
        self.shared.metrics.record_failed_attempt();
        self.backoffs.record_failure(slot);
    }

    /// Cancels the attempts at slots that no longer need one.
    pub(super) fn cancel_unneeded_attempts(&mut self) {
        let state = self.log.state();
        self.in_flight.retain(|slot, running| {
            let is_needed = state.needs_attempt(*slot);
            if !is_needed {
                running.abort.abort();
            }
            is_needed
        });
    }

    /// Starts attempts while slots need one and engines have free capacity.
    pub(super) fn start_attempts(&mut self) {
        let Some(spec) = self.log.state().spec() else {
            return;
        };
        let busy: BTreeSet<u32> = self.in_flight.keys().copied().collect();
        for need in self.log.state().needed_attempts(&busy) {
            if self.in_flight.len() >= MAX_ATTEMPTS {
                return;
            }
            if self.backoffs.is_backing_off(need.id.slot) {
                continue;
            }
            let sample = &spec.samples[(need.id.slot - spec.first_slot) as usize];
            let avoid = StaleEngines::default();
            let Some(placement) = place_rollout(&self.shared, &spec.pool, &sample.prompt, &avoid)
            else {
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

    pub(super) fn has_idle_slot(&self) -> bool {
        let busy = self.in_flight.keys().copied().collect();
        !self.log.state().needed_attempts(&busy).is_empty()
    }
}

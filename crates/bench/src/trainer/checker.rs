//! Checks the samples that a trainer receives: each slot once, true labels, no stale samples.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde::Serialize;

use super::messages::{Sample, SamplesAnswer, StepSpec};
use crate::stand_in::lock;
use crate::text::{TextError, verify};

/// Time for an accepted bundle to be in force everywhere.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(10);

/// Requirements of a bundle for a pool's samples.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolRequirements {
    /// Weight version in force.
    pub weight_version: u64,
    /// Maximum number of versions that a sample may be behind.
    pub staleness_bound: u64,
}

/// Requirements of each known bundle. Clones share one table.
#[derive(Debug, Clone, Default)]
pub struct BundleRequirements {
    table: Arc<Mutex<Table>>,
}

#[derive(Debug, Default)]
struct Table {
    pools: BTreeMap<(u64, String), PoolRequirements>,
    accepted: BTreeMap<u64, Instant>,
}

impl BundleRequirements {
    /// Records the requirements of a bundle; must be called before the bundle is rolled.
    pub fn add(&self, revision: u64, pool: &str, requirements: PoolRequirements) {
        let key = (revision, pool.to_owned());
        lock(&self.table).pools.insert(key, requirements);
    }

    /// Records that a bundle was accepted now.
    pub fn mark_accepted(&self, revision: u64) {
        let mut table = lock(&self.table);
        table.accepted.entry(revision).or_insert_with(Instant::now);
    }

    fn find(&self, revision: u64, pool: &str) -> Option<PoolRequirements> {
        let key = (revision, pool.to_owned());
        lock(&self.table).pools.get(&key).copied()
    }

    /// Returns the newest revision that must be in force everywhere at that time, or 0 for none.
    fn required_revision(&self, at: Instant) -> u64 {
        lock(&self.table)
            .accepted
            .iter()
            .filter(|(_, accepted)| **accepted + IN_FORCE_TIMEOUT <= at)
            .map(|(revision, _)| *revision)
            .max()
            .unwrap_or(0)
    }
}

/// A violated guarantee.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, thiserror::Error)]
pub enum Violation {
    /// A sample of another trainer or step, or of a slot that does not exist.
    #[error("sample of {trainer}/{step}/{slot} was not requested")]
    NotAskedFor {
        /// Trainer named in the sample.
        trainer: String,
        /// Step named in the sample.
        step: u64,
        /// Slot named in the sample.
        slot: u32,
    },
    /// A slot was delivered again after its acknowledgement.
    #[error("slot {slot} was delivered twice, as attempts {first} and {second}")]
    Doubled {
        slot: u32,
        /// Attempt that was delivered first.
        first: u32,
        /// Attempt that was delivered again.
        second: u32,
    },
    /// The step ended without a sample of this slot.
    #[error("slot {slot} was not delivered")]
    Lost { slot: u32 },
    /// A sample has a prompt that differs from its slot's.
    #[error("slot {slot} has a different prompt")]
    WrongPrompt { slot: u32 },
    /// A sample has more or fewer tokens than requested.
    #[error("slot {slot} has {tokens} tokens instead of {asked}")]
    WrongLength {
        slot: u32,
        /// Number of tokens in the sample.
        tokens: u64,
        /// Number of tokens requested.
        asked: u64,
    },
    /// A sample names versions that did not produce it.
    #[error("slot {slot} is mislabelled: {reason}")]
    Mislabelled {
        slot: u32,
        /// Mismatch that was found.
        reason: String,
    },
    /// A sample is older than its answer's bundle allows.
    #[error(
        "slot {slot} has tokens of version {oldest}, but bundle {revision} requires at least {demanded}"
    )]
    Stale {
        slot: u32,
        /// Oldest version in the sample.
        oldest: u64,
        /// Revision named in the answer.
        revision: u64,
        /// Oldest version that the bundle allows.
        demanded: u64,
    },
    /// An answer names a bundle that was never rolled.
    #[error("answer names unknown bundle {revision}")]
    UnknownBundle {
        /// Revision named in the answer.
        revision: u64,
    },
    /// An answer was checked against a bundle that should no longer have been in force.
    #[error("answer names bundle {revision}, but bundle {due} must be in force")]
    BundleOutOfForce {
        /// Revision named in the answer.
        revision: u64,
        /// Revision that had to be in force.
        due: u64,
    },
}

/// Result of a step.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct StepReport {
    /// Number of slots delivered.
    pub delivered: u64,
    /// Number of slots delivered more than once.
    pub duplicated: u64,
    /// Number of slots not delivered.
    pub lost: u64,
    /// Number of answers dropped on purpose.
    pub answers_dropped: u64,
    /// Number of refusals and broken connections.
    pub troubles: u64,
    /// Weight versions in the samples.
    pub weight_versions: BTreeSet<u64>,
    /// Bundle revisions named in the answers.
    pub bundle_revisions: BTreeSet<u64>,
    pub violations: Vec<Violation>,
}

/// Checks the answers of one step.
#[derive(Debug)]
pub struct StepChecker {
    trainer: String,
    step: u64,
    spec: StepSpec,
    requirements: BundleRequirements,
    delivered_attempts: BTreeMap<u32, u32>,
    report: StepReport,
}

impl StepChecker {
    /// Creates a checker for the step that was submitted as `spec`.
    pub fn new(trainer: &str, step: u64, spec: StepSpec, requirements: BundleRequirements) -> Self {
        Self {
            trainer: trainer.to_owned(),
            step,
            spec,
            requirements,
            delivered_attempts: BTreeMap::new(),
            report: StepReport::default(),
        }
    }

    /// Checks an answer whose cursor the trainer continues with; `asked_at` is the time of the
    /// pull.
    pub fn add_answer(&mut self, answer: SamplesAnswer, asked_at: Instant) {
        let revision = answer.bundle_revision;
        let due = self.requirements.required_revision(asked_at);
        if revision < due && !answer.samples.is_empty() {
            self.violation(Violation::BundleOutOfForce { revision, due });
        }
        for sample in &answer.samples {
            self.check_sample(sample, revision);
        }
    }

    /// Counts a refusal or a broken connection.
    pub fn count_failure(&mut self) {
        self.report.troubles += 1;
    }

    /// Counts an answer dropped on purpose.
    pub fn count_dropped_answer(&mut self) {
        self.report.answers_dropped += 1;
    }

    /// Describes the progress of the step, for error messages.
    pub fn progress(&self) -> String {
        format!(
            "{} of {} slots",
            self.delivered_attempts.len(),
            self.spec.samples.len()
        )
    }

    /// Ends the step and returns its report; slots without a sample are lost.
    pub fn finish(mut self) -> StepReport {
        let slots = 0..self.spec.samples.len() as u32;
        let missing: Vec<u32> = slots
            .filter(|slot| !self.delivered_attempts.contains_key(slot))
            .collect();
        for slot in missing {
            self.report.lost += 1;
            self.violation(Violation::Lost { slot });
        }
        self.report
    }

    fn check_sample(&mut self, sample: &Sample, revision: u64) {
        let slot = sample.slot;
        let belongs_to_step = sample.trainer == self.trainer && sample.step == self.step;
        let spec = self
            .spec
            .samples
            .get(slot as usize)
            .filter(|_| belongs_to_step);
        let Some(spec) = spec.cloned() else {
            return self.violation(Violation::NotAskedFor {
                trainer: sample.trainer.clone(),
                step: sample.step,
                slot,
            });
        };
        if let Some(first) = self.delivered_attempts.insert(slot, sample.attempt) {
            self.report.duplicated += 1;
            self.violation(Violation::Doubled {
                slot,
                first,
                second: sample.attempt,
            });
        } else {
            self.report.delivered += 1;
        }
        if sample.prompt != spec.prompt {
            self.violation(Violation::WrongPrompt { slot });
        }
        self.check_text(sample, &spec.prompt, u64::from(spec.max_tokens));
        self.check_staleness(sample, revision);
    }

    fn check_text(&mut self, sample: &Sample, prompt: &str, asked: u64) {
        let slot = sample.slot;
        let tokens = sample.segments.iter().map(|segment| segment.tokens).sum();
        if tokens != asked {
            self.violation(Violation::WrongLength {
                slot,
                tokens,
                asked,
            });
        }
        let verdict: Result<(), TextError> = verify(prompt, &sample.text, &sample.segments);
        if let Err(error) = verdict {
            let reason = error.to_string();
            self.violation(Violation::Mislabelled { slot, reason });
        }
    }

    fn check_staleness(&mut self, sample: &Sample, revision: u64) {
        let versions = sample.segments.iter().map(|segment| segment.weight_version);
        self.report.weight_versions.extend(versions.clone());
        self.report.bundle_revisions.insert(revision);
        let oldest = versions.min().unwrap_or(0);
        let Some(requirements) = self.requirements.find(revision, &self.spec.pool) else {
            return self.violation(Violation::UnknownBundle { revision });
        };
        let demanded = requirements
            .weight_version
            .saturating_sub(requirements.staleness_bound);
        if oldest < demanded {
            self.violation(Violation::Stale {
                slot: sample.slot,
                oldest,
                revision,
                demanded,
            });
        }
    }

    fn violation(&mut self, violation: Violation) {
        self.report.violations.push(violation);
    }
}

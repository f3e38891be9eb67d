//! Report of the demo, as text and as JSON.

use std::collections::BTreeSet;
use std::fmt;

use serde::Serialize;

use crate::live::LiveError;
use crate::trainer::StepReport;

/// Maximum number of violations in the summary.
const MAX_LISTED_VIOLATIONS: usize = 20;

/// Result of the demo.
#[derive(Debug, Clone, Default, Serialize)]
pub struct DemoReport {
    /// Number of live completions answered completely, including streamed ones.
    pub live_completed: u64,
    /// Number of streamed completions among these.
    pub live_streamed: u64,
    /// Number of application requests answered completely.
    pub application_completed: u64,
    /// Number of failed completions and application requests.
    pub live_failed: u64,
    /// Number of samples delivered to the trainer.
    pub samples_delivered: u64,
    /// Number of samples delivered more than once.
    pub samples_duplicated: u64,
    /// Number of requested samples that were not delivered.
    pub samples_lost: u64,
    /// Number of pull answers that the trainer dropped and requested again.
    pub answers_dropped: u64,
    /// Weight versions in live answers and samples.
    pub weight_versions_seen: BTreeSet<u64>,
    /// Bundle in force at all daemons at the end.
    pub bundle_revision: u64,
    /// Duration in seconds.
    pub seconds: f64,
    pub violations: Vec<String>,
}

impl DemoReport {
    /// Returns whether nothing was lost, duplicated or mislabelled.
    pub fn has_passed(&self) -> bool {
        self.violations.is_empty()
            && self.samples_lost == 0
            && self.samples_duplicated == 0
            && self.live_failed == 0
    }

    /// Adds the result of a step.
    pub(super) fn add_step(&mut self, step: &StepReport) {
        self.samples_delivered += step.delivered;
        self.samples_duplicated += step.duplicated;
        self.samples_lost += step.lost;
        self.answers_dropped += step.answers_dropped;
        self.weight_versions_seen.extend(&step.weight_versions);
        let violations = step.violations.iter().map(ToString::to_string);
        self.violations.extend(violations);
    }

    /// Adds a failed live request.
    pub(super) fn add_failure(&mut self, what: &str, error: &LiveError) {
        self.live_failed += 1;
        self.violations.push(format!("{what}: {error}"));
    }

    /// Adds a live caller's report.
    pub(super) fn merge(&mut self, other: Self) {
        self.live_completed += other.live_completed;
        self.live_streamed += other.live_streamed;
        self.application_completed += other.application_completed;
        self.live_failed += other.live_failed;
        self.weight_versions_seen.extend(other.weight_versions_seen);
        self.violations.extend(other.violations);
    }
}

impl fmt::Display for DemoReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let versions: Vec<String> = self
            .weight_versions_seen
            .iter()
            .map(ToString::to_string)
            .collect();
        writeln!(
            formatter,
            "live completions       {} whole, {} of them streamed; {} requests failed",
            self.live_completed, self.live_streamed, self.live_failed
        )?;
        writeln!(
            formatter,
            "application requests   {} whole",
            self.application_completed
        )?;
        writeln!(
            formatter,
            "rollout samples        {} delivered, {} doubled, {} lost; {} answers dropped and asked for again",
            self.samples_delivered,
            self.samples_duplicated,
            self.samples_lost,
            self.answers_dropped
        )?;
        writeln!(formatter, "weight versions seen   {}", versions.join(", "))?;
        writeln!(formatter, "bundle in force        {}", self.bundle_revision)?;
        writeln!(formatter, "time                   {:.1} s", self.seconds)?;
        for violation in self.violations.iter().take(MAX_LISTED_VIOLATIONS) {
            writeln!(formatter, "VIOLATION              {violation}")?;
        }
        let verdict = if self.has_passed() {
            "nothing lost, doubled or mislabelled"
        } else {
            "FAILED"
        };
        writeln!(formatter, "verdict                {verdict}")
    }
}

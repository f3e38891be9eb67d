//! Report of a run, as text and as JSON.

use std::collections::BTreeMap;
use std::fmt;
use std::path::PathBuf;

use serde::Serialize;

use super::evidence::{Observations, Outcome, RequestKind};
use super::plan::Plan;
use super::violation::Violation;

/// Result of a run.
#[derive(Debug, Clone, Default, Serialize)]
pub struct ChaosReport {
    pub seed: u64,
    /// Length of the load, in seconds.
    pub seconds: u64,
    /// Attempts by request kind and outcome.
    pub requests: BTreeMap<RequestKind, BTreeMap<Outcome, u64>>,
    /// Number of samples that trainers received.
    pub samples: u64,
    /// Number of pull answers that trainers dropped and requested again.
    pub answers_dropped: u64,
    /// Number of steps pulled to their end.
    pub steps: u64,
    pub bundles: u64,
    /// Number of rolls that lost to a concurrent one or were not accepted in time.
    pub bundles_given_up: u64,
    /// Number of faults by kind.
    pub faults: BTreeMap<&'static str, u64>,
    pub violations: Vec<Violation>,
    /// Folder of the logs, kept only after a violation.
    pub logs: Option<PathBuf>,
}

impl ChaosReport {
    /// Summarizes the observations of a run.
    pub(super) fn new(seed: u64, seconds: u64, plan: &Plan, observations: Observations) -> Self {
        let mut report = Self {
            seed,
            seconds,
            samples: observations.samples,
            answers_dropped: observations.answers_dropped,
            steps: observations.steps,
            bundles: observations.bundles,
            bundles_given_up: observations.bundles_given_up,
            violations: observations.violations,
            ..Self::default()
        };
        for planned in &plan.faults {
            *report.faults.entry(planned.fault.kind()).or_default() += 1;
        }
        for request in &observations.requests {
            let outcomes = report.requests.entry(request.kind).or_default();
            for attempt in &request.tries {
                *outcomes.entry(attempt.outcome).or_default() += 1;
            }
        }
        report
    }

    /// Returns whether all guarantees held.
    pub fn has_passed(&self) -> bool {
        self.violations.is_empty()
    }
}

impl fmt::Display for ChaosReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (kind, outcomes) in &self.requests {
            writeln!(
                formatter,
                "{:<14} {}",
                format!("{kind:?}"),
                counts(outcomes)
            )?;
        }
        writeln!(
            formatter,
            "samples        {} in {} steps; {} answers dropped and asked for again",
            self.samples, self.steps, self.answers_dropped
        )?;
        writeln!(
            formatter,
            "bundles        {} accepted, {} lost or given up",
            self.bundles, self.bundles_given_up
        )?;
        writeln!(formatter, "faults         {}", counts(&self.faults))?;
        for violation in &self.violations {
            writeln!(formatter, "VIOLATION      {violation}")?;
        }
        if let Some(logs) = &self.logs {
            writeln!(formatter, "logs           {}", logs.display())?;
        }
        writeln!(formatter, "violations     {}", self.violations.len())
    }
}

fn counts<K: fmt::Debug>(counts: &BTreeMap<K, u64>) -> String {
    let counts = counts.iter();
    let listed: Vec<String> = counts
        .map(|(kind, count)| format!("{count} {kind:?}"))
        .collect();
    listed.join(", ").replace('"', "")
}

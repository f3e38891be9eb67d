//! Metrics of the journal's writers and replica set.

use std::time::Duration;

use prometheus::{Gauge, Histogram, HistogramOpts, IntCounterVec, Opts, Registry};

use super::JournalError;

/// Upper bounds of the commit time buckets, in seconds.
const COMMIT_BUCKETS: [f64; 11] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5,
];

/// Metrics of the journal's writers and replica set. Cheap to clone; clones share the values.
#[derive(Debug, Clone)]
pub struct JournalMetrics {
    commits: Histogram,
    failures: IntCounterVec,
    set_incomplete_seconds: Gauge,
}

impl JournalMetrics {
    /// Creates the metrics of the writers with all values at zero, beside the gauge of the replica set.
    pub(crate) fn new(set_incomplete_seconds: Gauge) -> Self {
        let commits = HistogramOpts::new(
            "ladderstage_journal_commit_seconds",
            "Time from an append or a take-over's installation until a majority of replicas held it",
        );
        let failures = Opts::new(
            "ladderstage_journal_commits_failed_total",
            "Appends and installations that no majority was seen to hold, by reason",
        );
        Self {
            commits: Histogram::with_opts(commits.buckets(COMMIT_BUCKETS.to_vec()))
                .expect("ascending buckets"),
            failures: IntCounterVec::new(failures, &["reason"]).expect("valid name"),
            set_incomplete_seconds,
        }
    }

    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// If metrics of these names are already registered.
    pub fn register(&self, registry: &Registry) -> prometheus::Result<()> {
        registry.register(Box::new(self.commits.clone()))?;
        registry.register(Box::new(self.failures.clone()))?;
        registry.register(Box::new(self.set_incomplete_seconds.clone()))
    }

    /// Records the result and duration of one round of a writer.
    pub(super) fn record_round(&self, result: &Result<(), JournalError>, elapsed: Duration) {
        let reason = match result {
            Ok(()) => return self.commits.observe(elapsed.as_secs_f64()),
            Err(JournalError::Fenced) => "fenced",
            Err(JournalError::NoQuorum(_)) => "no_quorum",
            Err(_) => "other",
        };
        self.failures.with_label_values(&[reason]).inc();
    }
}

//! Metrics of sample generation and delivery.

use std::time::Duration;

use ladderstage::ids::WeightVersion;
use ladderstage::staleness::oldest_version;
use ladderstage_wire::messages::Sample;
use prometheus::{Counter, Histogram, HistogramOpts, IntCounter, IntCounterVec, Opts, Registry};

/// Upper bounds of the staleness buckets, in weight versions.
const VERSION_BUCKETS: [f64; 6] = [0.0, 1.0, 2.0, 3.0, 5.0, 10.0];

/// Upper bounds of the age buckets, in seconds.
const AGE_BUCKETS: [f64; 8] = [1.0, 5.0, 15.0, 60.0, 300.0, 900.0, 1_800.0, 3_600.0];

/// Metrics of sample generation and delivery. Cheap to clone.
#[derive(Debug, Clone)]
pub struct ShardMetrics {
    idle_seconds: Counter,
    refusals: IntCounterVec,
    staleness: Histogram,
    ages: Histogram,
    stale_samples: IntCounter,
    failed_attempts: IntCounter,
}

impl ShardMetrics {
    /// Creates metrics at zero.
    pub fn new() -> Self {
        let refusals = Opts::new(
            "ladderstage_trainer_refusals_total",
            "Trainers' requests that were refused, by reason",
        );
        let staleness = HistogramOpts::new(
            "ladderstage_sample_staleness_versions",
            "Versions that samples lay behind the bundle when they were handed out",
        );
        let ages = HistogramOpts::new(
            "ladderstage_sample_age_seconds",
            "Age of the first token of samples when they were handed out, where it is known",
        );
        Self {
            idle_seconds: Counter::new(
                "ladderstage_trainer_idle_seconds_total",
                "Time that pulls waited here with no sample to hand out",
            )
            .expect("valid name"),
            refusals: IntCounterVec::new(refusals, &["reason"]).expect("valid name"),
            staleness: Histogram::with_opts(staleness.buckets(VERSION_BUCKETS.to_vec()))
                .expect("ascending buckets"),
            ages: Histogram::with_opts(ages.buckets(AGE_BUCKETS.to_vec()))
                .expect("ascending buckets"),
            stale_samples: IntCounter::new(
                "ladderstage_samples_stale_total",
                "Committed samples that were given up because they exceeded their bound",
            )
            .expect("valid name"),
            failed_attempts: IntCounter::new(
                "ladderstage_rollout_attempts_failed_total",
                "Attempts at samples that failed and are repeated",
            )
            .expect("valid name"),
        }
    }

    /// Registers the metrics.
    ///
    /// # Errors
    /// If the registry already contains metrics with these names.
    pub fn register(&self, registry: &Registry) -> prometheus::Result<()> {
        registry.register(Box::new(self.idle_seconds.clone()))?;
        registry.register(Box::new(self.refusals.clone()))?;
        registry.register(Box::new(self.staleness.clone()))?;
        registry.register(Box::new(self.ages.clone()))?;
        registry.register(Box::new(self.stale_samples.clone()))?;
        registry.register(Box::new(self.failed_attempts.clone()))
    }

    /// Counts a refused request of a trainer.
    pub fn record_refusal(&self, reason: &str) {
        self.refusals.with_label_values(&[reason]).inc();
    }

    /// Adds time that a pull waited without samples.
    pub(super) fn record_idle(&self, waited: Duration) {
        self.idle_seconds.inc_by(waited.as_secs_f64());
    }

    /// Counts a delivered sample; `weight_version` is the one of the bundle in force.
    pub(super) fn record_delivery(
        &self,
        sample: &Sample,
        weight_version: WeightVersion,
        age: Option<Duration>,
    ) {
        if let Some(oldest) = oldest_version(&sample.segments) {
            let behind = weight_version.saturating_sub(oldest);
            self.staleness.observe(behind as f64);
        }
        if let Some(age) = age {
            self.ages.observe(age.as_secs_f64());
        }
    }

    /// Counts samples that were discarded as stale.
    pub(super) fn record_stale(&self, count: usize) {
        self.stale_samples.inc_by(count as u64);
    }

    /// Counts a failed attempt.
    pub(super) fn record_failed_attempt(&self) {
        self.failed_attempts.inc();
    }
}

impl Default for ShardMetrics {
    fn default() -> Self {
        Self::new()
    }
}

//! Metrics of rolls and of the bundle in force.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use prometheus::{Gauge, Histogram, HistogramOpts, IntCounterVec, Opts, Registry};

/// Upper bounds of the roll buckets, in seconds.
const ROLL_BUCKETS: [f64; 8] = [0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0];

/// Metrics of rolls and of the bundle in force.
#[derive(Debug)]
pub(super) struct BundleMetrics {
    rolls: IntCounterVec,
    accepted: Histogram,
    in_force_since: Gauge,
}

impl BundleMetrics {
    pub(super) fn register(&self, registry: &Registry) -> prometheus::Result<()> {
        registry.register(Box::new(self.rolls.clone()))?;
        registry.register(Box::new(self.accepted.clone()))?;
        registry.register(Box::new(self.in_force_since.clone()))
    }

    pub(super) fn record_roll(&self, outcome: &str, elapsed: Duration) {
        self.rolls.with_label_values(&[outcome]).inc();
        if outcome == "accepted" {
            self.accepted.observe(elapsed.as_secs_f64());
        }
    }

    /// Records the wall-clock time at which the bundle came into force, to compare it between nodes.
    pub(super) fn record_in_force(&self) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        self.in_force_since
            .set(now.unwrap_or_default().as_secs_f64());
    }
}

impl Default for BundleMetrics {
    fn default() -> Self {
        let rolls = Opts::new(
            "ladderstage_bundle_rolls_total",
            "Rolls through this node, by outcome",
        );
        let accepted = HistogramOpts::new(
            "ladderstage_bundle_roll_seconds",
            "Time that accepted rolls through this node took until a majority of replicas held the bundle",
        );
        Self {
            rolls: IntCounterVec::new(rolls, &["outcome"]).expect("valid name"),
            accepted: Histogram::with_opts(accepted.buckets(ROLL_BUCKETS.to_vec()))
                .expect("ascending buckets"),
            in_force_since: Gauge::new(
                "ladderstage_bundle_in_force_timestamp_seconds",
                "Unix time at which the bundle in force came into force here; 0: none yet",
            )
            .expect("valid name"),
        }
    }
}

//! Metrics of live requests.

use std::time::Duration;

use prometheus::{Histogram, HistogramOpts, IntCounterVec, Opts, Registry};

use super::Outcome;

/// Reason label of answered requests.
pub const REASON_ANSWERED: &str = "answered";

/// Reason label of requests whose caller disconnected before the end of the answer.
pub const REASON_CALLER_GONE: &str = "caller_gone";

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 15.0, 60.0,
];

/// Metrics of live requests. Cheap to clone.
#[derive(Debug, Clone)]
pub struct LiveMetrics {
    requests: IntCounterVec,
    retries: IntCounterVec,
    latency: Histogram,
}

impl LiveMetrics {
    /// Creates the metrics with all counters at zero.
    pub fn new() -> Self {
        let requests = Opts::new("ladderstage_live_requests_total", "Live requests by end");
        let retries = Opts::new("ladderstage_live_retries_total", "Attempts after the first");
        let latency = HistogramOpts::new(
            "ladderstage_live_seconds",
            "Time from arrival to the answer's end",
        );
        Self {
            requests: IntCounterVec::new(requests, &["outcome", "reason"]).expect("valid name"),
            retries: IntCounterVec::new(retries, &["reason"]).expect("valid name"),
            latency: Histogram::with_opts(latency.buckets(LATENCY_BUCKETS.to_vec()))
                .expect("ascending buckets"),
        }
    }

    /// Registers the metrics.
    ///
    /// # Errors
    /// If the registry already has metrics of these names.
    pub fn register(&self, registry: &Registry) -> prometheus::Result<()> {
        registry.register(Box::new(self.requests.clone()))?;
        registry.register(Box::new(self.retries.clone()))?;
        registry.register(Box::new(self.latency.clone()))
    }

    /// Records the outcome and the latency of a finished request.
    pub fn record_completion(&self, outcome: Outcome, reason: &str, elapsed: Duration) {
        let labels = [outcome.as_str(), reason];
        self.requests.with_label_values(&labels).inc();
        self.latency.observe(elapsed.as_secs_f64());
    }

    /// Counts a retry.
    pub fn record_retry(&self, reason: &str) {
        self.retries.with_label_values(&[reason]).inc();
    }
}

impl Default for LiveMetrics {
    fn default() -> Self {
        Self::new()
    }
}

//! Counters and histograms of one process, as text.

use ladderstage_journal::JournalMetrics;
use prometheus::core::Collector;
use prometheus::{
    Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};

use crate::backend::DiscoveryCounters;
use crate::coordination::StoreCalls;
use crate::nodes::Nodes;

/// Upper bounds of latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0,
];

/// All counters.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Client requests by route and outcome.
    pub requests: IntCounterVec,
    /// Time to the answer of live requests, in seconds.
    pub request_seconds: Histogram,
    /// Requests whose key was refused, by reason.
    pub refused_keys: IntCounterVec,
    /// Attempts at instances for live requests.
    pub attempts: IntCounter,
    /// Requests whose connection to an instance broke while it may have run them, by what became of the instance.
    pub broken_runs: IntCounterVec,
    /// Runs that did not begin, as instances had ended under others of the same content, by what was to run.
    pub held_back_runs: IntCounterVec,
    /// Contents under which instances have ended.
    pub suspected_contents: IntGauge,
    /// Ends of instances that are known of them.
    pub suspect_ends: IntGauge,
    /// Item runs by outcome.
    pub item_runs: IntCounterVec,
    /// Reward calls by outcome.
    pub reward_calls: IntCounterVec,
    /// Batch jobs by event.
    pub jobs: IntCounterVec,
    /// Orders to instances by outcome.
    pub orders: IntCounterVec,
    /// Reports of use by outcome.
    pub usage_reports: IntCounterVec,
    /// Times that the machine was suspended.
    pub suspensions: IntCounter,
    /// Log lines left out because too many were written.
    pub dropped_log_lines: IntCounter,
}

impl Metrics {
    /// Counters at zero.
    ///
    /// # Panics
    /// Never: names are valid and distinct.
    pub fn new() -> Self {
        let registry = Registry::new();
        let vec = |name: &str, help: &str, labels: &[&str]| {
            let counter = IntCounterVec::new(Opts::new(name, help), labels).expect("valid name");
            registry
                .register(Box::new(counter.clone()))
                .expect("distinct name");
            counter
        };
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help).expect("valid name");
            registry
                .register(Box::new(counter.clone()))
                .expect("distinct name");
            counter
        };
        let latency = HistogramOpts::new(
            "ladderstage_request_seconds",
            "Time from a live request's head to its answer",
        );
        let request_seconds = Histogram::with_opts(latency.buckets(LATENCY_BUCKETS.to_vec()))
            .expect("ascending buckets");
        registry
            .register(Box::new(request_seconds.clone()))
            .expect("distinct name");
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help).expect("valid name");
            registry
                .register(Box::new(gauge.clone()))
                .expect("distinct name");
            gauge
        };
        Self {
            requests: vec(
                "ladderstage_requests_total",
                "Client requests by route and outcome",
                &["route", "outcome"],
            ),
            request_seconds,
            refused_keys: vec(
                "ladderstage_refused_keys_total",
                "Requests without a usable key by reason",
                &["reason"],
            ),
            attempts: counter("ladderstage_attempts_total", "Attempts at instances"),
            broken_runs: vec(
                "ladderstage_broken_runs_total",
                "Requests whose connection to an instance broke by what became of the instance",
                &["instance"],
            ),
            held_back_runs: vec(
                "ladderstage_held_back_runs_total",
                "Runs that did not begin as instances had ended under others of the same content",
                &["subject"],
            ),
            suspected_contents: gauge(
                "ladderstage_suspected_contents",
                "Contents of requests under which instances have ended",
            ),
            suspect_ends: gauge(
                "ladderstage_suspect_ends",
                "Ends of instances under suspected contents that are known here",
            ),
            item_runs: vec(
                "ladderstage_item_runs_total",
                "Runs of batch-job items by outcome",
                &["outcome"],
            ),
            reward_calls: vec(
                "ladderstage_reward_calls_total",
                "Calls that score whole texts by outcome",
                &["outcome"],
            ),
            jobs: vec("ladderstage_jobs_total", "Batch jobs by event", &["event"]),
            orders: vec(
                "ladderstage_orders_total",
                "Orders to instances by outcome",
                &["outcome"],
            ),
            usage_reports: vec(
                "ladderstage_usage_reports_total",
                "Reports of use by outcome",
                &["outcome"],
            ),
            suspensions: counter(
                "ladderstage_suspensions_total",
                "Times that the machine was suspended",
            ),
            dropped_log_lines: counter(
                "ladderstage_log_lines_dropped_total",
                "Log lines left out because too many were written",
            ),
            registry,
        }
    }

    /// Adds the counters of the journal.
    pub fn add_journal(&self, journal: &JournalMetrics) {
        if let Err(error) = journal.register(&self.registry) {
            log::error!("event=metrics_not_added cause=\"{error}\"");
        }
    }

    /// Adds the counter of calls to the coordination store.
    pub fn add_store_calls(&self, calls: &StoreCalls) {
        self.add(Box::new(calls.counter().clone()));
    }

    /// Adds the gauge of what the other nodes read.
    pub fn add_nodes(&self, nodes: &Nodes) {
        self.add(Box::new(nodes.nodes_behind().clone()));
    }

    /// Adds the counters of discovery.
    pub fn add_discovery(&self, counters: &DiscoveryCounters) {
        self.add(Box::new(counters.restarts.clone()));
        self.add(Box::new(counters.unreadable_records.clone()));
    }

    fn add(&self, collector: Box<dyn Collector>) {
        if let Err(error) = self.registry.register(collector) {
            log::error!("event=metrics_not_added cause=\"{error}\"");
        }
    }

    /// All counters as text.
    pub fn render(&self) -> String {
        let dropped = crate::logging::dropped_lines();
        let counted = self.dropped_log_lines.get();
        self.dropped_log_lines
            .inc_by(dropped.saturating_sub(counted));
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .unwrap_or_default()
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

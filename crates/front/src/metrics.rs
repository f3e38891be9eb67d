//! Prometheus metrics of a process.

use ladderstage::region::Distance;
use ladderstage_journal::JournalMetrics;
use prometheus::core::Collector;
use prometheus::{
    Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    TextEncoder,
};

use crate::backend::{DiscoveryCounters, HoldReason};
use crate::coordination::StoreCallMetrics;
use crate::ingress::ConnectionMetrics;
use crate::memory::BudgetMetrics;
use crate::nodes::Nodes;

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0,
];

/// Metrics of a process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Client requests by route and outcome.
    pub requests: IntCounterVec,
    /// Time to the response of live requests, in seconds.
    pub request_seconds: Histogram,
    /// Requests without a valid key, by reason.
    pub refused_keys: IntCounterVec,
    /// Attempts to send live requests to instances.
    pub attempts: IntCounter,
    /// Requests to instances, by kind of work and distance.
    pub sent: IntCounterVec,
    /// Work rejected because no allowed region could serve or store it, by kind of work.
    pub refused_by_region: IntCounterVec,
    /// Requests that may have run when their connection to an instance broke, by the state of the
    /// instance afterwards.
    pub broken_runs: IntCounterVec,
    /// Runs not started because instances had crashed during runs of the same request content, by
    /// subject.
    pub held_back_runs: IntCounterVec,
    /// Requests not sent because their instances must not get any, by reason.
    pub held_back_requests: IntCounterVec,
    /// Request contents suspected of crashing instances.
    pub suspected_contents: IntGauge,
    /// Known crashes of instances during runs of suspected contents.
    pub suspect_ends: IntGauge,
    /// Runs of items, by outcome.
    pub item_runs: IntCounterVec,
    /// Reward calls, by outcome.
    pub reward_calls: IntCounterVec,
    /// Batch jobs, by event.
    pub jobs: IntCounterVec,
    /// Orders to instances, by outcome.
    pub orders: IntCounterVec,
    /// Permits for requests to cold instances granted to this node.
    pub send_permits: IntCounter,
    /// Usage reports, by outcome.
    pub usage_reports: IntCounterVec,
    /// Capacity orders, by zone, kind of instance and outcome.
    pub capacity_orders: IntCounterVec,
    /// Lost instances, by zone and reason.
    pub capacity_lost: IntCounterVec,
    /// Detected suspensions of the machine.
    pub suspensions: IntCounter,
    /// Detected times in which the process stood still.
    pub stalls: IntCounter,
    /// Dropped log lines.
    pub dropped_log_lines: IntCounter,
    /// Open connections of clients, by listener.
    open_connections: IntGaugeVec,
    /// Connections of clients that were closed or refused, by listener and reason.
    closed_connections: IntCounterVec,
    /// Memory reserved for requests.
    pub budget: BudgetMetrics,
}

impl Metrics {
    /// Creates and registers all metrics.
    ///
    /// # Panics
    /// Never, as all names are valid and distinct.
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
        let gauge_vec = |name: &str, help: &str, labels: &[&str]| {
            let gauge = IntGaugeVec::new(Opts::new(name, help), labels).expect("valid name");
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
            sent: vec(
                "ladderstage_sent_total",
                "Requests to instances by kind of work and distance",
                &["work", "distance"],
            ),
            refused_by_region: vec(
                "ladderstage_refused_by_region_total",
                "Work refused as it may not be served or kept where it could be",
                &["work"],
            ),
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
            held_back_requests: vec(
                "ladderstage_held_back_requests_total",
                "Requests that were not sent as the instances meant were to get none by reason",
                &["reason"],
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
            send_permits: counter(
                "ladderstage_send_permits_total",
                "Permits for requests to cold instances that this node was dealt",
            ),
            usage_reports: vec(
                "ladderstage_usage_reports_total",
                "Reports of use by outcome",
                &["outcome"],
            ),
            capacity_orders: vec(
                "ladderstage_capacity_orders_total",
                "Orders of capacity by zone, kind of instance and outcome",
                &["zone", "kind", "outcome"],
            ),
            capacity_lost: vec(
                "ladderstage_capacity_lost_total",
                "Instances that were lost and are to be replaced by zone and reason",
                &["zone", "reason"],
            ),
            suspensions: counter(
                "ladderstage_suspensions_total",
                "Times that the machine was suspended",
            ),
            stalls: counter(
                "ladderstage_stalls_total",
                "Times that the process stood still for a second or longer",
            ),
            dropped_log_lines: counter(
                "ladderstage_log_lines_dropped_total",
                "Log lines left out because too many were written",
            ),
            open_connections: gauge_vec(
                "ladderstage_open_connections",
                "Open connections of clients by listener",
                &["listener"],
            ),
            closed_connections: vec(
                "ladderstage_closed_connections_total",
                "Connections of clients that were closed or refused by listener and reason",
                &["listener", "reason"],
            ),
            budget: BudgetMetrics {
                used: gauge(
                    "ladderstage_reserved_request_bytes",
                    "Memory reserved for requests, jobs and responses",
                ),
                refusals: vec(
                    "ladderstage_memory_refusals_total",
                    "Requests refused for lack of memory by what was to be read",
                    &["purpose"],
                ),
            },
            registry,
        }
    }

    /// Counts a request sent to an instance at a distance.
    pub fn record_sent(&self, work: &str, distance: Distance) {
        let labels = [work, distance.label()];
        self.sent.with_label_values(&labels).inc();
    }

    /// Returns the metrics of a listener's connections.
    pub fn connections(&self, listener: &'static str) -> ConnectionMetrics {
        ConnectionMetrics {
            listener,
            open: self.open_connections.with_label_values(&[listener]),
            closed: self.closed_connections.clone(),
        }
    }

    /// Registers the metrics of the journal.
    pub fn add_journal(&self, journal: &JournalMetrics) {
        if let Err(error) = journal.register(&self.registry) {
            log::error!("event=metrics_not_added cause=\"{error}\"");
        }
    }

    /// Registers the counter of calls to the coordination store.
    pub fn add_store_calls(&self, calls: &StoreCallMetrics) {
        self.add(Box::new(calls.counter().clone()));
    }

    /// Registers the gauge of nodes that read fewer formats.
    pub fn add_nodes(&self, nodes: &Nodes) {
        self.add(Box::new(nodes.outdated_nodes().clone()));
    }

    /// Registers the counters of discovery.
    pub fn add_discovery(&self, counters: &DiscoveryCounters) {
        self.add(Box::new(counters.restarts.clone()));
        self.add(Box::new(counters.unreadable_records.clone()));
        self.add(Box::new(counters.drained_zones.clone()));
        self.add(Box::new(counters.skipped_instances.clone()));
    }

    /// Counts a request that was not sent.
    pub fn record_held_back(&self, reason: HoldReason) {
        let held_back = &self.held_back_requests;
        held_back.with_label_values(&[reason.label()]).inc();
    }

    fn add(&self, collector: Box<dyn Collector>) {
        if let Err(error) = self.registry.register(collector) {
            log::error!("event=metrics_not_added cause=\"{error}\"");
        }
    }

    /// Renders all metrics in the Prometheus text format.
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

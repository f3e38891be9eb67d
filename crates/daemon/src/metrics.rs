//! `/metrics` in the Prometheus text format: counters of the components, and gauges computed at each scrape.

use nix::sys::resource::{UsageWho, getrusage};
use prometheus::{
    Counter, Encoder, Gauge, IntCounter, IntGauge, IntGaugeVec, Opts, Registry, TextEncoder,
};

use crate::node::NodeComponents;
use crate::orders::OrderDescription;

/// Returns all metrics of a node as text.
pub fn render(components: &NodeComponents) -> String {
    let registry = Registry::new();
    if let Err(error) = register_all(&registry, components) {
        log::error!("event=metrics_failed detail=\"{error}\"");
    }
    let mut text = Vec::new();
    if let Err(error) = TextEncoder::new().encode(&registry.gather(), &mut text) {
        log::error!("event=metrics_failed detail=\"{error}\"");
    }
    String::from_utf8_lossy(&text).into_owned()
}

fn register_all(registry: &Registry, components: &NodeComponents) -> prometheus::Result<()> {
    components.live.metrics().register(registry)?;
    components.shards.metrics().register(registry)?;
    components.journal.metrics().register(registry)?;
    components.bundles.register_metrics(registry)?;
    components.orders.register_metrics(registry)?;
    register_bundle(registry, components)?;
    register_backends(registry, components)?;
    register_state(registry, components)?;
    register_resource_usage(registry, components)?;
    set_gauge(
        registry,
        "ladderstage_in_flight",
        "Requests under way at this node",
        components.drain.in_flight() as i64,
    )?;
    set_gauge(
        registry,
        "ladderstage_members_alive",
        "Members that take work",
        components.members.alive().len() as i64,
    )?;
    set_gauge(
        registry,
        "ladderstage_shards_owned",
        "Shards of steps owned here",
        components.shards.describe().len() as i64,
    )
}

fn register_bundle(registry: &Registry, components: &NodeComponents) -> prometheus::Result<()> {
    let revision = components
        .bundles
        .current()
        .map_or(0, |current| current.bundle.revision);
    set_gauge(
        registry,
        "ladderstage_bundle_revision",
        "Revision of the bundle in force here",
        revision as i64,
    )?;
    let age = components
        .bundles
        .evidence_age()
        .map_or(f64::INFINITY, |age| age.as_secs_f64());
    set_float_gauge(
        registry,
        "ladderstage_bundle_evidence_age_seconds",
        "How long ago the bundle in force was known to be the newest",
        age,
    )?;
    set_gauge(
        registry,
        "ladderstage_deliveries_allowed",
        "1 while the bundle in force is known to be the newest recently enough to deliver samples",
        i64::from(components.bundles.may_deliver()),
    )
}

/// Registers the number of back ends by pool and state, and the number of engines with an outdated weight version.
fn register_backends(registry: &Registry, components: &NodeComponents) -> prometheus::Result<()> {
    let options = Opts::new("ladderstage_backends", "Back ends known here, by pool");
    let backends = IntGaugeVec::new(options, &["pool", "state"])?;
    for backend in components.backends.describe() {
        let state = match backend.unusable {
            None => "usable",
            Some(_) if backend.leaving => "leaving",
            Some(_) => "unusable",
        };
        let pool = backend.pool.unwrap_or_default();
        backends.with_label_values(&[pool.as_str(), state]).inc();
    }
    registry.register(Box::new(backends))?;
    let orders = components.orders.describe();
    let is_pending = |order: &&OrderDescription| order.reported != Some(order.wanted);
    set_gauge(
        registry,
        "ladderstage_engine_orders_pending",
        "Engines that do not report the weight version of the bundle in force",
        orders.iter().filter(is_pending).count() as i64,
    )
}

fn register_state(registry: &Registry, components: &NodeComponents) -> prometheus::Result<()> {
    set_gauge(
        registry,
        "ladderstage_replica_set_version",
        "Version of the journal's replica set known here",
        components.replica_sets.version() as i64,
    )?;
    set_gauge(
        registry,
        "ladderstage_isolated",
        "1 while most members of the region do not answer this node",
        i64::from(components.members.is_isolated()),
    )?;
    set_gauge(
        registry,
        "ladderstage_draining",
        "1 once this node has begun its planned stop",
        i64::from(components.drain.is_draining()),
    )
}

/// Registers the bytes exchanged between daemons and the CPU time of the process.
fn register_resource_usage(
    registry: &Registry,
    components: &NodeComponents,
) -> prometheus::Result<()> {
    let client_traffic = components.client.traffic().snapshot();
    let served = components.server_traffic.snapshot();
    let sent = client_traffic.bytes_out + served.bytes_out;
    let received = client_traffic.bytes_in + served.bytes_in;
    add_counter(
        registry,
        "ladderstage_peer_bytes_sent_total",
        "Bytes sent to other daemons",
        sent,
    )?;
    add_counter(
        registry,
        "ladderstage_peer_bytes_received_total",
        "Bytes received from other daemons",
        received,
    )?;
    let cpu_time = Counter::new("process_cpu_seconds_total", "Processor time of the process")?;
    cpu_time.inc_by(cpu_seconds());
    registry.register(Box::new(cpu_time))
}

fn cpu_seconds() -> f64 {
    let Ok(usage) = getrusage(UsageWho::RUSAGE_SELF) else {
        return 0.0;
    };
    let seconds =
        |time: nix::sys::time::TimeVal| time.tv_sec() as f64 + time.tv_usec() as f64 / 1e6;
    seconds(usage.user_time()) + seconds(usage.system_time())
}

fn set_gauge(registry: &Registry, name: &str, help: &str, value: i64) -> prometheus::Result<()> {
    let gauge = IntGauge::new(name, help)?;
    gauge.set(value);
    registry.register(Box::new(gauge))
}

fn add_counter(registry: &Registry, name: &str, help: &str, value: u64) -> prometheus::Result<()> {
    let counter = IntCounter::new(name, help)?;
    counter.inc_by(value);
    registry.register(Box::new(counter))
}

fn set_float_gauge(
    registry: &Registry,
    name: &str,
    help: &str,
    value: f64,
) -> prometheus::Result<()> {
    let gauge = Gauge::new(name, help)?;
    gauge.set(value);
    registry.register(Box::new(gauge))
}

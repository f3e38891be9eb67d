//! Orders to engines to load the weight versions of the bundle in force.
//!
//! [`ladderstage::engine_orders`] decides; this module sends the orders and records the results.

mod progress;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use ladderstage::bundle::Bundle;
use ladderstage::engine_orders::{
    Action, AttemptOutcome, EngineView, Order, STANDBY_DELAY, order_sender_rank, orders, wave,
};
use ladderstage_platform::orders::{OrderAnswer, OrderRequest, send_order};
use log::{info, warn};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

pub use progress::OrderDescription;

use crate::backends::{Backends, Peers, TaskGroup};
use crate::bundles::{BundleInForce, Bundles};
use crate::jitter::jittered;
use crate::members::Members;
use crate::members_cache::MembersCache;
use crate::settings::Settings;
use progress::Progress;

/// Interval between checks of all orders.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of an order to an engine.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// Sender of orders to engines. Cheap to clone; sending stops when the last clone is dropped.
#[derive(Debug, Clone)]
pub struct Orders {
    shared: Arc<Shared>,
    _tasks: Arc<TaskGroup>,
}

#[derive(Debug)]
struct Shared {
    progress: Mutex<Progress>,
    started: Instant,
    peers: Arc<dyn Peers>,
    backends: Backends,
    http: reqwest::Client,
}

impl Orders {
    /// Starts sending orders to engines.
    pub fn start(
        _settings: &Settings,
        members: Members,
        bundles: Bundles,
        backends: Backends,
        http: reqwest::Client,
    ) -> Self {
        Self::start_with(Arc::new(members), bundles.watch(), backends, http)
    }

    /// Like [`Self::start`], with the given sources of peers and bundles.
    pub fn start_with(
        peers: Arc<dyn Peers>,
        bundle: watch::Receiver<Option<Arc<BundleInForce>>>,
        backends: Backends,
        http: reqwest::Client,
    ) -> Self {
        let shared = Arc::new(Shared {
            progress: Mutex::new(Progress::default()),
            started: Instant::now(),
            peers,
            backends,
            http,
        });
        let mut tasks = TaskGroup::default();
        tasks.spawn(send_due_orders(shared.clone(), bundle));
        Self {
            shared,
            _tasks: Arc::new(tasks),
        }
    }

    /// Registers the metrics of orders.
    ///
    /// # Errors
    /// If the registry already contains metrics with these names.
    pub fn register_metrics(&self, registry: &prometheus::Registry) -> prometheus::Result<()> {
        registry.register(Box::new(self.shared.progress().swaps()))
    }

    /// Returns the progress of each engine for which the bundle has an order, sorted by name. Only this node's attempts
    /// are counted.
    pub fn describe(&self) -> Vec<OrderDescription> {
        let now = self.shared.started.elapsed();
        self.shared
            .progress()
            .describe(now, |engine| self.shared.view(engine))
    }
}

impl Shared {
    fn progress(&self) -> std::sync::MutexGuard<'_, Progress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns an engine's last fresh report. `None` for a leaving engine, which receives no orders.
    fn view(&self, engine: &str) -> Option<EngineView> {
        let observed = self.backends.observed(engine)?;
        let report = observed.report.filter(|_| !observed.leaving)?;
        Some(EngineView {
            process: report.process,
            weight_version: report.weight_version,
            idle: report.running == 0 && report.waiting == 0,
        })
    }
}

async fn send_due_orders(shared: Arc<Shared>, bundle: watch::Receiver<Option<Arc<BundleInForce>>>) {
    let mut sends = JoinSet::new();
    let mut ranks = MembersCache::default();
    loop {
        let in_force = bundle.borrow().clone();
        if let Some(in_force) = in_force {
            let now = shared.started.elapsed();
            shared.progress().apply_bundle(&in_force.bundle, now);
            let revision = in_force.bundle.revision;
            let ranks = ranks.get(revision, shared.peers.alive(), |members| {
                own_ranks(&in_force.bundle, &shared.peers.own(), members)
            });
            for (order, engine) in due_orders(&shared, ranks, now) {
                sends.spawn(send(shared.clone(), order, engine));
            }
        }
        while sends.try_join_next().is_some() {}
        sleep(jittered(TICK_INTERVAL)).await;
    }
}

/// Returns the engines whose orders this node sends, with its rank among the senders of each.
fn own_ranks(bundle: &Bundle, own: &str, members: &[String]) -> BTreeMap<String, usize> {
    let ranked = orders(bundle).into_iter().filter_map(|order| {
        let rank = order_sender_rank(&order.backend, own, members)?;
        Some((order.backend, rank))
    });
    ranked.collect()
}

/// Returns the orders to send now, and marks them as being sent.
fn due_orders(
    shared: &Shared,
    ranks: &BTreeMap<String, usize>,
    now: Duration,
) -> Vec<(Order, EngineView)> {
    let mut progress = shared.progress();
    let time_in_force = progress.time_in_force(now);
    let mut due = Vec::new();
    for pool in progress.pools() {
        let swapping = wave(&pool, |engine| shared.view(engine), time_in_force);
        for order in &pool {
            let in_wave = swapping.contains(order.backend.as_str());
            let rank = ranks.get(&order.backend);
            let engine = shared.view(&order.backend);
            let action = progress.advance(order, engine, in_wave, now);
            let may_send = match rank {
                Some(0) => true,
                Some(_) => time_in_force >= STANDBY_DELAY,
                None => false,
            };
            if let (Action::Send, true, Some(engine)) = (action, may_send, engine)
                && progress.start_sending(&order.backend)
            {
                due.push((order.clone(), engine));
            }
        }
    }
    due
}

async fn send(shared: Arc<Shared>, order: Order, engine: EngineView) {
    let outcome = send_once(&shared, &order).await;
    let now = shared.started.elapsed();
    let attempts = shared
        .progress()
        .record(&order, engine.process, outcome, now, rand::random());
    match outcome {
        AttemptOutcome::Accepted => info!(
            "event=engine_order_accepted engine={} model={} weight_version={} fence={} attempt={attempts}",
            order.backend, order.model, order.weight_version, order.fence
        ),
        AttemptOutcome::Fenced { fence } => warn!(
            "event=engine_order_fenced engine={} weight_version={} fence={} newer_fence={fence}",
            order.backend, order.weight_version, order.fence
        ),
        AttemptOutcome::Failed => {}
    }
}

async fn send_once(shared: &Shared, order: &Order) -> AttemptOutcome {
    let Some(observed) = shared.backends.observed(&order.backend) else {
        return AttemptOutcome::Failed;
    };
    let request = OrderRequest {
        fence: order.fence,
        model: order.model.clone(),
        weight_version: order.weight_version,
    };
    match send_order(&shared.http, observed.address, &request, ORDER_TIMEOUT).await {
        Ok(OrderAnswer::Accepted) => AttemptOutcome::Accepted,
        Ok(OrderAnswer::Fenced { fence }) => AttemptOutcome::Fenced { fence },
        Err(error) => {
            warn!(
                "event=engine_order_failed engine={} weight_version={} fence={} error={error:?}",
                order.backend, order.weight_version, order.fence
            );
            AttemptOutcome::Failed
        }
    }
}

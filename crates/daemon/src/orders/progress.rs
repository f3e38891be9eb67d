//! Progress of the orders of the bundle in force, as known to this node.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ladderstage::bundle::Bundle;
use ladderstage::engine_orders::{
    Action, Attempt, AttemptOutcome, EngineView, Order, next_action, orders,
};
use ladderstage::ids::{ProcessId, Revision, WeightVersion};
use log::info;
use prometheus::{Histogram, HistogramOpts};
use serde::Serialize;

/// Upper bounds of the swap time buckets, in seconds.
const SWAP_BUCKETS: [f64; 9] = [0.25, 0.5, 1.0, 2.5, 6.0, 15.0, 30.0, 60.0, 300.0];

/// Progress of one engine, for operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct OrderDescription {
    /// Name of the engine.
    pub engine: String,
    /// Model that the engine should serve.
    pub model: String,
    /// Weight version that the engine should serve.
    pub wanted: WeightVersion,
    /// Weight version in the engine's last fresh report.
    pub reported: Option<WeightVersion>,
    /// Revision of the bundle that contains the order.
    pub fence: Revision,
    /// State of the order.
    pub state: String,
    /// How often this node has sent the order to the engine's present process.
    pub attempts: u32,
    /// Milliseconds for which the order has been in this state, as known to this node.
    pub since_ms: u64,
}

/// Progress of one engine's order.
#[derive(Debug)]
struct EngineProgress {
    action: Action,
    since: Duration,
    is_sending: bool,
    last: Option<Attempt>,
}

impl EngineProgress {
    fn has_sent(&self, order: &Order) -> bool {
        self.last
            .as_ref()
            .is_some_and(|attempt| attempt.fence == order.fence)
    }
}

/// Time from a bundle coming into force on this node until an engine ordered by this node reports its version.
#[derive(Debug, Clone)]
struct SwapTimes(Histogram);

impl Default for SwapTimes {
    fn default() -> Self {
        let options = HistogramOpts::new(
            "ladderstage_weights_in_force_seconds",
            "Time from a bundle's coming into force until an engine ordered by this node reported its weight version",
        );
        let histogram = Histogram::with_opts(options.buckets(SWAP_BUCKETS.to_vec()));
        Self(histogram.expect("ascending buckets"))
    }
}

/// Progress of all orders.
#[derive(Debug, Default)]
pub(super) struct Progress {
    revision: Revision,
    in_force_since: Duration,
    orders: Vec<Order>,
    engines: BTreeMap<String, EngineProgress>,
    swaps: SwapTimes,
}

impl Progress {
    /// Returns the histogram of swap times.
    pub(super) fn swaps(&self) -> Histogram {
        self.swaps.0.clone()
    }

    /// Replaces the orders by those of a newer bundle.
    pub(super) fn apply_bundle(&mut self, bundle: &Bundle, now: Duration) {
        if bundle.revision <= self.revision {
            return;
        }
        self.revision = bundle.revision;
        self.in_force_since = now;
        self.orders = orders(bundle);
        let ordered: BTreeSet<&str> = self
            .orders
            .iter()
            .map(|order| order.backend.as_str())
            .collect();
        self.engines
            .retain(|name, _| ordered.contains(name.as_str()));
        for progress in self.engines.values_mut() {
            progress.action = Action::Unreported;
            progress.since = now;
        }
    }

    pub(super) fn time_in_force(&self, now: Duration) -> Duration {
        now.saturating_sub(self.in_force_since)
    }

    /// Returns the orders, grouped by pool.
    pub(super) fn pools(&self) -> Vec<Vec<Order>> {
        self.orders
            .chunk_by(|left, right| left.model == right.model)
            .map(<[Order]>::to_vec)
            .collect()
    }

    /// Decides the next action for an order and records it; observes the swap time if the engine now reports the
    /// version.
    pub(super) fn advance(
        &mut self,
        order: &Order,
        engine: Option<EngineView>,
        in_wave: bool,
        now: Duration,
    ) -> Action {
        let elapsed = now.saturating_sub(self.in_force_since);
        let progress = self.entry(&order.backend, now);
        let action = next_action(order, engine, in_wave, progress.last.as_ref(), now);
        if std::mem::discriminant(&action) != std::mem::discriminant(&progress.action) {
            progress.since = now;
        }
        let is_swapped =
            action == Action::Done && progress.action != Action::Done && progress.has_sent(order);
        progress.action = action;
        if is_swapped {
            self.swaps.0.observe(elapsed.as_secs_f64());
            log_done(order, elapsed);
        }
        action
    }

    /// Marks that an order is being sent to an engine; `false` if that was already so.
    pub(super) fn start_sending(&mut self, engine: &str) -> bool {
        let Some(progress) = self.engines.get_mut(engine) else {
            return false;
        };
        !std::mem::replace(&mut progress.is_sending, true)
    }

    /// Records the outcome of sending an order. Returns how often this order was sent.
    pub(super) fn record(
        &mut self,
        order: &Order,
        process: ProcessId,
        outcome: AttemptOutcome,
        now: Duration,
        jitter: f64,
    ) -> u32 {
        let progress = self.entry(&order.backend, now);
        let previous = progress.last.as_ref();
        let attempt = Attempt::record(order, process, previous, outcome, now, jitter);
        progress.is_sending = false;
        let count = attempt.count;
        progress.last = Some(attempt);
        count
    }

    fn entry(&mut self, engine: &str, now: Duration) -> &mut EngineProgress {
        let entry = self.engines.entry(engine.to_owned());
        entry.or_insert(EngineProgress {
            action: Action::Unreported,
            since: now,
            is_sending: false,
            last: None,
        })
    }

    /// Returns the progress of all orders; `view` returns an engine's last fresh report.
    pub(super) fn describe(
        &self,
        now: Duration,
        view: impl Fn(&str) -> Option<EngineView>,
    ) -> Vec<OrderDescription> {
        let mut descriptions: Vec<_> = self
            .orders
            .iter()
            .map(|order| self.describe_order(order, view(&order.backend), now))
            .collect();
        descriptions.sort_by(|left, right| left.engine.cmp(&right.engine));
        descriptions
    }

    fn describe_order(
        &self,
        order: &Order,
        engine: Option<EngineView>,
        now: Duration,
    ) -> OrderDescription {
        let progress = self.engines.get(&order.backend);
        let action = progress.map_or(Action::Unreported, |progress| progress.action);
        let since = progress.map_or(self.in_force_since, |progress| progress.since);
        let last = progress.and_then(|progress| progress.last.as_ref());
        let attempts =
            engine.and_then(|engine| last.filter(|attempt| attempt.is_for(order, engine.process)));
        OrderDescription {
            engine: order.backend.clone(),
            model: order.model.clone(),
            wanted: order.weight_version,
            reported: engine.map(|engine| engine.weight_version),
            fence: order.fence,
            state: action.to_string(),
            attempts: attempts.map_or(0, |attempt| attempt.count),
            since_ms: u64::try_from(now.saturating_sub(since).as_millis()).unwrap_or(u64::MAX),
        }
    }
}

fn log_done(order: &Order, elapsed: Duration) {
    info!(
        "event=engine_order_done engine={} model={} weight_version={} fence={} ms={}",
        order.backend,
        order.model,
        order.weight_version,
        order.fence,
        elapsed.as_millis()
    );
}

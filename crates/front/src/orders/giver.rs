//! Order leader: sends weight-load orders to instances while this node holds the orders lease.

use std::sync::Arc;
use std::time::Duration;

use futures_util::stream::{FuturesUnordered, StreamExt};
use http::StatusCode;
use ladderstage_clock::Instant;

use super::calls::{CALL_LIMIT, InstanceCalls};
use super::candidates::is_candidate;
use super::demand::FleetDemand;
use super::ended::tell_end;
use super::given::{Given, LOOK_INTERVAL};
use super::learnt::learnt_limit;
use super::lease::{GiverLease, Held, LastGiver};
use super::named::VersionsNamed;
use super::permits::PermitDealer;
use super::plan::{FleetInstance, Planned, plan};
use crate::backend::{BackendTable, HoldReason, Instance, LOADING_PAUSE};
use crate::capacity::CapacityDuty;
use crate::config::ConfigInForce;
use crate::coordination::Coordination;
use crate::dialect::{SharedCodec, VersionOrder};
use crate::front::Activities;
use crate::job::JobRegistry;
use crate::metrics::Metrics;
use crate::nodes::{NodeRole, Nodes};
use crate::roster::RosterWriter;
use crate::usage::UsageReporter;

/// Pause between attempts to acquire the lease.
const TAKE_PAUSE: Duration = Duration::from_millis(250);

/// Interval between checks of whether this node is a candidate.
const CANDIDATE_LOOK: Duration = Duration::from_millis(500);

/// Maximum age of the node list for an attempt to acquire the lease. Nodes that start together know
/// only themselves at first.
const NODES_AGE: Duration = Duration::from_secs(5);

/// Interval between polls of the fronts for their demand.
const DEMAND_INTERVAL: Duration = Duration::from_secs(3);

/// Maximum number of orders planned in one round.
const ORDERS_AT_ONCE: usize = 16;

/// Time after which a load is abandoned.
const LOAD_LIMIT: Duration = Duration::from_secs(5);

/// Time for which a leader without a learned limit ignores finished loads, so that loads of the
/// previous leader do not distort the limit.
const SETTLE_TIME: Duration = Duration::from_millis(3_000);

/// Time for which an instance is excluded after a call without an answer.
const DOUBT_TIME: Duration = Duration::from_millis(1_500);

/// Options of the order leader.
#[derive(Debug, Clone, Copy)]
pub struct OrderOptions {
    /// Minimum time between orders of leaders on two nodes.
    pub quiet: Duration,
}

/// Issues weight-load orders while this node holds the orders lease.
pub struct OrderGiver {
    /// Client of the coordination store.
    pub coordination: Arc<dyn Coordination>,
    /// Known nodes, including this one.
    pub nodes: Nodes,
    /// Known instances.
    pub backends: BackendTable,
    /// Services and their models.
    pub config: ConfigInForce,
    /// Announced weight versions.
    pub versions: VersionsNamed,
    /// Encoding of calls to instances.
    pub codec: SharedCodec,
    /// Metrics of this front.
    pub metrics: Arc<Metrics>,
    /// Jobs that this node owns.
    pub jobs: JobRegistry,
    /// Active while this node holds the lease.
    pub activities: Activities,
    /// Timing options.
    pub options: OrderOptions,
    /// Publishes the roster of instances for fronts that do not follow discovery.
    pub roster: RosterWriter,
    /// Reports usage under the same lease; `None` if reports are disabled.
    pub usage: Option<UsageReporter>,
    /// Issues permits for cold instances under the same lease.
    pub permits: PermitDealer,
    /// Orders capacity under the same lease; `None` if capacity is managed elsewhere.
    pub capacity: Option<CapacityDuty>,
}

/// Planned order and the instance that receives it.
struct Order {
    instance: Arc<Instance>,
    planned: Planned,
}

/// Consequence of an order for its instance.
enum Outcome {
    /// The instance accepted the order and loads the version.
    Loading,
    /// The outcome is unknown; the instance may be loading, or start to.
    InDoubt,
    /// The instance is excluded for this time.
    Pause(Duration),
    /// The instance has seen an order of a later leader.
    Fenced,
}

/// Status of the leader after its orders were answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Standing {
    /// May issue further orders.
    Holder,
    /// A later leader exists.
    Fenced,
}

/// Processes the outcomes of orders until the pause is over.
async fn take_answers(
    given: &mut Given,
    answers: &mut FuturesUnordered<impl Future<Output = (Order, Outcome)>>,
    pause: tokio::time::Sleep,
) -> Standing {
    tokio::pin!(pause);
    loop {
        let (Order { instance, planned }, outcome) = tokio::select! {
            () = &mut pause => return Standing::Holder,
            Some(answer) = answers.next() => answer,
        };
        given.ordering.remove(&planned.instance);
        match outcome {
            Outcome::Loading => given.begin(&instance, planned, LOAD_LIMIT, true),
            Outcome::InDoubt => given.begin(&instance, planned, DOUBT_TIME, false),
            Outcome::Pause(pause) => {
                let until = Instant::now() + pause;
                given.pauses.insert(planned.instance, until);
            }
            Outcome::Fenced => return Standing::Fenced,
        }
    }
}

impl OrderGiver {
    /// Acquires the lease whenever it is free and this node is a candidate, and issues orders while
    /// the lease is valid. Runs for as long as the future is polled.
    pub async fn run(&self) {
        let lease = GiverLease {
            coordination: Arc::clone(&self.coordination),
            node: self.nodes.own().node,
            quiet: self.options.quiet,
        };
        let mut respected = Vec::new();
        loop {
            if !self.has_duties() || !self.is_candidate() {
                tokio::time::sleep(CANDIDATE_LOOK).await;
                continue;
            }
            // The node list may be outdated, so refresh it before trying.
            let refreshed = self.nodes.refresh(self.coordination.as_ref(), NODES_AGE);
            if let Err(error) = refreshed.await {
                log::warn!("event=giver_nodes_not_read cause=\"{error}\"");
            }
            if !self.is_candidate() {
                continue;
            }
            match lease.take().await {
                Ok(Some(held)) => self.hold(&lease, held, &mut respected).await,
                Ok(None) => lease.wait_until_free().await,
                Err(error) => log::warn!("event=giver_lease_not_taken cause=\"{error}\""),
            }
            tokio::time::sleep(ladderstage_journal::jitter::jittered(TAKE_PAUSE)).await;
        }
    }

    fn is_candidate(&self) -> bool {
        let own = self.nodes.own();
        let fronts = self.nodes.with_role(NodeRole::Front);
        let fronts = fronts.iter().filter(|front| !front.is_leaving);
        let ranked = fronts.map(|front| (front.node.as_str(), front.cpu_millis));
        !own.is_leaving && is_candidate(&own.node, ranked)
    }

    /// Returns true if any duty of the lease holder is configured: models, cold instances that need
    /// permits, usage reports or capacity orders. Does not wait for the first announced version.
    fn has_duties(&self) -> bool {
        let config = self.config.current();
        self.usage.is_some()
            || self.capacity.is_some()
            || !self.backends.gates().cold.is_empty()
            || config.is_some_and(|config| {
                config
                    .services
                    .values()
                    .any(|service| !service.models.is_empty())
            })
    }

    /// Issues orders until the lease is lost or released. `respected` carries orders of other
    /// leaders from one lease of this node to the next.
    async fn hold(&self, lease: &GiverLease, held: Held, respected: &mut Vec<(String, Instant)>) {
        let _with_instances = self.activities.with_instances.begin();
        let _with_versions = self.activities.with_versions.begin();
        if self.roster.drains.is_some() {
            // This node writes the roster from now on. A watch of drains whose answer was lost
            // would stay silent until its timeout.
            self.coordination.doubt_watches();
        }
        let dealing = self.permits.begin(held.watch_proof());
        let mut given = self.begin_given().await;
        given.respect(std::mem::take(respected), self.options.quiet);
        let is_released = tokio::select! {
            loss = lease.keep(&held) => {
                log::warn!("event=giver_lease_lost fence={} reason={loss}", held.fence);
                false
            }
            reason = self.give_while_held(lease, &held, &mut given) => {
                log::info!("event=giver_steps_down fence={} reason={reason}", held.fence);
                true
            }
            () = self.roster.run() => false,
            () = self.report_usage(lease, &held) => false,
            () = self.order_capacity(lease, &held) => false,
        };
        // After the release another node may hold the lease before this one notices.
        drop(dealing);
        *respected = std::mem::take(&mut given.respected);
        respected.retain(|(_, ordered_at)| ordered_at.elapsed() < self.options.quiet);
        if held.is_named() {
            let own = LastGiver {
                node: self.nodes.own().node,
                fence: held.fence,
            };
            let orders = given.recent_orders(self.options.quiet);
            tell_end(&self.nodes, own, &orders).await;
        }
        if is_released {
            lease.release(&held).await;
        }
    }

    /// Reports usage if configured; stops for good once a report is fenced.
    async fn report_usage(&self, lease: &GiverLease, held: &Held) {
        if let Some(usage) = &self.usage {
            usage.run(lease, held).await;
        }
        std::future::pending::<()>().await;
    }

    /// Orders capacity if configured.
    async fn order_capacity(&self, lease: &GiverLease, held: &Held) {
        if let Some(capacity) = &self.capacity {
            capacity.run(lease, held).await;
        }
        std::future::pending::<()>().await;
    }

    /// Returns the initial state of a new leader.
    async fn begin_given(&self) -> Given {
        let mut given = Given::default();
        let learnt = self.jobs.learnt_loads();
        match learnt_limit(learnt, self.coordination.as_ref()).await {
            Some(learnt) => given.load_limit = learnt,
            None => given.learn_from = Some(Instant::now() + SETTLE_TIME),
        }
        given
    }

    /// Ends the quiet period early if the previous leader announced its recent orders; only the
    /// instances of those stay excluded.
    fn look_for_end_of_last(&self, held: &Held, given: &mut Given) {
        if !held.is_quiet() {
            return;
        }
        let last = held.last.as_ref();
        let ended = last.and_then(|last| self.jobs.ended_givers().orders_of(last));
        if let Some(orders) = ended {
            log::info!(
                "event=giver_quiet_over fence={} recent_orders={}",
                held.fence,
                orders.len()
            );
            given.respect(orders, self.options.quiet);
            held.end_quiet();
        }
    }

    /// Issues orders until this node must stop, and returns the reason. Does not wait for answers,
    /// so that an instance that hangs delays neither other orders nor the checks of loads.
    async fn give_while_held(
        &self,
        lease: &GiverLease,
        held: &Held,
        given: &mut Given,
    ) -> &'static str {
        let mut answers = FuturesUnordered::new();
        loop {
            if self.nodes.is_leaving() {
                return "leaving";
            }
            self.refresh_demand(given).await;
            self.look_for_end_of_last(held, given);
            match lease.may_order(held).await {
                Ok(true) => {
                    self.look_at_loads(given).await;
                    for order in self.next_orders(given) {
                        given.note_order(order.instance.id(), CALL_LIMIT);
                        answers.push(self.give(held, order));
                    }
                }
                Ok(false) => {}
                Err(error) => log::warn!("event=giver_not_named cause=\"{error}\""),
            }
            self.jobs.learnt_loads().note(&given.load_limit);
            given.learnt.save(&given.load_limit, &self.coordination);
            let audience = given.demand.audience(&self.nodes);
            given.news.send(&self.nodes, &audience, &given.load_limit);
            let pause = tokio::time::sleep(given.next_look());
            if let Standing::Fenced = take_answers(given, &mut answers, pause).await {
                return "fenced";
            }
        }
    }

    /// Refreshes the demand of the fronts if it is outdated.
    async fn refresh_demand(&self, given: &mut Given) {
        let is_known = |at: Instant| at.elapsed() < DEMAND_INTERVAL;
        if given.demand_at.is_some_and(is_known) {
            return;
        }
        given.demand_at = Some(Instant::now());
        given.demand = FleetDemand::gather(&self.nodes, &self.jobs, &given.demand).await;
        given.may_trade = true;
    }

    /// Plans the orders to send now.
    fn next_orders(&self, given: &mut Given) -> Vec<Order> {
        let now = Instant::now();
        given.pauses.retain(|_, until| *until > now);
        let mut demands = self.versions.demands();
        given.demand.fill(&mut demands);
        let mut instances = self.fleet();
        // Weights in drained zones are not used, so none are loaded there and models are assigned
        // to the remaining zones.
        instances.retain(|one| one.drain_gate() != Err(HoldReason::ZoneDrained));
        let mut fleet: Vec<FleetInstance> = instances
            .iter()
            .map(|instance| FleetInstance {
                id: instance.id().to_owned(),
                versions: instance.versions(),
                load: instance.candidate("", now).load,
                is_busy: given.is_left_alone(instance.id()),
                pace_ms: given.demand.pace_ms(instance.id()),
            })
            .collect();
        given.assignment.update(&demands, &fleet);
        given.trade_once(&demands, &fleet);
        let limit = given.load_limit.get();
        let mut orders = Vec::new();
        while orders.len() < ORDERS_AT_ONCE {
            let loading = given.loading() + orders.len();
            let planned = plan(&demands, &given.assignment, &fleet, loading, limit);
            let Some(planned) = planned else {
                break;
            };
            let Some(index) = fleet.iter().position(|one| one.id == planned.instance) else {
                break;
            };
            fleet[index].is_busy = true;
            orders.push(Order {
                instance: Arc::clone(&instances[index]),
                planned,
            });
        }
        orders
    }

    /// Returns the ready instances of all services that have models.
    pub(super) fn fleet(&self) -> Vec<Arc<Instance>> {
        let Some(config) = self.config.current() else {
            return Vec::new();
        };
        let services = config.services.iter();
        services
            .filter(|(_, service)| !service.models.is_empty())
            .flat_map(|(name, _)| self.backends.of_service(name))
            .filter(|instance| instance.is_ready())
            .collect()
    }

    /// Sends one order; returns it with its outcome.
    async fn give(&self, held: &Held, order: Order) -> (Order, Outcome) {
        let outcome = self.give_to(held, &order.instance, &order.planned).await;
        (order, outcome)
    }

    async fn give_to(&self, held: &Held, instance: &Arc<Instance>, planned: &Planned) -> Outcome {
        let report = match self.calls().report(instance).await {
            Ok(report) => report,
            Err(cause) => {
                log::warn!(
                    "event=report_failed instance={} cause=\"{cause}\"",
                    instance.id()
                );
                return Outcome::Pause(DOUBT_TIME);
            }
        };
        if !instance.is_start(report.started_unix_ms) {
            self.backends.note_start(instance, report.started_unix_ms);
            return Outcome::Pause(LOOK_INTERVAL);
        }
        for (model, version) in &report.versions {
            instance.note_version(model, *version);
        }
        if report.busy || instance.version(&planned.model) >= planned.version {
            return Outcome::Pause(LOOK_INTERVAL * 4);
        }
        if Instant::now() + CALL_LIMIT >= held.proven_until() {
            return Outcome::Pause(LOOK_INTERVAL);
        }
        let order = VersionOrder {
            model: planned.model.clone(),
            version: planned.version,
            keeps_runs: self.keeps_runs(&planned.model),
            holder: self.nodes.own().node,
            fence: held.fence,
            expected_sequence: report.order_sequence,
        };
        let answer = self
            .calls()
            .call(instance, self.codec.order_call(&order))
            .await;
        let (label, outcome) = match &answer {
            Ok((status, _)) if status.is_success() => ("taken", Outcome::Loading),
            Ok((StatusCode::PRECONDITION_FAILED, _)) => ("fenced", Outcome::Fenced),
            Ok(_) => ("refused", Outcome::Pause(LOOK_INTERVAL * 10)),
            Err(_) => ("in_doubt", Outcome::InDoubt),
        };
        if label == "taken" {
            instance.note_loading(&planned.model, Instant::now() + LOADING_PAUSE * 4);
        }
        self.metrics.orders.with_label_values(&[label]).inc();
        log::info!(
            "event=order_given instance={} model={} version={} had={} fence={} expected={} outcome={label} status={}",
            instance.id(),
            planned.model,
            planned.version,
            instance.version(&planned.model),
            held.fence,
            report.order_sequence,
            answer.map_or(0, |(status, _)| status.as_u16())
        );
        outcome
    }

    pub(super) fn calls(&self) -> InstanceCalls {
        InstanceCalls {
            codec: Arc::clone(&self.codec),
        }
    }

    /// Returns true unless a route requires that each text comes from a single version.
    fn keeps_runs(&self, _model: &str) -> bool {
        let config = self.config.current();
        config.is_none_or(|config| !config.routes.iter().any(|route| route.single_version))
    }
}

//! Order leader: sends weight-load orders to instances while this node holds the orders lease.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use futures_util::stream::{FuturesUnordered, StreamExt};
use http::StatusCode;
use ladderstage_clock::Instant;

use super::announced_versions::AnnouncedVersions;
use super::calls::{CALL_TIMEOUT, InstanceCalls};
use super::candidates::is_lease_candidate;
use super::demand::FleetDemand;
use super::former_leaders::announce_stop;
use super::leader_state::{LeaderState, PLANNING_INTERVAL};
use super::lease::{HeldLease, LastLeader, OrdersLease};
use super::load_limit_store::restore_load_limit;
use super::permits::PermitIssuer;
use super::plan::{FleetInstance, ModelDemand, PlannedLoad, plan_round};
use super::working_set::{SpareInstance, needed_slots};
use crate::backend::{BackendTable, HoldReason, Instance, LOADING_PAUSE};
use crate::capacity::CapacityController;
use crate::config::CurrentConfig;
use crate::coordination::Coordination;
use crate::dialect::{SharedCodec, VersionOrder};
use crate::front::Activities;
use crate::job::JobRegistry;
use crate::metrics::Metrics;
use crate::nodes::{NodeRole, Nodes};
use crate::roster::RosterWriter;
use crate::usage::UsageReporter;

/// Pause between attempts to acquire the lease.
const ACQUIRE_PAUSE: Duration = Duration::from_millis(250);

/// Interval between checks of whether this node is a candidate.
const CANDIDATE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum age of the node list for an attempt to acquire the lease. Nodes that start together know
/// only themselves at first.
const MAX_NODES_AGE: Duration = Duration::from_secs(5);

/// Interval between polls of the fronts for their demand.
const DEMAND_INTERVAL: Duration = Duration::from_secs(3);

/// Maximum number of orders planned in one round.
const MAX_ORDERS_PER_ROUND: usize = 16;

/// Time after which a load is abandoned.
const LOAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Time for which a leader without a learned limit ignores the loads it starts, as loads of
/// the previous leader may slow them down.
const SETTLING_PERIOD: Duration = Duration::from_millis(3_000);

/// Time for which an instance is excluded after a call without an answer.
const UNKNOWN_OUTCOME_PAUSE: Duration = Duration::from_millis(1_500);

/// Options of the order leader.
#[derive(Debug, Clone, Copy)]
pub struct OrderOptions {
    /// Minimum time between orders of leaders on two nodes.
    pub quiet_period: Duration,
}

/// Issues weight-load orders while this node holds the orders lease.
pub struct OrderLeader {
    /// Client of the coordination store.
    pub coordination: Arc<dyn Coordination>,
    /// Known nodes, including this one.
    pub nodes: Nodes,
    /// Known instances.
    pub backends: BackendTable,
    /// Services and their models.
    pub config: CurrentConfig,
    /// Announced weight versions.
    pub versions: AnnouncedVersions,
    /// Codec for calls to instances.
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
    pub permits: PermitIssuer,
    /// Orders capacity under the same lease; `None` if capacity is managed elsewhere.
    pub capacity: Option<CapacityController>,
}

/// Planned order and the instance that receives it.
struct Order {
    instance: Arc<Instance>,
    planned: PlannedLoad,
}

/// Consequence of an order for its instance.
enum Outcome {
    /// The instance accepted the order and loads the version.
    Loading,
    /// The outcome is unknown; the instance may be loading, or may start to load later.
    Unknown,
    /// The instance is excluded for this time.
    Pause(Duration),
    /// The instance has seen an order of a later leader.
    Fenced,
}

/// Status of the leader after its orders were answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LeaderStatus {
    /// May issue further orders.
    Leading,
    /// A later leader exists.
    Fenced,
}

/// Processes the outcomes of orders until the pause is over.
async fn process_outcomes(
    state: &mut LeaderState,
    answers: &mut FuturesUnordered<impl Future<Output = (Order, Outcome)>>,
    pause: tokio::time::Sleep,
) -> LeaderStatus {
    tokio::pin!(pause);
    loop {
        let (Order { instance, planned }, outcome) = tokio::select! {
            () = &mut pause => return LeaderStatus::Leading,
            Some(answer) = answers.next() => answer,
        };
        state.orders_in_flight.remove(&planned.instance);
        match outcome {
            Outcome::Loading => state.start_load(&instance, planned, LOAD_TIMEOUT, true),
            Outcome::Unknown => state.start_load(&instance, planned, UNKNOWN_OUTCOME_PAUSE, false),
            Outcome::Pause(pause) => {
                let until = Instant::now() + pause;
                state.excluded_until.insert(planned.instance, until);
            }
            Outcome::Fenced => return LeaderStatus::Fenced,
        }
    }
}

/// Returns whether an instance may load weights. Instances in drained zones serve no requests.
fn may_load(instance: &Instance) -> bool {
    instance.is_ready() && instance.check_drain() != Err(HoldReason::ZoneDrained)
}

fn spare_instance(instance: &Instance, demands: &[ModelDemand]) -> SpareInstance {
    let lag = |demand: &ModelDemand| {
        demand
            .newest
            .saturating_sub(instance.version(&demand.model))
    };
    SpareInstance {
        id: instance.id().to_owned(),
        zone: instance.zone(),
        slots: instance.slots(),
        lag: demands.iter().map(lag).min().unwrap_or(0),
    }
}

impl OrderLeader {
    /// Acquires the lease whenever it is free and this node is a candidate, and issues orders while
    /// the lease is valid. Runs for as long as the future is polled.
    pub async fn run(&self) {
        let lease = OrdersLease {
            coordination: Arc::clone(&self.coordination),
            node: self.nodes.own().node,
            quiet_period: self.options.quiet_period,
        };
        let mut foreign_orders = Vec::new();
        loop {
            // A node that knows no others would take itself for a candidate.
            if !self.has_duties() || !self.nodes.are_known() || !self.is_lease_candidate() {
                tokio::time::sleep(CANDIDATE_CHECK_INTERVAL).await;
                continue;
            }
            // The node list may be outdated, so refresh it before trying.
            let refreshed = self
                .nodes
                .refresh(self.coordination.as_ref(), MAX_NODES_AGE);
            if let Err(error) = refreshed.await {
                log::warn!("event=order_leader_nodes_read_failed cause=\"{error}\"");
            }
            if !self.is_lease_candidate() {
                continue;
            }
            match lease.acquire().await {
                Ok(Some(held)) => self.lead(&lease, held, &mut foreign_orders).await,
                Ok(None) => lease.wait_until_free().await,
                Err(error) => log::warn!("event=orders_lease_acquire_failed cause=\"{error}\""),
            }
            tokio::time::sleep(ladderstage_journal::jitter::jittered(ACQUIRE_PAUSE)).await;
        }
    }

    fn is_lease_candidate(&self) -> bool {
        let own = self.nodes.own();
        let fronts = self.nodes.with_role(NodeRole::Front);
        let fronts = fronts.iter().filter(|front| !front.is_leaving);
        let ranked = fronts.map(|front| (front.node.as_str(), front.cpu_millis));
        !own.is_leaving && is_lease_candidate(&own.node, ranked)
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

    /// Issues orders until the lease is lost or released. `foreign_orders` carries orders of other
    /// leaders from one lease of this node to the next.
    async fn lead(
        &self,
        lease: &OrdersLease,
        held: HeldLease,
        foreign_orders: &mut Vec<(String, Instant)>,
    ) {
        let _with_instances = self.activities.instance_work.start();
        let _with_versions = self.activities.version_work.start();
        if self.roster.drains.is_some() {
            // This node writes the roster from now on. Cancels the watch of drains, because a
            // watch whose answer was lost would report nothing until its timeout.
            self.coordination.cancel_watches();
        }
        let issuing = self.permits.start(held.watch_validity());
        let mut state = self.initial_state().await;
        state.exclude_recently_ordered(std::mem::take(foreign_orders), self.options.quiet_period);
        let is_released = tokio::select! {
            loss = lease.renew_until_lost(&held) => {
                log::warn!("event=orders_lease_lost fence={} reason={loss}", held.fence);
                false
            }
            reason = self.issue_orders_until_stopped(lease, &held, &mut state) => {
                log::info!("event=order_leader_steps_down fence={} reason={reason}", held.fence);
                true
            }
            () = self.roster.run() => false,
            () = self.report_usage(lease, &held) => false,
            () = self.order_capacity(lease, &held) => false,
        };
        // Stops issuing permits before another node can acquire the released lease.
        drop(issuing);
        *foreign_orders = std::mem::take(&mut state.foreign_orders);
        foreign_orders
            .retain(|(_, last_ordered_at)| last_ordered_at.elapsed() < self.options.quiet_period);
        if held.is_recorded() {
            let own = LastLeader {
                node: self.nodes.own().node,
                fence: held.fence,
            };
            let orders = state.recent_orders(self.options.quiet_period);
            announce_stop(&self.nodes, own, &orders).await;
        }
        if is_released {
            lease.release(&held).await;
        }
    }

    /// Reports usage if configured; stops for good once a report is fenced.
    async fn report_usage(&self, lease: &OrdersLease, held: &HeldLease) {
        if let Some(usage) = &self.usage {
            usage.run(lease, held).await;
        }
        std::future::pending::<()>().await;
    }

    /// Orders capacity if configured.
    async fn order_capacity(&self, lease: &OrdersLease, held: &HeldLease) {
        if let Some(capacity) = &self.capacity {
            capacity.run(lease, held).await;
        }
        std::future::pending::<()>().await;
    }

    /// Returns the initial state of a new leader.
    async fn initial_state(&self) -> LeaderState {
        let mut state = LeaderState::default();
        let learned = self.jobs.learned_load_limit();
        match restore_load_limit(learned, self.coordination.as_ref()).await {
            Some(limit) => state.load_limit = limit,
            None => state.learn_from = Some(Instant::now() + SETTLING_PERIOD),
        }
        state
    }

    /// Ends the quiet period early if the previous leader announced its recent orders. Only the
    /// instances that received these orders stay excluded.
    fn end_quiet_period_if_announced(&self, held: &HeldLease, state: &mut LeaderState) {
        if !held.is_in_quiet_period() {
            return;
        }
        let last = held.last.as_ref();
        let announced = last.and_then(|last| self.jobs.former_leaders().recent_orders_of(last));
        if let Some(orders) = announced {
            log::info!(
                "event=order_leader_quiet_period_ended fence={} recent_orders={}",
                held.fence,
                orders.len()
            );
            state.exclude_recently_ordered(orders, self.options.quiet_period);
            held.end_quiet_period();
        }
    }

    /// Issues orders until this node must stop, and returns the reason. Does not wait for answers,
    /// so that an instance that hangs delays neither other orders nor the checks of loads.
    async fn issue_orders_until_stopped(
        &self,
        lease: &OrdersLease,
        held: &HeldLease,
        state: &mut LeaderState,
    ) -> &'static str {
        let mut answers = FuturesUnordered::new();
        loop {
            if self.nodes.is_leaving() {
                return "leaving";
            }
            self.refresh_demand(state).await;
            self.end_quiet_period_if_announced(held, state);
            match lease.may_issue_orders(held).await {
                Ok(true) => {
                    self.check_loads(state).await;
                    for order in self.next_orders(state) {
                        state.record_order(order.instance.id(), CALL_TIMEOUT);
                        answers.push(self.send_order(held, order));
                    }
                }
                Ok(false) => {}
                Err(error) => log::warn!("event=orders_lease_check_failed cause=\"{error}\""),
            }
            self.jobs.learned_load_limit().record(&state.load_limit);
            state
                .limit_writer
                .save(&state.load_limit, &self.coordination);
            let recipients = state.demand.recipients(&self.nodes);
            state
                .weight_updates
                .send(&self.nodes, &recipients, &state.load_limit);
            let pause = tokio::time::sleep(state.next_check());
            if let LeaderStatus::Fenced = process_outcomes(state, &mut answers, pause).await {
                return "fenced";
            }
        }
    }

    /// Refreshes the demand of the fronts if it is outdated.
    async fn refresh_demand(&self, state: &mut LeaderState) {
        let is_known = |at: Instant| at.elapsed() < DEMAND_INTERVAL;
        if state.demand_polled_at.is_some_and(is_known) {
            return;
        }
        state.demand_polled_at = Some(Instant::now());
        state.demand = FleetDemand::collect_reports(&self.nodes, &self.jobs, &state.demand).await;
        state.may_trade = true;
    }

    /// Plans the orders to send now.
    fn next_orders(&self, state: &mut LeaderState) -> Vec<Order> {
        let now = Instant::now();
        state.excluded_until.retain(|_, until| *until > now);
        let mut demands = self.versions.demands();
        state.demand.set_work(&mut demands);
        let instances = self.instances_in_use(state, &demands);
        let fleet: Vec<FleetInstance> = instances
            .iter()
            .map(|instance| FleetInstance {
                id: instance.id().to_owned(),
                versions: instance.versions(),
                requests_in_progress: instance.candidate("", now).load,
                is_busy: state.is_excluded(instance.id()),
                event_interval_ms: state.demand.event_interval_ms(instance.id()),
            })
            .collect();
        state.assignment.update(&demands, &fleet);
        state.trade_if_refreshed(&demands, &fleet);
        let planned = plan_round(
            &demands,
            &state.assignment,
            &fleet,
            state.pending_loads(),
            state.load_limit.get(),
            MAX_ORDERS_PER_ROUND,
        );
        let orders = planned.into_iter().filter_map(|planned| {
            let instance = self.backends.get(&planned.instance)?;
            Some(Order { instance, planned })
        });
        orders.collect()
    }

    /// Returns the instances that load weights, after replacing those that can no longer be used.
    /// Looks at the whole fleet only if some are lacking.
    fn instances_in_use(
        &self,
        state: &mut LeaderState,
        demands: &[ModelDemand],
    ) -> Vec<Arc<Instance>> {
        let services = self.services_with_models();
        let usable = |id: &str| {
            let instance = self.backends.get(id)?;
            let is_served = services.contains(&instance.service());
            (is_served && may_load(&instance)).then_some(instance)
        };
        let in_use = &mut state.in_use;
        in_use.retain(|id| usable(id).is_some());
        let needed = needed_slots(demands);
        if in_use.lacks_slots(needed) {
            let spare = self.fleet().into_iter().filter(|one| may_load(one));
            in_use.fill(needed, spare.map(|one| spare_instance(&one, demands)));
        }
        in_use.ids().filter_map(usable).collect()
    }

    /// Returns the names of the services that have models.
    fn services_with_models(&self) -> BTreeSet<String> {
        let config = self.config.current().unwrap_or_default();
        let services = config.services.iter();
        services
            .filter(|(_, service)| !service.models.is_empty())
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Returns the ready instances of all services that have models.
    pub(super) fn fleet(&self) -> Vec<Arc<Instance>> {
        let services = self.services_with_models();
        services
            .iter()
            .flat_map(|name| self.backends.instances_of(name))
            .filter(|instance| instance.is_ready())
            .collect()
    }

    /// Sends one order; returns it with its outcome.
    async fn send_order(&self, held: &HeldLease, order: Order) -> (Order, Outcome) {
        let outcome = self
            .send_order_to(held, &order.instance, &order.planned)
            .await;
        (order, outcome)
    }

    async fn send_order_to(
        &self,
        held: &HeldLease,
        instance: &Arc<Instance>,
        planned: &PlannedLoad,
    ) -> Outcome {
        let report = match self.calls().report(instance).await {
            Ok(report) => report,
            Err(cause) => {
                log::warn!(
                    "event=report_failed instance={} cause=\"{cause}\"",
                    instance.id()
                );
                return Outcome::Pause(UNKNOWN_OUTCOME_PAUSE);
            }
        };
        if !instance.matches_incarnation(report.started_unix_ms) {
            self.backends
                .record_incarnation(instance, report.started_unix_ms);
            return Outcome::Pause(PLANNING_INTERVAL);
        }
        for (model, version) in &report.versions {
            instance.record_version(model, *version);
        }
        if report.busy || instance.version(&planned.model) >= planned.version {
            return Outcome::Pause(PLANNING_INTERVAL * 4);
        }
        if Instant::now() + CALL_TIMEOUT >= held.valid_until() {
            return Outcome::Pause(PLANNING_INTERVAL);
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
            Ok(_) => ("refused", Outcome::Pause(PLANNING_INTERVAL * 10)),
            Err(_) => ("in_doubt", Outcome::Unknown),
        };
        if label == "taken" {
            instance.mark_loading(&planned.model, Instant::now() + LOADING_PAUSE * 4);
        }
        self.metrics.orders.with_label_values(&[label]).inc();
        log::info!(
            "event=order_issued instance={} model={} version={} had={} fence={} expected={} outcome={label} status={}",
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

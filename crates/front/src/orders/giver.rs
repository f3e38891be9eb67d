//! The node that gives orders: holds a lease, proves it by the steady clock, and stops by itself.

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
use super::learnt::restore_load_limit;
use super::lease::{OrdersLease, HeldLease, LastLeader};
use super::named::AnnouncedVersions;
use super::permits::PermitIssuer;
use super::plan::{FleetInstance, Planned, plan};
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

/// Pause before the lease is tried again.
const TAKE_PAUSE: Duration = Duration::from_millis(250);

/// Between looks whether this node is to try to become the giver.
const CANDIDATE_LOOK: Duration = Duration::from_millis(500);

/// A node tries to become the giver only if it knows the others as of this time ago: one that has just started with all others may
/// know itself only.
const NODES_AGE: Duration = Duration::from_secs(5);

/// Between questions to the fronts about their work.
const DEMAND_INTERVAL: Duration = Duration::from_secs(3);

/// Orders that are given at the same moment at most.
const ORDERS_AT_ONCE: usize = 16;

/// Longest wait for a load.
const LOAD_LIMIT: Duration = Duration::from_secs(5);

/// A giver to whom nobody told how long loads take learns nothing from loads of this first time: twice the longest load that
/// was seen, so that those of an earlier giver are over.
const SETTLE_TIME: Duration = Duration::from_millis(3_000);

/// How long an instance is left alone whose answer to a call was lost.
const DOUBT_TIME: Duration = Duration::from_millis(1_500);

/// Times of the lease.
#[derive(Debug, Clone, Copy)]
pub struct OrderOptions {
    /// Least time between orders of givers at two nodes.
    pub quiet_period: Duration,
}

/// Gives orders while this node holds the lease.
pub struct OrderLeader {
    /// The store.
    pub coordination: Arc<dyn Coordination>,
    /// This node.
    pub nodes: Nodes,
    /// Instances.
    pub backends: BackendTable,
    /// Services and their models.
    pub config: CurrentConfig,
    /// Versions wanted.
    pub versions: AnnouncedVersions,
    /// Names.
    pub codec: SharedCodec,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// Work accepted here.
    pub jobs: JobRegistry,
    /// Counts while this node may give orders.
    pub activities: Activities,
    /// Times.
    pub options: OrderOptions,
    /// Tells the fronts without such work of the instances.
    pub roster: RosterWriter,
    /// Reports use under the same lease; `None`: nobody wants reports.
    pub usage: Option<UsageReporter>,
    /// Deals permits for cold instances under the same lease.
    pub permits: PermitIssuer,
    /// Orders capacity under the same lease; `None`: the number of instances is not ours to change.
    pub capacity: Option<CapacityController>,
}

/// An order to give, and the instance that it goes to.
struct Order {
    instance: Arc<Instance>,
    planned: Planned,
}

/// What follows an order.
enum Outcome {
    /// The instance loads.
    Loading,
    /// The instance may load, or will a little later.
    InDoubt,
    /// The instance is left alone for a moment.
    Pause(Duration),
    /// The instance has seen the order of a later holder.
    Fenced,
}

/// How a holder stands after its orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Standing {
    /// It may give more.
    Holder,
    /// There is a later holder.
    Fenced,
}

/// Takes what comes of orders until the pause is over.
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
            Outcome::Loading => given.start(&instance, planned, LOAD_LIMIT, true),
            Outcome::InDoubt => given.start(&instance, planned, DOUBT_TIME, false),
            Outcome::Pause(pause) => {
                let until = Instant::now() + pause;
                given.pauses.insert(planned.instance, until);
            }
            Outcome::Fenced => return Standing::Fenced,
        }
    }
}

impl OrderLeader {
    /// Takes the lease whenever it is free and this node is a candidate, and gives orders while it lasts, for as long as the future is polled.
    pub async fn run(&self) {
        let lease = OrdersLease {
            coordination: Arc::clone(&self.coordination),
            node: self.nodes.own().node,
            quiet_period: self.options.quiet_period,
        };
        let mut respected = Vec::new();
        loop {
            if !self.has_duties() || !self.is_candidate() {
                tokio::time::sleep(CANDIDATE_LOOK).await;
                continue;
            }
            // Who is a candidate by what was known some time ago may be none.
            let refreshed = self.nodes.refresh(self.coordination.as_ref(), NODES_AGE);
            if let Err(error) = refreshed.await {
                log::warn!("event=order_leader_nodes_read_failed cause=\"{error}\"");
            }
            if !self.is_candidate() {
                continue;
            }
            match lease.take().await {
                Ok(Some(held)) => self.hold(&lease, held, &mut respected).await,
                Ok(None) => lease.wait_until_free().await,
                Err(error) => log::warn!("event=orders_lease_acquire_failed cause=\"{error}\""),
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

    /// Whether any service holds models or has instances that need permits while they are cold, use is to be reported or capacity ordered;
    /// the lease is taken before the first version is named.
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

    /// Gives orders until the lease is lost or given back.
    /// `respected`: orders of other givers of which this node was told under an earlier lease.
    async fn hold(&self, lease: &OrdersLease, held: HeldLease, respected: &mut Vec<(String, Instant)>) {
        let _with_instances = self.activities.instance_work.start();
        let _with_versions = self.activities.version_work.start();
        if self.roster.drains.is_some() {
            // The roster is written from here on. A watch of drains that lost its answer would stay silent for its whole time.
            self.coordination.cancel_watches();
        }
        let dealing = self.permits.start(held.watch_proof());
        let mut given = self.begin_given().await;
        given.respect(std::mem::take(respected), self.options.quiet_period);
        let is_released = tokio::select! {
            loss = lease.renew_until_lost(&held) => {
                log::warn!("event=orders_lease_lost fence={} reason={loss}", held.fence);
                false
            }
            reason = self.give_while_held(lease, &held, &mut given) => {
                log::info!("event=order_leader_steps_down fence={} reason={reason}", held.fence);
                true
            }
            () = self.roster.run() => false,
            () = self.report_usage(lease, &held) => false,
            () = self.order_capacity(lease, &held) => false,
        };
        // A lease that is given back may be another's before that is known here.
        drop(dealing);
        *respected = std::mem::take(&mut given.respected);
        respected.retain(|(_, ordered_at)| ordered_at.elapsed() < self.options.quiet_period);
        if held.is_named() {
            let own = LastLeader {
                node: self.nodes.own().node,
                fence: held.fence,
            };
            let orders = given.recent_orders(self.options.quiet_period);
            tell_end(&self.nodes, own, &orders).await;
        }
        if is_released {
            lease.release(&held).await;
        }
    }

    /// Reports use, if anybody wants that; a holder whose report was fenced reports no more.
    async fn report_usage(&self, lease: &OrdersLease, held: &HeldLease) {
        if let Some(usage) = &self.usage {
            usage.run(lease, held).await;
        }
        std::future::pending::<()>().await;
    }

    /// Orders capacity, if that is ours to do.
    async fn order_capacity(&self, lease: &OrdersLease, held: &HeldLease) {
        if let Some(capacity) = &self.capacity {
            capacity.run(lease, held).await;
        }
        std::future::pending::<()>().await;
    }

    /// What a new holder knows.
    async fn begin_given(&self) -> Given {
        let mut given = Given::default();
        let learnt = self.jobs.learned_load_limit();
        match restore_load_limit(learnt, self.coordination.as_ref()).await {
            Some(learnt) => given.load_limit = learnt,
            None => given.learn_from = Some(Instant::now() + SETTLE_TIME),
        }
        given
    }

    /// Ends the quiet time of a new holder if the last one has told its end: only the instances that had its orders a moment ago are
    /// left alone.
    fn look_for_end_of_last(&self, held: &HeldLease, given: &mut Given) {
        if !held.is_quiet() {
            return;
        }
        let last = held.last.as_ref();
        let ended = last.and_then(|last| self.jobs.former_leaders().orders_of(last));
        if let Some(orders) = ended {
            log::info!(
                "event=order_leader_quiet_period_ended fence={} recent_orders={}",
                held.fence,
                orders.len()
            );
            given.respect(orders, self.options.quiet_period);
            held.end_quiet();
        }
    }

    /// Returns why this node is to give orders no more. Orders that wait for an answer hold nothing up: an instance that hangs must
    /// not keep the others from their weights, nor a load that is done from being noticed.
    async fn give_while_held(
        &self,
        lease: &OrdersLease,
        held: &HeldLease,
        given: &mut Given,
    ) -> &'static str {
        let mut answers = FuturesUnordered::new();
        loop {
            if self.nodes.is_leaving() {
                return "leaving";
            }
            self.refresh_demand(given).await;
            self.look_for_end_of_last(held, given);
            match lease.may_issue_orders(held).await {
                Ok(true) => {
                    self.look_at_loads(given).await;
                    for order in self.next_orders(given) {
                        given.note_order(order.instance.id(), CALL_LIMIT);
                        answers.push(self.give(held, order));
                    }
                }
                Ok(false) => {}
                Err(error) => log::warn!("event=orders_lease_check_failed cause=\"{error}\""),
            }
            self.jobs.learned_load_limit().record(&given.load_limit);
            given.learnt.save(&given.load_limit, &self.coordination);
            let audience = given.demand.audience(&self.nodes);
            given.news.send(&self.nodes, &audience, &given.load_limit);
            let pause = tokio::time::sleep(given.next_look());
            if let Standing::Fenced = take_answers(given, &mut answers, pause).await {
                return "fenced";
            }
        }
    }

    /// Asks the fronts now and then what work they have and how fast it goes.
    async fn refresh_demand(&self, given: &mut Given) {
        let is_known = |at: Instant| at.elapsed() < DEMAND_INTERVAL;
        if given.demand_at.is_some_and(is_known) {
            return;
        }
        given.demand_at = Some(Instant::now());
        given.demand = FleetDemand::gather(&self.nodes, &self.jobs, &given.demand).await;
        given.may_trade = true;
    }

    /// What is to be ordered now.
    fn next_orders(&self, given: &mut Given) -> Vec<Order> {
        let now = Instant::now();
        given.pauses.retain(|_, until| *until > now);
        let mut demands = self.versions.demands();
        given.demand.fill(&mut demands);
        let mut instances = self.fleet();
        // Weights that nothing may use now are not loaded, and each model keeps instances in the zones left.
        instances.retain(|one| one.check_drain() != Err(HoldReason::ZoneDrained));
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

    /// Ready instances of the services that hold models.
    pub(super) fn fleet(&self) -> Vec<Arc<Instance>> {
        let Some(config) = self.config.current() else {
            return Vec::new();
        };
        let services = config.services.iter();
        services
            .filter(|(_, service)| !service.models.is_empty())
            .flat_map(|(name, _)| self.backends.instances_of(name))
            .filter(|instance| instance.is_ready())
            .collect()
    }

    /// Gives one order; returns it with what follows.
    async fn give(&self, held: &HeldLease, order: Order) -> (Order, Outcome) {
        let outcome = self.give_to(held, &order.instance, &order.planned).await;
        (order, outcome)
    }

    async fn give_to(&self, held: &HeldLease, instance: &Arc<Instance>, planned: &Planned) -> Outcome {
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
        if !instance.matches_incarnation(report.started_unix_ms) {
            self.backends.record_incarnation(instance, report.started_unix_ms);
            return Outcome::Pause(LOOK_INTERVAL);
        }
        for (model, version) in &report.versions {
            instance.record_version(model, *version);
        }
        if report.busy || instance.version(&planned.model) >= planned.version {
            return Outcome::Pause(LOOK_INTERVAL * 4);
        }
        if Instant::now() + CALL_LIMIT >= held.valid_until() {
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

    /// Runs go on under new weights unless a route asks for texts of one version.
    fn keeps_runs(&self, _model: &str) -> bool {
        let config = self.config.current();
        config.is_none_or(|config| !config.routes.iter().any(|route| route.single_version))
    }
}

//! Persists the desired capacity and sends the resulting orders while this node holds the orders
//! lease.
//!
//! Only persisted counts are sent. An order contains the total count of a pool, so this node or a
//! later lease holder can safely send it again.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use ladderstage_clock::Instant;

use super::counts::InstancePool;
use super::counts::count_instances;
use super::desired::DesiredCapacity;
use super::outbox::Outbox;
use super::planner::{CapacityPlanner, FleetState, LossUpdate, UNAVAILABLE_PAUSE};
use super::sink::{CapacityOrder, CapacityOrderError, CapacitySink};
use crate::backend::BackendTable;
use crate::config::{CurrentConfig, ServingConfig};
use crate::coordination::{Coordination, CoordinationError, SwapResult};
use crate::metrics::Metrics;
use crate::orders::{HeldLease, OrdersLease};
use crate::roster::DiscoveryView;

/// Key of the desired capacity.
const DESIRED_CAPACITY_KEY: &str = "ladderstage/capacity/wanted";

/// Interval between checks of the fleet.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Pause after a failed call to the store.
const RETRY_PAUSE: Duration = Duration::from_millis(700);

/// Time in addition to an instance's boot time before its order is sent again.
const START_MARGIN: Duration = Duration::from_secs(2);

/// Orders capacity while this node holds the orders lease.
pub struct CapacityController {
    /// Client of the coordination store.
    pub coordination: Arc<dyn Coordination>,
    /// Name of this node.
    pub node: String,
    /// Known instances and drained zones.
    pub backends: BackendTable,
    /// Watches whether the list of instances is complete.
    pub view: DiscoveryView,
    /// Services and their scaling bounds.
    pub config: CurrentConfig,
    /// Receiver of the orders.
    pub sink: Arc<dyn CapacitySink>,
    /// Minimum time between orders of lease holders on two nodes.
    pub quiet_period: Duration,
    /// Metrics of this front.
    pub metrics: Arc<Metrics>,
}

/// State of one lease holder.
struct HolderState {
    /// Revision of the stored record; 0 if there is none.
    revision: u64,
    planner: CapacityPlanner,
    outbox: Outbox,
    /// Whether the orders of earlier lease holders have been queued again.
    has_resumed: bool,
    /// Earliest time of the next write to the store.
    next_write_at: Instant,
}

impl CapacityController {
    /// Orders capacity for as long as the future is polled.
    pub async fn run(&self, lease: &OrdersLease, held: &HeldLease) {
        let started_at = Instant::now();
        self.wait_for_scaled_service().await;
        let mut state = self.load_state().await;
        // The announcement of the former leader lists only weight-load orders, so it does not
        // shorten this quiet period.
        let is_own = held.last.as_ref().is_none_or(|last| last.node == self.node);
        let quiet_until = if is_own {
            started_at
        } else {
            started_at + self.quiet_period
        };
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            let Some(config) = self.config.current() else {
                continue;
            };
            // Runs during the quiet period too, so that losses are persisted by the time orders may
            // be sent.
            self.check_fleet(&config, &mut state).await;
            if Instant::now() >= quiet_until && self.may_send_orders(lease, held).await {
                self.send_due(&config, &mut state, held).await;
            }
        }
    }

    async fn may_send_orders(&self, lease: &OrdersLease, held: &HeldLease) -> bool {
        lease.may_issue_orders(held).await.unwrap_or_else(|error| {
            log::warn!("event=capacity_lease_check_failed cause=\"{error}\"");
            false
        })
    }

    /// Returns once any service has scaling bounds.
    async fn wait_for_scaled_service(&self) {
        let mut config = self.config.watch();
        let has_bounds = |config: &Option<Arc<ServingConfig>>| {
            config.as_ref().is_some_and(|config| {
                let mut services = config.services.values();
                services.any(|service| service.scaling.is_some())
            })
        };
        // The sender lives as long as the controller.
        let _ = config.wait_for(has_bounds).await;
    }

    /// Loads the state that earlier holders persisted.
    async fn load_state(&self) -> HolderState {
        let (revision, desired_capacity) = self.read_desired().await;
        let now = Instant::now();
        HolderState {
            revision,
            planner: CapacityPlanner::new(desired_capacity, now),
            outbox: Outbox::default(),
            has_resumed: false,
            next_write_at: now,
        }
    }

    /// Reads the desired capacity with its revision. An unreadable record counts as empty: all
    /// running instances are then treated as found, and none is removed.
    async fn read_desired(&self) -> (u64, DesiredCapacity) {
        loop {
            match self.coordination.get(DESIRED_CAPACITY_KEY).await {
                Ok(None) => return (0, DesiredCapacity::default()),
                Ok(Some(record)) => {
                    let desired_capacity =
                        serde_json::from_slice(&record.value).unwrap_or_else(|error| {
                            log::error!("event=capacity_record_invalid cause=\"{error}\"");
                            DesiredCapacity::default()
                        });
                    return (record.revision, desired_capacity);
                }
                Err(error) => {
                    log::warn!("event=capacity_read_failed cause=\"{error}\"");
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Queues the orders of earlier holders again, as their outcome is unknown. Skips counts below
    /// the number of serving instances, which others may have added since.
    fn resume_orders(&self, state: &mut HolderState, now: Instant) {
        let counts = count_instances(&self.backends.discovered());
        let desired_capacity = state.planner.desired_capacity();
        let ordered = desired_capacity
            .pools()
            .filter(|(_, count)| count.is_ordered);
        for (pool, count) in ordered {
            let serving = counts.get(&pool).map_or(0, |present| present.serving);
            if serving <= count.total() {
                state.outbox.resume(&pool, count.total(), now);
            }
        }
    }

    /// Plans the desired capacity, if the fleet is known, and persists it.
    async fn check_fleet(&self, config: &ServingConfig, state: &mut HolderState) {
        let now = Instant::now();
        if self.view.known_at().is_none() || !self.backends.gates().drained.is_known() {
            state.planner.discard_observations();
            return;
        }
        if !std::mem::replace(&mut state.has_resumed, true) {
            self.resume_orders(state, now);
        }
        let drained = self.backends.gates().drained.current();
        let plan = state.planner.plan(
            FleetState {
                services: &config.services,
                instances: &self.backends.discovered(),
                drained: &drained,
            },
            now,
        );
        plan.losses
            .iter()
            .for_each(|update| self.report_loss(update));
        if let Some(desired_capacity) = plan.desired_capacity.filter(|_| now >= state.next_write_at)
        {
            self.persist(desired_capacity, state).await;
        }
        self.reorder_lost(&drained, state);
    }

    /// Writes the desired capacity to the store; it may be sent only afterwards.
    async fn persist(&self, desired_capacity: DesiredCapacity, state: &mut HolderState) {
        let value = serde_json::to_vec(&desired_capacity).unwrap_or_default();
        let swap = self
            .coordination
            .swap(DESIRED_CAPACITY_KEY, state.revision, value, None);
        match swap.await {
            Ok(SwapResult::Won { revision }) => {
                state.revision = revision;
                self.apply_persisted(desired_capacity, state);
            }
            Ok(SwapResult::Lost(_)) | Err(CoordinationError::Unknown(_)) => {
                let (revision, desired_capacity) = self.read_desired().await;
                state.revision = revision;
                self.apply_persisted(desired_capacity, state);
            }
            Err(error) => {
                state.next_write_at = Instant::now() + RETRY_PAUSE;
                log::warn!("event=capacity_order_store_failed cause=\"{error}\"");
            }
        }
    }

    /// Adopts the capacity that the store holds now.
    fn apply_persisted(&self, desired_capacity: DesiredCapacity, state: &mut HolderState) {
        let now = Instant::now();
        for (pool, count) in desired_capacity.pools() {
            let before = state.planner.desired_capacity().get(&pool);
            if count != before {
                log::info!(
                    "event=capacity_order_stored service={} zone={} kind={} found={} extra={} found_before={} extra_before={} revision={}",
                    pool.service,
                    pool.zone,
                    pool.kind,
                    count.found,
                    count.extra,
                    before.found,
                    before.extra,
                    state.revision
                );
            }
            if count.is_ordered {
                state.outbox.set_desired(&pool, count.total(), now);
            }
        }
        state.planner.apply(desired_capacity, now);
    }

    /// Sends the orders of pools that lack preemptible instances again.
    fn reorder_lost(&self, drained: &BTreeSet<Arc<str>>, state: &mut HolderState) {
        let now = Instant::now();
        for pool in state.planner.pools_to_reorder(drained, now) {
            let desired = state.planner.desired_capacity().get(&pool).total();
            state.outbox.resend(&pool, desired, now);
        }
    }

    /// Sends the orders that are due while the lease is certain to be valid.
    async fn send_due(&self, config: &ServingConfig, state: &mut HolderState, held: &HeldLease) {
        let due = state.outbox.due(Instant::now());
        let calls = due.into_iter().map(|(pool, desired)| async move {
            let order = CapacityOrder {
                pool,
                desired,
                holder: self.node.clone(),
                fence: held.fence,
            };
            let is_lease_valid = Instant::now() < held.valid_until();
            let outcome = if is_lease_valid {
                Some(self.sink.order(&order).await)
            } else {
                None
            };
            (order, outcome)
        });
        for (order, outcome) in join_all(calls).await {
            if let Some(outcome) = outcome {
                self.record_outcome(config, state, &order, &outcome);
            }
        }
    }

    /// Applies the outcome of an order to the planner and the outbox.
    fn record_outcome(
        &self,
        config: &ServingConfig,
        state: &mut HolderState,
        order: &CapacityOrder,
        outcome: &Result<(), CapacityOrderError>,
    ) {
        let now = Instant::now();
        let pool = &order.pool;
        let is_unavailable = matches!(outcome, Err(CapacityOrderError::Unavailable));
        if is_unavailable {
            state.planner.mark_unavailable(pool, now);
        }
        let pause = if is_unavailable {
            UNAVAILABLE_PAUSE
        } else {
            max_start_time(config, pool)
        };
        let desired = order.desired;
        state
            .outbox
            .record_outcome(pool, desired, outcome, pause, now);
        self.report(
            order,
            outcome,
            state.planner.desired_capacity().get(pool).extra,
        );
    }

    /// Counts and logs an order; `extra` is the number of its instances beyond the found ones.
    fn report(&self, order: &CapacityOrder, outcome: &Result<(), CapacityOrderError>, extra: u32) {
        let CapacityOrder { pool, desired, .. } = order;
        let label = outcome
            .as_ref()
            .map_or_else(CapacityOrderError::label, |()| "taken");
        let labels = [pool.zone.as_ref(), pool.kind.label(), label];
        self.metrics
            .capacity_orders
            .with_label_values(&labels)
            .inc();
        let cause = outcome.as_ref().err().map(ToString::to_string);
        log::info!(
            "event=capacity_ordered service={} zone={} kind={} desired={desired} extra={extra} fence={} outcome={label} cause=\"{}\"",
            pool.service,
            pool.zone,
            pool.kind,
            order.fence,
            cause.unwrap_or_default()
        );
    }

    fn report_loss(&self, update: &LossUpdate) {
        let LossUpdate {
            pool,
            lost,
            before,
            reason,
        } = update;
        let labels = [pool.zone.as_ref(), reason.label()];
        let more = u64::from(lost.saturating_sub(*before));
        self.metrics
            .capacity_lost
            .with_label_values(&labels)
            .inc_by(more);
        log::info!(
            "event=capacity_lost service={} zone={} kind={} lost={lost} before={before} reason={}",
            pool.service,
            pool.zone,
            pool.kind,
            reason.label()
        );
    }
}

/// Returns the time within which an ordered instance starts to serve.
fn max_start_time(config: &ServingConfig, pool: &InstancePool) -> Duration {
    let service = config.services.get(pool.service.as_ref());
    let scaling = service.and_then(|service| service.scaling.as_ref());
    scaling.map_or(START_MARGIN, |scaling| scaling.boot_time + START_MARGIN)
}

//! The holder's part: writes what is wanted to the store (fixes it), and sends it.
//!
//! A count that is not fixed is never sent. An order names a count and not a difference, so a later holder, or this one after a lost
//! answer, sends what is fixed again without harm.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use ladderstage_clock::Instant;

use super::counts::InstancePool;
use super::counts::count;
use super::outbox::Outbox;
use super::planner::{CapacityPlanner, FleetNow, LossNews, REFUSAL_TIME};
use super::sink::{CapacityOrder, CapacityOrderError, CapacitySink};
use super::wanted::WantedCapacity;
use crate::backend::BackendTable;
use crate::config::{CurrentConfig, ServingConfig};
use crate::coordination::{Coordination, CoordinationError, SwapResult};
use crate::metrics::Metrics;
use crate::orders::{OrdersLease, HeldLease};
use crate::roster::DiscoveryView;

/// Record of what is wanted.
const WANTED_KEY: &str = "ladderstage/capacity/wanted";

/// Pause between two checks of the fleet.
const LOOK_PAUSE: Duration = Duration::from_millis(250);

/// Pause after a call to the store that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(700);

/// An order is repeated no sooner than this long after the boot time of its instances.
const ARRIVAL_MARGIN: Duration = Duration::from_secs(2);

/// Orders capacity while this node holds the lease.
pub struct CapacityController {
    /// The store.
    pub coordination: Arc<dyn Coordination>,
    /// Name of this node.
    pub node: String,
    /// Instances, and the zones that are to be drained.
    pub backends: BackendTable,
    /// Whether the instances are known.
    pub view: DiscoveryView,
    /// Services and their bounds.
    pub config: CurrentConfig,
    /// Where orders go.
    pub sink: Arc<dyn CapacitySink>,
    /// Least time between orders of holders at two nodes.
    pub quiet_period: Duration,
    /// Counters.
    pub metrics: Arc<Metrics>,
}

/// What a holder knows.
struct Holding {
    /// Revision of the record; 0: there is none.
    revision: u64,
    planner: CapacityPlanner,
    outbox: Outbox,
    /// Whether the orders of earlier holders were looked through.
    has_resumed: bool,
    /// Nothing is written to the store before.
    store_at: Instant,
}

impl CapacityController {
    /// Orders for as long as the future is polled.
    pub async fn run(&self, lease: &OrdersLease, held: &HeldLease) {
        let begun = Instant::now();
        self.wait_for_scaled_service().await;
        let mut holding = self.begin().await;
        // A last holder that announced its end shortens the quiet time of orders to instances only: it names none of these orders.
        let is_own = held.last.as_ref().is_none_or(|last| last.node == self.node);
        let quiet_until = if is_own { begun } else { begun + self.quiet_period };
        loop {
            tokio::time::sleep(LOOK_PAUSE).await;
            let Some(config) = self.config.current() else {
                continue;
            };
            // Also in the quiet time, so that what is lost is known and fixed once orders may be sent.
            self.look(&config, &mut holding).await;
            if Instant::now() >= quiet_until && self.may_send(lease, held).await {
                self.send_due(&config, &mut holding, held).await;
            }
        }
    }

    async fn may_send(&self, lease: &OrdersLease, held: &HeldLease) -> bool {
        lease.may_issue_orders(held).await.unwrap_or_else(|error| {
            log::warn!("event=capacity_lease_check_failed cause=\"{error}\"");
            false
        })
    }

    /// Returns once a service has bounds.
    async fn wait_for_scaled_service(&self) {
        let mut config = self.config.watch();
        let has_bounds = |config: &Option<Arc<ServingConfig>>| {
            config.as_ref().is_some_and(|config| {
                let mut services = config.services.values();
                services.any(|service| service.scaling.is_some())
            })
        };
        // The sender lives as long as this duty.
        let _ = config.wait_for(has_bounds).await;
    }

    /// What a new holder knows: what earlier ones fixed.
    async fn begin(&self) -> Holding {
        let (revision, wanted) = self.read_wanted().await;
        let now = Instant::now();
        Holding {
            revision,
            planner: CapacityPlanner::new(wanted, now),
            outbox: Outbox::default(),
            has_resumed: false,
            store_at: now,
        }
    }

    /// Reads the record of what is wanted, with its revision. One that cannot be read counts as empty: then all instances that are there
    /// count as found, and none is ordered away.
    async fn read_wanted(&self) -> (u64, WantedCapacity) {
        loop {
            match self.coordination.get(WANTED_KEY).await {
                Ok(None) => return (0, WantedCapacity::default()),
                Ok(Some(record)) => {
                    let wanted = serde_json::from_slice(&record.value).unwrap_or_else(|error| {
                        log::error!("event=capacity_record_invalid cause=\"{error}\"");
                        WantedCapacity::default()
                    });
                    return (record.revision, wanted);
                }
                Err(error) => {
                    log::warn!("event=capacity_read_failed cause=\"{error}\"");
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Sends what earlier holders ordered once more, as it is not known whether they got through; but no count that is below what is there:
    /// others may have added instances meanwhile.
    fn resume(&self, holding: &mut Holding, now: Instant) {
        let there = count(&self.backends.discovered());
        let wanted = holding.planner.wanted();
        let ordered = wanted.subjects().filter(|(_, count)| count.is_ordered);
        for (pool, count) in ordered {
            let serving = there.get(&pool).map_or(0, |present| present.serving);
            if serving <= count.desired() {
                holding.outbox.resume(&pool, count.desired(), now);
            }
        }
    }

    /// Plans anew, if it is known what is there, and fixes what is wanted.
    async fn look(&self, config: &ServingConfig, holding: &mut Holding) {
        let now = Instant::now();
        if self.view.known_at().is_none() || !self.backends.gates().drained.is_known() {
            holding.planner.note_unknown();
            return;
        }
        if !std::mem::replace(&mut holding.has_resumed, true) {
            self.resume(holding, now);
        }
        let drained = self.backends.gates().drained.current();
        let plan = holding.planner.plan(
            FleetNow {
                services: &config.services,
                instances: &self.backends.discovered(),
                drained: &drained,
            },
            now,
        );
        plan.losses.iter().for_each(|news| self.note_loss(news));
        if let Some(wanted) = plan.wanted.filter(|_| now >= holding.store_at) {
            self.fix(wanted, holding).await;
        }
        self.order_again(&drained, holding);
    }

    /// Writes what is wanted to the store; only then may it be sent.
    async fn fix(&self, wanted: WantedCapacity, holding: &mut Holding) {
        let value = serde_json::to_vec(&wanted).unwrap_or_default();
        let swap = self
            .coordination
            .swap(WANTED_KEY, holding.revision, value, None);
        match swap.await {
            Ok(SwapResult::Won { revision }) => {
                holding.revision = revision;
                self.take_fixed(wanted, holding);
            }
            Ok(SwapResult::Lost(_)) | Err(CoordinationError::Unknown(_)) => {
                let (revision, wanted) = self.read_wanted().await;
                holding.revision = revision;
                self.take_fixed(wanted, holding);
            }
            Err(error) => {
                holding.store_at = Instant::now() + RETRY_PAUSE;
                log::warn!("event=capacity_order_store_failed cause=\"{error}\"");
            }
        }
    }

    /// Takes what the store holds now as wanted.
    fn take_fixed(&self, wanted: WantedCapacity, holding: &mut Holding) {
        let now = Instant::now();
        for (pool, count) in wanted.subjects() {
            let before = holding.planner.wanted().get(&pool);
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
                    holding.revision
                );
            }
            if count.is_ordered {
                holding.outbox.want(&pool, count.desired(), now);
            }
        }
        holding.planner.accept(wanted, now);
    }

    /// Orders preemptible instances that are lacking again in their own zone.
    fn order_again(&self, drained: &BTreeSet<Arc<str>>, holding: &mut Holding) {
        let now = Instant::now();
        for pool in holding.planner.to_order_again(drained, now) {
            let desired = holding.planner.wanted().get(&pool).desired();
            holding.outbox.repeat(&pool, desired, now);
        }
    }

    /// Sends the orders that are due, while the lease certainly lasts.
    async fn send_due(&self, config: &ServingConfig, holding: &mut Holding, held: &HeldLease) {
        let due = holding.outbox.due(Instant::now());
        let calls = due.into_iter().map(|(pool, desired)| async move {
            let order = CapacityOrder {
                pool,
                desired,
                holder: self.node.clone(),
                fence: held.fence,
            };
            let is_proven = Instant::now() < held.valid_until();
            let outcome = if is_proven {
                Some(self.sink.order(&order).await)
            } else {
                None
            };
            (order, outcome)
        });
        for (order, outcome) in join_all(calls).await {
            if let Some(outcome) = outcome {
                self.note(config, holding, &order, &outcome);
            }
        }
    }

    /// Takes the outcome of an order into the plan and the outbox.
    fn note(
        &self,
        config: &ServingConfig,
        holding: &mut Holding,
        order: &CapacityOrder,
        outcome: &Result<(), CapacityOrderError>,
    ) {
        let now = Instant::now();
        let pool = &order.pool;
        let is_refused = matches!(outcome, Err(CapacityOrderError::Unavailable));
        if is_refused {
            holding.planner.note_refused(pool, now);
        }
        let pause = if is_refused {
            REFUSAL_TIME
        } else {
            arrival_time(config, pool)
        };
        let desired = order.desired;
        holding.outbox.note(pool, desired, outcome, pause, now);
        self.report(order, outcome, holding.planner.wanted().get(pool).extra);
    }

    /// Counts and logs an order; `extra` of its instances are wanted beyond the found ones.
    fn report(&self, order: &CapacityOrder, outcome: &Result<(), CapacityOrderError>, extra: u32) {
        let CapacityOrder {
            pool, desired, ..
        } = order;
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

    fn note_loss(&self, news: &LossNews) {
        let LossNews {
            pool,
            lost,
            before,
            reason,
        } = news;
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

/// How long after its order an instance serves at the latest.
fn arrival_time(config: &ServingConfig, pool: &InstancePool) -> Duration {
    let service = config.services.get(pool.service.as_ref());
    let scaling = service.and_then(|service| service.scaling.as_ref());
    scaling.map_or(ARRIVAL_MARGIN, |scaling| scaling.boot_time + ARRIVAL_MARGIN)
}

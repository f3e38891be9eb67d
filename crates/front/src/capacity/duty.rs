//! Persists the desired capacity and sends the resulting orders while this node holds the orders
//! lease.
//!
//! Only persisted counts are sent. An order names an absolute count, so sending it again, by this
//! node or by a later holder, is harmless.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use ladderstage_clock::Instant;

use super::counts::Subject;
use super::counts::count;
use super::outbox::Outbox;
use super::planner::{CapacityPlanner, FleetNow, LossNews, REFUSAL_TIME};
use super::sink::{CapacityOrder, CapacityOrderError, CapacitySink};
use super::wanted::WantedCapacity;
use crate::backend::BackendTable;
use crate::config::{ConfigInForce, ServingConfig};
use crate::coordination::{Coordination, CoordinationError, SwapResult};
use crate::metrics::Metrics;
use crate::orders::{GiverLease, Held};
use crate::roster::DirectView;

/// Key of the desired capacity.
const WANTED_KEY: &str = "ladderstage/capacity/wanted";

/// Interval between checks of the fleet.
const LOOK_PAUSE: Duration = Duration::from_millis(250);

/// Pause after a failed call to the store.
const RETRY_PAUSE: Duration = Duration::from_millis(700);

/// Time beyond an instance's boot time before its order is repeated.
const ARRIVAL_MARGIN: Duration = Duration::from_secs(2);

/// Orders capacity while this node holds the orders lease.
pub struct CapacityDuty {
    /// Client of the coordination store.
    pub coordination: Arc<dyn Coordination>,
    /// Name of this node.
    pub node: String,
    /// Known instances and drained zones.
    pub backends: BackendTable,
    /// Tells whether the list of instances is complete.
    pub view: DirectView,
    /// Services and their scaling bounds.
    pub config: ConfigInForce,
    /// Receiver of the orders.
    pub sink: Arc<dyn CapacitySink>,
    /// Minimum time between orders of holders on two nodes.
    pub quiet: Duration,
    /// Metrics of this front.
    pub metrics: Arc<Metrics>,
}

/// State of one holder.
struct Holding {
    /// Revision of the stored record; 0 if there is none.
    revision: u64,
    planner: CapacityPlanner,
    outbox: Outbox,
    /// Orders of earlier holders have been queued again.
    has_resumed: bool,
    /// Earliest time of the next write to the store.
    store_at: Instant,
}

impl CapacityDuty {
    /// Orders capacity for as long as the future is polled.
    pub async fn run(&self, lease: &GiverLease, held: &Held) {
        let begun = Instant::now();
        self.wait_for_scaled_service().await;
        let mut holding = self.begin().await;
        // The end that the previous holder announced lists weight orders only, so it does not
        // shorten this quiet period.
        let is_own = held.last.as_ref().is_none_or(|last| last.node == self.node);
        let quiet_until = if is_own { begun } else { begun + self.quiet };
        loop {
            tokio::time::sleep(LOOK_PAUSE).await;
            let Some(config) = self.config.current() else {
                continue;
            };
            // Runs during the quiet period too, so that losses are persisted by the time orders may
            // be sent.
            self.look(&config, &mut holding).await;
            if Instant::now() >= quiet_until && self.may_send(lease, held).await {
                self.send_due(&config, &mut holding, held).await;
            }
        }
    }

    async fn may_send(&self, lease: &GiverLease, held: &Held) -> bool {
        lease.may_order(held).await.unwrap_or_else(|error| {
            log::warn!("event=capacity_holder_not_named cause=\"{error}\"");
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

    /// Reads the desired capacity with its revision. An unreadable record counts as empty: all
    /// running instances are then treated as found, and none is removed.
    async fn read_wanted(&self) -> (u64, WantedCapacity) {
        loop {
            match self.coordination.get(WANTED_KEY).await {
                Ok(None) => return (0, WantedCapacity::default()),
                Ok(Some(record)) => {
                    let wanted = serde_json::from_slice(&record.value).unwrap_or_else(|error| {
                        log::error!("event=capacity_unreadable cause=\"{error}\"");
                        WantedCapacity::default()
                    });
                    return (record.revision, wanted);
                }
                Err(error) => {
                    log::warn!("event=capacity_not_read cause=\"{error}\"");
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Queues the orders of earlier holders again, as their outcome is unknown. Skips counts below
    /// the number of serving instances, which others may have added since.
    fn resume(&self, holding: &mut Holding, now: Instant) {
        let there = count(&self.backends.discovered());
        let wanted = holding.planner.wanted();
        let ordered = wanted.subjects().filter(|(_, count)| count.is_ordered);
        for (subject, count) in ordered {
            let serving = there.get(&subject).map_or(0, |present| present.serving);
            if serving <= count.desired() {
                holding.outbox.resume(&subject, count.desired(), now);
            }
        }
    }

    /// Plans the desired capacity, if the fleet is known, and persists it.
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

    /// Writes the desired capacity to the store; it may be sent only afterwards.
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
                log::warn!("event=capacity_not_fixed cause=\"{error}\"");
            }
        }
    }

    /// Adopts the capacity that the store holds now.
    fn take_fixed(&self, wanted: WantedCapacity, holding: &mut Holding) {
        let now = Instant::now();
        for (subject, count) in wanted.subjects() {
            let before = holding.planner.wanted().get(&subject);
            if count != before {
                log::info!(
                    "event=capacity_fixed service={} zone={} kind={} found={} extra={} found_before={} extra_before={} revision={}",
                    subject.service,
                    subject.zone,
                    subject.kind,
                    count.found,
                    count.extra,
                    before.found,
                    before.extra,
                    holding.revision
                );
            }
            if count.is_ordered {
                holding.outbox.want(&subject, count.desired(), now);
            }
        }
        holding.planner.accept(wanted, now);
    }

    /// Repeats orders for pools that lack preemptible instances.
    fn order_again(&self, drained: &BTreeSet<Arc<str>>, holding: &mut Holding) {
        let now = Instant::now();
        for subject in holding.planner.to_order_again(drained, now) {
            let desired = holding.planner.wanted().get(&subject).desired();
            holding.outbox.repeat(&subject, desired, now);
        }
    }

    /// Sends the orders that are due while the lease is certain to be valid.
    async fn send_due(&self, config: &ServingConfig, holding: &mut Holding, held: &Held) {
        let due = holding.outbox.due(Instant::now());
        let calls = due.into_iter().map(|(subject, desired)| async move {
            let order = CapacityOrder {
                subject,
                desired,
                holder: self.node.clone(),
                fence: held.fence,
            };
            let is_proven = Instant::now() < held.proven_until();
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

    /// Applies the outcome of an order to the planner and the outbox.
    fn note(
        &self,
        config: &ServingConfig,
        holding: &mut Holding,
        order: &CapacityOrder,
        outcome: &Result<(), CapacityOrderError>,
    ) {
        let now = Instant::now();
        let subject = &order.subject;
        let is_refused = matches!(outcome, Err(CapacityOrderError::NoneToBeHad));
        if is_refused {
            holding.planner.note_refused(subject, now);
        }
        let pause = if is_refused {
            REFUSAL_TIME
        } else {
            arrival_time(config, subject)
        };
        let desired = order.desired;
        holding.outbox.note(subject, desired, outcome, pause, now);
        self.report(order, outcome, holding.planner.wanted().get(subject).extra);
    }

    /// Counts and logs an order; `extra` is the number of its instances beyond the found ones.
    fn report(&self, order: &CapacityOrder, outcome: &Result<(), CapacityOrderError>, extra: u32) {
        let CapacityOrder {
            subject, desired, ..
        } = order;
        let label = outcome
            .as_ref()
            .map_or_else(CapacityOrderError::label, |()| "taken");
        let labels = [subject.zone.as_ref(), subject.kind.label(), label];
        self.metrics
            .capacity_orders
            .with_label_values(&labels)
            .inc();
        let cause = outcome.as_ref().err().map(ToString::to_string);
        log::info!(
            "event=capacity_ordered service={} zone={} kind={} desired={desired} extra={extra} fence={} outcome={label} cause=\"{}\"",
            subject.service,
            subject.zone,
            subject.kind,
            order.fence,
            cause.unwrap_or_default()
        );
    }

    fn note_loss(&self, news: &LossNews) {
        let LossNews {
            subject,
            lost,
            before,
            reason,
        } = news;
        let labels = [subject.zone.as_ref(), reason.label()];
        let more = u64::from(lost.saturating_sub(*before));
        self.metrics
            .capacity_lost
            .with_label_values(&labels)
            .inc_by(more);
        log::info!(
            "event=capacity_lost service={} zone={} kind={} lost={lost} before={before} reason={}",
            subject.service,
            subject.zone,
            subject.kind,
            reason.label()
        );
    }
}

/// Returns the time within which an ordered instance starts to serve.
fn arrival_time(config: &ServingConfig, subject: &Subject) -> Duration {
    let service = config.services.get(subject.service.as_ref());
    let scaling = service.and_then(|service| service.scaling.as_ref());
    scaling.map_or(ARRIVAL_MARGIN, |scaling| scaling.boot + ARRIVAL_MARGIN)
}

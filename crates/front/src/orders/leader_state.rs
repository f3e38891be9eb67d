//! State of the order leader: orders in flight, weight loads in progress and the learned load
//! limit.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use super::demand::FleetDemand;
use super::link_use::LinkUse;
use super::load_limit::{FinishedLoad, LoadLimit, LoadTiming};
use super::load_limit_store::LoadLimitWriter;
use super::plan::{Assignment, FleetInstance, ModelDemand, PlannedLoad, max_trades};
use super::weight_updates::WeightUpdateSender;
use super::working_set::WorkingSet;
use crate::backend::Instance;
use ladderstage_clock::Instant;

/// Delay of the first check of a load, as a fraction of the shortest load time.
const FIRST_CHECK_SHARE: f64 = 0.97;

/// Interval between checks of a load that is about to finish.
const LOAD_CHECK_INTERVAL: Duration = Duration::from_millis(15);

/// Interval between checks of a load whose instance does not answer, as each one delays the checks
/// of other loads.
const UNRESPONSIVE_CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Maximum delay of a check for which the time at which the load finished still counts as exact.
const LATE_CHECK: Duration = Duration::from_millis(60);

/// Maximum interval between planning rounds.
pub(super) const PLANNING_INTERVAL: Duration = Duration::from_millis(50);

/// State of an order leader.
#[derive(Default)]
pub(super) struct LeaderState {
    /// Instances excluded from orders, with the end of the exclusion.
    pub excluded_until: HashMap<String, Instant>,
    /// Instances with an order in flight.
    pub orders_in_flight: HashSet<String>,
    /// Loads in progress by instance.
    pub loads: HashMap<String, Load>,
    /// Latest time at which the last order to each instance may have been sent, by this leader or
    /// the previous one.
    last_ordered_at: HashMap<String, Instant>,
    /// Orders of other leaders that are still within the quiet period, also for a later lease of
    /// this node.
    pub foreign_orders: Vec<(String, Instant)>,
    /// Limit on concurrent loads.
    pub load_limit: LoadLimit,
    /// Time from which loads are used to learn the limit. Loads of the previous leader may have run
    /// at the same time as earlier ones.
    pub learn_from: Option<Instant>,
    link_use: LinkUse,
    /// Latest demand that the fronts reported.
    pub demand: FleetDemand,
    /// Time of the poll that returned `demand`.
    pub demand_polled_at: Option<Instant>,
    /// Whether the demand was refreshed since the last trade of instances between models.
    pub may_trade: bool,
    /// Instances that load weights.
    pub in_use: WorkingSet,
    /// Model that each instance serves.
    pub assignment: Assignment,
    /// Weight updates to send to the fronts.
    pub weight_updates: WeightUpdateSender,
    /// Persists the learned load limit.
    pub limit_writer: LoadLimitWriter,
}

/// Load in progress.
#[derive(Debug, Clone)]
pub(super) struct Load {
    pub model: String,
    pub version: u64,
    /// Start time of the instance process that accepted the order, in Unix milliseconds. A
    /// restarted process does not continue the load.
    pub started_unix_ms: u64,
    pub since: Instant,
    pub check_at: Instant,
    pub abandon_at: Instant,
    /// Loads in progress when this one started, including it.
    pub concurrent: usize,
    /// Use of the link before this load started.
    link_use_before: LinkUse,
    /// Accuracy of the measured load time.
    timing: LoadTiming,
}

impl Load {
    fn mark_checked_late(&mut self) {
        if self.timing == LoadTiming::Exact {
            self.timing = LoadTiming::DetectedLate;
        }
    }
}

impl LeaderState {
    pub fn is_excluded(&self, instance: &str) -> bool {
        self.excluded_until.contains_key(instance)
            || self.orders_in_flight.contains(instance)
            || self.loads.contains_key(instance)
    }

    /// Returns the number of loads in progress or about to start.
    pub fn pending_loads(&self) -> usize {
        self.loads.len() + self.orders_in_flight.len()
    }

    /// Records an order that is sent to an instance within `limit`.
    pub fn record_order(&mut self, instance: &str, limit: Duration) {
        let sent_until = Instant::now() + limit;
        self.last_ordered_at.insert(instance.to_owned(), sent_until);
        self.orders_in_flight.insert(instance.to_owned());
    }

    /// Excludes the instances that received an order of another leader less than `quiet_period`
    /// ago.
    pub fn exclude_recently_ordered(
        &mut self,
        orders: Vec<(String, Instant)>,
        quiet_period: Duration,
    ) {
        for (instance, last_ordered_at) in &orders {
            self.excluded_until
                .insert(instance.clone(), *last_ordered_at + quiet_period);
            self.last_ordered_at
                .insert(instance.clone(), *last_ordered_at);
        }
        self.foreign_orders.extend(orders);
    }

    /// Returns the instances that received orders less than `quiet_period` ago.
    pub fn recent_orders(&self, quiet_period: Duration) -> Vec<(String, Instant)> {
        let recent = self
            .last_ordered_at
            .iter()
            .filter(|(_, at)| at.elapsed() < quiet_period);
        recent.map(|(id, at)| (id.clone(), *at)).collect()
    }

    /// Records a load in progress and schedules its first check. `is_accepted` tells whether the
    /// instance accepted the order.
    pub fn start_load(
        &mut self,
        instance: &Instance,
        planned: PlannedLoad,
        limit: Duration,
        is_accepted: bool,
    ) {
        let now = Instant::now();
        let shortest = self.load_limit.shortest().unwrap_or(PLANNING_INTERVAL * 4);
        self.weight_updates
            .loading(instance, &planned.model, planned.version, shortest);
        self.link_use.set_loads(self.loads.len(), now);
        let load = Load {
            model: planned.model,
            version: planned.version,
            started_unix_ms: instance.started_unix_ms(),
            since: now,
            check_at: now + shortest.mul_f64(FIRST_CHECK_SHARE),
            abandon_at: now + limit,
            concurrent: self.loads.len() + 1,
            link_use_before: self.link_use.clone(),
            timing: if is_accepted {
                LoadTiming::Exact
            } else {
                LoadTiming::Unknown
            },
        };
        self.loads.insert(planned.instance, load);
        self.link_use.set_loads(self.loads.len(), now);
    }

    /// Returns the loads that are due for a check.
    pub fn due_loads(&mut self) -> Vec<(String, Load)> {
        let now = Instant::now();
        let due = self
            .loads
            .iter_mut()
            .filter(|(_, load)| load.check_at <= now);
        due.map(|(id, load)| {
            if now.saturating_duration_since(load.check_at) > LATE_CHECK {
                load.mark_checked_late();
            }
            (id.clone(), load.clone())
        })
        .collect()
    }

    /// Removes a load that finished or was abandoned.
    pub fn remove_load(&mut self, instance: &str) {
        self.loads.remove(instance);
        self.link_use.set_loads(self.loads.len(), Instant::now());
    }

    /// Learns from a finished load. `was_reported` tells whether the instance's own report showed
    /// that it finished.
    pub fn observe_load(&mut self, instance: &str, load: &Load, was_reported: bool) {
        let now = Instant::now();
        let mut load = load.clone();
        if !was_reported {
            // Reports describe an earlier state, so a load whose finish was observed in another way
            // appears shorter than others.
            load.timing = LoadTiming::Unknown;
        } else if now.saturating_duration_since(load.check_at) > LATE_CHECK {
            load.mark_checked_late();
        }
        log::info!(
            "event=load_done instance={instance} model={} version={} taken_ms={} beside={} timing={:?} limit={}",
            load.model,
            load.version,
            now.saturating_duration_since(load.since).as_millis(),
            load.concurrent,
            load.timing,
            self.load_limit.get()
        );
        if self.learn_from.is_some_and(|from| load.since < from) {
            return;
        }
        let before = self.load_limit.get();
        let finished = FinishedLoad {
            duration: now.saturating_duration_since(load.since),
            link: self.link_use.since(&load.link_use_before, now),
            concurrent_at_start: load.concurrent,
            timing: load.timing,
        };
        self.load_limit.observe(&finished, now);
        if self.load_limit.get() != before {
            log::info!(
                "event=load_limit_changed limit={} before={before} taken_ms={} usual_ms={} at_begin={} near={}",
                self.load_limit.get(),
                finished.duration.as_millis(),
                self.load_limit
                    .typical_load_time()
                    .unwrap_or_default()
                    .as_millis(),
                finished.concurrent_at_start,
                self.load_limit.is_near_capacity()
            );
        }
    }

    /// Schedules the next check of a load, sooner once typical load times are known.
    pub fn schedule_check(&mut self, instance: &str) {
        let pause = match self.load_limit.shortest() {
            Some(_) => LOAD_CHECK_INTERVAL,
            None => PLANNING_INTERVAL,
        };
        self.check_after(instance, pause);
    }

    /// Schedules the next check of a load whose instance did not answer.
    pub fn back_off_check(&mut self, instance: &str) {
        if let Some(load) = self.loads.get_mut(instance) {
            load.mark_checked_late();
        }
        self.check_after(instance, UNRESPONSIVE_CHECK_INTERVAL);
    }

    fn check_after(&mut self, instance: &str, pause: Duration) {
        if let Some(load) = self.loads.get_mut(instance) {
            load.check_at = Instant::now() + pause;
        }
    }

    /// Returns the time until the next load is due, limited to the planning interval.
    pub fn next_check(&self) -> Duration {
        let now = Instant::now();
        let due = self.loads.values().map(|load| load.check_at);
        let until = due.min().map(|at| at.saturating_duration_since(now));
        until.map_or(PLANNING_INTERVAL, |until| {
            until.clamp(LOAD_CHECK_INTERVAL, PLANNING_INTERVAL)
        })
    }

    /// Trades instances between models if the demand was refreshed since the last trade.
    pub fn trade_if_refreshed(&mut self, demands: &[ModelDemand], fleet: &[FleetInstance]) {
        if !std::mem::take(&mut self.may_trade) {
            return;
        }
        for _ in 0..max_trades(demands, fleet) {
            let Some(trade) = self.assignment.trade(demands, fleet) else {
                return;
            };
            log::info!(
                "event=instances_traded slow={} fast={} model={} pace_ms={:?} against={:?}",
                trade.slow,
                trade.fast,
                trade.model,
                self.demand.event_interval_ms(&trade.slow),
                self.demand.event_interval_ms(&trade.fast)
            );
        }
    }
}

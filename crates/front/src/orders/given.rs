//! State of the order leader: orders in flight, weight loads in progress and the learned load
//! limit.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use super::demand::FleetDemand;
use super::learnt::LearntWriter;
use super::link_use::LinkUse;
use super::load_limit::{FinishedLoad, LoadLimit, LoadTiming};
use super::news::NewsSender;
use super::plan::{Assignment, FleetInstance, ModelDemand, Planned, most_trades};
use crate::backend::Instance;
use ladderstage_clock::Instant;

/// Fraction of the shortest load time after which a load is first checked.
const LOOK_SHARE: f64 = 0.97;

/// Interval between checks of a load that is about to finish.
const LOAD_LOOK_INTERVAL: Duration = Duration::from_millis(15);

/// Interval between checks of a load whose instance does not answer, as each one delays the checks
/// of other loads.
const SILENT_LOOK_INTERVAL: Duration = Duration::from_millis(300);

/// Maximum delay of a check for which the time at which the load finished still counts as exact.
const LATE_LOOK: Duration = Duration::from_millis(60);

/// Maximum interval between planning rounds.
pub(super) const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// State of an order leader.
#[derive(Default)]
pub(super) struct Given {
    /// Instances excluded from orders, and until when.
    pub pauses: HashMap<String, Instant>,
    /// Instances with an order in flight.
    pub ordering: HashSet<String>,
    /// Loads in progress by instance.
    pub loads: HashMap<String, Load>,
    /// Latest time at which the last order to each instance may have been sent, by this leader or
    /// the previous one.
    ordered_at: HashMap<String, Instant>,
    /// Orders of other leaders that are still within the quiet period, also for a later lease of
    /// this node.
    pub respected: Vec<(String, Instant)>,
    /// Limit on concurrent loads.
    pub load_limit: LoadLimit,
    /// Loads that started earlier are not learned from, as loads of the previous leader may have
    /// run at the same time.
    pub learn_from: Option<Instant>,
    link: LinkUse,
    /// Latest demand that the fronts reported, and the time of that poll.
    pub demand: FleetDemand,
    pub demand_at: Option<Instant>,
    /// The demand was refreshed since the last trade of instances between models.
    pub may_trade: bool,
    /// Model that each instance serves.
    pub assignment: Assignment,
    /// Weight updates to send to the fronts.
    pub news: NewsSender,
    /// Persists the learned load limit.
    pub learnt: LearntWriter,
}

/// Load in progress.
#[derive(Debug, Clone)]
pub(super) struct Load {
    pub model: String,
    pub version: u64,
    /// Start time of the instance process that accepted the order; a restarted process has lost it.
    pub started_unix_ms: u64,
    pub since: Instant,
    pub look_at: Instant,
    pub give_up_at: Instant,
    /// Loads in progress when this one started, including it.
    pub beside: usize,
    /// Use of the link before this load started.
    link_before: LinkUse,
    /// Accuracy of the measured load time.
    timing: LoadTiming,
}

impl Load {
    fn note_late_look(&mut self) {
        if self.timing == LoadTiming::Exact {
            self.timing = LoadTiming::NoticedLate;
        }
    }
}

impl Given {
    pub fn is_left_alone(&self, instance: &str) -> bool {
        self.pauses.contains_key(instance)
            || self.ordering.contains(instance)
            || self.loads.contains_key(instance)
    }

    /// Returns the number of loads in progress or about to start.
    pub fn loading(&self) -> usize {
        self.loads.len() + self.ordering.len()
    }

    /// Records an order that is sent to an instance within `limit`.
    pub fn note_order(&mut self, instance: &str, limit: Duration) {
        let sent_until = Instant::now() + limit;
        self.ordered_at.insert(instance.to_owned(), sent_until);
        self.ordering.insert(instance.to_owned());
    }

    /// Excludes the instances that received an order of another leader less than `quiet` ago.
    pub fn respect(&mut self, orders: Vec<(String, Instant)>, quiet: Duration) {
        for (instance, ordered_at) in &orders {
            self.pauses.insert(instance.clone(), *ordered_at + quiet);
            self.ordered_at.insert(instance.clone(), *ordered_at);
        }
        self.respected.extend(orders);
    }

    /// Returns the instances that received orders less than `quiet` ago.
    pub fn recent_orders(&self, quiet: Duration) -> Vec<(String, Instant)> {
        let recent = self
            .ordered_at
            .iter()
            .filter(|(_, at)| at.elapsed() < quiet);
        recent.map(|(id, at)| (id.clone(), *at)).collect()
    }

    /// Records a load in progress and schedules its first check. `is_taken`: the instance accepted
    /// the order.
    pub fn begin(
        &mut self,
        instance: &Instance,
        planned: Planned,
        limit: Duration,
        is_taken: bool,
    ) {
        let now = Instant::now();
        let least = self.load_limit.least().unwrap_or(LOOK_INTERVAL * 4);
        self.news
            .loading(instance, &planned.model, planned.version, least);
        self.link.set_loads(self.loads.len(), now);
        let load = Load {
            model: planned.model,
            version: planned.version,
            started_unix_ms: instance.started_unix_ms(),
            since: now,
            look_at: now + least.mul_f64(LOOK_SHARE),
            give_up_at: now + limit,
            beside: self.loads.len() + 1,
            link_before: self.link.clone(),
            timing: if is_taken {
                LoadTiming::Exact
            } else {
                LoadTiming::Unknown
            },
        };
        self.loads.insert(planned.instance, load);
        self.link.set_loads(self.loads.len(), now);
    }

    /// Returns the loads that are due for a check.
    pub fn due_loads(&mut self) -> Vec<(String, Load)> {
        let now = Instant::now();
        let due = self
            .loads
            .iter_mut()
            .filter(|(_, load)| load.look_at <= now);
        due.map(|(id, load)| {
            if now.saturating_duration_since(load.look_at) > LATE_LOOK {
                load.note_late_look();
            }
            (id.clone(), load.clone())
        })
        .collect()
    }

    /// Removes a load that finished or was abandoned.
    pub fn end(&mut self, instance: &str) {
        self.loads.remove(instance);
        self.link.set_loads(self.loads.len(), Instant::now());
    }

    /// Learns from a finished load. `is_by_report`: the instance's own report showed it.
    pub fn note_load(&mut self, instance: &str, load: &Load, is_by_report: bool) {
        let now = Instant::now();
        let mut load = load.clone();
        if !is_by_report {
            // Reports describe an earlier state, so a load seen finished by other means appears
            // shorter than others.
            load.timing = LoadTiming::Unknown;
        } else if now.saturating_duration_since(load.look_at) > LATE_LOOK {
            load.note_late_look();
        }
        log::info!(
            "event=load_done instance={instance} model={} version={} taken_ms={} beside={} timing={:?} limit={}",
            load.model,
            load.version,
            now.saturating_duration_since(load.since).as_millis(),
            load.beside,
            load.timing,
            self.load_limit.get()
        );
        if self.learn_from.is_some_and(|from| load.since < from) {
            return;
        }
        let before = self.load_limit.get();
        let finished = FinishedLoad {
            taken: now.saturating_duration_since(load.since),
            link: self.link.since(&load.link_before, now),
            at_begin: load.beside,
            timing: load.timing,
        };
        self.load_limit.note(&finished, now);
        if self.load_limit.get() != before {
            log::info!(
                "event=load_limit_changed limit={} before={before} taken_ms={} usual_ms={} at_begin={} near={}",
                self.load_limit.get(),
                finished.taken.as_millis(),
                self.load_limit.usual().unwrap_or_default().as_millis(),
                finished.at_begin,
                self.load_limit.is_near()
            );
        }
    }

    /// Schedules the next check of a load, sooner once typical load times are known.
    pub fn look_again(&mut self, instance: &str) {
        let pause = match self.load_limit.least() {
            Some(_) => LOAD_LOOK_INTERVAL,
            None => LOOK_INTERVAL,
        };
        self.look_after(instance, pause);
    }

    /// Schedules the next check of a load whose instance did not answer.
    pub fn look_later(&mut self, instance: &str) {
        if let Some(load) = self.loads.get_mut(instance) {
            load.note_late_look();
        }
        self.look_after(instance, SILENT_LOOK_INTERVAL);
    }

    fn look_after(&mut self, instance: &str, pause: Duration) {
        if let Some(load) = self.loads.get_mut(instance) {
            load.look_at = Instant::now() + pause;
        }
    }

    /// Returns the time until the next load is due, limited to the planning interval.
    pub fn next_look(&self) -> Duration {
        let now = Instant::now();
        let due = self.loads.values().map(|load| load.look_at);
        let until = due.min().map(|at| at.saturating_duration_since(now));
        until.map_or(LOOK_INTERVAL, |until| {
            until.clamp(LOAD_LOOK_INTERVAL, LOOK_INTERVAL)
        })
    }

    /// Trades instances between models if the demand was refreshed since the last trade.
    pub fn trade_once(&mut self, demands: &[ModelDemand], fleet: &[FleetInstance]) {
        if !std::mem::take(&mut self.may_trade) {
            return;
        }
        for _ in 0..most_trades(demands, fleet) {
            let Some(trade) = self.assignment.trade(demands, fleet) else {
                return;
            };
            log::info!(
                "event=instances_traded slow={} fast={} model={} pace_ms={:?} against={:?}",
                trade.slow,
                trade.fast,
                trade.model,
                self.demand.pace_ms(&trade.slow),
                self.demand.pace_ms(&trade.fast)
            );
        }
    }
}

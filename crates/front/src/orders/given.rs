//! What a holder of the lease remembers of the orders that it gave.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use super::demand::FleetDemand;
use super::learnt::LoadLimitWriter;
use super::link_use::LinkUse;
use super::load_limit::{FinishedLoad, LoadLimit, LoadTiming};
use super::news::NewsSender;
use super::plan::{Assignment, FleetInstance, ModelDemand, Planned, most_trades};
use crate::backend::Instance;
use ladderstage_clock::Instant;

/// A load is first looked at after this share of the least time.
const LOOK_SHARE: f64 = 0.97;

/// Between looks at a load that should be done.
const LOAD_LOOK_INTERVAL: Duration = Duration::from_millis(15);

/// Between looks at a load whose instance does not answer: each look holds the others up.
const SILENT_LOOK_INTERVAL: Duration = Duration::from_millis(300);

/// A look at a load that comes later than this after it was due does not tell when the load was done.
const LATE_LOOK: Duration = Duration::from_millis(60);

/// Between looks at what is to be ordered.
pub(super) const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// What a holder remembers of its orders.
#[derive(Default)]
pub(super) struct Given {
    /// Instances that are to be left alone, and until when.
    pub pauses: HashMap<String, Instant>,
    /// Instances that orders are on their way to.
    pub ordering: HashSet<String>,
    /// Orders under way, by instance.
    pub loads: HashMap<String, Load>,
    /// Until when the last order to each instance may have been sent, by this giver or the one before.
    ordered_at: HashMap<String, Instant>,
    /// Orders of other givers that are too recent for one of this node, under this lease or a later one.
    pub respected: Vec<(String, Instant)>,
    /// How many loads may be under way at once.
    pub load_limit: LoadLimit,
    /// Loads that began earlier teach nothing: those of a giver before may have been under way beside them.
    pub learn_from: Option<Instant>,
    link: LinkUse,
    /// What the fronts told of their work, and when they were asked.
    pub demand: FleetDemand,
    pub demand_at: Option<Instant>,
    /// The fronts were asked since instances were last traded between models.
    pub may_trade: bool,
    /// Which model each instance serves.
    pub assignment: Assignment,
    /// What the fronts are to be told.
    pub news: NewsSender,
    /// Keeps what is learnt of loads.
    pub learnt: LoadLimitWriter,
}

/// An order under way.
#[derive(Debug, Clone)]
pub(super) struct Load {
    pub model: String,
    pub version: u64,
    /// Start of the instance that took it; a later one knows nothing of it.
    pub started_unix_ms: u64,
    pub since: Instant,
    pub look_at: Instant,
    pub give_up_at: Instant,
    /// Loads under way when it began, this one included.
    pub beside: usize,
    /// Use of the link until it began.
    link_before: LinkUse,
    /// Whether it is known when it began, and it was looked at whenever that was due.
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

    /// Loads under way or about to begin.
    pub fn loading(&self) -> usize {
        self.loads.len() + self.ordering.len()
    }

    /// Notes that an order to an instance is about to be sent, within `limit`.
    pub fn note_order(&mut self, instance: &str, limit: Duration) {
        let sent_until = Instant::now() + limit;
        self.ordered_at.insert(instance.to_owned(), sent_until);
        self.ordering.insert(instance.to_owned());
    }

    /// Leaves the instances alone that had orders of another giver less than `quiet` ago.
    pub fn respect(&mut self, orders: Vec<(String, Instant)>, quiet_period: Duration) {
        for (instance, ordered_at) in &orders {
            self.pauses.insert(instance.clone(), *ordered_at + quiet_period);
            self.ordered_at.insert(instance.clone(), *ordered_at);
        }
        self.respected.extend(orders);
    }

    /// Instances that had orders less than `quiet` ago.
    pub fn recent_orders(&self, quiet_period: Duration) -> Vec<(String, Instant)> {
        let recent = self
            .ordered_at
            .iter()
            .filter(|(_, at)| at.elapsed() < quiet_period);
        recent.map(|(id, at)| (id.clone(), *at)).collect()
    }

    /// Notes an order under way; looked at when such a load is usually done. `is_taken`: the instance has said that it took it.
    pub fn start(
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

    /// Orders under way that are to be looked at now.
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

    /// Forgets an order: it is done, or given up.
    pub fn end(&mut self, instance: &str) {
        self.loads.remove(instance);
        self.link.set_loads(self.loads.len(), Instant::now());
    }

    /// Learns from a load that is done. `is_by_report`: its instance's own report said so.
    pub fn note_load(&mut self, instance: &str, load: &Load, is_by_report: bool) {
        let now = Instant::now();
        let mut load = load.clone();
        if !is_by_report {
            // Reports tell of some time ago; a load that is known from elsewhere seems shorter than others by that.
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
                self.load_limit.typical_load_time().unwrap_or_default().as_millis(),
                finished.at_begin,
                self.load_limit.is_near_capacity()
            );
        }
    }

    /// Looks at a load again soon: sooner once it is known how long loads take.
    pub fn look_again(&mut self, instance: &str) {
        let pause = match self.load_limit.least() {
            Some(_) => LOAD_LOOK_INTERVAL,
            None => LOOK_INTERVAL,
        };
        self.look_after(instance, pause);
    }

    /// Looks again at a load whose instance did not answer.
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

    /// When the next load should be looked at, at the latest after the usual interval.
    pub fn next_look(&self) -> Duration {
        let now = Instant::now();
        let due = self.loads.values().map(|load| load.look_at);
        let until = due.min().map(|at| at.saturating_duration_since(now));
        until.map_or(LOOK_INTERVAL, |until| {
            until.clamp(LOAD_LOOK_INTERVAL, LOOK_INTERVAL)
        })
    }

    /// Trades some instances between models if the fronts were asked for their work since the last time.
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

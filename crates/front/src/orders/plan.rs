//! Plans which instance loads which weight version next.
//!
//! Each instance serves one model, assigned in proportion to demand, because loading every model on
//! every instance would take longer than the interval between versions. A job may use the newest
//! version of its model or the one before. An instance would become unusable if it skipped
//! versions, so it loads each one, but only after the burst of work that follows the announcement.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::time::Duration;

/// Time after an announcement during which instances with the previous version are not reloaded,
/// because new work may still use them.
const RELOAD_DELAY: Duration = Duration::from_millis(400);

/// Minimum number of versions behind the newest at which no job may use an instance.
const UNUSABLE_LAG: u64 = 2;

/// Maximum duration of a model's longest text, relative to that of another model, at which its
/// texts count as short.
const SHORT_TEXT_RATIO: f64 = 0.8;

/// Minimum event interval, relative to the fastest instance, at which an instance counts as slow.
const SLOW_RATIO: f64 = 1.15;

/// Relative event interval at or above which slowness counts as temporary.
const TEMPORARY_RATIO: f64 = 2.0;

/// Maximum relative event interval at which an instance counts as fast.
const FAST_RATIO: f64 = 1.07;

/// Instance that holds models.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetInstance {
    /// Instance id.
    pub id: String,
    /// Loaded version of each model.
    pub versions: BTreeMap<String, u64>,
    /// Known number of requests in progress.
    pub requests_in_progress: u32,
    /// Excluded from orders, because one is in progress or was issued recently.
    pub is_busy: bool,
    /// Milliseconds between two events of a run; `None` while unknown.
    pub event_interval_ms: Option<f64>,
}

/// Demand for one model.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelDemand {
    /// Name of the model.
    pub model: String,
    /// Newest announced version.
    pub newest: u64,
    /// Time since the newest version was announced.
    pub since_announcement: Duration,
    /// Amount of work, relative to other models.
    pub relative_work: f64,
    /// Number of events in the longest recent text; 0 if unknown.
    pub longest_events: u64,
    /// Number of items that may be open at the same time; `None` if unknown.
    pub open_items: Option<u64>,
}

/// Planned order to load a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedLoad {
    /// Instance id.
    pub instance: String,
    /// Name of the model.
    pub model: String,
    /// Version to load.
    pub version: u64,
}

/// Assignment of models to instances.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Assignment {
    model_of: BTreeMap<String, String>,
    /// Instances that were traded. An instance is traded at most once, because its event interval
    /// may change.
    traded: BTreeSet<String>,
}

/// At most one in this many of a model's instances, but at least one, may be traded per round,
/// because a traded instance is unavailable while it loads other weights.
const TRADE_DIVISOR: usize = 5;

/// Returns the maximum number of trades per round. With a single trade, a fleet in which a third of
/// the instances are slow would need tens of seconds until the models with long texts have none of
/// them.
pub fn max_trades(demands: &[ModelDemand], fleet: &[FleetInstance]) -> usize {
    (fleet.len() / demands.len().max(1) / TRADE_DIVISOR).max(1)
}

/// Trade: an exchange of two instances between models.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Trade {
    /// Model that received the fast instance.
    pub model: String,
    /// Instance that this model gave away.
    pub slow: String,
    /// Instance that this model received.
    pub fast: String,
}

/// Instance that may be traded, with its event interval relative to the fastest instance of its
/// model.
struct Tradable<'a> {
    id: &'a str,
    event_interval_ms: f64,
    slowness: f64,
}

impl Assignment {
    /// Returns the model of an instance.
    pub fn model(&self, instance: &str) -> Option<&str> {
        self.model_of.get(instance).map(String::as_str)
    }

    /// Adapts the assignment to the fleet and the demand. An instance keeps its model unless
    /// another model lacks at least two instances or has none.
    pub fn update(&mut self, demands: &[ModelDemand], fleet: &[FleetInstance]) {
        let ids: HashSet<&str> = fleet.iter().map(|one| one.id.as_str()).collect();
        self.model_of.retain(|id, model| {
            ids.contains(id.as_str()) && demands.iter().any(|one| one.model == *model)
        });
        if demands.is_empty() {
            return;
        }
        let quotas = quotas(demands, fleet.len());
        let mut counts = self.counts(&quotas);
        for instance in fleet {
            if !self.model_of.contains_key(&instance.id) {
                let model = best_model(demands, &quotas, &counts, instance);
                *counts.entry(model.clone()).or_insert(0) += 1;
                self.model_of.insert(instance.id.clone(), model);
            }
        }
        self.balance(&quotas, &counts, fleet);
    }

    /// Moves one instance from the model with the largest surplus to one that lacks at least two,
    /// or has none.
    fn balance(
        &mut self,
        quotas: &BTreeMap<String, usize>,
        counts: &BTreeMap<String, usize>,
        fleet: &[FleetInstance],
    ) {
        let count = |model: &String| counts.get(model).copied().unwrap_or(0);
        let surplus = |model: &String| count(model) as i64 - quotas[model] as i64;
        let Some(largest) = quotas.keys().max_by_key(|model| surplus(model)) else {
            return;
        };
        let Some(smallest) = quotas.keys().min_by_key(|model| surplus(model)) else {
            return;
        };
        if surplus(largest) < 1 || surplus(smallest) > -2 && count(smallest) > 0 {
            return;
        }
        let moved = fleet
            .iter()
            .filter(|one| self.model(&one.id) == Some(largest))
            .min_by_key(|one| one.versions.get(largest).copied().unwrap_or(0));
        if let Some(moved) = moved {
            self.model_of.insert(moved.id.clone(), smallest.clone());
        }
    }

    /// Trades a slow instance of a model with long texts for a fast one of the model with the
    /// shortest texts, because a step takes as long as its longest texts.
    pub fn trade(&mut self, demands: &[ModelDemand], fleet: &[FleetInstance]) -> Option<Trade> {
        let text_time = |demand: &ModelDemand| {
            let interval = self.shortest_interval(&demand.model, fleet)?;
            (demand.longest_events > 0).then_some(interval * demand.longest_events as f64)
        };
        let mut times: Vec<(f64, &str)> = demands
            .iter()
            .filter_map(|demand| Some((text_time(demand)?, demand.model.as_str())))
            .collect();
        times.sort_by(|left, right| left.0.total_cmp(&right.0));
        let (short_time, short_model) = *times.first()?;
        let long = times
            .iter()
            .filter(|(long_time, _)| short_time <= long_time * SHORT_TEXT_RATIO);
        let by_slowness =
            |one: &Tradable, other: &Tradable| one.slowness.total_cmp(&other.slowness);
        let (slow, long_model) = long
            .flat_map(|(_, model)| self.tradable(model, fleet).map(move |one| (one, *model)))
            .filter(|(one, _)| (SLOW_RATIO..TEMPORARY_RATIO).contains(&one.slowness))
            .max_by(|(one, _), (other, _)| by_slowness(one, other))?;
        let fast = self
            .tradable(short_model, fleet)
            .filter(|one| one.slowness < FAST_RATIO)
            .filter(|one| one.event_interval_ms * SLOW_RATIO <= slow.event_interval_ms)
            .min_by(by_slowness)?;
        let trade = Trade {
            model: long_model.to_owned(),
            slow: slow.id.to_owned(),
            fast: fast.id.to_owned(),
        };
        for (instance, model) in [(&trade.slow, short_model), (&trade.fast, long_model)] {
            self.model_of.insert(instance.clone(), model.to_owned());
            self.traded.insert(instance.clone());
        }
        Some(trade)
    }

    /// Returns the event interval of a model's fastest instance.
    fn shortest_interval(&self, model: &str, fleet: &[FleetInstance]) -> Option<f64> {
        let intervals_ms = fleet
            .iter()
            .filter(|one| self.model(&one.id) == Some(model))
            .filter_map(|one| one.event_interval_ms);
        intervals_ms.min_by(f64::total_cmp)
    }

    /// Returns the instances of a model that may be traded.
    fn tradable<'a>(
        &'a self,
        model: &'a str,
        fleet: &'a [FleetInstance],
    ) -> impl Iterator<Item = Tradable<'a>> {
        let best = self.shortest_interval(model, fleet);
        fleet
            .iter()
            .filter(move |one| self.model(&one.id) == Some(model))
            .filter(|one| !one.is_busy && !self.traded.contains(&one.id))
            .filter_map(move |one| {
                let event_interval_ms = one.event_interval_ms?;
                Some(Tradable {
                    id: &one.id,
                    event_interval_ms,
                    slowness: event_interval_ms / best?,
                })
            })
    }

    /// Returns the number of instances of each model.
    fn counts(&self, quotas: &BTreeMap<String, usize>) -> BTreeMap<String, usize> {
        let mut counts: BTreeMap<String, usize> =
            quotas.keys().map(|model| (model.clone(), 0)).collect();
        for model in self.model_of.values() {
            *counts.entry(model.clone()).or_insert(0) += 1;
        }
        counts
    }
}

/// Returns the model for a new instance: among the models below their quota, or all models if there
/// are none, the one whose weights at the instance lag least. Ties go to the model that lacks the
/// most instances.
fn best_model(
    demands: &[ModelDemand],
    quotas: &BTreeMap<String, usize>,
    counts: &BTreeMap<String, usize>,
    instance: &FleetInstance,
) -> String {
    let key = |demand: &&ModelDemand| {
        let count = counts.get(&demand.model).copied().unwrap_or(0);
        let missing = quotas[&demand.model].saturating_sub(count);
        let version = instance.versions.get(&demand.model).copied().unwrap_or(0);
        let lag = demand.newest.saturating_sub(version);
        (missing > 0, Reverse(lag), missing)
    };
    let best = demands.iter().max_by_key(key);
    best.map(|demand| demand.model.clone()).unwrap_or_default()
}

/// Returns the number of instances for each model: proportional to demand, by the largest remainder
/// method, and at least one if there are enough instances.
fn quotas(demands: &[ModelDemand], instances: usize) -> BTreeMap<String, usize> {
    let total: f64 = demands
        .iter()
        .map(|demand| demand.relative_work.max(f64::MIN_POSITIVE))
        .sum();
    let mut shares: Vec<(f64, usize, &str)> = demands
        .iter()
        .map(|demand| {
            let exact = demand.relative_work.max(f64::MIN_POSITIVE) / total * instances as f64;
            let rounded = (exact as usize).max(usize::from(instances >= demands.len()));
            (exact - rounded as f64, rounded, demand.model.as_str())
        })
        .collect();
    while shares.iter().map(|share| share.1).sum::<usize>() < instances {
        let next = shares
            .iter_mut()
            .max_by(|left, right| left.0.total_cmp(&right.0));
        let Some(next) = next else { break };
        next.0 -= 1.0;
        next.1 += 1;
    }
    shares
        .iter()
        .map(|(_, count, model)| ((*model).to_owned(), *count))
        .collect()
}

/// Plans the next orders, at most `max_orders`, given the number of loads in progress and its
/// maximum. Looks at each instance of the fleet once.
///
/// Instances whose weights are too old for any job come first and without delay. Instances one
/// version behind follow after the burst of work, those with the fewest requests first.
pub fn plan_round(
    demands: &[ModelDemand],
    assignment: &Assignment,
    fleet: &[FleetInstance],
    loads_in_progress: usize,
    max_loads: usize,
    max_orders: usize,
) -> Vec<PlannedLoad> {
    let max_orders = max_orders.min(max_loads.saturating_sub(loads_in_progress));
    if max_orders == 0 {
        return Vec::new();
    }
    let mut models = model_loads(demands, assignment, fleet);
    let mut orders = Vec::new();
    while orders.len() < max_orders {
        let next = models
            .iter_mut()
            .filter_map(|model| Some((model.urgency()?, model)))
            .max_by_key(|(urgency, _)| *urgency);
        let Some(planned) = next.and_then(|(_, model)| model.take_next()) else {
            break;
        };
        orders.push(planned);
    }
    orders
}

/// Urgency of an order: whether its instance is unusable, then the model's unusable instances per
/// thousand, then its number of outdated instances.
type Urgency = (bool, u64, usize);

/// Loads of one model that could be ordered.
struct ModelLoads<'a> {
    demand: &'a ModelDemand,
    served: usize,
    unusable: usize,
    outdated: usize,
    /// Instances to load in reverse order: the first one is at the end.
    waiting: Vec<(u64, u32, &'a str)>,
}

impl<'a> ModelLoads<'a> {
    fn new(demand: &'a ModelDemand) -> Self {
        Self {
            demand,
            served: 0,
            unusable: 0,
            outdated: 0,
            waiting: Vec::new(),
        }
    }

    fn add(&mut self, instance: &'a FleetInstance) {
        let version = instance.versions.get(&self.demand.model).copied();
        let version = version.unwrap_or(0);
        let lag = self.demand.newest.saturating_sub(version);
        let min_lag = if self.demand.since_announcement < RELOAD_DELAY {
            UNUSABLE_LAG
        } else {
            1
        };
        self.served += 1;
        self.unusable += usize::from(lag >= UNUSABLE_LAG);
        self.outdated += usize::from(lag >= 1);
        if !instance.is_busy && lag >= min_lag {
            let requests = instance.requests_in_progress;
            self.waiting.push((version, requests, &instance.id));
        }
    }

    /// Returns the urgency of the next load, `None` if there is none.
    fn urgency(&self) -> Option<Urgency> {
        let (version, _, _) = self.waiting.last()?;
        let is_unusable = self.demand.newest.saturating_sub(*version) >= UNUSABLE_LAG;
        let unusable_per_mille = (self.unusable * 1_000 / self.served.max(1)) as u64;
        Some((is_unusable, unusable_per_mille, self.outdated))
    }

    fn take_next(&mut self) -> Option<PlannedLoad> {
        let (_, _, instance) = self.waiting.pop()?;
        Some(PlannedLoad {
            instance: instance.to_owned(),
            model: self.demand.model.clone(),
            version: self.demand.newest,
        })
    }
}

/// Returns the possible loads of each model.
fn model_loads<'a>(
    demands: &'a [ModelDemand],
    assignment: &Assignment,
    fleet: &'a [FleetInstance],
) -> Vec<ModelLoads<'a>> {
    let mut models: Vec<ModelLoads> = demands.iter().map(ModelLoads::new).collect();
    for instance in fleet {
        let assigned = assignment.model(&instance.id);
        let model = models
            .iter_mut()
            .find(|model| Some(model.demand.model.as_str()) == assigned);
        if let Some(model) = model {
            model.add(instance);
        }
    }
    for model in &mut models {
        model.waiting.sort_unstable_by(|one, other| other.cmp(one));
    }
    models
}

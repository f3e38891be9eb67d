//! Which instance should load which version next.
//!
//! A job may allow the version before the newest, which must then be everywhere when the newest is named: each instance
//! that serves a model loads every version, after the burst of work that follows its naming. Loading all models
//! everywhere would take longer than versions last: each instance serves the model that it is assigned to, in shares of
//! the models' demand.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A version is named just before work that allows the one before it comes in a burst: that work may start everywhere first.
const BURST_TIME: Duration = Duration::from_millis(400);

/// Versions behind the newest from which on no job may use an instance.
const USELESS_LAG: u64 = 2;

/// A model's texts count as short if they take at most this share of the time of the longest ones.
const SHORT_SHARE: f64 = 0.8;

/// Pace against the fastest from which on an instance counts as slow.
const SLOW_PACE: f64 = 1.15;

/// Pace from which on an instance is not slow by nature: that will pass.
const BROKEN_PACE: f64 = 2.0;

/// Pace up to which an instance counts as fast.
const FAST_PACE: f64 = 1.07;

/// An instance that holds models.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetInstance {
    /// Its id.
    pub id: String,
    /// Versions that it has, by model.
    pub versions: BTreeMap<String, u64>,
    /// Requests there as best known.
    pub load: u32,
    /// An order is under way there, or was given a moment ago.
    pub is_busy: bool,
    /// Milliseconds between two events of a run; `None` while unknown.
    pub pace_ms: Option<f64>,
}

/// What is wanted of one model.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelDemand {
    /// Its name.
    pub model: String,
    /// Newest version that was named.
    pub newest: u64,
    /// How long ago that was.
    pub named_for: Duration,
    /// Work that asks for it, against the other models.
    pub weight: f64,
    /// Events of its longest recent text; 0: unknown.
    pub longest_events: u64,
}

/// An order to give.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Planned {
    /// Instance to load.
    pub instance: String,
    /// Model.
    pub model: String,
    /// Version.
    pub version: u64,
}

/// Which model each instance serves.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Assignment {
    model_of: BTreeMap<String, String>,
    /// Instances that were traded between models; once each, as what is seen of their pace may be passing.
    traded: BTreeSet<String>,
}

/// One of so many instances of a model may be traded in a round: each loads other weights for a second or two, and its model is served
/// by the others meanwhile.
const TRADE_SHARE: usize = 5;

/// Instances that one model may trade in a round. Where a third of 45 instances is slow by nature and each of three models got a third
/// of those, one trade a round took 33 s until the models with long texts had none left.
pub fn most_trades(demands: &[ModelDemand], fleet: &[FleetInstance]) -> usize {
    (fleet.len() / demands.len().max(1) / TRADE_SHARE).max(1)
}

/// Two instances that changed their models.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Trade {
    /// The model that got the fast one.
    pub model: String,
    /// The instance that it gave.
    pub slow: String,
    /// The instance that it got.
    pub fast: String,
}

/// An instance and its pace against the fastest instance of the same model.
struct Paced<'a> {
    id: &'a str,
    pace_ms: f64,
    relative_pace: f64,
}

impl Assignment {
    /// Model of an instance.
    pub fn model(&self, instance: &str) -> Option<&str> {
        self.model_of.get(instance).map(String::as_str)
    }

    /// Adapts to the fleet and the demand. An instance keeps its model unless another one lacks more than one instance.
    pub fn update(&mut self, demands: &[ModelDemand], fleet: &[FleetInstance]) {
        self.model_of.retain(|id, model| {
            fleet.iter().any(|one| one.id == *id) && demands.iter().any(|one| one.model == *model)
        });
        if demands.is_empty() {
            return;
        }
        let quotas = quotas(demands, fleet.len());
        for instance in fleet {
            if !self.model_of.contains_key(&instance.id) {
                let model = self.best_model(demands, &quotas, instance);
                self.model_of.insert(instance.id.clone(), model);
            }
        }
        self.balance(&quotas, fleet);
    }

    /// The model whose weights are newest at the instance among those that lack instances.
    fn best_model(
        &self,
        demands: &[ModelDemand],
        quotas: &BTreeMap<String, usize>,
        instance: &FleetInstance,
    ) -> String {
        let key = |demand: &&ModelDemand| {
            let has_room = self.count(&demand.model) < quotas[&demand.model];
            let version = instance.versions.get(&demand.model).copied().unwrap_or(0);
            let lag = demand.newest.saturating_sub(version);
            let missing = quotas[&demand.model].saturating_sub(self.count(&demand.model));
            (has_room, std::cmp::Reverse(lag), missing)
        };
        let best = demands.iter().max_by_key(key);
        best.map(|demand| demand.model.clone()).unwrap_or_default()
    }

    /// Moves one instance from a model with too many to one that lacks two or more.
    fn balance(&mut self, quotas: &BTreeMap<String, usize>, fleet: &[FleetInstance]) {
        let surplus = |model: &String| self.count(model) as i64 - quotas[model] as i64;
        let Some(most) = quotas.keys().max_by_key(|model| surplus(model)) else {
            return;
        };
        let Some(least) = quotas.keys().min_by_key(|model| surplus(model)) else {
            return;
        };
        if surplus(most) < 1 || surplus(least) > -2 && self.count(least) > 0 {
            return;
        }
        let moved = fleet
            .iter()
            .filter(|one| self.model(&one.id) == Some(most))
            .min_by_key(|one| one.versions.get(most).copied().unwrap_or(0));
        if let Some(moved) = moved {
            self.model_of.insert(moved.id.clone(), least.clone());
        }
    }

    /// Trades a slow instance of a model whose texts take long for a fast one of the model whose texts take the shortest time: a
    /// step is as long as its longest texts.
    pub fn trade(&mut self, demands: &[ModelDemand], fleet: &[FleetInstance]) -> Option<Trade> {
        let time = |demand: &ModelDemand| {
            let pace = self.best_pace(&demand.model, fleet)?;
            (demand.longest_events > 0).then_some(pace * demand.longest_events as f64)
        };
        let mut times: Vec<(f64, &str)> = demands
            .iter()
            .filter_map(|demand| Some((time(demand)?, demand.model.as_str())))
            .collect();
        times.sort_by(|left, right| left.0.total_cmp(&right.0));
        let (short_time, short_model) = *times.first()?;
        let long = times
            .iter()
            .filter(|(long_time, _)| short_time <= long_time * SHORT_SHARE);
        let by_pace =
            |one: &Paced, other: &Paced| one.relative_pace.total_cmp(&other.relative_pace);
        let (slow, long_model) = long
            .flat_map(|(_, model)| self.paced(model, fleet).map(move |one| (one, *model)))
            .filter(|(one, _)| (SLOW_PACE..BROKEN_PACE).contains(&one.relative_pace))
            .max_by(|(one, _), (other, _)| by_pace(one, other))?;
        let fast = self
            .paced(short_model, fleet)
            .filter(|one| one.relative_pace < FAST_PACE)
            .filter(|one| one.pace_ms * SLOW_PACE <= slow.pace_ms)
            .min_by(by_pace)?;
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

    /// Pace of the fastest instance of a model.
    fn best_pace(&self, model: &str, fleet: &[FleetInstance]) -> Option<f64> {
        let paces = fleet
            .iter()
            .filter(|one| self.model(&one.id) == Some(model))
            .filter_map(|one| one.pace_ms);
        paces.min_by(f64::total_cmp)
    }

    /// Instances of a model that may be traded.
    fn paced<'a>(
        &'a self,
        model: &'a str,
        fleet: &'a [FleetInstance],
    ) -> impl Iterator<Item = Paced<'a>> {
        let best = self.best_pace(model, fleet);
        fleet
            .iter()
            .filter(move |one| self.model(&one.id) == Some(model))
            .filter(|one| !one.is_busy && !self.traded.contains(&one.id))
            .filter_map(move |one| {
                let pace_ms = one.pace_ms?;
                Some(Paced {
                    id: &one.id,
                    pace_ms,
                    relative_pace: pace_ms / best?,
                })
            })
    }

    fn count(&self, model: &str) -> usize {
        self.model_of
            .values()
            .filter(|served| *served == model)
            .count()
    }
}

/// Instances for each model: shares of the weights by largest remainder, at least one each while there are enough.
fn quotas(demands: &[ModelDemand], instances: usize) -> BTreeMap<String, usize> {
    let total: f64 = demands
        .iter()
        .map(|demand| demand.weight.max(f64::MIN_POSITIVE))
        .sum();
    let mut shares: Vec<(f64, usize, &str)> = demands
        .iter()
        .map(|demand| {
            let exact = demand.weight.max(f64::MIN_POSITIVE) / total * instances as f64;
            let whole = (exact as usize).max(usize::from(instances >= demands.len()));
            (exact - whole as f64, whole, demand.model.as_str())
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

/// The next order, given what is loading anywhere and how many may load at once.
///
/// Instances two or more versions behind go first and at once, as no job may use them; then, after the burst of work, those
/// one behind, the least busy first.
pub fn plan(
    demands: &[ModelDemand],
    assignment: &Assignment,
    fleet: &[FleetInstance],
    loading: usize,
    most_loading: usize,
) -> Option<Planned> {
    if loading >= most_loading {
        return None;
    }
    let candidates = demands
        .iter()
        .filter_map(|demand| next_of(demand, assignment, fleet));
    candidates
        .max_by_key(|(urgency, _)| *urgency)
        .map(|(_, planned)| planned)
}

/// How urgent an order is: instances that no job may use first, of the model that has the smallest share of useful ones.
type Urgency = (bool, u64, usize);

/// The next order for one model.
fn next_of(
    demand: &ModelDemand,
    assignment: &Assignment,
    fleet: &[FleetInstance],
) -> Option<(Urgency, Planned)> {
    let version = |one: &FleetInstance| one.versions.get(&demand.model).copied().unwrap_or(0);
    let lag = |one: &FleetInstance| demand.newest.saturating_sub(version(one));
    let least_lag = if demand.named_for < BURST_TIME {
        USELESS_LAG
    } else {
        1
    };
    let served: Vec<&FleetInstance> = fleet
        .iter()
        .filter(|one| assignment.model(&one.id) == Some(demand.model.as_str()))
        .collect();
    let next = served
        .iter()
        .filter(|one| !one.is_busy && lag(one) >= least_lag)
        .min_by_key(|one| (version(one), one.load, &one.id))?;
    let useless = served.iter().filter(|one| lag(one) >= USELESS_LAG).count();
    let behind = served.iter().filter(|one| lag(one) >= 1).count();
    let useless_share = (useless * 1_000 / served.len().max(1)) as u64;
    let planned = Planned {
        instance: next.id.clone(),
        model: demand.model.clone(),
        version: demand.newest,
    };
    Some(((lag(next) >= USELESS_LAG, useless_share, behind), planned))
}

//! Collects the demand that all fronts report: tokens of work by model, text lengths, and the event
//! interval of each instance.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::time::Duration;

use ladderstage_clock::Instant;
use ladderstage_journal::Peers;
use ladderstage_wire::messages::mod_Request::OneOfkind as RequestKind;
use ladderstage_wire::messages::mod_Response::OneOfkind as ResponseKind;
use ladderstage_wire::messages::{Demand, ModelWork, ReadDemand, Request};

use super::calls::CALL_TIMEOUT;
use super::plan::ModelDemand;
use crate::backend::median;
use crate::job::JobRegistry;
use crate::nodes::Nodes;

/// Number of polls in which all fronts are polled. Each poll asks the fronts with the most CPU, the
/// busy ones and a part of the others.
const POLLS_PER_CYCLE: usize = 4;

/// Maximum number of the others that one poll asks, so that its cost does not grow with the fleet.
const MAX_OTHERS_PER_POLL: usize = 64;

/// Maximum factor by which an event interval grows from one poll to the next, so that a weight load
/// or a brief disturbance hardly affects it.
const MAX_INTERVAL_INCREASE: f64 = 1.05;

/// Part of the recently accepted items that may be open at the same time. Items are accepted for
/// about twice as long as they are open.
const OPEN_SHARE: f64 = 0.5;

/// Time for which the largest number of open items counts, so that a pause of a trainer leaves its
/// instances in use.
const OPEN_ITEMS_WINDOW: Duration = Duration::from_secs(60);

/// Combined reports of the fronts.
#[derive(Debug, Default)]
pub(super) struct FleetDemand {
    tokens: BTreeMap<String, u64>,
    longest_events: BTreeMap<String, u64>,
    event_intervals_ms: BTreeMap<String, f64>,
    /// Items of each model that may be open at once, and the time of the report; `None` if a front
    /// reported work without its items.
    open_items: BTreeMap<String, (Option<u64>, Instant)>,
    /// Fronts that reported work.
    busy_fronts: BTreeSet<String>,
    /// Front at which the last poll ended its part of the others; `None` before the first poll.
    polled_up_to: Option<String>,
}

/// Items of one model that the fronts accepted recently.
#[derive(Debug, Default)]
struct ReportedItems {
    items: u64,
    largest_job: u64,
    /// Whether a front of an older build reported work without its items.
    is_unknown: bool,
}

impl ReportedItems {
    fn add(&mut self, work: &ModelWork) {
        self.items += work.items;
        self.largest_job = self.largest_job.max(work.largest_job);
        self.is_unknown |= work.items == 0;
    }

    /// Returns the number of items that may be open at once; `None` if it is unknown.
    fn open(&self) -> Option<u64> {
        let open = (self.items as f64 * OPEN_SHARE).ceil() as u64;
        (!self.is_unknown).then_some(open.max(self.largest_job))
    }
}

/// Returns the fronts that follow `polled_up_to` in order of their names, for one poll.
fn next_part(fronts: &BTreeSet<String>, polled_up_to: Option<&str>) -> Vec<String> {
    let count = fronts.len().div_ceil(POLLS_PER_CYCLE);
    let count = count.min(MAX_OTHERS_PER_POLL);
    let Some(last) = polled_up_to else {
        // A new leader knows no busy fronts.
        let count = fronts.len().min(MAX_OTHERS_PER_POLL * POLLS_PER_CYCLE);
        return fronts.iter().take(count).cloned().collect();
    };
    let later = fronts.range::<str, _>((Bound::Excluded(last), Bound::Unbounded));
    let earlier = fronts.range::<str, _>((Bound::Unbounded, Bound::Included(last)));
    later.chain(earlier).take(count).cloned().collect()
}

impl FleetDemand {
    /// Polls the busy fronts and a part of the others. Fronts that do not answer in time are left
    /// out. `last` holds the previous reports.
    pub async fn collect_reports(nodes: &Nodes, jobs: &JobRegistry, last: &Self) -> Self {
        let mut fronts = last.recipients(nodes);
        let all = nodes.successors().into_iter().map(|front| front.node);
        let part = next_part(&all.collect(), last.polled_up_to.as_deref());
        let polled_up_to = part.last().cloned();
        fronts.extend(part);
        let own_node = nodes.own().node;
        let others = fronts.iter().filter(|front| **front != own_node);
        let calls = others.map(|front| async move {
            let kind = RequestKind::read_demand(ReadDemand {});
            let call = nodes.call(front, Request { kind }, CALL_TIMEOUT / 4);
            match call.await.map(|response| response.kind) {
                Ok(ResponseKind::demand(demand)) => Some((front.as_str(), demand)),
                _ => None,
            }
        });
        let answers = futures_util::future::join_all(calls).await;
        let own = (own_node.as_str(), jobs.demand());
        let mut combined = Self::combine(answers.into_iter().flatten().chain([own]));
        combined.limit_interval_increases(last);
        combined.keep_largest_open_items(last);
        combined.polled_up_to = polled_up_to;
        combined
    }

    /// Returns the fronts that use instances' weights, and the takeover candidates, which are the
    /// first to receive such work or the orders lease.
    pub fn recipients(&self, nodes: &Nodes) -> BTreeSet<String> {
        let takeover_candidates = nodes
            .takeover_candidates()
            .into_iter()
            .map(|front| front.node);
        takeover_candidates
            .chain(self.busy_fronts.iter().cloned())
            .collect()
    }

    fn limit_interval_increases(&mut self, last: &Self) {
        for (instance, known) in &last.event_intervals_ms {
            let interval = self
                .event_intervals_ms
                .entry(instance.clone())
                .or_insert(*known);
            *interval = interval.min(known * MAX_INTERVAL_INCREASE);
        }
    }

    /// Keeps earlier numbers of open items that are larger, until they are too old.
    fn keep_largest_open_items(&mut self, last: &Self) {
        for (model, (items, at)) in &last.open_items {
            let is_recent = at.elapsed() < OPEN_ITEMS_WINDOW;
            let is_larger = |now: &(Option<u64>, Instant)| match (items, now.0) {
                (Some(items), Some(now)) => *items > now,
                // An unknown number is replaced by a known one, as the builds may have changed.
                _ => false,
            };
            if is_recent && self.open_items.get(model).is_none_or(is_larger) {
                self.open_items.insert(model.clone(), (*items, *at));
            }
        }
    }

    fn combine<'a>(answers: impl Iterator<Item = (&'a str, Demand)>) -> Self {
        let mut combined = Self::default();
        let mut intervals_ms = BTreeMap::<String, Vec<f64>>::new();
        let mut items = BTreeMap::<String, ReportedItems>::new();
        for (node, answer) in answers {
            if !answer.work.is_empty() {
                combined.busy_fronts.insert(node.to_owned());
            }
            for work in answer.work {
                items.entry(work.model.clone()).or_default().add(&work);
                let longest = combined
                    .longest_events
                    .entry(work.model.clone())
                    .or_insert(0);
                *longest = work.longest_events.max(*longest);
                *combined.tokens.entry(work.model).or_insert(0) += work.tokens;
            }
            for interval in answer.paces {
                let known = intervals_ms.entry(interval.instance).or_default();
                known.push(interval.event_micros as f64 / 1e3);
            }
        }
        let now = Instant::now();
        let items = items.into_iter();
        combined.open_items = items
            .map(|(model, items)| (model, (items.open(), now)))
            .collect();
        let intervals_ms = intervals_ms.into_iter();
        combined.event_intervals_ms = intervals_ms
            .filter_map(|(instance, intervals_ms)| Some((instance, median(intervals_ms)?)))
            .collect();
        combined
    }

    /// Sets the reported work and the longest text of each model.
    pub fn set_work(&self, demands: &mut [ModelDemand]) {
        for demand in demands {
            let tokens = self.tokens.get(&demand.model).copied();
            demand.relative_work = tokens.map_or(1.0, |tokens| tokens as f64);
            let longest = self.longest_events.get(&demand.model).copied();
            demand.longest_events = longest.unwrap_or(0);
            let open_items = self.open_items.get(&demand.model);
            demand.open_items = open_items.map_or(Some(0), |(items, _)| *items);
        }
    }

    /// Returns the milliseconds between two events at an instance; `None` while unknown.
    pub fn event_interval_ms(&self, instance: &str) -> Option<f64> {
        self.event_intervals_ms.get(instance).copied()
    }
}

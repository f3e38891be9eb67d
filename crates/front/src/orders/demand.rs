//! What all fronts tell of their work: how much of it each model has, how long its texts are, and how fast instances are.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ladderstage_clock::Instant;
use ladderstage_journal::Peers;
use ladderstage_wire::messages::mod_Request::OneOfkind as RequestKind;
use ladderstage_wire::messages::mod_Response::OneOfkind as ResponseKind;
use ladderstage_wire::messages::{Demand, ReadDemand, Request};

use super::calls::CALL_LIMIT;
use super::plan::ModelDemand;
use crate::backend::median;
use crate::job::JobRegistry;
use crate::nodes::Nodes;

/// Between questions to all fronts. In between only the strongest are asked, which steps are handed to, and those that told of work:
/// with hundreds of fronts the answers of the others would take a weak giver's processor time for a quarter of a second.
const ALL_INTERVAL: Duration = Duration::from_secs(12);

/// From one round of answers to the next a pace rises by this factor at most: a load or a passing trouble is not an instance's own
/// pace.
const PACE_RISE: f64 = 1.05;

/// The fronts' answers taken together.
#[derive(Debug, Default)]
pub(super) struct FleetDemand {
    tokens: BTreeMap<String, u64>,
    longest_events: BTreeMap<String, u64>,
    paces_ms: BTreeMap<String, f64>,
    /// Fronts that told of work.
    workers: BTreeSet<String>,
    /// When all fronts were asked last.
    all_asked_at: Option<Instant>,
}

impl FleetDemand {
    /// Asks the fronts that have work, and all of them now and then; those that do not answer in time are left out. `last` is what
    /// they told the last time.
    pub async fn gather(nodes: &Nodes, jobs: &JobRegistry, last: &Self) -> Self {
        let asks_all = last
            .all_asked_at
            .is_none_or(|at| at.elapsed() >= ALL_INTERVAL);
        let fronts = if asks_all {
            let fronts = nodes.successors().into_iter();
            fronts.map(|front| front.node).collect()
        } else {
            last.audience(nodes)
        };
        let own_node = nodes.own().node;
        let others = fronts.iter().filter(|front| **front != own_node);
        let calls = others.map(|front| async move {
            let kind = RequestKind::read_demand(ReadDemand {});
            let call = nodes.call(front, Request { kind }, CALL_LIMIT / 4);
            match call.await.map(|response| response.kind) {
                Ok(ResponseKind::demand(demand)) => Some((front.as_str(), demand)),
                _ => None,
            }
        });
        let answers = futures_util::future::join_all(calls).await;
        let own = (own_node.as_str(), jobs.demand());
        let mut all = Self::of(answers.into_iter().flatten().chain([own]));
        all.smooth(last);
        all.all_asked_at = if asks_all {
            Some(Instant::now())
        } else {
            last.all_asked_at
        };
        all
    }

    /// Fronts that work with instances' weights, or are the first to be handed such work or the right to give orders.
    pub fn audience(&self, nodes: &Nodes) -> BTreeSet<String> {
        let takeover_candidates = nodes.takeover_candidates().into_iter().map(|front| front.node);
        takeover_candidates.chain(self.workers.iter().cloned()).collect()
    }

    fn smooth(&mut self, last: &Self) {
        for (instance, known) in &last.paces_ms {
            let pace = self.paces_ms.entry(instance.clone()).or_insert(*known);
            *pace = pace.min(known * PACE_RISE);
        }
    }

    fn of<'a>(answers: impl Iterator<Item = (&'a str, Demand)>) -> Self {
        let mut all = Self::default();
        let mut paces = BTreeMap::<String, Vec<f64>>::new();
        for (node, answer) in answers {
            if !answer.work.is_empty() {
                all.workers.insert(node.to_owned());
            }
            for work in answer.work {
                let longest = all.longest_events.entry(work.model.clone()).or_insert(0);
                *longest = work.longest_events.max(*longest);
                *all.tokens.entry(work.model).or_insert(0) += work.tokens;
            }
            for pace in answer.paces {
                let known = paces.entry(pace.instance).or_default();
                known.push(pace.event_micros as f64 / 1e3);
            }
        }
        let paces = paces.into_iter();
        all.paces_ms = paces
            .filter_map(|(instance, paces)| Some((instance, median(paces)?)))
            .collect();
        all
    }

    /// Fills in what is known of each model's work.
    pub fn fill(&self, demands: &mut [ModelDemand]) {
        for demand in demands {
            let tokens = self.tokens.get(&demand.model).copied();
            demand.weight = tokens.map_or(1.0, |tokens| tokens as f64);
            let longest = self.longest_events.get(&demand.model).copied();
            demand.longest_events = longest.unwrap_or(0);
        }
    }

    /// Milliseconds between two events at an instance; `None` while unknown.
    pub fn pace_ms(&self, instance: &str) -> Option<f64> {
        self.paces_ms.get(instance).copied()
    }
}

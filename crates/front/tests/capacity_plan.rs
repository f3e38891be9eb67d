//! Tests the capacity planner: placement of replacements, bounds, and behavior with incomplete
//! knowledge.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use ladderstage_clock::Instant;
use ladderstage_front::backend::DiscoveredInstance;
use ladderstage_front::capacity::{
    CapacityOrderError, CapacityPlanner, DesiredCapacity, DesiredCount, FleetState, InstanceKind,
    InstancePool, LossReason, Outbox,
};
use ladderstage_front::config::{ScalingSpec, ServiceSpec};
use proptest::prelude::*;

const SERVICE: &str = "model";
const ZONES: [&str; 3] = ["a", "b", "c"];
const MAX_INSTANCES: u32 = 8;

/// Time that exceeds every delay of the planner.
const LONGER_THAN_ANY_DELAY: Duration = Duration::from_secs(20);

/// Interval between planning rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Serving,
    Draining,
    /// Announced that it will be reclaimed.
    Reclaimed,
}

/// Simulated fleet with its planner.
struct Fleet {
    planner: CapacityPlanner,
    now: Instant,
    services: BTreeMap<String, ServiceSpec>,
    instances: BTreeMap<String, (&'static str, InstanceKind, State)>,
    drained: BTreeSet<Arc<str>>,
    changes: usize,
}

fn spec(preemptible_price: Option<f64>) -> ServiceSpec {
    let prices = [("a", 0.85), ("b", 1.2), ("c", 1.0)];
    ServiceSpec {
        scaling: Some(ScalingSpec {
            min_per_zone: 1,
            max_per_zone: MAX_INSTANCES,
            boot_time: Duration::from_secs(4),
            preemptible_price,
            zone_prices: prices.map(|(zone, price)| (zone.to_owned(), price)).into(),
        }),
        ..ServiceSpec::default()
    }
}

fn pool(zone: &str, kind: InstanceKind) -> InstancePool {
    InstancePool {
        service: SERVICE.into(),
        zone: zone.into(),
        kind,
    }
}

impl Fleet {
    /// Creates a fleet of on-demand instances that the planner has observed for a while.
    fn observed(by_zone: [u32; 3]) -> Self {
        let mut fleet = Self::new(by_zone, Some(0.2));
        fleet.wait(LONGER_THAN_ANY_DELAY);
        fleet
    }

    fn new(by_zone: [u32; 3], preemptible_price: Option<f64>) -> Self {
        let now = Instant::now();
        let mut fleet = Self {
            planner: CapacityPlanner::new(DesiredCapacity::default(), now),
            now,
            services: BTreeMap::from([(SERVICE.to_owned(), spec(preemptible_price))]),
            instances: BTreeMap::new(),
            drained: BTreeSet::new(),
            changes: 0,
        };
        for (zone, count) in ZONES.into_iter().zip(by_zone) {
            fleet.add(zone, InstanceKind::OnDemand, count);
        }
        fleet
    }

    fn add(&mut self, zone: &'static str, kind: InstanceKind, count: u32) {
        for _ in 0..count {
            let free = (0..).map(|index| format!("{zone}-{}-{index}", kind.label()));
            let id = free.into_iter().find(|id| !self.instances.contains_key(id));
            let id = id.unwrap();
            self.instances.insert(id, (zone, kind, State::Serving));
        }
    }

    fn ids(&self, zone: &str, kind: InstanceKind) -> Vec<String> {
        let here = self.instances.iter();
        here.filter(|(_, (other, other_kind, _))| *other == zone && *other_kind == kind)
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Sets the state of the first instances of a zone.
    fn set(&mut self, zone: &str, kind: InstanceKind, count: usize, state: State) {
        for id in self.ids(zone, kind).into_iter().take(count) {
            self.instances.get_mut(&id).unwrap().2 = state;
        }
    }

    fn remove(&mut self, zone: &str, kind: InstanceKind, count: usize) {
        for id in self.ids(zone, kind).into_iter().take(count) {
            self.instances.remove(&id);
        }
    }

    fn discovered(&self) -> Vec<DiscoveredInstance> {
        let instances = self.instances.iter();
        instances
            .map(|(id, (zone, kind, state))| DiscoveredInstance {
                id: id.clone(),
                service: SERVICE.to_owned(),
                address: "127.0.0.1:9".parse().unwrap(),
                zone: (*zone).to_owned(),
                is_ready: *state == State::Serving,
                slots: 6,
                started_unix_ms: 0,
                cold_ms: 0,
                is_preemptible: *kind == InstanceKind::Preemptible,
                leaves_ms: (*state == State::Reclaimed).then_some(2_000),
                versions: BTreeMap::new(),
            })
            .collect()
    }

    /// Runs one planning round and applies its result at once. Returns the reasons of new losses.
    fn run_round(&mut self) -> Vec<LossReason> {
        self.now += ROUND_INTERVAL;
        let instances = self.discovered();
        let plan = self.planner.plan(
            FleetState {
                services: &self.services,
                instances: &instances,
                drained: &self.drained,
            },
            self.now,
        );
        if let Some(desired_capacity) = plan.desired_capacity {
            self.changes += 1;
            self.planner.apply(desired_capacity, self.now);
        }
        plan.losses.iter().map(|update| update.reason).collect()
    }

    fn wait(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.run_round();
        }
    }

    fn desired_count(&self, zone: &str, kind: InstanceKind) -> DesiredCount {
        self.planner.desired_capacity().get(&pool(zone, kind))
    }

    /// Returns the extra preemptible instances by zone.
    fn preemptible_extra(&self) -> [u32; 3] {
        ZONES.map(|zone| self.desired_count(zone, InstanceKind::Preemptible).extra)
    }

    fn on_demand_extra(&self) -> [u32; 3] {
        ZONES.map(|zone| self.desired_count(zone, InstanceKind::OnDemand).extra)
    }

    /// Starts and stops instances to match the orders.
    fn deliver(&mut self) {
        for zone in ZONES {
            for kind in [InstanceKind::OnDemand, InstanceKind::Preemptible] {
                let desired = self.desired_count(zone, kind).total();
                let running = self.ids(zone, kind).len() as u32;
                self.add(zone, kind, desired.saturating_sub(running));
                self.remove(zone, kind, running.saturating_sub(desired) as usize);
            }
        }
    }
}

const ON_DEMAND: InstanceKind = InstanceKind::OnDemand;
const PREEMPTIBLE: InstanceKind = InstanceKind::Preemptible;

#[test]
fn a_fleet_without_losses_stays_unchanged() {
    let mut fleet = Fleet::observed([5, 5, 5]);
    assert_eq!(fleet.changes, 1, "the found instances are persisted once");
    assert_eq!(fleet.desired_count("a", ON_DEMAND).found, 5);
    fleet.wait(LONGER_THAN_ANY_DELAY);
    assert_eq!(
        (fleet.preemptible_extra(), fleet.on_demand_extra()),
        ([0; 3], [0; 3])
    );
    assert_eq!(fleet.changes, 1);
}

#[test]
fn leaving_instances_are_replaced_at_once_in_the_zones_with_the_fewest() {
    let mut fleet = Fleet::observed([5, 3, 4]);
    fleet.set("a", ON_DEMAND, 4, State::Draining);
    assert_eq!(fleet.run_round(), [LossReason::Leaving]);
    // One is left in the first zone, with three and four in the others; afterwards each has four.
    assert_eq!(
        (fleet.preemptible_extra(), fleet.on_demand_extra()),
        ([3, 1, 0], [0; 3])
    );
}

#[test]
fn missing_instances_are_replaced_after_the_grace_period() {
    let mut fleet = Fleet::observed([5, 5, 5]);
    fleet.remove("b", ON_DEMAND, 1);
    fleet.wait(Duration::from_secs(3));
    assert_eq!(fleet.preemptible_extra(), [0; 3]);
    fleet.add("b", ON_DEMAND, 1);
    fleet.wait(LONGER_THAN_ANY_DELAY);
    assert_eq!((fleet.preemptible_extra(), fleet.changes), ([0; 3], 1));
    fleet.remove("b", ON_DEMAND, 1);
    fleet.wait(LONGER_THAN_ANY_DELAY);
    assert_eq!(fleet.preemptible_extra(), [0, 1, 0]);
}

#[test]
fn a_drained_zone_is_replaced_by_other_zones_until_it_returns() {
    let mut fleet = Fleet::observed([2, 2, 2]);
    fleet.drained.insert("b".into());
    assert_eq!(fleet.run_round(), [LossReason::ZoneDrained]);
    assert_eq!(fleet.preemptible_extra(), [1, 0, 1]);
    fleet.deliver();
    fleet.wait(LONGER_THAN_ANY_DELAY);
    assert_eq!(fleet.preemptible_extra(), [1, 0, 1]);
    fleet.drained.clear();
    fleet.wait(Duration::from_secs(5));
    assert_eq!(
        fleet.preemptible_extra(),
        [1, 0, 1],
        "replacements stay for the release delay"
    );
    fleet.wait(LONGER_THAN_ANY_DELAY);
    assert_eq!(fleet.preemptible_extra(), [0; 3]);
    assert_eq!(
        ZONES.map(|zone| fleet.desired_count(zone, ON_DEMAND).found),
        [2; 3]
    );
}

#[test]
fn reclaimed_replacements_are_reordered_in_another_zone() {
    let mut fleet = Fleet::observed([2, 2, 2]);
    fleet.drained.insert("b".into());
    fleet.run_round();
    fleet.deliver();
    fleet.wait(LONGER_THAN_ANY_DELAY);
    fleet.set("a", PREEMPTIBLE, 1, State::Reclaimed);
    fleet.run_round();
    assert_eq!(fleet.preemptible_extra(), [0, 0, 2]);
    assert_eq!(fleet.on_demand_extra(), [0; 3]);
}

#[test]
fn replacements_that_vanish_without_notice_move_with_pending_ones() {
    let mut fleet = Fleet::observed([6, 4, 4]);
    fleet.set("a", ON_DEMAND, 4, State::Draining);
    fleet.run_round();
    assert_eq!(fleet.preemptible_extra(), [2, 1, 1]);
    fleet.add("a", PREEMPTIBLE, 1);
    fleet.wait(Duration::from_secs(2));
    fleet.remove("a", PREEMPTIBLE, 1);
    assert_eq!(fleet.run_round(), [LossReason::Reclaimed]);
    assert_eq!(fleet.preemptible_extra(), [0, 2, 2]);
}

#[test]
fn a_crashed_replacement_is_reordered_in_its_zone() {
    let mut fleet = Fleet::observed([4, 4, 4]);
    fleet.set("b", ON_DEMAND, 4, State::Draining);
    fleet.run_round();
    assert_eq!(fleet.preemptible_extra(), [0, 4, 0]);
    fleet.add("b", PREEMPTIBLE, 2);
    fleet.wait(Duration::from_secs(2));
    fleet.remove("b", PREEMPTIBLE, 1);
    assert_eq!(fleet.run_round(), []);
    assert_eq!(
        fleet.preemptible_extra(),
        [0, 4, 0],
        "pending replacements stay as well"
    );
    let again = || fleet.planner.pools_to_reorder(&fleet.drained, fleet.now);
    assert_eq!(again(), [pool("b", PREEMPTIBLE)]);
    fleet.deliver();
    fleet.run_round();
    assert_eq!(
        fleet.planner.pools_to_reorder(&fleet.drained, fleet.now),
        []
    );
}

#[test]
fn a_zone_without_available_capacity_is_excluded_from_placement() {
    let mut fleet = Fleet::observed([2, 2, 2]);
    fleet.set("b", ON_DEMAND, 2, State::Draining);
    fleet.run_round();
    assert_eq!(fleet.preemptible_extra(), [0, 2, 0]);
    let now = fleet.now;
    fleet.planner.mark_unavailable(&pool("b", PREEMPTIBLE), now);
    fleet.run_round();
    assert_eq!(fleet.preemptible_extra(), [1, 0, 1]);
}

#[test]
fn on_demand_instances_are_ordered_if_no_preemptible_ones_are_available() {
    let mut fleet = Fleet::observed([2, 2, 2]);
    fleet.set("b", ON_DEMAND, 1, State::Draining);
    fleet.run_round();
    for zone in ZONES {
        let now = fleet.now;
        fleet
            .planner
            .mark_unavailable(&pool(zone, PREEMPTIBLE), now);
    }
    fleet.run_round();
    assert_eq!(fleet.preemptible_extra(), [0; 3]);
    // None in the zone with missing on-demand instances, where the order's total could be too low.
    assert_eq!(fleet.on_demand_extra(), [1, 0, 0]);
    assert_eq!(fleet.desired_count("a", ON_DEMAND).total(), 3);
}

#[test]
fn on_demand_instances_are_ordered_if_preemptible_ones_are_not_offered() {
    let mut fleet = Fleet::new([2, 2, 2], None);
    fleet.wait(LONGER_THAN_ANY_DELAY);
    fleet.drained.insert("c".into());
    fleet.run_round();
    assert_eq!(
        (fleet.preemptible_extra(), fleet.on_demand_extra()),
        ([0; 3], [1, 1, 0])
    );
}

#[test]
fn orders_respect_the_maximum_per_zone() {
    let mut fleet = Fleet::observed([MAX_INSTANCES, MAX_INSTANCES - 1, MAX_INSTANCES - 2]);
    fleet.drained.insert("a".into());
    fleet.run_round();
    assert_eq!(fleet.preemptible_extra(), [0, 1, 2]);
}

#[test]
fn found_preemptible_instances_are_reordered_in_their_zone() {
    let mut fleet = Fleet::new([3, 3, 3], Some(0.2));
    fleet.add("b", PREEMPTIBLE, 2);
    fleet.wait(LONGER_THAN_ANY_DELAY);
    fleet.set("b", PREEMPTIBLE, 2, State::Reclaimed);
    fleet.run_round();
    assert_eq!(fleet.preemptible_extra(), [1, 0, 1]);
    fleet.remove("b", PREEMPTIBLE, 2);
    fleet.wait(LONGER_THAN_ANY_DELAY);
    let again = fleet.planner.pools_to_reorder(&fleet.drained, fleet.now);
    assert!(again.contains(&pool("b", PREEMPTIBLE)));
    assert_eq!(fleet.desired_count("b", PREEMPTIBLE).found, 2);
}

#[test]
fn nothing_is_ordered_while_the_fleet_is_unknown() {
    let mut fleet = Fleet::observed([5, 5, 5]);
    fleet.planner.discard_observations();
    // Records expired during an outage of the store and return later.
    fleet.remove("a", ON_DEMAND, 5);
    fleet.wait(Duration::from_secs(2));
    fleet.add("a", ON_DEMAND, 5);
    fleet.wait(LONGER_THAN_ANY_DELAY);
    assert_eq!((fleet.preemptible_extra(), fleet.changes), ([0; 3], 1));
}

#[test]
fn a_rolling_replacement_does_not_raise_the_found_count() {
    let mut fleet = Fleet::observed([5, 5, 5]);
    for _ in 0..6 {
        fleet.add("a", ON_DEMAND, 1);
        fleet.wait(Duration::from_secs(2));
        fleet.remove("a", ON_DEMAND, 1);
        fleet.wait(Duration::from_secs(1));
    }
    assert_eq!(
        (fleet.desired_count("a", ON_DEMAND).found, fleet.changes),
        (5, 1)
    );
    fleet.add("a", ON_DEMAND, 2);
    fleet.wait(LONGER_THAN_ANY_DELAY);
    assert_eq!(
        fleet.desired_count("a", ON_DEMAND).found,
        7,
        "instances that stay count as found"
    );
}

#[test]
fn ordered_instances_never_count_as_found() {
    let mut fleet = Fleet::new([2, 2, 2], None);
    fleet.wait(LONGER_THAN_ANY_DELAY);
    fleet.drained.insert("c".into());
    fleet.run_round();
    fleet.deliver();
    fleet.wait(LONGER_THAN_ANY_DELAY);
    // A later holder knows which orders were sent, but not when.
    let desired_capacity = fleet.planner.desired_capacity().clone();
    fleet.planner = CapacityPlanner::new(desired_capacity, fleet.now);
    fleet.wait(LONGER_THAN_ANY_DELAY);
    fleet.drained.clear();
    // Released instances stop some seconds later.
    fleet.wait(LONGER_THAN_ANY_DELAY);
    assert_eq!(fleet.on_demand_extra(), [0; 3]);
    fleet.wait(Duration::from_secs(3));
    fleet.deliver();
    fleet.wait(LONGER_THAN_ANY_DELAY);
    assert_eq!(
        ZONES.map(|zone| fleet.desired_count(zone, ON_DEMAND).found),
        [2; 3]
    );
    assert_eq!(fleet.on_demand_extra(), [0; 3]);
}

/// Step of the property test.
#[derive(Debug, Clone)]
enum Step {
    Reclaim(usize, bool, usize),
    Return(usize, u32),
    Vanish(usize, bool, usize),
    Drain(usize),
    Undrain(usize),
    MarkUnavailable(usize, bool),
    DiscardObservations,
    Deliver,
    NewHolder,
    Wait(u64),
}

fn kind(is_preemptible: bool) -> InstanceKind {
    if is_preemptible {
        PREEMPTIBLE
    } else {
        ON_DEMAND
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        (0..3_usize, any::<bool>(), 1..4_usize).prop_map(|(z, k, n)| Step::Reclaim(z, k, n)),
        (0..3_usize, 1..4_u32).prop_map(|(z, n)| Step::Return(z, n)),
        (0..3_usize, any::<bool>(), 1..4_usize).prop_map(|(z, k, n)| Step::Vanish(z, k, n)),
        (0..3_usize).prop_map(Step::Drain),
        (0..3_usize).prop_map(Step::Undrain),
        (0..3_usize, any::<bool>()).prop_map(|(z, k)| Step::MarkUnavailable(z, k)),
        Just(Step::DiscardObservations),
        Just(Step::Deliver),
        Just(Step::NewHolder),
        (1..24_u64).prop_map(Step::Wait),
    ];
    proptest::collection::vec(step, 1..40)
}

impl Fleet {
    fn apply_step(&mut self, step: &Step) {
        match step {
            Step::Reclaim(zone, preemptible, count) => {
                self.set(ZONES[*zone], kind(*preemptible), *count, State::Reclaimed);
            }
            Step::Return(zone, count) => {
                let running = self.ids(ZONES[*zone], ON_DEMAND).len() as u32;
                let missing = self
                    .desired_count(ZONES[*zone], ON_DEMAND)
                    .found
                    .saturating_sub(running);
                self.add(ZONES[*zone], ON_DEMAND, missing.min(*count));
            }
            Step::Vanish(zone, preemptible, count) => {
                self.remove(ZONES[*zone], kind(*preemptible), *count);
            }
            Step::Drain(zone) => {
                self.drained.insert(ZONES[*zone].into());
            }
            Step::Undrain(zone) => {
                self.drained.remove(ZONES[*zone]);
            }
            Step::MarkUnavailable(zone, preemptible) => {
                let pool = pool(ZONES[*zone], kind(*preemptible));
                self.planner.mark_unavailable(&pool, self.now);
            }
            Step::DiscardObservations => self.planner.discard_observations(),
            Step::Deliver => self.deliver(),
            Step::NewHolder => {
                let desired_capacity = self.planner.desired_capacity().clone();
                self.planner = CapacityPlanner::new(desired_capacity, self.now);
            }
            Step::Wait(rounds) => (0..*rounds).for_each(|_| {
                self.run_round();
                self.assert_bounds();
            }),
        }
    }

    fn assert_bounds(&self) {
        let mut extra = 0;
        let mut found = 0;
        for zone in ZONES {
            let (on_demand, preemptible) = (
                self.desired_count(zone, ON_DEMAND),
                self.desired_count(zone, PREEMPTIBLE),
            );
            let all = on_demand.total() + preemptible.total();
            let all_found = on_demand.found + preemptible.found;
            assert!(
                all <= MAX_INSTANCES.max(all_found),
                "zone {zone} has {all} desired instances"
            );
            assert!(all >= all_found);
            extra += on_demand.extra + preemptible.extra;
            found += all_found;
        }
        assert!(
            extra <= found,
            "{extra} extra instances for {found} found ones"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Bounds hold for any sequence of losses, refusals, drains and restarts, and a complete fleet
    /// ends without extra instances.
    #[test]
    fn bounds_hold_and_a_complete_fleet_stays_unchanged(steps in steps()) {
        let mut fleet = Fleet::observed([5, 2, 4]);
        for step in &steps {
            fleet.apply_step(step);
            if let Step::Drain(zone) = step {
                fleet.run_round();
                let zone = ZONES[*zone];
                let known = fleet.planner.desired_capacity();
                let has_no_extra = [ON_DEMAND, PREEMPTIBLE]
                    .iter()
                    .all(|kind| known.get(&pool(zone, *kind)).extra == 0);
                // Nothing is ordered in a drained zone while the fleet is known.
                if !steps.iter().any(|step| matches!(step, Step::DiscardObservations | Step::NewHolder)) {
                    prop_assert!(has_no_extra);
                }
            }
        }
        fleet.drained.clear();
        fleet.instances.clear();
        for zone in ZONES {
            let found = fleet.desired_count(zone, ON_DEMAND).found;
            fleet.add(zone, ON_DEMAND, found);
            let found = fleet.desired_count(zone, PREEMPTIBLE).found;
            fleet.add(zone, PREEMPTIBLE, found);
        }
        fleet.wait(LONGER_THAN_ANY_DELAY * 2);
        prop_assert_eq!((fleet.preemptible_extra(), fleet.on_demand_extra()), ([0; 3], [0; 3]));
        let changes = fleet.changes;
        fleet.wait(LONGER_THAN_ANY_DELAY * 2);
        prop_assert_eq!(fleet.changes, changes);
    }

    /// Instances that return within the grace period cause no orders.
    #[test]
    fn instances_that_return_in_time_cause_no_orders(rounds in proptest::collection::vec((0..3_usize, 1..14_u32), 1..30)) {
        let mut fleet = Fleet::observed([5, 5, 5]);
        for (zone, rounds) in rounds {
            fleet.remove(ZONES[zone], ON_DEMAND, 1);
            fleet.wait(ROUND_INTERVAL * rounds);
            fleet.add(ZONES[zone], ON_DEMAND, 1);
            fleet.wait(ROUND_INTERVAL);
        }
        prop_assert_eq!(fleet.changes, 1);
    }
}

#[test]
fn an_order_is_repeated_until_accepted_and_after_a_late_execution_window() {
    let (a, start) = (pool("a", PREEMPTIBLE), Instant::now());
    let pause = Duration::from_secs(6);
    let lost = || Err(CapacityOrderError::Unknown("no answer".to_owned()));
    let mut outbox = Outbox::default();
    outbox.set_desired(&a, 6, start);
    assert_eq!(outbox.due(start), [(a.clone(), 6)]);
    outbox.record_outcome(&a, 6, &lost(), pause, start);
    outbox.set_desired(&a, 3, start);
    outbox.record_outcome(&a, 3, &Ok(()), pause, start);
    assert!(outbox.due(start + pause).is_empty());
    // The order for six may have taken effect in between.
    assert_eq!(outbox.due(start + LONGER_THAN_ANY_DELAY), [(a.clone(), 3)]);
    outbox.record_outcome(&a, 3, &Ok(()), pause, start + LONGER_THAN_ANY_DELAY);
    assert!(outbox.due(start + LONGER_THAN_ANY_DELAY * 9).is_empty());
}

#[test]
fn accepting_a_superseded_count_leaves_the_newer_order_due() {
    let (a, start) = (pool("a", PREEMPTIBLE), Instant::now());
    let mut outbox = Outbox::default();
    outbox.set_desired(&a, 6, start);
    outbox.set_desired(&a, 2, start);
    outbox.record_outcome(&a, 6, &Ok(()), LONGER_THAN_ANY_DELAY, start);
    assert_eq!(outbox.due(start), [(a, 2)]);
}

#[test]
fn rejected_orders_are_retried_with_backoff() {
    let (a, start) = (pool("a", PREEMPTIBLE), Instant::now());
    let mut outbox = Outbox::default();
    outbox.set_desired(&a, 6, start);
    let mut now = start;
    let mut pauses = Vec::new();
    for _ in 0..8 {
        let refused = Err(CapacityOrderError::Rejected("429".to_owned()));
        outbox.record_outcome(&a, 6, &refused, LONGER_THAN_ANY_DELAY, now);
        let before = now;
        while outbox.due(now).is_empty() {
            now += Duration::from_millis(50);
        }
        pauses.push(now - before);
    }
    assert!(pauses.is_sorted() && pauses[0] < pauses[7]);
    assert!(pauses[7] <= Duration::from_secs(5));
}

#[test]
fn stored_capacity_is_readable_across_versions() {
    let mut desired_capacity = DesiredCapacity::default();
    let count = DesiredCount {
        found: 5,
        extra: 2,
        is_ordered: true,
    };
    desired_capacity.set(&pool("a", PREEMPTIBLE), count);
    let text = serde_json::to_string(&desired_capacity).unwrap();
    assert_eq!(
        serde_json::from_str::<DesiredCapacity>(&text).unwrap(),
        desired_capacity
    );
    let later = r#"{"services":{"model":{"a":{"preemptible":{"found":5,"of_later":1},"of_later":{}}}},"of_later":[]}"#;
    let read: DesiredCapacity = serde_json::from_str(later).unwrap();
    assert_eq!(read.get(&pool("a", PREEMPTIBLE)).total(), 5);
}

//! What is wanted of capacity: where losses are replaced, within which bounds, and on what knowledge.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use ladderstage_clock::Instant;
use ladderstage_front::backend::DiscoveredInstance;
use ladderstage_front::capacity::{
    CapacityOrderError, CapacityPlanner, CountWanted, FleetNow, InstanceKind, LossReason, Outbox,
    InstancePool, WantedCapacity,
};
use ladderstage_front::config::{ScalingSpec, ServiceSpec};
use proptest::prelude::*;

const SERVICE: &str = "model";
const ZONES: [&str; 3] = ["a", "b", "c"];
const MOST: u32 = 8;

/// Longer than anything that the planner waits for.
const LONG: Duration = Duration::from_secs(20);

/// Between looks.
const LOOK: Duration = Duration::from_millis(250);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Serving,
    Draining,
    /// It says when it will be taken away.
    TakenAway,
}

/// A fleet that the planner looks at, look by look.
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
            max_per_zone: MOST,
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
    /// Kept instances in each zone that the planner has seen for a while.
    fn settled(by_zone: [u32; 3]) -> Self {
        let mut fleet = Self::new(by_zone, Some(0.2));
        fleet.wait(LONG);
        fleet
    }

    fn new(by_zone: [u32; 3], preemptible_price: Option<f64>) -> Self {
        let now = Instant::now();
        let mut fleet = Self {
            planner: CapacityPlanner::new(WantedCapacity::default(), now),
            now,
            services: BTreeMap::from([(SERVICE.to_owned(), spec(preemptible_price))]),
            instances: BTreeMap::new(),
            drained: BTreeSet::new(),
            changes: 0,
        };
        for (zone, count) in ZONES.into_iter().zip(by_zone) {
            fleet.add(zone, InstanceKind::Kept, count);
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

    /// Changes the state of the first instances of a zone.
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
                leaves_ms: (*state == State::TakenAway).then_some(2_000),
                versions: BTreeMap::new(),
            })
            .collect()
    }

    /// One look; what it wants is fixed at once. Returns the reasons of new losses.
    fn look(&mut self) -> Vec<LossReason> {
        self.now += LOOK;
        let instances = self.discovered();
        let plan = self.planner.plan(
            FleetNow {
                services: &self.services,
                instances: &instances,
                drained: &self.drained,
            },
            self.now,
        );
        if let Some(wanted) = plan.wanted {
            self.changes += 1;
            self.planner.accept(wanted, self.now);
        }
        plan.losses.iter().map(|news| news.reason).collect()
    }

    fn wait(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.look();
        }
    }

    fn wanted(&self, zone: &str, kind: InstanceKind) -> CountWanted {
        self.planner.wanted().get(&pool(zone, kind))
    }

    /// Preemptible instances ordered by zone.
    fn extra(&self) -> [u32; 3] {
        ZONES.map(|zone| self.wanted(zone, InstanceKind::Preemptible).extra)
    }

    fn kept_extra(&self) -> [u32; 3] {
        ZONES.map(|zone| self.wanted(zone, InstanceKind::Kept).extra)
    }

    /// Brings what was ordered.
    fn deliver(&mut self) {
        for zone in ZONES {
            for kind in [InstanceKind::Kept, InstanceKind::Preemptible] {
                let wanted = self.wanted(zone, kind).desired();
                let there = self.ids(zone, kind).len() as u32;
                self.add(zone, kind, wanted.saturating_sub(there));
                self.remove(zone, kind, there.saturating_sub(wanted) as usize);
            }
        }
    }
}

const KEPT: InstanceKind = InstanceKind::Kept;
const PREEMPTIBLE: InstanceKind = InstanceKind::Preemptible;

#[test]
fn a_fleet_that_lost_nothing_is_left_as_found() {
    let mut fleet = Fleet::settled([5, 5, 5]);
    assert_eq!(fleet.changes, 1, "what was found is written down once");
    assert_eq!(fleet.wanted("a", KEPT).found, 5);
    fleet.wait(LONG);
    assert_eq!((fleet.extra(), fleet.kept_extra()), ([0; 3], [0; 3]));
    assert_eq!(fleet.changes, 1);
}

#[test]
fn instances_that_leave_are_replaced_at_once_where_the_fewest_are() {
    let mut fleet = Fleet::settled([5, 3, 4]);
    fleet.set("a", KEPT, 4, State::Draining);
    assert_eq!(fleet.look(), [LossReason::Leaving]);
    // One is left in the first zone beside three and four in the others; then all have four.
    assert_eq!((fleet.extra(), fleet.kept_extra()), ([3, 1, 0], [0; 3]));
}

#[test]
fn a_crashed_instance_is_left_to_the_platform_and_a_missing_one_replaced() {
    let mut fleet = Fleet::settled([5, 5, 5]);
    fleet.remove("b", KEPT, 1);
    fleet.wait(Duration::from_secs(3));
    assert_eq!(fleet.extra(), [0; 3]);
    fleet.add("b", KEPT, 1);
    fleet.wait(LONG);
    assert_eq!((fleet.extra(), fleet.changes), ([0; 3], 1));
    fleet.remove("b", KEPT, 1);
    fleet.wait(LONG);
    assert_eq!(fleet.extra(), [0, 1, 0]);
}

#[test]
fn a_drained_zone_is_replaced_in_the_others_until_it_is_back() {
    let mut fleet = Fleet::settled([2, 2, 2]);
    fleet.drained.insert("b".into());
    assert_eq!(fleet.look(), [LossReason::ZoneDrained]);
    assert_eq!(fleet.extra(), [1, 0, 1]);
    fleet.deliver();
    fleet.wait(LONG);
    assert_eq!(fleet.extra(), [1, 0, 1]);
    fleet.drained.clear();
    fleet.wait(Duration::from_secs(5));
    assert_eq!(fleet.extra(), [1, 0, 1], "its instances are slow at first");
    fleet.wait(LONG);
    assert_eq!(fleet.extra(), [0; 3]);
    assert_eq!(ZONES.map(|zone| fleet.wanted(zone, KEPT).found), [2; 3]);
}

#[test]
fn replacements_that_are_taken_away_while_another_zone_is_drained_go_elsewhere() {
    let mut fleet = Fleet::settled([2, 2, 2]);
    fleet.drained.insert("b".into());
    fleet.look();
    fleet.deliver();
    fleet.wait(LONG);
    fleet.set("a", PREEMPTIBLE, 1, State::TakenAway);
    fleet.look();
    assert_eq!(fleet.extra(), [0, 0, 2]);
    assert_eq!(fleet.kept_extra(), [0; 3]);
}

#[test]
fn replacements_that_vanish_without_a_word_go_elsewhere_with_those_still_to_come() {
    let mut fleet = Fleet::settled([6, 4, 4]);
    fleet.set("a", KEPT, 4, State::Draining);
    fleet.look();
    assert_eq!(fleet.extra(), [2, 1, 1]);
    fleet.add("a", PREEMPTIBLE, 1);
    fleet.wait(Duration::from_secs(2));
    fleet.remove("a", PREEMPTIBLE, 1);
    assert_eq!(fleet.look(), [LossReason::TakenAway]);
    assert_eq!(fleet.extra(), [0, 2, 2]);
}

#[test]
fn a_replacement_that_crashes_beside_others_is_ordered_again_where_it_was() {
    let mut fleet = Fleet::settled([4, 4, 4]);
    fleet.set("b", KEPT, 4, State::Draining);
    fleet.look();
    assert_eq!(fleet.extra(), [0, 4, 0]);
    fleet.add("b", PREEMPTIBLE, 2);
    fleet.wait(Duration::from_secs(2));
    fleet.remove("b", PREEMPTIBLE, 1);
    assert_eq!(fleet.look(), []);
    assert_eq!(fleet.extra(), [0, 4, 0], "those still to come stay as well");
    let again = || fleet.planner.to_order_again(&fleet.drained, fleet.now);
    assert_eq!(again(), [pool("b", PREEMPTIBLE)]);
    fleet.deliver();
    fleet.look();
    assert_eq!(fleet.planner.to_order_again(&fleet.drained, fleet.now), []);
}

#[test]
fn a_zone_with_none_to_be_had_is_left_out_and_tried_again_later() {
    let mut fleet = Fleet::settled([2, 2, 2]);
    fleet.set("b", KEPT, 2, State::Draining);
    fleet.look();
    assert_eq!(fleet.extra(), [0, 2, 0]);
    let now = fleet.now;
    fleet.planner.note_refused(&pool("b", PREEMPTIBLE), now);
    fleet.look();
    assert_eq!(fleet.extra(), [1, 0, 1]);
}

#[test]
fn kept_instances_are_ordered_where_no_preemptible_ones_can_be_had() {
    let mut fleet = Fleet::settled([2, 2, 2]);
    fleet.set("b", KEPT, 1, State::Draining);
    fleet.look();
    for zone in ZONES {
        let now = fleet.now;
        fleet.planner.note_refused(&pool(zone, PREEMPTIBLE), now);
    }
    fleet.look();
    assert_eq!(fleet.extra(), [0; 3]);
    // Not in the zone whose kept instances are not whole: the order's count could be too low there.
    assert_eq!(fleet.kept_extra(), [1, 0, 0]);
    assert_eq!(fleet.wanted("a", KEPT).desired(), 3);
}

#[test]
fn where_nothing_is_cheaper_kept_instances_replace_kept_ones() {
    let mut fleet = Fleet::new([2, 2, 2], None);
    fleet.wait(LONG);
    fleet.drained.insert("c".into());
    fleet.look();
    assert_eq!((fleet.extra(), fleet.kept_extra()), ([0; 3], [1, 1, 0]));
}

#[test]
fn no_more_are_ordered_than_a_zone_may_hold() {
    let mut fleet = Fleet::settled([MOST, MOST - 1, MOST - 2]);
    fleet.drained.insert("a".into());
    fleet.look();
    assert_eq!(fleet.extra(), [0, 1, 2]);
}

#[test]
fn preemptible_instances_that_were_found_are_ordered_again_in_their_zone() {
    let mut fleet = Fleet::new([3, 3, 3], Some(0.2));
    fleet.add("b", PREEMPTIBLE, 2);
    fleet.wait(LONG);
    fleet.set("b", PREEMPTIBLE, 2, State::TakenAway);
    fleet.look();
    assert_eq!(fleet.extra(), [1, 0, 1]);
    fleet.remove("b", PREEMPTIBLE, 2);
    fleet.wait(LONG);
    let again = fleet.planner.to_order_again(&fleet.drained, fleet.now);
    assert!(again.contains(&pool("b", PREEMPTIBLE)));
    assert_eq!(fleet.wanted("b", PREEMPTIBLE).found, 2);
}

#[test]
fn what_is_not_known_orders_nothing() {
    let mut fleet = Fleet::settled([5, 5, 5]);
    fleet.planner.note_unknown();
    // Records lapsed while the store was away, and come back one after the other.
    fleet.remove("a", KEPT, 5);
    fleet.wait(Duration::from_secs(2));
    fleet.add("a", KEPT, 5);
    fleet.wait(LONG);
    assert_eq!((fleet.extra(), fleet.changes), ([0; 3], 1));
}

#[test]
fn instances_that_are_replaced_one_by_one_are_not_taken_for_more() {
    let mut fleet = Fleet::settled([5, 5, 5]);
    for _ in 0..6 {
        fleet.add("a", KEPT, 1);
        fleet.wait(Duration::from_secs(2));
        fleet.remove("a", KEPT, 1);
        fleet.wait(Duration::from_secs(1));
    }
    assert_eq!((fleet.wanted("a", KEPT).found, fleet.changes), (5, 1));
    fleet.add("a", KEPT, 2);
    fleet.wait(LONG);
    assert_eq!(fleet.wanted("a", KEPT).found, 7, "these stay");
}

#[test]
fn ordered_instances_are_never_taken_for_found_ones() {
    let mut fleet = Fleet::new([2, 2, 2], None);
    fleet.wait(LONG);
    fleet.drained.insert("c".into());
    fleet.look();
    fleet.deliver();
    fleet.wait(LONG);
    // A later holder knows what was ordered, and not when.
    let wanted = fleet.planner.wanted().clone();
    fleet.planner = CapacityPlanner::new(wanted, fleet.now);
    fleet.wait(LONG);
    fleet.drained.clear();
    // Given back, and leaving only some seconds later.
    fleet.wait(LONG);
    assert_eq!(fleet.kept_extra(), [0; 3]);
    fleet.wait(Duration::from_secs(3));
    fleet.deliver();
    fleet.wait(LONG);
    assert_eq!(ZONES.map(|zone| fleet.wanted(zone, KEPT).found), [2; 3]);
    assert_eq!(fleet.kept_extra(), [0; 3]);
}

/// What happens to the fleet of the property test.
#[derive(Debug, Clone)]
enum Step {
    Leave(usize, bool, usize),
    Return(usize, u32),
    Vanish(usize, bool, usize),
    Drain(usize),
    Undrain(usize),
    Refuse(usize, bool),
    Forget,
    Deliver,
    NewHolder,
    Wait(u64),
}

fn kind(is_preemptible: bool) -> InstanceKind {
    if is_preemptible { PREEMPTIBLE } else { KEPT }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        (0..3_usize, any::<bool>(), 1..4_usize).prop_map(|(z, k, n)| Step::Leave(z, k, n)),
        (0..3_usize, 1..4_u32).prop_map(|(z, n)| Step::Return(z, n)),
        (0..3_usize, any::<bool>(), 1..4_usize).prop_map(|(z, k, n)| Step::Vanish(z, k, n)),
        (0..3_usize).prop_map(Step::Drain),
        (0..3_usize).prop_map(Step::Undrain),
        (0..3_usize, any::<bool>()).prop_map(|(z, k)| Step::Refuse(z, k)),
        Just(Step::Forget),
        Just(Step::Deliver),
        Just(Step::NewHolder),
        (1..24_u64).prop_map(Step::Wait),
    ];
    proptest::collection::vec(step, 1..40)
}

impl Fleet {
    fn play(&mut self, step: &Step) {
        match step {
            Step::Leave(zone, preemptible, count) => {
                self.set(ZONES[*zone], kind(*preemptible), *count, State::TakenAway);
            }
            Step::Return(zone, count) => {
                let there = self.ids(ZONES[*zone], KEPT).len() as u32;
                let room = self.wanted(ZONES[*zone], KEPT).found.saturating_sub(there);
                self.add(ZONES[*zone], KEPT, room.min(*count));
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
            Step::Refuse(zone, preemptible) => {
                let pool = pool(ZONES[*zone], kind(*preemptible));
                self.planner.note_refused(&pool, self.now);
            }
            Step::Forget => self.planner.note_unknown(),
            Step::Deliver => self.deliver(),
            Step::NewHolder => {
                let wanted = self.planner.wanted().clone();
                self.planner = CapacityPlanner::new(wanted, self.now);
            }
            Step::Wait(looks) => (0..*looks).for_each(|_| {
                self.look();
                self.check();
            }),
        }
    }

    fn check(&self) {
        let mut extra = 0;
        let mut found = 0;
        for zone in ZONES {
            let (kept, preemptible) = (self.wanted(zone, KEPT), self.wanted(zone, PREEMPTIBLE));
            let all = kept.desired() + preemptible.desired();
            let all_found = kept.found + preemptible.found;
            assert!(all <= MOST.max(all_found), "{zone} is to hold {all}");
            assert!(all >= all_found);
            extra += kept.extra + preemptible.extra;
            found += all_found;
        }
        assert!(extra <= found, "{extra} ordered in place of {found}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever is lost, refused, forgotten or drained, bounds are kept, and a fleet that is whole again is left as found.
    #[test]
    fn bounds_hold_and_a_whole_fleet_is_left_as_found(steps in steps()) {
        let mut fleet = Fleet::settled([5, 2, 4]);
        for step in &steps {
            fleet.play(step);
            if let Step::Drain(zone) = step {
                fleet.look();
                let zone = ZONES[*zone];
                let known = fleet.planner.wanted();
                let is_settled = [KEPT, PREEMPTIBLE]
                    .iter()
                    .all(|kind| known.get(&pool(zone, *kind)).extra == 0);
                // Nothing is ordered into a drained zone once it is known what is there.
                if !steps.iter().any(|step| matches!(step, Step::Forget | Step::NewHolder)) {
                    prop_assert!(is_settled);
                }
            }
        }
        fleet.drained.clear();
        fleet.instances.clear();
        for zone in ZONES {
            let found = fleet.wanted(zone, KEPT).found;
            fleet.add(zone, KEPT, found);
            let found = fleet.wanted(zone, PREEMPTIBLE).found;
            fleet.add(zone, PREEMPTIBLE, found);
        }
        fleet.wait(LONG * 2);
        prop_assert_eq!((fleet.extra(), fleet.kept_extra()), ([0; 3], [0; 3]));
        let changes = fleet.changes;
        fleet.wait(LONG * 2);
        prop_assert_eq!(fleet.changes, changes);
    }

    /// A fleet whose instances come and go by themselves within the time of a crash is left as it is.
    #[test]
    fn instances_that_go_down_and_up_order_nothing(looks in proptest::collection::vec((0..3_usize, 1..14_u32), 1..30)) {
        let mut fleet = Fleet::settled([5, 5, 5]);
        for (zone, looks) in looks {
            fleet.remove(ZONES[zone], KEPT, 1);
            fleet.wait(LOOK * looks);
            fleet.add(ZONES[zone], KEPT, 1);
            fleet.wait(LOOK);
        }
        prop_assert_eq!(fleet.changes, 1);
    }
}

#[test]
fn an_order_is_sent_until_it_is_answered_and_once_more_after_one_that_may_come_late() {
    let (a, start) = (pool("a", PREEMPTIBLE), Instant::now());
    let pause = Duration::from_secs(6);
    let lost = || Err(CapacityOrderError::Unknown("no answer".to_owned()));
    let mut outbox = Outbox::default();
    outbox.want(&a, 6, start);
    assert_eq!(outbox.due(start), [(a.clone(), 6)]);
    outbox.note(&a, 6, &lost(), pause, start);
    outbox.want(&a, 3, start);
    outbox.note(&a, 3, &Ok(()), pause, start);
    assert!(outbox.due(start + pause).is_empty());
    // The order for six may have been carried out in between.
    assert_eq!(outbox.due(start + LONG), [(a.clone(), 3)]);
    outbox.note(&a, 3, &Ok(()), pause, start + LONG);
    assert!(outbox.due(start + LONG * 9).is_empty());
}

#[test]
fn an_order_that_was_overtaken_by_a_newer_count_is_not_taken() {
    let (a, start) = (pool("a", PREEMPTIBLE), Instant::now());
    let mut outbox = Outbox::default();
    outbox.want(&a, 6, start);
    outbox.want(&a, 2, start);
    outbox.note(&a, 6, &Ok(()), LONG, start);
    assert_eq!(outbox.due(start), [(a, 2)]);
}

#[test]
fn orders_that_are_refused_come_again_after_pauses_that_grow() {
    let (a, start) = (pool("a", PREEMPTIBLE), Instant::now());
    let mut outbox = Outbox::default();
    outbox.want(&a, 6, start);
    let mut now = start;
    let mut pauses = Vec::new();
    for _ in 0..8 {
        let refused = Err(CapacityOrderError::Refused("429".to_owned()));
        outbox.note(&a, 6, &refused, LONG, now);
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
fn what_the_store_holds_is_read_by_builds_that_know_less_or_more_of_it() {
    let mut wanted = WantedCapacity::default();
    let count = CountWanted {
        found: 5,
        extra: 2,
        is_ordered: true,
    };
    wanted.set(&pool("a", PREEMPTIBLE), count);
    let text = serde_json::to_string(&wanted).unwrap();
    assert_eq!(
        serde_json::from_str::<WantedCapacity>(&text).unwrap(),
        wanted
    );
    let later = r#"{"services":{"model":{"a":{"preemptible":{"found":5,"of_later":1},"of_later":{}}}},"of_later":[]}"#;
    let read: WantedCapacity = serde_json::from_str(later).unwrap();
    assert_eq!(read.get(&pool("a", PREEMPTIBLE)).desired(), 5);
}

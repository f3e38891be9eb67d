//! Tests which instances load weights. The load is a fleet of which the work needs a small part.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ladderstage_front::orders::{
    Assignment, FleetInstance, ModelDemand, SpareInstance, WorkingSet, needed_slots, plan_round,
};
use proptest::prelude::*;

const ZONES: usize = 5;
const SLOTS: u32 = 6;

/// Items of a step, and of the next one that begins before its end.
const OPEN_ITEMS: u64 = 416;

fn demand(model: &str, newest: u64, open_items: Option<u64>) -> ModelDemand {
    ModelDemand {
        model: model.to_owned(),
        newest,
        since_announcement: Duration::from_secs(10),
        relative_work: 1.0,
        longest_events: 0,
        open_items,
    }
}

fn demands(newest: u64) -> Vec<ModelDemand> {
    ["a", "b", "c"]
        .map(|model| demand(model, newest, Some(OPEN_ITEMS)))
        .into()
}

fn spare(index: usize) -> SpareInstance {
    SpareInstance {
        id: format!("i-{index}"),
        zone: format!("zone-{}", index % ZONES),
        slots: SLOTS,
        lag: 0,
    }
}

/// A fleet without weights whose instances load at once what they are ordered to.
struct Fleet {
    versions: BTreeMap<String, BTreeMap<String, u64>>,
    in_use: WorkingSet,
    assignment: Assignment,
}

impl Fleet {
    fn new(size: usize) -> Self {
        let ids = (0..size).map(|index| spare(index).id);
        Self {
            versions: ids.map(|id| (id, BTreeMap::new())).collect(),
            in_use: WorkingSet::default(),
            assignment: Assignment::default(),
        }
    }

    /// Orders loads until none is needed, and returns their number.
    fn load_all(&mut self, demands: &[ModelDemand]) -> usize {
        let needed = needed_slots(demands);
        self.in_use.retain(|id| self.versions.contains_key(id));
        if self.in_use.lacks_slots(needed) {
            let spare = (0..self.versions.len()).map(spare);
            self.in_use.fill(needed, spare);
        }
        let mut loads = 0;
        loop {
            let instances = self.in_use.ids().map(|id| FleetInstance {
                id: id.to_owned(),
                versions: self.versions[id].clone(),
                requests_in_progress: 0,
                is_busy: false,
                event_interval_ms: None,
            });
            let instances: Vec<FleetInstance> = instances.collect();
            self.assignment.update(demands, &instances);
            let orders = plan_round(demands, &self.assignment, &instances, 0, 64, 64);
            if orders.is_empty() {
                return loads;
            }
            loads += orders.len();
            for order in orders {
                let versions = self
                    .versions
                    .get_mut(&order.instance)
                    .expect("in the fleet");
                versions.insert(order.model, order.version);
            }
        }
    }
}

/// Guards against a version that is loaded by the whole fleet: the number of loads follows the work.
#[test]
fn a_version_costs_as_many_loads_as_the_work_needs_at_any_fleet_size() {
    let loads = [2_000, 4_000].map(|size| {
        let mut fleet = Fleet::new(size);
        fleet.load_all(&demands(1));
        fleet.load_all(&demands(2))
    });
    assert_eq!(loads[0], loads[1]);
    let items = OPEN_ITEMS * 3;
    let slots = loads[0] as u64 * u64::from(SLOTS);
    assert!((items..=2 * items).contains(&slots), "{slots} slots");
}

/// Guards against a fleet that serves less because a part of it is left out.
#[test]
fn all_instances_are_in_use_where_the_work_needs_them() {
    let mut fleet = Fleet::new(200);
    assert_eq!(fleet.load_all(&demands(1)), 200);
}

/// The number of items is unknown if a front of an older build reports work without it.
#[test]
fn all_instances_are_in_use_while_the_work_is_unknown() {
    let mut fleet = Fleet::new(2_000);
    let mut demands = demands(1);
    demands[1].open_items = None;
    assert_eq!(fleet.load_all(&demands), 2_000);
}

/// Guards against a new order leader that loads weights on other instances than the former one.
#[test]
fn instances_with_weights_are_taken_first() {
    let mut in_use = WorkingSet::default();
    let with_weights = |index: usize| (200..300).contains(&index);
    let fleet = (0..1_000).map(|index| SpareInstance {
        lag: if with_weights(index) { 0 } else { 7 },
        ..spare(index)
    });
    in_use.fill(Some(100 * u64::from(SLOTS)), fleet);
    let expected: BTreeSet<String> = (200..300).map(|index| spare(index).id).collect();
    assert_eq!(
        in_use.ids().map(str::to_owned).collect::<BTreeSet<_>>(),
        expected
    );
}

proptest! {
    /// Lost instances are replaced, and the zones keep equal parts.
    #[test]
    fn lost_instances_are_replaced_in_their_zones(
        needed in 300_u64..3_000,
        lost_zone in 0..ZONES,
        lost_share in 1_usize..10,
    ) {
        let mut in_use = WorkingSet::default();
        let fleet = || (0..2_000).map(spare);
        in_use.fill(Some(needed), fleet());
        let before = in_use.ids().count();
        let zone = format!("zone-{lost_zone}");
        let is_lost = |one: &SpareInstance| {
            let index: usize = one.id[2..].parse().unwrap();
            one.zone == zone && index % lost_share == 0
        };
        let lost: BTreeSet<String> = fleet().filter(is_lost).map(|one| one.id).collect();
        in_use.retain(|id| !lost.contains(id));
        if in_use.lacks_slots(Some(needed)) {
            in_use.fill(Some(needed), fleet().filter(|one| !lost.contains(&one.id)));
        }
        prop_assert!(!in_use.lacks_slots(Some(needed)));
        prop_assert!(in_use.ids().count() <= before);
        prop_assert!(in_use.ids().all(|id| !lost.contains(id)));
    }
}

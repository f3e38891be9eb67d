//! Tests the plan of weight loads and the assignment of models to instances.

use std::collections::BTreeMap;
use std::time::Duration;

use ladderstage_front::orders::{
    Assignment, FleetInstance, ModelDemand, PlannedLoad, max_trades, plan_round,
};
use proptest::prelude::*;

fn demand(model: &str, newest: u64, announced_for_ms: u64) -> ModelDemand {
    ModelDemand {
        model: model.to_owned(),
        newest,
        since_announcement: Duration::from_millis(announced_for_ms),
        relative_work: 1.0,
        longest_events: 0,
        open_items: None,
    }
}

/// Plans the next order only.
fn plan(
    demands: &[ModelDemand],
    assignment: &Assignment,
    fleet: &[FleetInstance],
    loads_in_progress: usize,
    max_loads: usize,
) -> Option<PlannedLoad> {
    plan_round(demands, assignment, fleet, loads_in_progress, max_loads, 1).pop()
}

fn instance(id: &str, versions: &[(&str, u64)]) -> FleetInstance {
    let versions = versions
        .iter()
        .map(|(model, version)| ((*model).to_owned(), *version));
    FleetInstance {
        id: id.to_owned(),
        versions: versions.collect(),
        requests_in_progress: 0,
        is_busy: false,
        event_interval_ms: None,
    }
}

fn fleet(count: usize, version: u64) -> Vec<FleetInstance> {
    (0..count)
        .map(|n| instance(&format!("i-{n}"), &[("a", version), ("b", version)]))
        .collect()
}

fn counts(assignment: &Assignment, fleet: &[FleetInstance]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for one in fleet {
        let model = assignment
            .model(&one.id)
            .expect("each instance has a model");
        *counts.entry(model.to_owned()).or_insert(0) += 1;
    }
    counts
}

#[test]
fn instances_are_assigned_in_proportion_to_demand() {
    let fleet = fleet(9, 1);
    let mut larger = demand("b", 1, 0);
    larger.relative_work = 2.0;
    let mut assignment = Assignment::default();
    assignment.update(&[demand("a", 1, 0), larger], &fleet);
    let counts = counts(&assignment, &fleet);
    assert_eq!(counts["a"], 3);
    assert_eq!(counts["b"], 6);
}

#[test]
fn an_instance_keeps_its_model_when_others_come_and_go() {
    let demands = [demand("a", 1, 0), demand("b", 1, 0)];
    let mut fleet = fleet(8, 1);
    let mut assignment = Assignment::default();
    assignment.update(&demands, &fleet);
    let before = assignment.clone();
    fleet.remove(0);
    fleet.push(instance("i-new", &[("a", 1), ("b", 1)]));
    assignment.update(&demands, &fleet);
    for one in fleet.iter().filter(|one| one.id != "i-new") {
        assert_eq!(assignment.model(&one.id), before.model(&one.id));
    }
    let counts = counts(&assignment, &fleet);
    assert_eq!(counts["a"], 4);
    assert_eq!(counts["b"], 4);
}

/// Guards against a model without instances while the zone with all of its instances is drained.
#[test]
fn each_model_keeps_instances_while_a_zone_is_drained() {
    let demands = ["a", "b", "c", "d"].map(|model| demand(model, 5, 1_000));
    let full_fleet: Vec<FleetInstance> = (0..12)
        .map(|n| {
            let model = ["a", "b", "c", "d"][n / 3];
            instance(&format!("i-{n:02}"), &[(model, 5)])
        })
        .collect();
    let mut assignment = Assignment::default();
    assignment.update(&demands, &full_fleet);
    let before = assignment.clone();
    let remaining = &full_fleet[4..];
    for _ in 0..remaining.len() {
        assignment.update(&demands, remaining);
    }
    let model_counts = counts(&assignment, remaining);
    assert_eq!(model_counts.len(), 4, "{model_counts:?}");
    assert!(assignment.model("i-00").is_none());
    for _ in 0..full_fleet.len() {
        assignment.update(&demands, &full_fleet);
    }
    let model_counts = counts(&assignment, &full_fleet);
    assert!(
        model_counts.values().all(|count| (2..=4).contains(count)),
        "{model_counts:?}"
    );
    assert_eq!(assignment.model("i-00"), before.model("i-00"));
}

#[test]
fn a_new_leader_assigns_models_by_loaded_weights() {
    let demands = [demand("a", 5, 0), demand("b", 5, 0)];
    let found = [("i-0", 5, 2), ("i-1", 4, 2), ("i-2", 2, 5), ("i-3", 1, 4)];
    let fleet: Vec<_> = found
        .iter()
        .map(|(id, a, b)| instance(id, &[("a", *a), ("b", *b)]))
        .collect();
    let mut assignment = Assignment::default();
    assignment.update(&demands, &fleet);
    let models: Vec<_> = fleet
        .iter()
        .map(|one| assignment.model(&one.id).unwrap())
        .collect();
    assert_eq!(models, ["a", "a", "b", "b"]);
}

#[test]
fn a_version_waits_for_the_burst_unless_an_instance_is_unusable() {
    let fleet = fleet(2, 4);
    let mut assignment = Assignment::default();
    assignment.update(&[demand("a", 5, 100)], &fleet);
    assert_eq!(
        plan(&[demand("a", 5, 100)], &assignment, &fleet, 0, 2),
        None
    );
    let planned = plan(&[demand("a", 5, 500)], &assignment, &fleet, 0, 2).unwrap();
    assert_eq!(planned.version, 5);
    let planned = plan(&[demand("a", 6, 100)], &assignment, &fleet, 0, 2).unwrap();
    assert_eq!(planned.version, 6);
}

#[test]
fn nothing_is_planned_for_busy_instances_or_above_the_limit() {
    let mut fleet = fleet(2, 1);
    let demands = [demand("a", 3, 900)];
    let mut assignment = Assignment::default();
    assignment.update(&demands, &fleet);
    assert_eq!(plan(&demands, &assignment, &fleet, 2, 2), None);
    fleet[0].is_busy = true;
    let planned = plan(&demands, &assignment, &fleet, 1, 2).unwrap();
    assert_eq!(planned.instance, "i-1");
}

proptest! {
    /// Orders go only to instances of the model that lack the version, and eventually all have it.
    #[test]
    fn every_instance_of_a_model_gets_the_newest_version(
        count in 1usize..12,
        models in 1usize..4,
        newest in 2u64..9,
    ) {
        let names = ["a", "b", "c"];
        let demands: Vec<_> =
            names[..models].iter().map(|model| demand(model, newest, 1_000)).collect();
        let mut fleet: Vec<_> = (0..count)
            .map(|n| instance(&format!("i-{n}"), &[("a", 1), ("b", 1), ("c", 1)]))
            .collect();
        let mut assignment = Assignment::default();
        assignment.update(&demands, &fleet);
        for _ in 0..count {
            let planned = plan(&demands, &assignment, &fleet, 0, 2).expect("some instance is outdated");
            prop_assert_eq!(assignment.model(&planned.instance), Some(planned.model.as_str()));
            let loaded = fleet.iter_mut().find(|one| one.id == planned.instance).unwrap();
            prop_assert!(loaded.versions[&planned.model] < planned.version);
            loaded.versions.insert(planned.model, planned.version);
        }
        prop_assert_eq!(plan(&demands, &assignment, &fleet, 0, 2), None);
    }
}

/// Builds two models with two instances each; the second instance of each is slow.
fn fleet_with_slow_instances() -> Vec<FleetInstance> {
    let mut fleet = vec![
        instance("a-fast", &[("a", 2), ("b", 1)]),
        instance("a-slow", &[("a", 2), ("b", 1)]),
        instance("b-fast", &[("a", 1), ("b", 2)]),
        instance("b-slow", &[("a", 1), ("b", 2)]),
    ];
    for one in &mut fleet {
        let is_slow = one.id.ends_with("slow");
        one.event_interval_ms = Some(if is_slow { 51.0 } else { 39.0 });
    }
    fleet
}

fn assign(demands: &[ModelDemand], fleet: &[FleetInstance]) -> Assignment {
    let mut assignment = Assignment::default();
    assignment.update(demands, fleet);
    assert_eq!(assignment.model("a-slow"), Some("a"));
    assert_eq!(assignment.model("b-fast"), Some("b"));
    assignment
}

fn demands_with_lengths(a: u64, b: u64) -> Vec<ModelDemand> {
    let mut demands = vec![demand("a", 2, 0), demand("b", 2, 0)];
    demands[0].longest_events = a;
    demands[1].longest_events = b;
    demands
}

#[test]
fn the_model_with_the_longest_texts_gets_the_fast_instances() {
    let (demands, fleet) = (demands_with_lengths(189, 115), fleet_with_slow_instances());
    let mut assignment = assign(&demands, &fleet);
    let trade = assignment.trade(&demands, &fleet).expect("a trade");
    assert_eq!(
        (
            trade.model.as_str(),
            trade.slow.as_str(),
            trade.fast.as_str()
        ),
        ("a", "a-slow", "b-fast")
    );
    assert_eq!(assignment.model("b-fast"), Some("a"));
    assert_eq!(assignment.model("a-slow"), Some("b"));
    assignment.update(&demands, &fleet);
    assert_eq!(assignment.model("b-fast"), Some("a"), "the trade persists");
    assert_eq!(
        assignment.trade(&demands, &fleet),
        None,
        "each instance is traded once"
    );
}

#[test]
fn no_trade_without_benefit_or_for_temporary_slowness() {
    let fleet = fleet_with_slow_instances();
    for demands in [demands_with_lengths(115, 110), demands_with_lengths(189, 0)] {
        let mut assignment = assign(&demands, &fleet);
        assert_eq!(assignment.trade(&demands, &fleet), None);
    }
    let demands = demands_with_lengths(189, 115);
    let mut broken = fleet.clone();
    broken[1].event_interval_ms = Some(160.0);
    assert_eq!(assign(&demands, &broken).trade(&demands, &broken), None);
    let mut unknown = fleet;
    unknown[2].event_interval_ms = None;
    assert_eq!(assign(&demands, &unknown).trade(&demands, &unknown), None);
}

/// Builds fifteen instances for each model, every third of which is slow.
fn mixed_fleet(models: &[&str]) -> Vec<FleetInstance> {
    let mut fleet = Vec::new();
    for model in models {
        for index in 0..15 {
            let mut one = instance(&format!("{model}-{index:02}"), &[(model, 2)]);
            one.event_interval_ms = Some(if index % 3 == 0 { 64.0 } else { 49.5 });
            fleet.push(one);
        }
    }
    fleet
}

/// Guards against one trade per round for the model with the longest texts only, which left another
/// model with slow instances.
#[test]
fn all_models_with_long_texts_trade_away_slow_instances() {
    let models = ["a", "b", "c"];
    let mut demands: Vec<ModelDemand> = models.iter().map(|model| demand(model, 2, 0)).collect();
    for (demand, longest) in demands.iter_mut().zip([145, 144, 76]) {
        demand.longest_events = longest;
    }
    let fleet = mixed_fleet(&models);
    let mut assignment = Assignment::default();
    assignment.update(&demands, &fleet);
    let slow_of = |assignment: &Assignment, model: &str| {
        let of_model = fleet
            .iter()
            .filter(|one| assignment.model(&one.id) == Some(model));
        of_model
            .filter(|one| one.event_interval_ms == Some(64.0))
            .count()
    };
    assert_eq!(
        ["a", "b", "c"].map(|model| slow_of(&assignment, model)),
        [5, 5, 5]
    );
    assert_eq!(max_trades(&demands, &fleet), 3);
    let mut rounds = 0;
    while slow_of(&assignment, "a") + slow_of(&assignment, "b") > 0 {
        rounds += 1;
        for _ in 0..max_trades(&demands, &fleet) {
            assignment.trade(&demands, &fleet);
        }
        assert!(rounds <= 4, "more than four rounds");
    }
    assert_eq!(slow_of(&assignment, "c"), 15);
}

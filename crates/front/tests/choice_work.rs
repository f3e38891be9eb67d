//! Counts the instances that are looked at to choose one. Each test plays two fleet sizes, the
//! second twice the first.

use std::collections::BTreeMap;

use ladderstage_front::backend::{BackendTable, DiscoveredInstance, RequiredWeights, WorkKind};

const SIZES: [usize; 2] = [1_000, 2_000];

/// Items that start at once.
const ITEMS: usize = 200;

const WEIGHTS: RequiredWeights = RequiredWeights {
    model: "a",
    min_version: 2,
};

fn discovered(index: usize, version: u64) -> DiscoveredInstance {
    DiscoveredInstance {
        id: format!("i-{index}"),
        service: "service".to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "a".to_owned(),
        is_ready: true,
        slots: 6,
        started_unix_ms: 1,
        cold_ms: 0,
        is_preemptible: false,
        leaves_ms: None,
        versions: BTreeMap::from([("a".to_owned(), version)]),
    }
}

/// Returns a fleet of which one instance in ten has the wanted weights.
fn fleet(size: usize) -> BackendTable {
    let table = BackendTable::new("a");
    for index in 0..size {
        let version = if index % 10 == 0 { 2 } else { 1 };
        table.upsert(discovered(index, version));
    }
    table
}

/// Guards against a look through the fleet for each item of a job.
#[test]
fn a_job_looks_through_the_fleet_once() {
    for size in SIZES {
        let table = fleet(size);
        let mut guards = Vec::new();
        for _ in 0..ITEMS {
            let chosen = table.choose("service", WEIGHTS, WorkKind::Batch, |_| true);
            let chosen = chosen.expect("there are free slots");
            assert_eq!(chosen.version("a"), 2);
            guards.push(chosen.track_request());
        }
        let looked_at = table.looked_at() as usize;
        // A list is made again when it is too old, as on a slow machine.
        assert!(looked_at <= 20 * size, "{looked_at} of {size}");
    }
}

/// Guards against a list that lacks an instance that was added, or holds one that was removed.
#[test]
fn added_and_removed_instances_are_known_at_once() {
    let table = fleet(SIZES[0]);
    let weights = RequiredWeights {
        min_version: 3,
        ..WEIGHTS
    };
    let choose = || table.choose("service", weights, WorkKind::Batch, |_| true);
    assert!(choose().is_none());
    table.upsert(discovered(SIZES[0], 3));
    assert_eq!(choose().expect("it was added").id(), "i-1000");
    table.remove("i-1000");
    assert!(choose().is_none());
}

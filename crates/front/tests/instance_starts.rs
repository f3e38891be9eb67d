//! Tests that a new incarnation (process run) of an instance inherits no state from an earlier one
//! with the same id.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use ladderstage_clock::Instant;
use ladderstage_front::backend::{BackendTable, DiscoveredInstance, Instance, Load};
use proptest::prelude::*;

const MODEL: &str = "model";

fn record(started_unix_ms: u64, version: u64) -> DiscoveredInstance {
    DiscoveredInstance {
        id: "i-1".to_owned(),
        service: "service".to_owned(),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: "a".to_owned(),
        is_ready: true,
        slots: 8,
        started_unix_ms,
        cold_ms: 0,
        is_preemptible: false,
        leaves_ms: None,
        versions: BTreeMap::from([(MODEL.to_owned(), version)]),
    }
}

fn current(table: &BackendTable) -> Arc<Instance> {
    table.get("i-1").unwrap()
}

#[test]
fn a_later_incarnation_inherits_no_state() {
    let table = BackendTable::new("a");
    table.upsert(record(100, 7));
    let earlier = current(&table);
    let now = Instant::now();
    let load = Load {
        running: 8,
        waiting: 3,
        slots: 8,
    };
    earlier.record_load(load, now);
    earlier.record_unit_time(900.0, now);
    earlier.record_failure(now);
    earlier.mark_loading(MODEL, now + Duration::from_secs(9));
    let _run = earlier.track_request();
    assert!(!earlier.is_usable(MODEL, now));
    table.upsert(record(200, 6));
    let later = current(&table);
    assert!(earlier.has_ended() && !later.has_ended());
    assert_eq!(
        later.version(MODEL),
        6,
        "weights of the earlier incarnation are gone"
    );
    let candidate = later.candidate("a", now);
    assert_eq!((candidate.load, candidate.unit_time_ms), (0, None));
    assert!(later.is_usable(MODEL, now));
    // Late reports of the earlier incarnation do not reach the later one.
    earlier.record_version(MODEL, 9);
    assert_eq!(later.version(MODEL), 6);
}

#[test]
fn a_late_record_of_an_earlier_incarnation_is_ignored() {
    let table = BackendTable::new("a");
    table.upsert(record(200, 6));
    let mut late = record(100, 9);
    late.is_ready = false;
    table.upsert(late);
    let instance = current(&table);
    assert!(instance.is_ready() && !instance.has_ended());
    assert_eq!(instance.version(MODEL), 6);
    assert_eq!(instance.started_unix_ms(), 200);
}

#[test]
fn the_start_that_an_instance_reports_overrides_discovery() {
    let table = BackendTable::new("a");
    table.upsert(record(100, 7));
    let earlier = current(&table);
    table.record_incarnation(&earlier, 200);
    assert!(earlier.has_ended());
    assert_eq!(current(&table).started_unix_ms(), 200);
    assert_eq!(
        current(&table).version(MODEL),
        0,
        "its weights are not known yet"
    );
    // Discovery reports the earlier incarnation until its next update.
    table.upsert(record(100, 7));
    assert_eq!(current(&table).version(MODEL), 0);
    table.upsert(record(200, 5));
    assert_eq!(current(&table).version(MODEL), 5);
    table.record_incarnation(&current(&table), 100);
    assert_eq!(current(&table).started_unix_ms(), 200);
}

#[test]
fn an_instance_without_a_start_time_is_identified_by_its_id() {
    let table = BackendTable::new("a");
    table.upsert(record(0, 7));
    table.upsert(record(0, 6));
    assert_eq!(current(&table).version(MODEL), 7);
    assert!(
        current(&table).matches_incarnation(100),
        "a report about any start matches"
    );
}

proptest! {
    /// The latest incarnation wins with its newest weights, whatever the order and repetition of
    /// the records.
    #[test]
    fn the_order_of_records_does_not_matter(reports in prop::collection::vec((1_u64..5, 1_u64..20), 1..30)) {
        let table = BackendTable::new("a");
        for (start, version) in &reports {
            table.upsert(record(*start, *version));
        }
        let latest = reports.iter().map(|(start, _)| *start).max().unwrap();
        let of_latest = reports.iter().filter(|(start, _)| *start == latest);
        let newest = of_latest.map(|(_, version)| *version).max().unwrap();
        prop_assert_eq!(current(&table).started_unix_ms(), latest);
        prop_assert_eq!(current(&table).version(MODEL), newest);
    }
}

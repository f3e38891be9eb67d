//! An instance may start again under its id: nothing that is believed of one start outlives it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use ladderstage_clock::Instant;
use ladderstage_front::backend::{BackendTable, DiscoveredInstance, Instance, Load};
use proptest::prelude::*;

const MODEL: &str = "model";

fn word(started_unix_ms: u64, version: u64) -> DiscoveredInstance {
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

fn known(table: &BackendTable) -> Arc<Instance> {
    table.get("i-1").unwrap()
}

#[test]
fn a_later_start_is_believed_nothing_of_the_earlier_one() {
    let table = BackendTable::new("a");
    table.upsert(word(100, 7));
    let earlier = known(&table);
    let now = Instant::now();
    let load = Load {
        running: 8,
        waiting: 3,
        slots: 8,
    };
    earlier.note_load(load, now);
    earlier.record_unit_time(900.0, now);
    earlier.record_failure(now);
    earlier.mark_loading(MODEL, now + Duration::from_secs(9));
    let _run = earlier.track_request();
    assert!(!earlier.is_usable(MODEL, now));
    table.upsert(word(200, 6));
    let later = known(&table);
    assert!(earlier.has_ended() && !later.has_ended());
    assert_eq!(
        later.version(MODEL),
        6,
        "weights of the earlier start are gone"
    );
    let candidate = later.candidate("a", now);
    assert_eq!((candidate.load, candidate.unit_time_ms), (0, None));
    assert!(later.is_usable(MODEL, now));
    // What still comes of the earlier start is noted there only.
    earlier.record_version(MODEL, 9);
    assert_eq!(later.version(MODEL), 6);
}

#[test]
fn a_late_word_of_an_earlier_start_changes_nothing() {
    let table = BackendTable::new("a");
    table.upsert(word(200, 6));
    let mut late = word(100, 9);
    late.is_ready = false;
    table.upsert(late);
    let instance = known(&table);
    assert!(instance.is_ready() && !instance.has_ended());
    assert_eq!(instance.version(MODEL), 6);
    assert_eq!(instance.started_unix_ms(), 200);
}

#[test]
fn what_an_instance_says_itself_goes_before_what_discovery_told() {
    let table = BackendTable::new("a");
    table.upsert(word(100, 7));
    let earlier = known(&table);
    table.record_incarnation(&earlier, 200);
    assert!(earlier.has_ended());
    assert_eq!(known(&table).started_unix_ms(), 200);
    assert_eq!(
        known(&table).version(MODEL),
        0,
        "its weights are not known yet"
    );
    // Discovery tells of the earlier start until its next answer.
    table.upsert(word(100, 7));
    assert_eq!(known(&table).version(MODEL), 0);
    table.upsert(word(200, 5));
    assert_eq!(known(&table).version(MODEL), 5);
    table.record_incarnation(&known(&table), 100);
    assert_eq!(known(&table).started_unix_ms(), 200);
}

#[test]
fn an_instance_that_does_not_tell_its_start_goes_by_its_id() {
    let table = BackendTable::new("a");
    table.upsert(word(0, 7));
    table.upsert(word(0, 6));
    assert_eq!(known(&table).version(MODEL), 7);
    assert!(
        known(&table).matches_incarnation(100),
        "a word about any start is about it"
    );
}

proptest! {
    /// Words about several starts in any order, some of them twice: the latest start is believed, with the newest weights that were told of it.
    #[test]
    fn the_order_of_words_does_not_matter(words in prop::collection::vec((1_u64..5, 1_u64..20), 1..30)) {
        let table = BackendTable::new("a");
        for (start, version) in &words {
            table.upsert(word(*start, *version));
        }
        let latest = words.iter().map(|(start, _)| *start).max().unwrap();
        let of_latest = words.iter().filter(|(start, _)| *start == latest);
        let newest = of_latest.map(|(_, version)| *version).max().unwrap();
        prop_assert_eq!(known(&table).started_unix_ms(), latest);
        prop_assert_eq!(known(&table).version(MODEL), newest);
    }
}

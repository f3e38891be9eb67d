//! Compact exchange of load reports between processes that know the same back ends.

use std::net::SocketAddr;
use std::time::Duration;

use ladderstage::backend::{
    BackendPolicy, BackendTable, GossipOrigin, ListedBackend, MIN_AGE_GAIN, ObservationInterval,
    Report,
};
use ladderstage::bundle::PoolKind;
use ladderstage_wire::messages::{BackendGossip, BackendRefresh};

const NAMES: [&str; 2] = ["engine-1", "engine-2"];
const PROCESS: u64 = 11;
const PORT: u16 = 80;
const FRESHNESS: Duration = Duration::from_secs(2);

fn at(sent_ms: u64, received_ms: u64) -> ObservationInterval {
    ObservationInterval {
        sent_at: Duration::from_millis(sent_ms),
        received_at: Duration::from_millis(received_ms),
    }
}

fn report(process: u64, sequence: u64) -> Report {
    Report {
        process,
        sequence,
        running: 3,
        capacity: 8,
        weight_version: 5,
        ..Report::default()
    }
}

/// Returns a table with both back ends listed at `port`.
fn listed(port: u16) -> BackendTable {
    let mut table = BackendTable::new(BackendPolicy::with_freshness(FRESHNESS));
    let machine = |name: &str| ListedBackend {
        name: name.to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        zone: "a".to_owned(),
        kind: PoolKind::Model,
        leaving: false,
    };
    table.observe_list(&NAMES.map(machine), at(0, 1));
    table
}

/// Returns a table with a report of `process` that was requested at `sent_ms`.
fn reader(port: u16, process: u64, sequence: u64, sent_ms: u64) -> BackendTable {
    let mut table = listed(port);
    let observed = at(sent_ms, sent_ms + 1);
    table.observe_report(NAMES[0], &report(process, sequence), observed);
    table
}

fn ask(asker: &BackendTable, answerer: &BackendTable, now_ms: u64) -> BackendGossip {
    let now = Duration::from_millis(now_ms);
    let ages = asker.known_ages(NAMES, now);
    let answer = answerer.refresh_for_peer(NAMES.into_iter(), &ages, now);
    answer.unwrap()
}

fn apply(asker: &mut BackendTable, answer: &BackendGossip, observed: ObservationInterval) {
    asker.observe_gossip(&answer.reports, GossipOrigin::Pulled(observed));
    for refresh in &answer.refreshes {
        asker.observe_refresh(&NAMES, refresh, observed);
    }
}

fn sequence(table: &BackendTable, now_ms: u64) -> Option<u64> {
    let report = table.fresh_report(NAMES[0], Duration::from_millis(now_ms));
    report.map(|report| report.sequence)
}

#[test]
fn a_report_is_sent_in_full_first_and_compactly_afterwards() {
    let mut asker = listed(PORT);
    let first = ask(&asker, &reader(PORT, PROCESS, 1, 1_000), 1_100);
    assert_eq!(first.reports.len(), 1);
    apply(&mut asker, &first, at(1_100, 1_110));
    assert_eq!(sequence(&asker, 1_110), Some(1));

    let second = ask(&asker, &reader(PORT, PROCESS, 9, 3_000), 3_100);
    assert!(second.reports.is_empty());
    apply(&mut asker, &second, at(3_100, 3_400));
    assert_eq!(sequence(&asker, 3_400), Some(9));
    // Evidence dates from the time of the request minus the age in the answer.
    assert_eq!(sequence(&asker, 5_000), Some(9));
    assert_eq!(sequence(&asker, 5_001), None);
}

#[test]
fn a_barely_newer_report_is_not_sent() {
    let gain = u64::try_from(MIN_AGE_GAIN.as_millis()).unwrap();
    let asker = reader(PORT, PROCESS, 1, 1_000);
    let barely_newer = ask(&asker, &reader(PORT, PROCESS, 2, 1_000 + gain - 1), 1_800);
    assert!(barely_newer.refreshes[0].positions.is_empty());
    let enough = ask(&asker, &reader(PORT, PROCESS, 2, 1_000 + gain + 20), 1_800);
    assert_eq!(enough.refreshes[0].positions, [0]);
}

#[test]
fn a_compact_report_of_another_process_or_address_is_not_evidence() {
    for other in [
        reader(PORT, PROCESS + 1, 9, 4_000),
        reader(PORT + 1, PROCESS, 9, 4_000),
    ] {
        let mut asker = reader(PORT, PROCESS, 1, 1_000);
        let answer = ask(&asker, &other, 4_100);
        assert_eq!(answer.refreshes[0].positions, [0]);
        apply(&mut asker, &answer, at(4_100, 4_110));
        assert_eq!(sequence(&asker, 4_110), None);
        // The full report is requested the next time.
        assert_eq!(ask(&asker, &other, 4_200).reports.len(), 1);
    }
}

#[test]
fn malformed_refreshes_change_nothing() {
    let mut asker = reader(PORT, PROCESS, 1, 1_000);
    let beyond = BackendRefresh {
        positions: vec![7, 0],
        processes: vec![1],
        ages_ms: vec![0],
        running: vec![0],
        waiting: vec![0],
        capacities: vec![0],
        weight_versions: vec![0],
        sequences: vec![9],
    };
    asker.observe_refresh(&NAMES, &beyond, at(1_500, 1_600));
    assert_eq!(sequence(&asker, 1_600), Some(1));
    let too_few = asker.refresh_for_peer(NAMES.into_iter(), &[0], Duration::from_secs(1));
    assert!(too_few.is_none());
}

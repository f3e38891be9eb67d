//! Back ends known to one daemon, with stand-in engines over HTTP.

mod standin;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use ladderstage::backend::reads_reports_directly;
use ladderstage_daemon::backends::Backends;
use standin::{OnePeer, bundle, engine, in_force, machine_list, settings, wait_until};

const ENGINE: &str = "engine-1";

fn list_is_up() -> Arc<Mutex<bool>> {
    Arc::new(Mutex::new(true))
}

fn start(node: &str, list: SocketAddr, peers: Arc<OnePeer>) -> Backends {
    let (_, bundle) = in_force(bundle(1, 1, &[ENGINE]));
    let client = ladderstage_platform::control::client();
    Backends::start_with(&settings(node, list), peers, bundle, client)
}

fn usable(backends: &Backends) -> bool {
    !backends.candidates("lm").is_empty()
}

#[tokio::test]
async fn a_leaving_process_stays_excluded_until_another_one_reports() {
    let (engine, address) = engine(ENGINE).await;
    let list = machine_list(vec![(ENGINE.to_owned(), address)], list_is_up()).await;
    let backends = start("a", list, OnePeer::new("a", &[]));
    wait_until("the engine is usable", || usable(&backends)).await;
    engine.lock().unwrap().leaving = true;
    wait_until("the engine is unusable", || !usable(&backends)).await;
    engine.lock().unwrap().leaving = false;
    let sequence = backends.observed(ENGINE).unwrap().report.unwrap().sequence;
    wait_until("later reports arrived", || {
        let report = backends.observed(ENGINE).and_then(|engine| engine.report);
        report.is_some_and(|report| report.sequence > sequence + 2 && !report.leaving)
    })
    .await;
    assert!(!usable(&backends));
    assert_eq!(backends.describe()[0].unusable.as_deref(), Some("leaving"));
    engine.lock().unwrap().process = 2;
    wait_until("the new process is usable", || usable(&backends)).await;
}

#[tokio::test]
async fn engines_stay_usable_without_the_list_but_not_without_reports() {
    let (engine, address) = engine(ENGINE).await;
    let list_up = list_is_up();
    let list = machine_list(vec![(ENGINE.to_owned(), address)], list_up.clone()).await;
    let backends = start("a", list, OnePeer::new("a", &[]));
    wait_until("the engine is usable", || usable(&backends)).await;
    *list_up.lock().unwrap() = false;
    let freshness = std::time::Duration::from_secs(2);
    tokio::time::sleep(freshness * 2).await;
    wait_until("the engine is usable without the list", || {
        usable(&backends)
    })
    .await;
    engine.lock().unwrap().reachable = false;
    wait_until("the engine is unusable", || !usable(&backends)).await;
    assert_eq!(
        backends.describe()[0].unusable.as_deref(),
        Some("no fresh evidence")
    );
}

#[tokio::test]
async fn a_report_with_another_name_is_ignored() {
    let (_engine, address) = engine("engine-2").await;
    let list = machine_list(vec![(ENGINE.to_owned(), address)], list_is_up()).await;
    let backends = start("a", list, OnePeer::new("a", &[]));
    wait_until("the engine is listed", || {
        backends.observed(ENGINE).is_some()
    })
    .await;
    tokio::time::sleep(std::time::Duration::from_millis(300)).await;
    assert!(!usable(&backends));
}

#[tokio::test]
async fn a_leaving_engine_is_announced_to_peers() {
    let (_engine, address) = engine(ENGINE).await;
    let list = machine_list(vec![(ENGINE.to_owned(), address)], list_is_up()).await;
    let members = ["a".to_owned(), "b".to_owned()];
    let peers = OnePeer::new("a", &members);
    let peer = start("b", list, OnePeer::new("b", &members));
    let sender = start("a", list, peers.clone());
    *peers.other.lock().unwrap() = Some(peer.clone());
    wait_until("both know the engine", || usable(&peer) && usable(&sender)).await;
    sender.record_refusal(ENGINE, true);
    assert!(!usable(&sender));
    wait_until("the peer excludes the engine", || !usable(&peer)).await;
    assert!(peer.describe()[0].leaving);
}

#[tokio::test]
async fn in_a_large_cluster_nodes_receive_reports_from_the_readers() {
    let members: Vec<String> = (0..40).map(|index| format!("daemon-{index}")).collect();
    let reads = |node: &&String| reads_reports_directly(ENGINE, node, &members);
    assert_eq!(members.iter().filter(reads).count(), 2);
    let reader = members.iter().find(reads).expect("two readers");
    let other = members.iter().find(|node| !reads(node)).expect("others");

    let (_engine, address) = engine(ENGINE).await;
    let list = machine_list(vec![(ENGINE.to_owned(), address)], list_is_up()).await;
    let reading = start(reader, list, OnePeer::new(reader, &members));
    let peers = OnePeer::new(other, &members);
    let requesting = start(other, list, peers.clone());
    wait_until("the reader has a report", || usable(&reading)).await;
    assert!(!usable(&requesting));
    *peers.other.lock().unwrap() = Some(reading.clone());
    wait_until("the non-reader has the report", || usable(&requesting)).await;
}

#[tokio::test]
async fn requests_in_flight_are_counted_until_their_guards_are_dropped() {
    let (_engine, address) = engine(ENGINE).await;
    let list = machine_list(vec![(ENGINE.to_owned(), address)], list_is_up()).await;
    let backends = start("a", list, OnePeer::new("a", &[]));
    wait_until("the engine is usable", || usable(&backends)).await;
    let guards: Vec<_> = (0..4)
        .filter_map(|_| backends.try_start_request("lm", ENGINE))
        .collect();
    assert_eq!(guards.len(), 4);
    assert!(backends.try_start_request("lm", ENGINE).is_none());
    assert!(!usable(&backends));
    drop(guards);
    wait_until("the engine is usable again", || usable(&backends)).await;
    assert!(backends.try_start_request("no such pool", ENGINE).is_none());
}

#[tokio::test]
async fn a_daemon_that_starts_without_the_list_learns_addresses_from_peers() {
    let (_engine, address) = engine(ENGINE).await;
    let list = machine_list(vec![(ENGINE.to_owned(), address)], list_is_up()).await;
    let no_list = machine_list(Vec::new(), Arc::new(Mutex::new(false))).await;
    let members = ["a".to_owned(), "b".to_owned()];
    let older = start("a", list, OnePeer::new("a", &members));
    wait_until("the older daemon knows the engine", || usable(&older)).await;
    let peers = OnePeer::new("b", &members);
    let younger = start("b", no_list, peers.clone());
    *peers.other.lock().unwrap() = Some(older.clone());
    wait_until("the younger daemon knows the engine", || usable(&younger)).await;
    drop(older);
    let report = |backends: &Backends| backends.observed(ENGINE)?.report;
    let sequence = report(&younger).expect("fresh").sequence;
    wait_until("the younger daemon reads reports itself", || {
        report(&younger).is_some_and(|report| report.sequence > sequence + 5)
    })
    .await;
}

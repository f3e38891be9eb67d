//! Counts what a node of a large fleet does for each other node. Each test plays two sizes, the
//! second twice the first.

mod support;

use std::sync::Arc;
use std::time::Duration;

use ladderstage_front::activity::Activity;
use ladderstage_front::coordination::Coordination;
use ladderstage_front::nodes::{FormatLevel, NodeRecord, NodeRole, Nodes};
use ladderstage_journal::Peers;
use ladderstage_wire::messages::mod_Request::OneOfkind as RequestKind;
use ladderstage_wire::messages::{FetchReplicaSet, Request};
use support::memory_store::{MemoryStore, NodeFaults};
use tokio::time::sleep;

/// Numbers of other nodes.
const SIZES: [usize; 2] = [600, 1_200];

fn record(node: &str) -> NodeRecord {
    NodeRecord {
        node: node.to_owned(),
        role: NodeRole::Front,
        process: 1,
        peer_address: "127.0.0.1:1".parse().unwrap(),
        zone: "a".to_owned(),
        replica_id: 0,
        is_leaving: false,
        cpu_millis: 120,
        region: String::new(),
        formats: FormatLevel::OWN,
    }
}

fn write_node(store: &MemoryStore, node: &str) {
    let value = serde_json::to_vec(&record(node)).unwrap();
    store.write(&format!("ladderstage/node/{node}"), value);
}

fn fleet(size: usize) -> MemoryStore {
    let store = MemoryStore::default();
    (0..size).for_each(|index| write_node(&store, &format!("front-{index}")));
    store
}

fn start_observer(store: &MemoryStore, activity: &Activity) -> Nodes {
    let coordination: Arc<dyn Coordination> = Arc::new(store.of("observer"));
    let nodes = Nodes::new(record("observer"));
    let (running, activity) = (nodes.clone(), activity.clone());
    tokio::spawn(async move { running.run(coordination, &activity).await });
    nodes
}

/// Lets the ages of what the nodes know grow, which tokio's paused clock does not.
fn pass_time() {
    ladderstage_clock::testing::suspend(Duration::from_secs(5));
}

/// Guards against nodes that read all records again each few seconds: together they would read the
/// square of their number, more than the store can send.
#[tokio::test(start_paused = true)]
async fn a_node_reads_the_record_of_each_other_node_once() {
    for size in SIZES {
        let store = fleet(size);
        let activity = Activity::default();
        let nodes = start_observer(&store, &activity);
        sleep(Duration::from_secs(60)).await;
        let work = activity.start();
        sleep(Duration::from_secs(5)).await;
        drop(work);
        sleep(Duration::from_secs(60)).await;
        assert!(nodes.is_present("front-7"));
        let records = store.records_sent("observer");
        assert!(records <= size + 10, "{records} records of {size} nodes");
    }
}

/// Guards against a call that fails and makes each front of a large fleet list all nodes.
#[tokio::test(start_paused = true)]
async fn a_failed_call_makes_a_node_read_the_changes_only() {
    for size in SIZES {
        let store = fleet(size);
        let nodes = start_observer(&store, &Activity::default());
        sleep(Duration::from_secs(30)).await;
        let before = store.records_sent("observer");
        write_node(&store, "front-late");
        pass_time();
        let kind = RequestKind::fetch_replica_set(FetchReplicaSet {});
        let call = nodes.call("front-late", Request { kind }, Duration::from_millis(50));
        assert!(call.await.is_err());
        sleep(Duration::from_secs(2)).await;
        assert!(nodes.is_present("front-late"));
        let records = store.records_sent("observer") - before;
        assert!(records <= 5, "{records} records of {size} nodes");
    }
}

/// Guards against changes that are missed when the store has forgotten them.
#[tokio::test(start_paused = true)]
async fn nodes_are_listed_again_after_compacted_history() {
    let store = fleet(SIZES[0]);
    let nodes = start_observer(&store, &Activity::default());
    sleep(Duration::from_secs(30)).await;
    store.remove("ladderstage/node/front-7");
    write_node(&store, "front-late");
    store.compact_history();
    sleep(Duration::from_secs(30)).await;
    pass_time();
    assert!(nodes.is_present("front-late"));
    assert!(!nodes.is_present("front-7"));
}

/// Guards against a node that takes itself for the only one while it could not read the others.
#[tokio::test(start_paused = true)]
async fn nodes_are_unknown_until_they_were_read() {
    let store = fleet(SIZES[0]);
    let unreadable = NodeFaults {
        rejected_keys: ["ladderstage/node/".to_owned()].into(),
        ..NodeFaults::default()
    };
    store.set_faults("observer", unreadable);
    let nodes = start_observer(&store, &Activity::default());
    sleep(Duration::from_secs(30)).await;
    assert!(!nodes.are_known());
    store.set_faults("observer", NodeFaults::default());
    sleep(Duration::from_secs(30)).await;
    assert!(nodes.are_known());
}

//! What a node knows of the others, and how soon.

mod support;

use std::sync::Arc;
use std::time::Duration;

use ladderstage_front::activity::Activity;
use ladderstage_front::coordination::Coordination;
use ladderstage_front::nodes::{NodeRecord, NodeRole, Nodes, strongest};
use ladderstage_journal::Peers;
use ladderstage_wire::messages::mod_Request::OneOfkind as RequestKind;
use ladderstage_wire::messages::{FetchReplicaSet, Request};
use support::memory_store::MemoryStore;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Longer than nodes that start together follow closely.
const STARTED: Duration = Duration::from_secs(3);

fn record(node: &str, process: u64) -> NodeRecord {
    NodeRecord {
        node: node.to_owned(),
        role: NodeRole::Front,
        process,
        peer_address: "127.0.0.1:1".parse().unwrap(),
        zone: "a".to_owned(),
        replica_id: 0,
        is_leaving: false,
        cpu_millis: 0,
    }
}

struct Running {
    nodes: Nodes,
    task: JoinHandle<()>,
}

impl Running {
    fn start(store: &MemoryStore, own: NodeRecord, activity: &Activity) -> Self {
        let coordination: Arc<dyn Coordination> = Arc::new(store.of(&own.node));
        let nodes = Nodes::new(own);
        let running = nodes.clone();
        let activity = activity.clone();
        let task = tokio::spawn(async move { running.run(coordination, &activity).await });
        Self { nodes, task }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A node without work that has followed the others for a while, beside one other.
async fn watching(store: &MemoryStore) -> (Running, Running) {
    let other = Running::start(store, record("other", 1), &Activity::default());
    let watcher = Running::start(store, record("watcher", 7), &Activity::default());
    sleep(STARTED).await;
    (watcher, other)
}

#[tokio::test(start_paused = true)]
async fn a_process_is_gone_once_its_node_runs_another() {
    let store = MemoryStore::default();
    let activity = Activity::default();
    let watcher = Running::start(&store, record("watcher", 7), &activity);
    assert!(!watcher.nodes.is_gone(1), "nothing is known yet");
    let other = Running::start(&store, record("other", 1), &activity);
    sleep(STARTED).await;
    assert!(!watcher.nodes.is_gone(1));
    assert!(!watcher.nodes.is_gone(7), "this one");
    drop(other);
    let _work = activity.begin();
    let _again = Running::start(&store, record("other", 2), &activity);
    sleep(Duration::from_millis(1_500)).await;
    assert!(watcher.nodes.is_gone(1));
    assert!(!watcher.nodes.is_gone(2));
}

#[tokio::test(start_paused = true)]
async fn a_call_that_reaches_nobody_makes_a_node_without_work_look_again() {
    let store = MemoryStore::default();
    let (watcher, other) = watching(&store).await;
    drop(other);
    let moved = NodeRecord {
        peer_address: "127.0.0.1:2".parse().unwrap(),
        ..record("other", 2)
    };
    let _other = Running::start(&store, moved, &Activity::default());
    // The watch tells this once, and then pauses.
    sleep(Duration::from_millis(100)).await;
    let _third = Running::start(&store, record("third", 3), &Activity::default());
    sleep(Duration::from_secs(1)).await;
    assert!(!watcher.nodes.is_present("third"), "the pause goes on");
    let kind = RequestKind::fetch_replica_set(FetchReplicaSet {});
    let call = watcher
        .nodes
        .call("third", Request { kind }, Duration::from_millis(50));
    assert!(call.await.is_err());
    sleep(Duration::from_millis(600)).await;
    assert!(watcher.nodes.is_present("third"));
}

#[test]
fn the_strongest_are_those_with_the_most_processor_time_that_do_not_leave() {
    let of = |node: &str, cpu_millis, is_leaving| NodeRecord {
        cpu_millis,
        is_leaving,
        ..record(node, 1)
    };
    let names = |records: Vec<NodeRecord>| -> Vec<String> {
        strongest(records)
            .into_iter()
            .map(|record| record.node)
            .collect()
    };
    let mixed = vec![
        of("weak", 120, false),
        of("strong", 500, false),
        of("leaving", 800, true),
        of("strong-too", 500, false),
    ];
    assert_eq!(names(mixed), ["strong", "strong-too"]);
    assert_eq!(
        names(vec![of("one", 0, false), of("two", 0, false)]),
        ["one", "two"]
    );
    assert!(names(vec![of("leaving", 100, true)]).is_empty());
}

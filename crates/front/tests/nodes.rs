//! Tests of `Nodes`, a node's view of the other nodes.

mod support;

use std::sync::Arc;
use std::time::Duration;

use ladderstage_front::activity::Activity;
use ladderstage_front::coordination::Coordination;
use ladderstage_front::nodes::{FormatLevel, NodeRecord, NodeRole, Nodes, strongest};
use ladderstage_journal::Peers;
use ladderstage_wire::messages::mod_Request::OneOfkind as RequestKind;
use ladderstage_wire::messages::{FetchReplicaSet, Request};
use support::memory_store::{MemoryStore, NodeFaults};
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Longer than the startup period, in which a node reads the other nodes' records frequently.
const STARTUP: Duration = Duration::from_secs(9);

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
        region: String::new(),
        formats: FormatLevel::OWN,
    }
}

struct RunningNode {
    nodes: Nodes,
    task: JoinHandle<()>,
}

impl RunningNode {
    fn start(store: &MemoryStore, own: NodeRecord, activity: &Activity) -> Self {
        let coordination: Arc<dyn Coordination> = Arc::new(store.of(&own.node));
        let nodes = Nodes::new(own);
        let running = nodes.clone();
        let activity = activity.clone();
        let task = tokio::spawn(async move { running.run(coordination, &activity).await });
        Self { nodes, task }
    }
}

impl Drop for RunningNode {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Starts two idle nodes and waits until each has read the other's record.
async fn start_pair(store: &MemoryStore) -> (RunningNode, RunningNode) {
    let other = RunningNode::start(store, record("other", 1), &Activity::default());
    let observer = RunningNode::start(store, record("observer", 7), &Activity::default());
    sleep(STARTUP).await;
    (observer, other)
}

#[tokio::test(start_paused = true)]
async fn a_process_has_exited_once_its_node_runs_another() {
    let store = MemoryStore::default();
    let activity = Activity::default();
    let observer = RunningNode::start(&store, record("observer", 7), &activity);
    assert!(!observer.nodes.has_exited(1), "no node is known yet");
    let other = RunningNode::start(&store, record("other", 1), &activity);
    sleep(STARTUP).await;
    assert!(!observer.nodes.has_exited(1));
    assert!(!observer.nodes.has_exited(7), "its own process");
    drop(other);
    let _work = activity.start();
    let _again = RunningNode::start(&store, record("other", 2), &activity);
    sleep(Duration::from_millis(1_500)).await;
    assert!(observer.nodes.has_exited(1));
    assert!(!observer.nodes.has_exited(2));
}

#[tokio::test(start_paused = true)]
async fn a_failed_call_makes_an_idle_node_reread_the_records() {
    let store = MemoryStore::default();
    let (observer, other) = start_pair(&store).await;
    drop(other);
    let moved = NodeRecord {
        peer_address: "127.0.0.1:2".parse().unwrap(),
        ..record("other", 2)
    };
    let _other = RunningNode::start(&store, moved, &Activity::default());
    // The next periodic read is seconds away.
    sleep(Duration::from_millis(100)).await;
    let _third = RunningNode::start(&store, record("third", 3), &Activity::default());
    sleep(Duration::from_secs(1)).await;
    assert!(
        !observer.nodes.is_present("third"),
        "the read interval has not passed"
    );
    let kind = RequestKind::fetch_replica_set(FetchReplicaSet {});
    let call = observer
        .nodes
        .call("third", Request { kind }, Duration::from_millis(50));
    assert!(call.await.is_err());
    sleep(Duration::from_millis(600)).await;
    assert!(observer.nodes.is_present("third"));
}

/// Guards against idle fronts that watch all nodes and renew their lease every second.
#[tokio::test(start_paused = true)]
async fn an_idle_front_with_little_cpu_makes_few_store_calls() {
    let store = MemoryStore::default();
    let weak = NodeRecord {
        cpu_millis: 120,
        ..record("weak", 1)
    };
    let strong = NodeRecord {
        cpu_millis: 500,
        ..record("strong", 2)
    };
    let activity = Activity::default();
    let weak = RunningNode::start(&store, weak, &activity);
    let strong = RunningNode::start(&store, strong, &Activity::default());
    sleep(Duration::from_secs(60)).await;
    let calls = |node, kind| store.calls(node, kind, "ladderstage/node/");
    assert_eq!(calls("weak", "list"), 0);
    assert_eq!(calls("weak", "watch"), 0);
    assert!(calls("weak", "list_stale") <= 10);
    assert!(weak.nodes.is_present("strong") && strong.nodes.is_present("weak"));
    let renewals = store.calls("weak", "renew", "");
    assert!(renewals <= 28, "{renewals}");
    assert!(store.calls("strong", "renew", "") >= 50);
    drop(strong);
    let _work = activity.start();
    sleep(Duration::from_secs(5)).await;
    assert!(
        weak.nodes.has_exited(2),
        "an active node follows the records"
    );
}

/// Guards against a long lease of an active front, whose loss would be noticed late.
#[tokio::test(start_paused = true)]
async fn the_loss_of_an_active_front_with_little_cpu_is_noticed_soon() {
    let store = MemoryStore::default();
    let activity = Activity::default();
    let front = |node: &str, cpu_millis, process| NodeRecord {
        cpu_millis,
        ..record(node, process)
    };
    let weak = RunningNode::start(&store, front("weak", 120, 1), &activity);
    let strong = RunningNode::start(&store, front("strong", 500, 2), &activity);
    sleep(STARTUP).await;
    let _work = activity.start();
    sleep(Duration::from_secs(5)).await;
    drop(weak);
    sleep(Duration::from_secs(5)).await;
    assert!(strong.nodes.has_exited(1));
}

/// Guards against a late or stale read that restores an outdated state.
#[tokio::test(start_paused = true)]
async fn an_older_read_changes_nothing() {
    let store = MemoryStore::default();
    let other = RunningNode::start(&store, record("other", 1), &Activity::default());
    sleep(STARTUP).await;
    let observer = RunningNode::start(&store, record("observer", 7), &Activity::default());
    let coordination = store.of("observer");
    observer
        .nodes
        .refresh(&coordination, Duration::ZERO)
        .await
        .unwrap();
    assert!(observer.nodes.is_present("other"));
    store.set_faults(
        "observer",
        NodeFaults {
            stale_by: 1_000,
            ..NodeFaults::default()
        },
    );
    sleep(Duration::from_secs(30)).await;
    assert!(observer.nodes.is_present("other"));
    drop(other);
}

#[test]
fn strongest_returns_staying_nodes_with_the_most_cpu() {
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

/// Guards against a node that takes an answer that it reads after a suspension for contact with the
/// store since then.
#[tokio::test(start_paused = true)]
async fn contact_with_the_store_dates_from_the_call_that_it_answered() {
    const SUSPENSION: Duration = Duration::from_secs(10);
    let store = MemoryStore::default();
    let activity = Activity::default();
    let _work = activity.start();
    let node = RunningNode::start(&store, record("node", 1), &activity);
    sleep(Duration::from_millis(500)).await;
    let faults = NodeFaults {
        renewal_answer_delay: Duration::from_millis(600),
        ..NodeFaults::default()
    };
    store.set_faults("node", faults);
    let registered_at = node.nodes.last_store_contact().unwrap();
    // The renewal is sent after 1 s and answered 0.6 s later.
    sleep(Duration::from_millis(800)).await;
    ladderstage_clock::testing::suspend(SUSPENSION);
    sleep(Duration::from_millis(500)).await;
    let contact = node.nodes.last_store_contact().unwrap();
    assert!(contact > registered_at, "the renewal was answered");
    assert!(contact.elapsed() >= SUSPENSION, "{:?}", contact.elapsed());
}

/// Key of the record of the node `other`.
const OTHER_KEY: &str = "ladderstage/node/other";

/// Longer than a lease, and than the time after which a node notices that its record is gone.
const RECORD_RECOVERY: Duration = Duration::from_secs(6);

fn store_record(node: &str, process: u64) -> NodeRecord {
    NodeRecord {
        role: NodeRole::Store,
        ..record(node, process)
    }
}

/// Guards against a store that is missing for good: a registration whose answer was lost and that is
/// applied later must not put the record back under a lease that nobody renews.
#[tokio::test(start_paused = true)]
async fn a_late_registration_does_not_replace_the_newer_one() {
    let store = MemoryStore::default();
    let delay = Duration::from_millis(1_500);
    let faults = NodeFaults {
        delayed_put: Some(delay),
        delayed_swap: Some(delay),
        ..NodeFaults::default()
    };
    store.set_faults("other", faults);
    let activity = Activity::default();
    let _work = activity.start();
    let _other = RunningNode::start(&store, store_record("other", 1), &activity);
    // The first attempt is repeated by then, but not applied yet.
    sleep(delay / 2).await;
    let observed_until = tokio::time::Instant::now() + delay * 2 + RECORD_RECOVERY;
    while tokio::time::Instant::now() < observed_until {
        assert!(store.read(OTHER_KEY).is_some(), "the record is gone");
        sleep(Duration::from_millis(100)).await;
    }
    let registrations = store.calls("other", "grant", "");
    assert_eq!(registrations, 2, "the first one and its repetition");
}

/// Guards against a node that is missing for good after its record was removed while its lease is
/// renewed, as an earlier version's late registration does.
#[tokio::test(start_paused = true)]
async fn a_node_whose_record_was_removed_registers_again() {
    let store = MemoryStore::default();
    let activity = Activity::default();
    let _work = activity.start();
    let _other = RunningNode::start(&store, store_record("other", 2), &activity);
    sleep(STARTUP).await;
    let registered = store.read(OTHER_KEY).expect("a record");
    store.remove(OTHER_KEY);
    sleep(RECORD_RECOVERY).await;
    assert_eq!(store.read(OTHER_KEY).as_ref(), Some(&registered));
    let earlier = store.of("earlier");
    let lease = earlier.grant(Duration::from_secs(1)).await.unwrap();
    let late = earlier.put(OTHER_KEY, registered.clone(), Some(lease));
    late.await.unwrap();
    sleep(RECORD_RECOVERY).await;
    assert_eq!(store.read(OTHER_KEY).as_ref(), Some(&registered));
    let writes = store.calls("other", "swap", OTHER_KEY);
    assert!(writes <= 5, "{writes} writes of the record");
}

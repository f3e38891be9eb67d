//! Compatibility of the records in the coordination store between builds: this build reads older
//! records, older builds read this build's records, and nodes know each other's format levels.
//!
//! `formats/<commit>.txt` holds records written by the build of that commit.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use ladderstage_front::activity::Activity;
use ladderstage_front::coordination::{Coordination, Record};
use ladderstage_front::nodes::{FormatLevel, NodeRecord, NodeRole, Nodes, shared_level};
use ladderstage_front::orders::{
    LastLeader, LearnedLoadLimit, LoadLimit, LoadLimitWriter, OrdersLease, restore_load_limit,
};
use ladderstage_front::roster::Roster;
use ladderstage_front::suspects::SuspectRecord;
use ladderstage_front::usage::CommittedReports;
use ladderstage_journal::Peers;
use proptest::prelude::*;
use serde::Deserialize;
use support::memory_store::MemoryStore;
use tokio::time::sleep;

/// Records written by older builds.
const OLDER_RECORDS: [&str; 2] = [
    include_str!("formats/b6915e3.txt"),
    include_str!("formats/c0c1299.txt"),
];

/// Longer than an active node takes to apply a change.
const APPLIED: Duration = Duration::from_secs(2);

const LEADER_KEY: &str = "ladderstage/orders/giver";
const LAST_LEADER_KEY: &str = "ladderstage/orders/last";
const LEARNED_KEY: &str = "ladderstage/orders/learnt";

/// Node record as read by builds without format levels.
#[derive(Debug, PartialEq, Deserialize)]
struct OlderNode {
    node: String,
    role: String,
    process: u64,
    peer_address: String,
    zone: String,
    replica_id: u64,
    is_leaving: bool,
    cpu_millis: u32,
}

/// Roster as read by builds without start times and cold times of instances.
#[derive(Debug, PartialEq, Deserialize)]
struct OlderRoster {
    known_at: u64,
    services: Vec<String>,
    instances: Vec<OlderInstance>,
}

#[derive(Debug, PartialEq, Deserialize)]
struct OlderInstance {
    id: String,
    service: String,
    address: String,
    zone: String,
    is_ready: bool,
    slots: u32,
}

/// Returns the records of a file by name.
fn records(text: &str) -> BTreeMap<&str, &str> {
    let lines = text.lines().map(|line| line.split_once(' ').unwrap());
    lines.collect()
}

/// Returns a node record of an older build with a format level.
fn record(node: &str, role: NodeRole, formats: FormatLevel) -> NodeRecord {
    let written = records(OLDER_RECORDS[0])["front"];
    let mut record: NodeRecord = serde_json::from_str(written).unwrap();
    record.node = node.to_owned();
    record.role = role;
    record.formats = formats;
    record
}

#[test]
fn records_of_nodes_are_read_by_newer_and_older_builds() {
    for written in OLDER_RECORDS.map(records) {
        let front: NodeRecord = serde_json::from_str(written["front"]).unwrap();
        assert_eq!(
            (front.node.as_str(), front.role),
            ("front-1", NodeRole::Front)
        );
        assert_eq!(
            (front.process, front.cpu_millis, front.is_leaving),
            (99, 250, true)
        );
        assert_eq!(front.formats, FormatLevel::UNKNOWN);
        let store: NodeRecord = serde_json::from_str(written["store"]).unwrap();
        assert_eq!((store.role, store.replica_id), (NodeRole::Store, 21));
        let mut own = front;
        own.formats = FormatLevel::OWN;
        let own = serde_json::to_string(&own).unwrap();
        let read: OlderNode = serde_json::from_str(&own).unwrap();
        let expected: OlderNode = serde_json::from_str(written["front"]).unwrap();
        assert_eq!(read, expected);
    }
}

#[test]
fn rosters_are_read_by_newer_and_older_builds() {
    for written in OLDER_RECORDS.map(records) {
        let mut roster = Roster::read(written["roster"].as_bytes()).unwrap();
        assert_eq!(roster.known_at, 41);
        let [one, other] = &mut roster.instances[..] else {
            panic!("two instances");
        };
        assert!(one.is_ready && !other.is_ready);
        assert_eq!((one.id.as_str(), one.slots, one.cold_ms), ("e-1", 6, 0));
        assert!([0, 1_700_000_000_000].contains(&one.started_unix_ms));
        one.cold_ms = 4_000;
        one.is_preemptible = true;
        let read: OlderRoster =
            serde_json::from_slice(&roster.write(FormatLevel::ZONES_AND_PERMITS).unwrap()).unwrap();
        let expected: OlderRoster = serde_json::from_str(written["roster"]).unwrap();
        assert_eq!(read, expected);
        // A build that cannot read it follows discovery.
        let packed = roster.write(FormatLevel::PACKED_ROSTER).unwrap();
        assert!(serde_json::from_slice::<OlderRoster>(&packed).is_err());
        assert_eq!(Roster::read(&packed).unwrap(), roster);
    }
}

#[test]
fn usage_reports_are_read_by_newer_and_older_builds() {
    for written in OLDER_RECORDS.map(records) {
        let reports: CommittedReports = serde_json::from_str(written["reports"]).unwrap();
        assert_eq!(
            reports.get(30),
            Some(&BTreeMap::from([("t".to_owned(), 12)]))
        );
        assert_eq!(reports.newest(), Some(31));
        assert_eq!(serde_json::to_string(&reports).unwrap(), written["reports"]);
    }
}

#[test]
fn suspect_records_are_read_by_newer_and_older_builds() {
    // The older of the two builds wrote none.
    let written = records(OLDER_RECORDS[1])["suspect"];
    let record = Record {
        key: "ladderstage/suspect/000000000000feed".to_owned(),
        value: written.as_bytes().to_vec(),
        revision: 1,
    };
    let (_, read) = SuspectRecord::read(&record).unwrap();
    assert_eq!(
        (read.ends.as_slice(), read.lease),
        (&["e-1@5".to_owned()][..], 3)
    );
    assert_eq!(serde_json::to_string(&read).unwrap(), written);
}

#[tokio::test(start_paused = true)]
async fn learned_load_limits_are_read_by_newer_and_older_builds() {
    for written in OLDER_RECORDS.map(records) {
        let store = MemoryStore::default();
        store.write(LEARNED_KEY, written["learnt"].as_bytes().to_vec());
        let coordination: Arc<dyn Coordination> = Arc::new(store.of("front-2"));
        let limit = restore_load_limit(&LearnedLoadLimit::default(), coordination.as_ref()).await;
        let limit: LoadLimit = limit.unwrap();
        assert_eq!((limit.get(), limit.is_near_capacity()), (11, true));
        store.remove(LEARNED_KEY);
        let mut writer = LoadLimitWriter::default();
        writer.save(&limit, &coordination);
        sleep(APPLIED).await;
        assert_eq!(
            store.read(LEARNED_KEY).unwrap(),
            written["learnt"].as_bytes()
        );
    }
}

#[tokio::test(start_paused = true)]
async fn the_orders_lease_passes_between_builds() {
    for written in OLDER_RECORDS.map(records) {
        let store = MemoryStore::default();
        store.write(LEADER_KEY, written["giver"].as_bytes().to_vec());
        store.write(LAST_LEADER_KEY, written["last"].as_bytes().to_vec());
        let lease = |node: &str| OrdersLease {
            coordination: Arc::new(store.of(node)),
            node: node.to_owned(),
            quiet_period: Duration::ZERO,
        };
        let other = lease("front-2");
        assert!(
            other.acquire().await.unwrap().is_none(),
            "held by an older build"
        );
        store.remove(LEADER_KEY);
        let held = other.acquire().await.unwrap().unwrap();
        let last = LastLeader {
            node: "front-1".to_owned(),
            fence: 2,
        };
        assert_eq!(held.last, Some(last));
        store.remove(LEADER_KEY);
        let again = lease("front-1");
        let held = again.acquire().await.unwrap().unwrap();
        assert!(again.may_issue_orders(&held).await.unwrap());
        assert_eq!(store.read(LEADER_KEY).unwrap(), written["giver"].as_bytes());
        let named = format!("front-1 {}", held.fence);
        assert_eq!(store.read(LAST_LEADER_KEY).unwrap(), named.as_bytes());
    }
}

/// Covers an upgrade of the other node and its rollback.
#[tokio::test(start_paused = true)]
async fn the_shared_level_follows_the_other_nodes_builds_both_ways() {
    let store = MemoryStore::default();
    let coordination: Arc<dyn Coordination> = Arc::new(store.of("own"));
    let nodes = Nodes::new(record("own", NodeRole::Front, FormatLevel::OWN));
    let level = || nodes.shared_level(NodeRole::Front);
    let known = || (level(), nodes.outdated_nodes().get());
    assert_eq!(
        level(),
        FormatLevel::UNKNOWN,
        "the other nodes are not known yet"
    );
    let activity = Activity::default();
    let _work = activity.start();
    let put = async |text: &str| {
        store.write("ladderstage/node/other", text.as_bytes().to_vec());
        sleep(APPLIED).await;
    };
    let upgraded = record("other", NodeRole::Front, FormatLevel::OWN);
    let upgraded = serde_json::to_string(&upgraded).unwrap();
    let unnamed = records(OLDER_RECORDS[0])["front"].replace("front-1", "other");
    let newer = unnamed.replace(r#"{"#, r#"{"formats":4000000000,"unheard_of":[],"#);
    let scenario = async {
        put(&unnamed).await;
        assert_eq!(known(), (FormatLevel::UNKNOWN, 1));
        put(&upgraded).await;
        assert_eq!(known(), (FormatLevel::OWN, 0));
        put(&newer).await;
        assert_eq!(
            known(),
            (FormatLevel::OWN, 0),
            "a higher level counts as this node's own"
        );
        put(&unnamed).await;
        assert_eq!(known(), (FormatLevel::UNKNOWN, 1), "rolled back");
        let stores = nodes.shared_level(NodeRole::Store);
        assert_eq!(stores, FormatLevel::OWN, "no store has a lower level");
    };
    tokio::select! {
        () = nodes.run(coordination, &activity) => {}
        () = scenario => {}
    }
}

/// Guards against a store that rolls a change of the replica set back because it has just started.
#[tokio::test(start_paused = true)]
async fn replicas_join_together_once_all_stores_are_known_to_wait_for_each_other() {
    let store = MemoryStore::default();
    let coordination: Arc<dyn Coordination> = Arc::new(store.of("own"));
    let nodes = Nodes::new(record("own", NodeRole::Store, FormatLevel::OWN));
    let known = || (nodes.replicas_join_together(), nodes.knows_earlier_builds());
    assert_eq!(known(), (false, false), "no records were read yet");
    let activity = Activity::default();
    let _work = activity.start();
    let put = async |level: FormatLevel| {
        let other = serde_json::to_vec(&record("other", NodeRole::Store, level)).unwrap();
        store.write("ladderstage/node/other", other);
        sleep(APPLIED).await;
    };
    let scenario = async {
        put(FormatLevel::PACKED_ROSTER).await;
        assert_eq!(known(), (false, true));
        put(FormatLevel::JOINT_COPIES).await;
        assert_eq!(known(), (true, false));
    };
    tokio::select! {
        () = nodes.run(coordination, &activity) => {}
        () = scenario => {}
    }
}

proptest! {
    /// The lowest level among the nodes with the role decides.
    #[test]
    fn the_lowest_level_of_a_role_is_shared(
        fronts in prop::collection::vec(0..4u32, 0..6),
        stores in prop::collection::vec(0..4u32, 0..6),
    ) {
        let of = |role, levels: &[u32]| -> Vec<NodeRecord> {
            levels.iter().map(|level| record("n", role, FormatLevel(*level))).collect()
        };
        let mut all = of(NodeRole::Front, &fronts);
        all.extend(of(NodeRole::Store, &stores));
        let lowest = |levels: &[u32]| {
            levels.iter().min().map_or(FormatLevel::OWN, |level| FormatLevel(*level))
        };
        prop_assert_eq!(shared_level(&all, NodeRole::Front), lowest(&fronts));
        prop_assert_eq!(shared_level(&all, NodeRole::Store), lowest(&stores));
    }
}

//! Loss of several replicas of a set of five, one of two losses that it tolerates after the other.

use std::sync::Arc;
use std::time::Duration;

use ladderstage_wire::messages::{LogEntry, ReplicaSet};

use crate::key_value_server::KeyValueServer;
use crate::network::{Network, entry, until, write_log};
use crate::replica_sets::until_version;

/// Nodes with a disk; the first five are the initial replicas.
const DISKS: [&str; 7] = ["n0", "n1", "n2", "n3", "n4", "n5", "n6"];

/// Node without a disk, which writes and reads.
const CLIENT: &str = "n7";

/// Starts a set of five with two spares; `with_bundle` can join it.
async fn start(server: &KeyValueServer, with_bundle: &[&str]) -> Arc<Network> {
    let network = Network::with_initial_replicas(Some(server.url.clone()), 5);
    for node in DISKS {
        network.start_node(node, true);
    }
    network.start_node(CLIENT, false);
    until_version(&network, 1).await;
    network.store_bundle(with_bundle).await;
    network
}

/// Writes logs that no replica in `without` stores.
async fn write_logs(network: &Network, without: &[&str], count: usize) -> Vec<(String, LogEntry)> {
    network.lose_writes(without);
    let mut written = Vec::new();
    for number in 0..count {
        let log = format!("shard/t/{number}/0");
        write_log(network, CLIENT, &log, &[entry(&log)], false).await;
        written.push((log.clone(), entry(&log)));
    }
    network.lose_writes(&[]);
    written
}

async fn assert_readable(network: &Arc<Network>, written: &[(String, LogEntry)]) {
    until("the client knows the set", async || {
        network.ping();
        network.journal(CLIENT).describe("").await.is_ok()
    })
    .await;
    for (log, entry) in written {
        let found = network.journal(CLIENT).read(log).await.unwrap();
        assert_eq!(found, Some(vec![entry.clone()]), "{log}");
    }
}

/// Stops two nodes at the same moment.
async fn stop_both(network: &Network, nodes: [&str; 2]) {
    let [first, second] = nodes.map(|node| network.stop_node(node));
    futures_util::future::join(first, second).await;
}

/// Waits until a set without a change in progress has exactly these members, and returns it.
async fn until_members(network: &Arc<Network>, nodes: &[&str]) -> ReplicaSet {
    let newest = || {
        let sets = network.sets().into_iter();
        sets.max_by_key(|set| set.version).unwrap()
    };
    until("the set has its new members", async || {
        network.ping();
        let set = newest();
        let mut members: Vec<_> = set.current.iter().map(|member| &member.node).collect();
        members.sort();
        set.next.is_empty() && members == nodes
    })
    .await;
    newest()
}

#[tokio::test]
async fn two_replicas_lost_at_once_are_replaced_by_one_change() {
    let server = KeyValueServer::start().await;
    let network = start(&server, &DISKS).await;
    let written = write_logs(&network, &["n0", "n1"], 40).await;
    stop_both(&network, ["n3", "n4"]).await;
    let set = until_members(&network, &["n0", "n1", "n2", "n5", "n6"]).await;
    assert_eq!(set.version, 3, "a joint set and a final one");
    stop_both(&network, ["n0", "n1"]).await;
    assert_readable(&network, &written).await;
}

#[tokio::test]
async fn a_change_waits_until_every_joining_replica_has_copied() {
    let server = KeyValueServer::start().await;
    // A replica can join only with the bundle.
    let network = start(&server, &["n0", "n1", "n2", "n3", "n4", "n5"]).await;
    let written = write_logs(&network, &["n0", "n1"], 10).await;
    stop_both(&network, ["n3", "n4"]).await;
    let n5 = network.node("n5").storage.clone().unwrap();
    until("n5 has copied the logs", async || {
        network.ping();
        n5.open_logs("").len() == written.len()
    })
    .await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(network.versions().into_iter().all(|version| version <= 2));
    network.store_bundle(&["n6"]).await;
    let set = until_members(&network, &["n0", "n1", "n2", "n5", "n6"]).await;
    assert_eq!(set.version, 3);
    assert_readable(&network, &written).await;
}

#[tokio::test]
async fn a_replica_lost_during_a_change_becomes_part_of_it() {
    let server = KeyValueServer::start().await;
    let network = start(&server, &["n0", "n1", "n2", "n3", "n4"]).await;
    let written = write_logs(&network, &["n0", "n1"], 10).await;
    network.stop_node("n4").await;
    until_version(&network, 2).await;
    network.stop_node("n3").await;
    until_version(&network, 3).await;
    network.store_bundle(&["n5", "n6"]).await;
    let set = until_members(&network, &["n0", "n1", "n2", "n5", "n6"]).await;
    assert_eq!(
        set.version, 4,
        "the change was extended, not followed by another"
    );
    stop_both(&network, ["n0", "n1"]).await;
    assert_readable(&network, &written).await;
}

#[tokio::test]
async fn a_joining_replica_lost_after_its_copy_is_replaced() {
    let server = KeyValueServer::start().await;
    let network = start(&server, &["n0", "n1", "n2", "n3", "n4", "n5"]).await;
    let written = write_logs(&network, &["n0", "n1"], 10).await;
    stop_both(&network, ["n3", "n4"]).await;
    until_version(&network, 2).await;
    network.stop_node("n5").await;
    network.erase("n5");
    network.start_node("n5", true);
    network.store_bundle(&["n5", "n6"]).await;
    until_members(&network, &["n0", "n1", "n2", "n5", "n6"]).await;
    stop_both(&network, ["n0", "n1"]).await;
    assert_readable(&network, &written).await;
}

#[tokio::test]
async fn joining_replicas_that_do_not_reach_each_other_join() {
    let server = KeyValueServer::start().await;
    let network = start(&server, &DISKS).await;
    let written = write_logs(&network, &["n0", "n1"], 10).await;
    network.separate(&["n5", "n6"]);
    stop_both(&network, ["n3", "n4"]).await;
    let set = until_members(&network, &["n0", "n1", "n2", "n5", "n6"]).await;
    assert_eq!(set.version, 3);
    assert_readable(&network, &written).await;
}

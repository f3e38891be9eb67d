//! Loss of several replicas of a set of five, one of two losses that it tolerates after the other.

use std::sync::Arc;
use std::time::Duration;

use ladderstage_wire::messages::{LogEntry, ReplicaSet};

use crate::key_value_server::KeyValueServer;
use crate::network::{Network, entry, until};
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
        let (mut writer, _) = network.journal(CLIENT).take_over(&log).await.unwrap();
        writer.append(vec![entry(&log)], false).await.unwrap();
        written.push((log.clone(), entry(&log)));
    }
    network.lose_writes(&[]);
    written
}

async fn assert_readable(network: &Network, written: &[(String, LogEntry)]) {
    for (log, entry) in written {
        let found = network.journal(CLIENT).read(log).await.unwrap();
        assert_eq!(found, Some(vec![entry.clone()]), "{log}");
    }
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
    network.stop_node("n3").await;
    network.stop_node("n4").await;
    let set = until_members(&network, &["n0", "n1", "n2", "n5", "n6"]).await;
    assert_eq!(set.version, 3, "a joint set and a final one");
    network.stop_node("n0").await;
    network.stop_node("n1").await;
    assert_readable(&network, &written).await;
}

//! Creation and change of the replica set through a key-value service with faults.

use std::sync::Arc;
use std::time::Duration;

use ladderstage_daemon::journal::JournalError;
use ladderstage_daemon::replica_set::SetRecords;
use ladderstage_platform::key_value::KeyValue;
use ladderstage_wire::messages::LogEntry;

use crate::key_value_server::{Fault, KeyValueServer};
use crate::network::{Network, entry, until, write_log};

/// Starts nodes of which `n0` to `n2` are the initial replicas and the first `folders` have a data folder.
pub async fn start(server: &KeyValueServer, nodes: usize, folders: usize) -> Arc<Network> {
    start_with_replicas(server, nodes, folders, 3).await
}

/// As [`start`], with the first `replicas` nodes as initial replicas.
pub async fn start_with_replicas(
    server: &KeyValueServer,
    nodes: usize,
    folders: usize,
    replicas: usize,
) -> Arc<Network> {
    let network = Network::with_initial_replicas(Some(server.url.clone()), replicas);
    for index in 0..nodes {
        network.start_node(&format!("n{index}"), index < folders);
    }
    until_version(&network, 1).await;
    for index in 0..replicas {
        network.store_bundle(&[&format!("n{index}")]).await;
    }
    network
}

/// Waits until every node knows a set of at least this version; nodes exchange versions as with pings.
pub async fn until_version(network: &Arc<Network>, version: u64) {
    until("every node knows the set", async || {
        network.ping();
        network.versions().into_iter().all(|known| known >= version)
    })
    .await;
}

async fn write(network: &Network, node: &str, log: &str) -> Vec<LogEntry> {
    let entries = vec![entry("a"), entry(log), entry("b")];
    write_log(network, node, log, &entries[..2], false).await;
    write_log(network, node, log, &entries, false).await;
    entries
}

/// Closes a log that must hold `entries`; starts over when the set changes meanwhile, as writers do.
async fn close_log(network: &Network, log: &str, entries: &[LogEntry]) {
    until("the log is closed", async || {
        let Ok((mut writer, found)) = network.journal("n4").take_over(log).await else {
            return false;
        };
        assert_eq!(found[..entries.len()], *entries, "{log}");
        found.len() > entries.len() || writer.append(vec![entry("c")], true).await.is_ok()
    })
    .await;
}

#[tokio::test]
async fn one_initial_set_is_created_although_answers_are_lost() {
    let server = KeyValueServer::start().await;
    for fault in [
        Fault::CutAfter,
        Fault::RateLimited,
        Fault::CutAfter,
        Fault::CutBefore,
        Fault::CutAfter,
    ] {
        server.queue_write_fault(fault);
    }
    let network = start(&server, 5, 3).await;
    let sets = network.sets();
    assert!(sets.iter().all(|set| set == &sets[0]), "{sets:?}");
    let expected: Vec<_> = ["n0", "n1", "n2"].map(|name| network.member(name)).into();
    assert_eq!((sets[0].version, &sets[0].current), (1, &expected));
    write(&network, "n4", "shard/t/1/0").await;
}

#[tokio::test]
async fn all_nodes_restart_while_the_key_value_service_is_down() {
    let server = KeyValueServer::start().await;
    let network = start(&server, 4, 3).await;
    let entries = write(&network, "n3", "shard/t/1/0").await;
    server.set_fault(Some(Fault::CutBefore));
    for index in 0..4 {
        network.stop_node(&format!("n{index}")).await;
    }
    for index in 0..4 {
        network.start_node(&format!("n{index}"), index < 3);
    }
    until_version(&network, 1).await;
    let (_, found) = network
        .journal("n3")
        .take_over("shard/t/1/0")
        .await
        .unwrap();
    assert_eq!(found, entries);
}

#[tokio::test]
async fn a_lost_replica_is_replaced_by_a_spare_that_receives_all_logs() {
    let server = KeyValueServer::start().await;
    let network = start(&server, 5, 4).await;
    // The entries are stored only at the replicas that are stopped below.
    network.lose_writes(&["n0"]);
    let mut written = Vec::new();
    for number in 0..150 {
        let log = format!("shard/t/{number}/0");
        written.push((log.clone(), write(&network, "n4", &log).await));
    }
    network.lose_writes(&[]);
    let (mut early, _) = network.journal("n4").take_over("shard/e").await.unwrap();
    let spare = network.member("n3");
    network.stop_node("n2").await;
    server.queue_write_fault(Fault::CutAfter);
    until_version(&network, 2).await;
    // The change must wait until the spare holds the bundle, or heartbeat majorities could lose it.
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(network.versions().into_iter().all(|version| version == 2));
    network.store_bundle(&["n3"]).await;
    until_version(&network, 3).await;
    let set = network.sets().remove(0);
    assert_eq!(
        set.current,
        [network.member("n0"), network.member("n1"), spare]
    );
    assert!(set.next.is_empty());
    // The spare must now make up for the loss of another replica.
    network.stop_node("n1").await;
    // The last replica of the writer's set must report the newer set, because no majority of the old one is left.
    let stale = Err(JournalError::StaleReplicaSet);
    assert_eq!(early.confirm_ownership().await, stale);
    assert_eq!(early.append(vec![entry("d")], false).await, stale);
    for (log, entries) in written {
        close_log(&network, &log, &entries).await;
    }
}

#[tokio::test]
async fn a_node_that_returns_with_an_empty_disk_replaces_itself() {
    let server = KeyValueServer::start().await;
    let network = start(&server, 4, 3).await;
    let entries = write(&network, "n3", "shard/t/1/0").await;
    let lost = network.member("n2");
    network.stop_node("n2").await;
    network.erase("n2");
    network.start_node("n2", true);
    network.store_bundle(&["n2"]).await;
    until_version(&network, 3).await;
    let returned = network.member("n2");
    assert_ne!(returned, lost);
    assert!(network.sets()[0].current.contains(&returned));
    network.stop_node("n0").await;
    let read = network.journal("n3").read("shard/t/1/0").await.unwrap();
    assert_eq!(read, Some(entries));
}

/// Guards against a member that was not told of a newer set and waits for ever: its heartbeats
/// reach only a node whose disk was replaced.
#[tokio::test]
async fn a_member_learns_a_newer_set_from_a_node_with_a_new_disk() {
    let network = Network::start(3, 3).await;
    let mut newer = network.sets()[0].clone();
    newer.version += 1;
    network.stop_node("n1").await;
    network.erase("n1");
    let replaced = network.start_node("n1", true);
    replaced.replica_sets.learn(newer).await.unwrap();
    until("the others know the newer set", async || {
        network.versions().into_iter().all(|version| version == 2)
    })
    .await;
}

/// Guards against a member that was not told of a newer set and to which no node is left that knows
/// it.
#[tokio::test]
async fn a_member_that_missed_an_announcement_reads_the_recorded_set_after_a_loss() {
    let server = KeyValueServer::start().await;
    let network = start(&server, 3, 3).await;
    let records = KeyValue::new(vec![server.url.clone()], Duration::from_secs(2));
    let recorded = SetRecords::read(&records).await.unwrap().unwrap();
    let mut newer = recorded.set;
    newer.version += 1;
    newer.current.retain(|member| member.node != "n0");
    SetRecords::swap(&records, recorded.mod_revision, newer)
        .await
        .unwrap();
    network.stop_node("n0").await;
    until("the members know the newer set", async || {
        network.versions().into_iter().all(|version| version == 2)
    })
    .await;
}

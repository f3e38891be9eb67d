//! Logs that are longer than one message between nodes.

use std::time::Duration;

use ladderstage_daemon::journal::{JournalError, LogWriter};
use ladderstage_wire::frame::MAX_PAYLOAD_BYTES;
use ladderstage_wire::messages::LogEntry;

use crate::key_value_server::KeyValueServer;
use crate::network::Network;
use crate::replica_sets::{start, until_version};

const LOG: &str = "shard/trainer/1/0";

/// Size of an entry, in bytes. Not a divisor of the size of a part, so that parts split entries.
const ENTRY_BYTES: usize = 1_500_000;

/// Number of entries whose total size exceeds the frame limit.
const ENTRIES: usize = MAX_PAYLOAD_BYTES / ENTRY_BYTES + 1;

/// Number of attempts to take a log over.
const TAKE_OVER_ATTEMPTS: usize = 10;

/// Pause between two attempts to take a log over.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

fn long_entry(number: usize, bytes: usize) -> LogEntry {
    LogEntry {
        payload: vec![number as u8; bytes],
    }
}

/// Writes a log that exceeds the frame limit, one entry at a time, and drops its writer.
async fn write_long_log(network: &Network, node: &str) -> Vec<LogEntry> {
    let (mut writer, _) = network.journal(node).take_over(LOG).await.unwrap();
    let entries: Vec<_> = (0..ENTRIES)
        .map(|number| long_entry(number, ENTRY_BYTES))
        .collect();
    for entry in &entries {
        writer.append(vec![entry.clone()], false).await.unwrap();
    }
    entries
}

/// Takes the log over while a replica is disconnected. Repeats attempts whose epoch was too low for one
/// of the others.
async fn take_over(network: &Network, node: &str) -> (LogWriter, Vec<LogEntry>) {
    for _ in 0..TAKE_OVER_ATTEMPTS {
        match network.journal(node).take_over(LOG).await {
            Err(JournalError::NoQuorum(_)) => tokio::time::sleep(RETRY_PAUSE).await,
            taken => return taken.unwrap(),
        }
    }
    panic!("the log was not taken over");
}

/// Guards against a log that is lost with its writer once it exceeds the frame limit.
#[tokio::test]
async fn a_log_over_the_frame_limit_is_taken_over() {
    let network = Network::start(5, 3).await;
    let entries = write_long_log(&network, "n3").await;
    let (mut writer, found) = network.journal("n4").take_over(LOG).await.unwrap();
    assert!(found == entries, "found {} entries", found.len());
    writer.append(vec![long_entry(99, 10)], true).await.unwrap();
    let read = network.journal("n3").read(LOG).await.unwrap().unwrap();
    assert_eq!(read.len(), ENTRIES + 1);
}

/// Guards against a replica that cannot catch up with a log whose missing entries exceed the frame limit.
#[tokio::test]
async fn a_replica_that_lacks_more_than_the_frame_limit_receives_the_log() {
    let network = Network::start(5, 3).await;
    network.set_disconnected(&["n0"]);
    let entries = write_long_log(&network, "n3").await;
    network.set_disconnected(&["n1"]);
    let (mut writer, found) = take_over(&network, "n4").await;
    assert!(found == entries, "found {} entries", found.len());
    writer.append(vec![long_entry(99, 10)], true).await.unwrap();
    network.set_disconnected(&["n2"]);
    let read = network.journal("n3").read(LOG).await.unwrap().unwrap();
    assert_eq!(read.len(), ENTRIES + 1);
}

/// Guards against lost disks that cannot be replaced while a log over the frame limit is kept, so that
/// the next loss of a disk loses all logs.
#[tokio::test]
async fn a_lost_replica_is_replaced_while_a_log_over_the_frame_limit_is_kept() {
    let server = KeyValueServer::start().await;
    let network = start(&server, 5, 4).await;
    let entries = write_long_log(&network, "n4").await;
    network.store_bundle(&["n3"]).await;
    network.stop_node("n2").await;
    until_version(&network, 3).await;
    network.stop_node("n1").await;
    let (_, found) = network.journal("n4").take_over(LOG).await.unwrap();
    assert!(found == entries, "found {} entries", found.len());
}

/// Guards against entries that can never be stored because one of them exceeds the frame limit.
#[tokio::test]
async fn an_entry_over_the_frame_limit_is_stored_and_taken_over() {
    let network = Network::start(5, 3).await;
    let (mut writer, _) = network.journal("n3").take_over(LOG).await.unwrap();
    let entries = vec![
        long_entry(1, 10),
        long_entry(2, MAX_PAYLOAD_BYTES + ENTRY_BYTES),
        long_entry(3, 0),
    ];
    writer.append(entries.clone(), false).await.unwrap();
    let (_, found) = network.journal("n4").take_over(LOG).await.unwrap();
    assert!(found == entries, "found {} entries", found.len());
}

/// Guards against a log that counts as orphaned while a node takes it over, so that nodes take it from
/// each other without end.
#[tokio::test]
async fn a_log_is_not_orphaned_while_it_is_read_for_a_takeover() {
    // Five parts take longer than the owner timeout of 3 s.
    const READ_DELAY: Duration = Duration::from_secs(1);
    let network = Network::start(5, 3).await;
    let entries = write_long_log(&network, "n3").await;
    network.set_read_delay(READ_DELAY);
    let (_writer, found) = network.journal("n4").take_over(LOG).await.unwrap();
    assert!(found == entries, "found {} entries", found.len());
    for name in ["n0", "n1", "n2", "n3", "n4"] {
        let is_orphaned = network.with_hook_calls(name, |calls| calls.orphaned.contains(LOG));
        assert!(!is_orphaned, "{name} is to take the log over");
    }
}

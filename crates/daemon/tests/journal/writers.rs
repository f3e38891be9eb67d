//! Takeovers, appends and reads while replicas are disconnected, frozen, restarted or lost.

use ladderstage::journal::WriterEpoch;
use ladderstage_daemon::journal::JournalError;

use crate::network::{Network, ROUND_TIMEOUT, entry, until};

const LOG: &str = "shard/trainer/1/0";

#[tokio::test]
async fn committed_entries_are_read_everywhere_and_survive_a_disconnected_replica() {
    let network = Network::start(4, 3).await;
    let (mut writer, found) = network.journal("n3").take_over(LOG).await.unwrap();
    assert!(found.is_empty());
    writer
        .append(vec![entry("a"), entry("b")], false)
        .await
        .unwrap();
    network.set_disconnected(&["n0"]);
    writer.append(vec![entry("c")], true).await.unwrap();
    let all = vec![entry("a"), entry("b"), entry("c")];
    for node in ["n1", "n2", "n3"] {
        assert_eq!(
            network.journal(node).read(LOG).await.unwrap(),
            Some(all.clone())
        );
    }
    assert_eq!(
        network.journal("n3").read("shard/none").await.unwrap(),
        None
    );
    let described = network.journal("n3").describe("shard/").await.unwrap();
    assert_eq!(
        (described.len(), described[0].length, described[0].closed),
        (1, 3, true)
    );
    assert_eq!(described[0].owner_node, "n3");
}

#[tokio::test]
async fn a_writer_whose_log_was_taken_over_commits_nothing() {
    let network = Network::start(3, 3).await;
    let (mut paused, _) = network.journal("n0").take_over(LOG).await.unwrap();
    paused.append(vec![entry("a")], false).await.unwrap();
    paused.confirm_ownership().await.unwrap();
    let (mut successor, found) = network.journal("n1").take_over(LOG).await.unwrap();
    assert_eq!(found, [entry("a")]);
    assert!(successor.epoch() > paused.epoch());
    assert_eq!(paused.confirm_ownership().await, Err(JournalError::Fenced));
    successor.confirm_ownership().await.unwrap();
    let late = paused.append(vec![entry("late")], false).await;
    assert_eq!(late, Err(JournalError::Fenced));
    successor.append(vec![entry("b")], false).await.unwrap();
    let read = network.journal("n2").read(LOG).await.unwrap();
    assert_eq!(read, Some(vec![entry("a"), entry("b")]));
}

/// Guards against nodes with outdated information that take a log from its new writer, one after
/// the other.
#[tokio::test]
async fn a_conditional_takeover_does_not_fence_a_later_writer() {
    let network = Network::start(3, 3).await;
    let (mut first, _) = network.journal("n0").take_over(LOG).await.unwrap();
    first.append(vec![entry("a")], false).await.unwrap();
    let last = first.epoch();
    let taken = network.journal("n1").take_over_from(LOG, last).await;
    let (mut second, found) = taken.unwrap();
    assert_eq!(found, [entry("a")]);
    let late = network.journal("n2").take_over_from(LOG, last).await;
    assert_eq!(late.unwrap_err(), JournalError::Fenced);
    second.append(vec![entry("b")], false).await.unwrap();
    let (third, found) = network
        .journal("n2")
        .take_over_from(LOG, second.epoch())
        .await
        .unwrap();
    assert_eq!(found, [entry("a"), entry("b")]);
    assert!(third.epoch() > second.epoch());
}

/// Guards against two writers that both hold the log after conditional takeovers from one epoch.
#[tokio::test]
async fn at_most_one_of_several_conditional_takeovers_succeeds() {
    let network = Network::start(3, 3).await;
    let (first, _) = network.journal("n0").take_over(LOG).await.unwrap();
    let last = first.epoch();
    for _ in 0..20 {
        let journals = [network.journal("n1"), network.journal("n2")];
        let [left, right] = journals.map(|journal| async move {
            let taken = journal.take_over_from(LOG, last).await;
            taken.map(|(writer, _)| writer)
        });
        let (left, right) = tokio::join!(left, right);
        assert!(left.is_err() || right.is_err(), "both have taken the log");
    }
}

/// Guards against a front that reports an unreachable journal although it only competes with another
/// writer while one replica is away.
#[tokio::test]
async fn a_takeover_that_splits_the_replicas_with_another_one_is_fenced() {
    let network = Network::start(5, 3).await;
    network.set_disconnected(&["n1", "n2"]);
    let nobody = WriterEpoch::default();
    let first = network.journal("n3").take_over_from(LOG, nobody).await;
    assert!(matches!(first, Err(JournalError::NoQuorum(_))), "{first:?}");
    // Of the two replicas that answer now, one has promised the log to the first writer.
    network.set_disconnected(&["n2"]);
    let second = network.journal("n4").take_over_from(LOG, nobody).await;
    assert_eq!(second.unwrap_err(), JournalError::Fenced);
}

/// Guards against takeovers that start over for ever at replicas whose disks need longer for a write
/// than a round lasts.
#[tokio::test]
async fn a_log_is_taken_over_at_replicas_with_slow_disks() {
    let network = Network::start(4, 3).await;
    network.store_bundle(&["n0", "n1", "n2"]).await;
    until("the replicas answer heartbeats", async || {
        network.with_hook_calls("n3", |calls| calls.evidence_with_majority > 0)
    })
    .await;
    network.set_write_delay(ROUND_TIMEOUT + ROUND_TIMEOUT / 2);
    let journal = network.journal("n3");
    let mut attempts = 0;
    let mut writer = loop {
        attempts += 1;
        match journal.take_over(LOG).await {
            Ok((writer, _)) => break writer,
            Err(error) => assert!(attempts < 8, "attempt {attempts}: {error}"),
        }
    };
    writer.append(vec![entry("a")], false).await.unwrap();
    assert_eq!(journal.read(LOG).await.unwrap(), Some(vec![entry("a")]));
}

/// Guards against a round of writes of its own for the install of a log without entries, which a
/// front that accepts a job waits for.
#[tokio::test]
async fn the_first_entries_of_a_new_log_take_two_rounds_of_writes() {
    let network = Network::start(4, 3).await;
    let mut take_over = network
        .journal("n3")
        .start_take_over(LOG, WriterEpoch::default());
    let (mut writer, found) = take_over.attempt().await.unwrap();
    assert!(found.is_empty());
    writer.append(vec![entry("a")], false).await.unwrap();
    for replica in ["n0", "n1", "n2"] {
        until("all replicas hold the entry", async || {
            let storage = network.node(replica).storage.clone().unwrap();
            storage
                .log_state(LOG)
                .is_some_and(|state| state.length == 1)
        })
        .await;
        assert_eq!(network.writes_to(replica), ["seal", "install"]);
    }
    writer.append(vec![entry("b")], false).await.unwrap();
    let read = network.journal("n0").read(LOG).await.unwrap();
    assert_eq!(read, Some(vec![entry("a"), entry("b")]));
}

/// Guards against an attempt that asks replicas for another promise, which they write to their
/// disks, although they only need longer for the first one.
#[tokio::test]
async fn a_repeated_takeover_asks_for_the_same_promise() {
    let network = Network::start(4, 3).await;
    network.set_disconnected(&["n1", "n2"]);
    let mut take_over = network
        .journal("n3")
        .start_take_over(LOG, WriterEpoch::default());
    let lost = take_over.attempt().await;
    assert!(matches!(lost, Err(JournalError::NoQuorum(_))), "{lost:?}");
    let promised = || {
        let storage = network.node("n0").storage.clone().unwrap();
        storage.log_state(LOG).map(|state| state.promised)
    };
    until("a replica has promised the log", async || {
        promised().is_some()
    })
    .await;
    let first = promised().unwrap();
    network.set_disconnected(&["n2"]);
    let (mut writer, _) = take_over.attempt().await.unwrap();
    assert_eq!(writer.epoch(), first);
    writer.append(vec![entry("a")], false).await.unwrap();
}

/// Guards against two writers of one epoch: an epoch that a writer has used is not used again.
#[tokio::test]
async fn a_takeover_after_a_writer_has_another_epoch() {
    let network = Network::start(4, 3).await;
    let mut take_over = network
        .journal("n3")
        .start_take_over(LOG, WriterEpoch::default());
    let (first, _) = take_over.attempt().await.unwrap();
    let last = first.epoch();
    drop(first);
    let fenced = take_over.attempt().await;
    assert_eq!(fenced.unwrap_err(), JournalError::Fenced);
    let mut later = network.journal("n3").start_take_over(LOG, last);
    let (second, _) = later.attempt().await.unwrap();
    assert!(second.epoch() > last);
}

/// Guards against a writer of a new log that commits its first entries after another writer has
/// taken the log over.
#[tokio::test]
async fn the_first_entries_of_a_log_that_was_taken_over_are_refused() {
    let network = Network::start(5, 3).await;
    let nobody = WriterEpoch::default();
    let mut take_over = network.journal("n3").start_take_over(LOG, nobody);
    let (mut first, _) = take_over.attempt().await.unwrap();
    let mut take_over = network.journal("n4").start_take_over(LOG, first.epoch());
    let (mut second, found) = take_over.attempt().await.unwrap();
    assert!(found.is_empty());
    let late = first.append(vec![entry("late")], false).await;
    assert_eq!(late, Err(JournalError::Fenced));
    second.append(vec![entry("a")], false).await.unwrap();
    let read = network.journal("n0").read(LOG).await.unwrap();
    assert_eq!(read, Some(vec![entry("a")]));
}

/// A takeover that transfers a long log several times never finishes on a slow link.
#[tokio::test]
async fn a_takeover_transfers_a_long_log_once() {
    const ENTRIES: usize = 40;
    const ENTRY_BYTES: usize = 32 * 1024;
    let network = Network::start(7, 5).await;
    let (mut writer, _) = network.journal("n5").take_over(LOG).await.unwrap();
    let text = "x".repeat(ENTRY_BYTES);
    let entries = vec![entry(&text); ENTRIES];
    writer.append(entries.clone(), false).await.unwrap();
    drop(writer);
    let before = network.carried_bytes();
    let (mut successor, found) = network.journal("n6").take_over(LOG).await.unwrap();
    assert_eq!(found, entries);
    successor.append(vec![entry("next")], false).await.unwrap();
    let carried = network.carried_bytes() - before;
    let log = ENTRIES * ENTRY_BYTES;
    assert!(carried < log * 3 / 2, "{carried} bytes for a log of {log}");
}

#[tokio::test]
async fn concurrent_takeovers_in_one_process_do_not_share_an_epoch() {
    let network = Network::start(3, 3).await;
    let journal = network.journal("n0");
    let (first, second) = tokio::join!(journal.take_over(LOG), journal.take_over(LOG));
    let mut results = Vec::new();
    for writer in [first, second].into_iter().flatten() {
        let mut writer = writer.0;
        let text = format!("{:?}", writer.epoch());
        results.push(writer.append(vec![entry(&text)], false).await.is_ok());
    }
    let read = journal.read(LOG).await.unwrap().unwrap();
    assert_eq!(read.len(), results.iter().filter(|is_ok| **is_ok).count());
}

#[tokio::test]
async fn an_append_without_a_majority_is_retried_in_place() {
    let network = Network::start(3, 3).await;
    let (mut writer, _) = network.journal("n0").take_over(LOG).await.unwrap();
    network.set_disconnected(&["n1", "n2"]);
    let lost = writer.append(vec![entry("a")], false).await;
    assert!(matches!(lost, Err(JournalError::NoQuorum(_))), "{lost:?}");
    let other = writer.append(vec![entry("b")], false).await;
    assert_eq!(other, Err(JournalError::AppendPending));
    network.set_disconnected(&[]);
    writer.append(vec![entry("a")], false).await.unwrap();
    writer.append(vec![entry("b")], false).await.unwrap();
    let read = network.journal("n1").read(LOG).await.unwrap();
    assert_eq!(read, Some(vec![entry("a"), entry("b")]));
}

#[tokio::test]
async fn a_frozen_replica_delays_no_append_and_catches_up_later() {
    let network = Network::start(3, 3).await;
    let (mut writer, _) = network.journal("n0").take_over(LOG).await.unwrap();
    network.freeze(&["n2"]);
    for text in ["a", "b", "c"] {
        writer.append(vec![entry(text)], false).await.unwrap();
    }
    network.freeze(&[]);
    writer.append(vec![entry("d")], false).await.unwrap();
    let lagging = network.node("n2").storage.clone().unwrap();
    until("the replica caught up", async || {
        lagging
            .log_state(LOG)
            .is_some_and(|state| state.length == 4)
    })
    .await;
    let read = lagging.read_log(LOG).await.unwrap();
    assert_eq!(read.entries, ["a", "b", "c", "d"].map(entry));
}

#[tokio::test]
async fn a_replica_that_lost_its_disk_does_not_count_for_a_majority() {
    let network = Network::start(4, 3).await;
    let (mut writer, _) = network.journal("n3").take_over(LOG).await.unwrap();
    writer.append(vec![entry("a")], false).await.unwrap();
    network.stop_node("n2").await;
    network.erase("n2");
    let set = network.node("n0").replica_sets.current().unwrap();
    let returned = network.start_node("n2", true);
    returned
        .replica_sets
        .learn(set.as_ref().clone())
        .await
        .unwrap();
    writer.append(vec![entry("b")], false).await.unwrap();
    network.set_disconnected(&["n1"]);
    let lost = network.journal("n0").take_over(LOG).await;
    assert!(matches!(lost, Err(JournalError::NoQuorum(_))), "{lost:?}");
    let append = writer.append(vec![entry("c")], false).await;
    assert!(
        matches!(append, Err(JournalError::NoQuorum(_))),
        "{append:?}"
    );
}

#[tokio::test]
async fn logs_survive_a_restart_of_all_nodes() {
    let network = Network::start(3, 3).await;
    let (mut writer, _) = network.journal("n0").take_over(LOG).await.unwrap();
    writer.append(vec![entry("a")], false).await.unwrap();
    drop(writer);
    for name in ["n0", "n1", "n2"] {
        network.stop_node(name).await;
    }
    for name in ["n0", "n1", "n2"] {
        network.start_node(name, true);
    }
    let (mut writer, found) = network.journal("n1").take_over(LOG).await.unwrap();
    assert_eq!(found, [entry("a")]);
    writer.append(vec![entry("b")], false).await.unwrap();
}

#[tokio::test]
async fn a_writer_under_an_older_replica_set_is_refused_and_its_node_learns_the_newer_one() {
    let network = Network::start(4, 3).await;
    let (mut writer, _) = network.journal("n3").take_over(LOG).await.unwrap();
    let mut set = network
        .node("n0")
        .replica_sets
        .current()
        .unwrap()
        .as_ref()
        .clone();
    set.version = 2;
    for name in ["n0", "n1", "n2"] {
        network
            .node(name)
            .replica_sets
            .learn(set.clone())
            .await
            .unwrap();
    }
    let stale = writer.append(vec![entry("a")], false).await;
    assert_eq!(stale, Err(JournalError::StaleReplicaSet));
    let node = network.node("n3");
    until("the newer set is known", async || {
        node.replica_sets.version() == 2
    })
    .await;
    let (mut writer, found) = node.journal.take_over(LOG).await.unwrap();
    assert!(found.is_empty());
    writer.append(vec![entry("b")], false).await.unwrap();
}

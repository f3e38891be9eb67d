//! Heartbeats: notices of orphaned and fenced logs, and evidence from the replicas.

use crate::network::{Network, entry, until};

const LOG: &str = "shard/trainer/1/0";

#[tokio::test]
async fn an_orphaned_log_is_assigned_to_one_member() {
    let network = Network::start(5, 3).await;
    let (mut writer, _) = network.journal("n4").take_over(LOG).await.unwrap();
    writer.append(vec![entry("a")], false).await.unwrap();
    let (mut tended, _) = network
        .journal("n3")
        .take_over("shard/trainer/1/1")
        .await
        .unwrap();
    tended.append(vec![entry("a")], false).await.unwrap();
    let (mut closed, _) = network
        .journal("n4")
        .take_over("shard/trainer/1/2")
        .await
        .unwrap();
    closed.append(vec![entry("a")], true).await.unwrap();
    drop(writer);
    drop(closed);
    let names = ["n0", "n1", "n2", "n3", "n4"];
    let notified = || -> Vec<&str> {
        let is_notified =
            |name: &&str| network.with_hook_calls(name, |calls| calls.orphaned.contains(LOG));
        names.into_iter().filter(is_notified).collect()
    };
    until("a member is notified", async || !notified().is_empty()).await;
    assert_eq!(
        notified().len(),
        1,
        "every replica must notify the same member"
    );
    for name in names {
        network.with_hook_calls(name, |calls| {
            assert!(
                !calls.orphaned.contains("shard/trainer/1/1"),
                "a log with a live owner"
            );
            assert!(
                !calls.orphaned.contains("shard/trainer/1/2"),
                "a closed log"
            );
        });
    }
}

/// Guards against notices that go to the silent owner itself, again and again, as long as its
/// record is there.
#[tokio::test]
async fn the_silent_owner_of_orphaned_logs_is_not_their_successor() {
    const LOGS: usize = 12;
    let network = Network::start(5, 3).await;
    for index in 0..LOGS {
        let log = format!("shard/silent/1/{index}");
        let (mut writer, _) = network.journal("n4").take_over(&log).await.unwrap();
        writer.append(vec![entry("a")], false).await.unwrap();
    }
    let notified = |names: &[&str]| -> usize {
        let orphaned = |name: &&str| network.with_hook_calls(name, |calls| calls.orphaned.len());
        names.iter().map(orphaned).sum()
    };
    until("all logs have a successor", async || {
        notified(&["n0", "n1", "n2", "n3"]) == LOGS
    })
    .await;
    assert_eq!(notified(&["n4"]), 0, "the owner is silent");
}

/// Guards against orphaned logs that wait for an unreachable successor.
#[tokio::test]
async fn orphaned_logs_of_an_unreachable_successor_go_to_the_next_one() {
    const LOGS: usize = 12;
    let network = Network::start(5, 3).await;
    for index in 0..LOGS {
        let log = format!("shard/silent/1/{index}");
        let (mut writer, _) = network.journal("n4").take_over(&log).await.unwrap();
        writer.append(vec![entry("a")], false).await.unwrap();
    }
    network.refuse_connections(&["n3", "n4"]);
    until("all logs have a successor", async || {
        let orphaned = |name: &&str| network.with_hook_calls(name, |calls| calls.orphaned.len());
        ["n0", "n1", "n2"].iter().map(orphaned).sum::<usize>() >= LOGS
    })
    .await;
}

#[tokio::test]
async fn heartbeats_notify_a_fenced_writer() {
    let network = Network::start(3, 3).await;
    let (_paused, _) = network.journal("n0").take_over(LOG).await.unwrap();
    let (_successor, _) = network.journal("n1").take_over(LOG).await.unwrap();
    until("the fenced node is notified", async || {
        network.with_hook_calls("n0", |calls| calls.fenced.contains(LOG))
    })
    .await;
    assert!(network.with_hook_calls("n1", |calls| calls.fenced.is_empty()));
}

#[tokio::test]
async fn heartbeats_collect_evidence_from_a_majority_without_any_log() {
    let network = Network::start(4, 3).await;
    network.set_disconnected(&["n0"]);
    network.store_bundle(&["n0", "n1", "n2"]).await;
    until("evidence of the two connected replicas", async || {
        network.with_hook_calls("n3", |calls| calls.evidence_with_majority == 2)
    })
    .await;
    network.set_disconnected(&[]);
    until("evidence of all replicas", async || {
        network.with_hook_calls("n3", |calls| calls.evidence_with_majority == 3)
    })
    .await;
}

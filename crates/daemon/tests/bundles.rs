//! Rolls of bundles with races, lost answers and outages, over a key-value service with injected faults.

#[path = "support/bundle_cluster.rs"]
mod bundle_cluster;
#[path = "../../platform/tests/support/key_value_server.rs"]
mod key_value_server;

use std::time::{Duration, Instant};

use bundle_cluster::{Cluster, signed, text, wait_for_revision, wait_until};
use key_value_server::{Fault, KeyValueServer};
use ladderstage_daemon::bundles::{Bundles, ProposalState, Refusal, RollOutcome};
use ladderstage_wire::messages::mod_Response::OneOfkind as ResponseKind;
use ladderstage_wire::messages::{BundleEvidence, PushBundle};

const NODES: [&str; 5] = ["n1", "n2", "n3", "n4", "n5"];

async fn start() -> (KeyValueServer, Cluster, Vec<Bundles>) {
    let server = KeyValueServer::start().await;
    let cluster = Cluster::new(&server.url);
    let nodes = cluster.start_nodes(&NODES).await;
    (server, cluster, nodes)
}

async fn roll(node: &Bundles, revision: u64, note: &str) -> RollOutcome {
    node.roll(signed(&text(revision, note))).await
}

async fn accept(node: &Bundles, revision: u64) -> String {
    match roll(node, revision, "plain").await {
        RollOutcome::Accepted {
            revision: accepted,
            proposal_id,
        } if accepted == revision => proposal_id,
        other => panic!("{other:?}"),
    }
}

#[tokio::test]
async fn an_accepted_bundle_survives_an_outage_and_restarts() {
    let (server, cluster, mut nodes) = start().await;
    let proposal = accept(&nodes[3], 1).await;
    server.set_fault(Some(Fault::CutBefore));
    wait_for_revision(&nodes, 1).await;
    assert_eq!(
        accept(&nodes[1], 1).await,
        proposal,
        "rolling the same text again must return the first proposal"
    );

    drop(nodes);
    NODES.iter().for_each(|node| cluster.stop(node));
    nodes = cluster.start_nodes(&NODES).await;
    wait_for_revision(&nodes, 1).await;
    assert!(matches!(
        roll(&nodes[0], 2, "plain").await,
        RollOutcome::NotRun { .. }
    ));
    assert!(
        nodes.iter().all(|node| !node.may_deliver()),
        "no evidence for revision 1 is available yet"
    );
}

#[tokio::test]
async fn one_of_two_concurrent_rolls_wins_and_the_other_reports_the_winner() {
    let (_server, _cluster, nodes) = start().await;
    for revision in 1..=5 {
        let rolls = (
            roll(&nodes[0], revision, "first"),
            roll(&nodes[4], revision, "second"),
        );
        let (accepted, lost) = match tokio::join!(rolls.0, rolls.1) {
            (first @ RollOutcome::Accepted { .. }, second) => (first, second),
            (first, second) => (second, first),
        };
        let RollOutcome::Accepted {
            proposal_id: winner,
            ..
        } = accepted
        else {
            panic!("{accepted:?}, {lost:?}");
        };
        let RollOutcome::Lost {
            revision: lost_to,
            digest,
            proposal_id,
        } = lost
        else {
            panic!("{lost:?}");
        };
        assert_eq!((lost_to, proposal_id), (revision, winner));
        wait_for_revision(&nodes, revision).await;
        assert!(
            nodes
                .iter()
                .all(|node| node.current().unwrap().digest() == digest)
        );
    }
}

#[tokio::test]
async fn a_lost_answer_neither_loses_nor_repeats_the_roll() {
    let (server, _cluster, nodes) = start().await;
    for (revision, fault) in [
        (1, Fault::CutBefore),
        (2, Fault::CutAfter),
        (3, Fault::Garbage),
    ] {
        server.queue_write_fault(fault);
        accept(&nodes[0], revision).await;
        wait_for_revision(&nodes, revision).await;
    }
    server.queue_write_fault(Fault::RateLimited);
    accept(&nodes[0], 4).await;
}

#[tokio::test]
async fn an_unknown_outcome_is_reported_and_can_be_queried() {
    let server = KeyValueServer::start().await;
    let mut cluster = Cluster::new(&server.url);
    cluster.short_deadline_node = "n5";
    let nodes = cluster.start_nodes(&NODES).await;
    accept(&nodes[0], 1).await;
    wait_for_revision(&nodes, 1).await;
    // The swap takes effect, but this and all later calls get no answer.
    server.queue_write_fault(Fault::CutAfterThenDown);
    let RollOutcome::Unknown { proposal_id, .. } = roll(&nodes[4], 2, "plain").await else {
        panic!("expected an unknown outcome");
    };
    assert!(
        nodes
            .iter()
            .all(|node| node.current().unwrap().bundle.revision == 1)
    );
    assert!(matches!(
        nodes[1].proposal(&proposal_id).await,
        ProposalState::Unknown { .. }
    ));
    server.set_fault(None);
    wait_for_revision(&nodes, 2).await;
    let state = nodes[1].proposal(&proposal_id).await;
    assert!(
        matches!(state, ProposalState::Accepted { revision: 2, .. }),
        "{state:?}"
    );
    let other = nodes[1].proposal("nobody").await;
    assert_eq!(other, ProposalState::NotSeen { in_force: 2 });
}

#[tokio::test]
async fn replicas_that_know_a_newer_replica_set_do_not_count_for_an_older_one() {
    let server = KeyValueServer::start().await;
    let mut cluster = Cluster::new(&server.url);
    cluster.short_deadline_node = "n1";
    let nodes = cluster.start_nodes(&["n1", "n2", "n3"]).await;
    for node in ["n2", "n3"] {
        cluster.network.set_known_replica_set_version(node, 2);
    }
    let outcome = roll(&nodes[0], 1, "plain").await;
    let RollOutcome::Unknown { proposal_id, .. } = outcome else {
        panic!("accepted under an old replica set: {outcome:?}");
    };
    cluster.network.set_known_replica_set_version("n1", 2);
    let state = nodes[0].proposal(&proposal_id).await;
    assert!(
        matches!(state, ProposalState::Accepted { revision: 1, .. }),
        "{state:?}"
    );
}

#[tokio::test]
async fn nothing_is_accepted_before_a_quorum_of_replicas_holds_it() {
    let server = KeyValueServer::start().await;
    let mut cluster = Cluster::new(&server.url);
    cluster.short_deadline_node = "n4";
    let nodes = cluster.start_nodes(&["n1", "n4"]).await;
    let outcome = roll(&nodes[1], 1, "plain").await;
    assert!(
        matches!(outcome, RollOutcome::Unknown { .. }),
        "{outcome:?}"
    );
    let _second_replica = cluster.start("n2").await;
    accept(&nodes[0], 1).await;
}

#[tokio::test]
async fn evidence_comes_from_quorums_and_answers_and_expires() {
    let (server, _cluster, nodes) = start().await;
    accept(&nodes[0], 1).await;
    wait_for_revision(&nodes, 1).await;
    wait_until("evidence of the key-value service", || {
        nodes[4].may_deliver()
    })
    .await;
    server.set_fault(Some(Fault::CutBefore));
    wait_until("stale evidence", || !nodes[4].may_deliver()).await;

    let held = BundleEvidence {
        revision: 1,
        age_ms: 0,
        known: true,
    };
    let long_ago = Instant::now().checked_sub(Duration::from_secs(5)).unwrap();
    nodes[4].observe_evidence("n1", &held, long_ago);
    nodes[4].heartbeat_round(Instant::now(), std::slice::from_ref(&held), false);
    nodes[4].heartbeat_round(
        Instant::now(),
        &[held.clone(), BundleEvidence::default()],
        true,
    );
    nodes[4].observe_revision("n1", 1);
    assert!(!nodes[4].may_deliver());
    let sent_at = Instant::now();
    nodes[4].heartbeat_round(sent_at, &[held.clone(), held.clone()], true);
    nodes[3].observe_evidence("n1", &held, sent_at);
    for node in &nodes[3..] {
        let age = node.evidence_age().unwrap();
        assert!(age <= sent_at.elapsed());
    }
}

#[tokio::test]
async fn a_node_that_missed_a_bundle_holds_back_and_fetches_it() {
    let (server, cluster, mut nodes) = start().await;
    accept(&nodes[0], 1).await;
    cluster.network.disconnect("n5");
    nodes.pop();
    cluster.stop("n5");
    accept(&nodes[0], 2).await;
    wait_for_revision(&nodes, 2).await;
    server.set_fault(Some(Fault::CutBefore));
    let late = cluster.start("n5").await;
    late.observe_revision("n1", 2);
    assert!(!late.may_deliver());
    cluster.network.reconnect("n5");
    wait_until("the fetch", || {
        late.observe_revision("n1", 2);
        late.current()
            .is_some_and(|current| current.bundle.revision == 2)
    })
    .await;
}

/// Repeated announcements of an unavailable revision must not cause a fetch each.
#[tokio::test]
async fn an_unavailable_bundle_is_not_requested_without_pause() {
    const ROUNDS: usize = 40;
    let (_server, cluster, nodes) = start().await;
    accept(&nodes[0], 1).await;
    wait_for_revision(&nodes, 1).await;
    let before = cluster.network.fetches();
    for _ in 0..ROUNDS {
        nodes[0].observe_revision("n2", 9);
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let fetches = cluster.network.fetches() - before;
    assert!(fetches > 0, "the newer bundle was never requested");
    assert!(fetches < ROUNDS / 2, "{fetches} fetches in {ROUNDS} rounds");
}

#[tokio::test]
async fn invalid_bundles_are_refused_by_every_node() {
    let (_server, _cluster, nodes) = start().await;
    accept(&nodes[0], 1).await;
    wait_for_revision(&nodes, 1).await;
    let mut forged = signed(&text(2, "plain"));
    forged.text.push(b' ');
    for node in &nodes {
        let outcome = node.roll(forged.clone()).await;
        assert!(
            matches!(outcome, RollOutcome::Refused(Refusal::Signature(_))),
            "{outcome:?}"
        );
        let push = PushBundle {
            bundle: Some(forged.clone()),
            hops: 0,
        };
        let response = node.handle_push_bundle(push).await;
        assert!(matches!(response.kind, ResponseKind::refused(_)));
        let empty = PushBundle {
            bundle: None,
            hops: 0,
        };
        assert!(matches!(
            node.handle_push_bundle(empty).await.kind,
            ResponseKind::refused(_)
        ));
    }
    let skipped = roll(&nodes[2], 4, "plain").await;
    let RollOutcome::Refused(Refusal::Findings(findings)) = skipped else {
        panic!("{skipped:?}");
    };
    assert_eq!((findings[0].line, findings[0].column), (1, 12));
    assert!(
        nodes
            .iter()
            .all(|node| node.current().unwrap().bundle.revision == 1)
    );
}

#[tokio::test]
async fn an_older_record_in_the_service_changes_nothing() {
    let (server, _cluster, nodes) = start().await;
    accept(&nodes[0], 1).await;
    let old = server.snapshot();
    accept(&nodes[0], 2).await;
    wait_for_revision(&nodes, 2).await;
    server.restore(old);
    let push = PushBundle {
        bundle: Some(signed(&text(1, "plain"))),
        hops: 0,
    };
    let ResponseKind::bundle_state(state) = nodes[3].handle_push_bundle(push).await.kind else {
        panic!("a bundle that was in force must not be refused");
    };
    assert_eq!(state.revision, 2);
    let outcome = roll(&nodes[4], 2, "other").await;
    assert!(
        matches!(outcome, RollOutcome::Lost { revision: 2, .. }),
        "{outcome:?}"
    );
    accept(&nodes[4], 3).await;
    wait_for_revision(&nodes, 3).await;
}

#[tokio::test]
async fn a_lagging_read_of_the_service_is_no_evidence() {
    let (server, cluster, nodes) = start().await;
    accept(&nodes[0], 1).await;
    server.freeze_ranges();
    cluster.network.disconnect("n5");
    accept(&nodes[0], 2).await;
    // The disconnected node can learn only from the service.
    wait_until("evidence", || nodes[4].may_deliver()).await;
    wait_for_revision(&nodes[4..], 2).await;
    cluster.stop("n5");
    let fresh = cluster.start("n5").await;
    wait_until("evidence of the restarted node", || fresh.may_deliver()).await;
    assert_eq!(fresh.current().unwrap().bundle.revision, 2);
}

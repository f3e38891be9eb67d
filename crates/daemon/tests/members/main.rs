//! Membership over real connections: joining, crashes, restarts, planned stops, partitions, evidence.

mod cluster;

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cluster::{Hooks, Node, any_port, settings, start_all, until};
use ladderstage_transport::CallError;
use ladderstage_wire::messages::{
    BundleEvidence, MemberState, Ping, Request, mod_Refused::Reason, mod_Request,
};
use tokio::net::TcpListener;

#[tokio::test]
async fn nodes_join_through_one_seed_and_notice_a_crash_and_a_restart() {
    let mut nodes = start_all(&["a", "b", "c", "d", "e"]).await;
    let crashed = nodes.pop().expect("five");
    let before = crashed.members.own();
    crashed.crash();
    until("e is dead", || {
        nodes.iter().all(|node| node.sees("e", MemberState::DEAD))
    })
    .await;
    let seeds = [nodes[0].address()];
    let restarted = Node::start(&settings("e", &seeds)).await;
    until("e is alive again", || {
        nodes.iter().all(|node| node.sees("e", MemberState::ALIVE))
    })
    .await;
    let after = nodes[1].members.find("e").expect("known");
    assert_ne!(after.process, before.process);
    assert_eq!(after.process, restarted.members.own().process);
    assert_eq!(nodes[1].members.address("e"), Some(restarted.address()));
}

#[tokio::test]
async fn a_planned_stop_is_announced_and_stays_known() {
    let nodes = start_all(&["a", "b", "c"]).await;
    nodes[2].members.announce_leaving().await;
    until("c is known to leave", || {
        nodes
            .iter()
            .all(|node| node.sees("c", MemberState::LEAVING))
    })
    .await;
    until("c still counts as connected", || {
        !nodes[2].members.is_isolated()
    })
    .await;
    let alive = nodes[0].members.alive();
    assert!(alive.iter().all(|member| member.node != "c"));
    nodes[2].members.announce_left().await;
    until("c has left", || {
        nodes[..2]
            .iter()
            .all(|node| node.sees("c", MemberState::LEFT))
    })
    .await;
}

#[tokio::test]
async fn node_that_loses_the_majority_is_isolated_until_it_is_back() {
    let mut nodes = start_all(&["a", "b", "c"]).await;
    until("nobody is isolated", || {
        nodes.iter().all(|node| !node.members.is_isolated())
    })
    .await;
    let alone = nodes.remove(0);
    let addresses: Vec<_> = nodes.iter().map(Node::address).collect();
    nodes.into_iter().for_each(Node::crash);
    until("a is isolated", || alone.members.is_isolated()).await;
    until("a considers the others dead", || {
        alone.sees("b", MemberState::DEAD) && alone.sees("c", MemberState::DEAD)
    })
    .await;
    assert!(alone.members.is_isolated(), "dead members must count");
    let mut back = settings("b", &[]);
    back.peer_listen = addresses[0];
    // Neither node has a seed: only a probe of the dead member can find it.
    let _back = Node::start(&back).await;
    until("a is with the majority again", || {
        !alone.members.is_isolated()
    })
    .await;
}

#[tokio::test]
async fn member_that_only_others_reach_is_never_suspected() {
    // Long timeout, so that probes fail only by the refused connection.
    let with_long_timeout = |node: &str, seeds: &[SocketAddr]| {
        let mut settings = settings(node, seeds);
        settings.timing.probe_timeout_ms = 20_000;
        settings
    };
    let seed = Node::start(&with_long_timeout("seed", &[])).await;
    let target = Node::start(&with_long_timeout("target", &[seed.address()])).await;
    // Binds and closes a port to get an address without listener.
    let closed = TcpListener::bind(any_port()).await.expect("bind");
    let unused_address = closed.local_addr().expect("address");
    drop(closed);
    let mut half_connected = with_long_timeout("half-connected", &[seed.address()]);
    half_connected
        .peer_addresses
        .insert("target".to_owned(), unused_address);
    let half_connected = Node::start(&half_connected).await;
    until("the helper received many indirect pings", || {
        seed.answers.indirect_pings.load(Ordering::Relaxed) >= 40
    })
    .await;
    assert_eq!(
        half_connected.members.address("target"),
        Some(unused_address)
    );
    assert!(half_connected.sees("target", MemberState::ALIVE));
    let target_entry = target.members.own();
    assert_eq!(target_entry.incarnation, 0, "the target was suspected");
    until("target is not isolated", || !target.members.is_isolated()).await;
}

#[tokio::test]
async fn ping_for_another_node_is_refused() {
    let node = Node::start(&settings("a", &[])).await;
    let ping = Ping {
        from: "x".to_owned(),
        target: "b".to_owned(),
        ..Ping::default()
    };
    let request = Request {
        kind: mod_Request::OneOfkind::ping(ping),
    };
    let result = node
        .members
        .call("a", request, Duration::from_secs(30))
        .await;
    let Err(CallError::Refused(refused)) = result else {
        panic!("unexpected {result:?}");
    };
    assert_eq!(refused.reason, Reason::MALFORMED);
    let unknown = node
        .members
        .call("z", Request::default(), Duration::from_secs(30));
    assert!(matches!(unknown.await, Err(CallError::NotSent(_))));
}

#[tokio::test]
async fn evidence_has_an_age_only_in_answers() {
    let announced = BundleEvidence {
        revision: 7,
        age_ms: 40,
        known: true,
    };
    let hooks = Hooks {
        announced: announced.clone(),
        ..Hooks::default()
    };
    let sender = Node::start_with(&settings("a", &[]), hooks).await;
    let receiver = Node::start(&settings("b", &[sender.address()])).await;
    let learned = |known| {
        let learned = receiver.hooks.learned.lock().expect("lock");
        let mut learned = learned.iter();
        learned.any(|(from, evidence, _)| {
            from == "a" && evidence.revision == 7 && evidence.known == known
        })
    };
    until("b received evidence in an answer", || learned(true)).await;
    until("b received the revision in a ping", || learned(false)).await;
    let versions = receiver.hooks.learned_versions.lock().expect("lock");
    assert!(versions.contains(&("a".to_owned(), 7)));
}

#[tokio::test]
async fn new_replica_id_and_http_address_are_announced() {
    let nodes = start_all(&["a", "b"]).await;
    nodes[0].members.set_replica_id(99);
    nodes[0].members.set_http_address(nodes[0].address());
    let address = nodes[0].address().to_string();
    until("b knows the new id and address", || {
        let member = nodes[1].members.find("a").expect("known");
        member.replica_id == 99 && member.http_address == address
    })
    .await;
}

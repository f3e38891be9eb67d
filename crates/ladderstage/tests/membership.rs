//! Membership: precedence, probing, refutation, planned stops and isolation.

use std::time::Duration;

use ladderstage::membership::{Action, Membership, MembershipConfig, SyncTarget};
use ladderstage_wire::messages::{Member, MemberState};
use rand::SeedableRng;
use rand::rngs::StdRng;

const CONFIG: MembershipConfig = MembershipConfig {
    probe_interval: Duration::from_millis(500),
    suspicion_timeout: Duration::from_secs(2),
    seeds: 0,
};

const STEP: Duration = Duration::from_millis(500);

fn member(node: &str, process: u64) -> Member {
    Member {
        node: node.to_owned(),
        process,
        peer_address: "127.0.0.1:1".to_owned(),
        region: "r".to_owned(),
        started_unix_ms: process,
        ..Member::default()
    }
}

fn in_state(mut member: Member, state: MemberState, incarnation: u64) -> Member {
    member.state = state;
    member.incarnation = incarnation;
    member
}

fn membership_of(others: &[&str]) -> Membership {
    let mut membership = Membership::new(member("own", 1), CONFIG);
    let others = others.iter().map(|node| member(node, 1)).collect();
    membership.merge(others, Duration::ZERO);
    membership
}

fn state(membership: &Membership, node: &str) -> MemberState {
    membership.find(node).expect("known").state
}

/// Runs ticks for `length`; `answers` returns whether a node answers, directly or indirectly.
fn run(
    membership: &mut Membership,
    from: Duration,
    length: Duration,
    answers: impl Fn(&str) -> bool,
) -> Duration {
    let mut random = StdRng::seed_from_u64(7);
    let mut now = from;
    while now < from + length {
        now += STEP;
        for action in membership.tick(now, &mut random) {
            let Action::Probe { target } = action else {
                continue;
            };
            if answers(&target.node) {
                membership.record_contact(&target.node, now);
            } else if membership
                .on_missed_probe(&target, now, &mut random)
                .is_some()
            {
                membership.on_probe_failed(&target, now);
            }
        }
    }
    now
}

#[test]
fn every_member_is_probed_once_a_round() {
    let mut membership = membership_of(&["a", "b", "c", "d"]);
    let mut random = StdRng::seed_from_u64(1);
    for node in ["a", "b", "c", "d"] {
        membership.record_contact(node, Duration::ZERO);
    }
    for _ in 0..5 {
        let mut probed = Vec::new();
        for _ in 0..4 {
            for action in membership.tick(STEP, &mut random) {
                if let Action::Probe { target } = action {
                    probed.push(target.node);
                }
            }
        }
        probed.sort();
        assert_eq!(probed, ["a", "b", "c", "d"]);
    }
}

#[test]
fn missed_probe_is_repeated_through_three_helpers_before_suspicion() {
    let mut membership = membership_of(&["a", "b", "c", "d", "e"]);
    let mut random = StdRng::seed_from_u64(1);
    let action = membership.on_missed_probe(&member("a", 1), STEP, &mut random);
    let Some(Action::IndirectProbe { target, helpers }) = action else {
        panic!("unexpected {action:?}");
    };
    assert_eq!(target.node, "a");
    assert_eq!(helpers.len(), 3);
    assert!(helpers.iter().all(|helper| helper.node != "a"));
    assert_eq!(state(&membership, "a"), MemberState::ALIVE);
    membership.on_probe_failed(&target, STEP);
    assert_eq!(state(&membership, "a"), MemberState::SUSPECT);
}

#[test]
fn silent_member_is_declared_dead_and_later_dropped() {
    let mut membership = membership_of(&["a", "b"]);
    let now = run(
        &mut membership,
        Duration::ZERO,
        Duration::from_secs(10),
        |node| node == "b",
    );
    assert_eq!(state(&membership, "a"), MemberState::DEAD);
    assert_eq!(state(&membership, "b"), MemberState::ALIVE);
    assert_eq!(membership.full_state(now).len(), 3);
    let now = run(&mut membership, now, Duration::from_secs(1900), |node| {
        node == "b"
    });
    assert_eq!(
        membership.full_state(now).len(),
        2,
        "no longer in the full state"
    );
    assert!(membership.find("a").is_some());
    run(&mut membership, now, Duration::from_secs(1900), |node| {
        node == "b"
    });
    assert!(membership.find("a").is_none());
}

#[test]
fn dead_members_are_still_probed() {
    let mut membership = membership_of(&["a", "b"]);
    let now = run(
        &mut membership,
        Duration::ZERO,
        Duration::from_secs(10),
        |node| node == "b",
    );
    let mut random = StdRng::seed_from_u64(1);
    let probed_again = (0..100).any(|_| {
        let actions = membership.tick(now, &mut random);
        actions
            .iter()
            .any(|action| matches!(action, Action::Probe { target } if target.node == "a"))
    });
    assert!(probed_again);
}

#[test]
fn suspected_member_learns_of_it_from_a_probe_and_refutes() {
    let mut membership = membership_of(&["a", "b"]);
    membership.on_probe_failed(&member("a", 1), STEP);
    let mut accused = Membership::new(member("a", 1), CONFIG);
    accused.merge(membership.updates_for("a"), STEP);
    membership.merge(accused.updates_for("own"), STEP);
    assert_eq!(state(&membership, "a"), MemberState::ALIVE);
    // The probe that failed before the refutation no longer counts.
    membership.on_probe_failed(&member("a", 1), STEP);
    assert_eq!(state(&membership, "a"), MemberState::ALIVE);
}

#[test]
fn leaving_member_that_falls_silent_has_left() {
    let mut membership = membership_of(&["a", "b"]);
    let leaving = in_state(member("a", 1), MemberState::LEAVING, 0);
    membership.merge(vec![leaving], Duration::ZERO);
    let now = run(
        &mut membership,
        Duration::ZERO,
        Duration::from_secs(10),
        |_| true,
    );
    assert_eq!(state(&membership, "a"), MemberState::LEAVING);
    run(&mut membership, now, Duration::from_secs(10), |node| {
        node == "b"
    });
    assert_eq!(state(&membership, "a"), MemberState::LEFT);
    let alive = in_state(member("a", 1), MemberState::ALIVE, 9);
    membership.merge(vec![alive], now);
    assert_eq!(state(&membership, "a"), MemberState::LEFT);
    membership.merge(vec![member("a", 2)], now);
    assert_eq!(state(&membership, "a"), MemberState::ALIVE);
}

#[test]
fn leaving_process_does_not_refute_being_marked_as_left() {
    let mut own = Membership::new(member("own", 1), CONFIG);
    own.start_leaving();
    let left = in_state(member("own", 1), MemberState::LEFT, 5);
    assert_eq!(own.merge(vec![left], STEP), 0);
    assert_eq!(own.own().state, MemberState::LEAVING);
}

#[test]
fn restart_claims_its_name_after_the_clock_was_set_back() {
    let mut restarted = Membership::new(member("own", 3), CONFIG);
    let mut earlier = member("own", 9);
    earlier.started_unix_ms = 1_000_000;
    restarted.merge(vec![earlier.clone()], STEP);
    let mut witness = Membership::new(member("witness", 1), CONFIG);
    witness.merge(vec![earlier], STEP);
    witness.merge(vec![restarted.own().clone()], STEP);
    assert_eq!(witness.find("own").expect("known").process, 3);
}

#[test]
fn paused_process_yields_its_name_to_a_later_one() {
    let mut paused = Membership::new(member("own", 1), CONFIG);
    let changed = paused.merge(vec![member("own", 2)], Duration::from_secs(120));
    assert_eq!((changed, paused.own().started_unix_ms), (0, 1));
}

#[test]
fn own_pause_restarts_the_suspicion_timeout() {
    let mut membership = membership_of(&["a", "b"]);
    let mut random = StdRng::seed_from_u64(1);
    membership.tick(STEP, &mut random);
    membership.on_probe_failed(&member("a", 1), STEP);
    membership.tick(Duration::from_secs(100), &mut random);
    assert_eq!(state(&membership, "a"), MemberState::SUSPECT);
}

#[test]
fn seeds_are_contacted_while_few_members_are_known() {
    let config = MembershipConfig { seeds: 2, ..CONFIG };
    let mut membership = Membership::new(member("own", 1), config);
    let mut random = StdRng::seed_from_u64(1);
    let seed = Action::Sync {
        target: SyncTarget::Seed,
    };
    let first = membership.tick(STEP, &mut random);
    assert!(first.contains(&seed), "{first:?}");
    let later = STEP + Duration::from_secs(2);
    membership.merge(vec![member("a", 1)], STEP);
    assert!(membership.tick(later, &mut random).contains(&seed));
}

#[test]
fn isolation_is_losing_the_majority_of_the_region() {
    let alone = membership_of(&[]);
    assert!(!alone.is_isolated(STEP));
    let mut membership = membership_of(&["a", "b"]);
    let mut elsewhere = member("c", 1);
    elsewhere.region = "s".to_owned();
    membership.merge(vec![elsewhere], Duration::ZERO);
    assert!(membership.is_isolated(STEP), "no member has answered yet");
    let now = run(&mut membership, STEP, Duration::from_secs(10), |node| {
        node != "a"
    });
    assert!(!membership.is_isolated(now), "two of three are reachable");
    let now = run(&mut membership, now, Duration::from_secs(10), |node| {
        node == "c"
    });
    assert!(membership.is_isolated(now), "dead members count");
    let now = run(&mut membership, now, Duration::from_secs(5), |_| true);
    assert!(!membership.is_isolated(now), "dead members answered again");
    let left = in_state(member("a", 1), MemberState::LEFT, 0);
    membership.merge(vec![left], now);
    let left = in_state(member("b", 1), MemberState::LEFT, 0);
    membership.merge(vec![left], now);
    assert!(!membership.is_isolated(now + Duration::from_secs(60)));
}

#[test]
fn isolation_among_many_members_is_detected_within_90_seconds() {
    let names: Vec<_> = (0..349).map(|number| format!("n{number}")).collect();
    let names: Vec<_> = names.iter().map(String::as_str).collect();
    let mut membership = membership_of(&names);
    let now = run(
        &mut membership,
        Duration::ZERO,
        Duration::from_secs(60),
        |_| true,
    );
    assert!(!membership.is_isolated(now));
    let now = run(&mut membership, now, Duration::from_secs(90), |_| false);
    assert!(membership.is_isolated(now));
    let now = run(&mut membership, now, Duration::from_secs(90), |_| true);
    assert!(!membership.is_isolated(now));
}

#[test]
fn messages_carry_eight_updates_and_each_a_limited_number_of_times() {
    let names: Vec<_> = (0..30).map(|number| format!("n{number:02}")).collect();
    let names: Vec<_> = names.iter().map(String::as_str).collect();
    let mut membership = membership_of(&names);
    let mut sent = 0;
    for _ in 0..200 {
        let updates = membership.updates_for("n00");
        assert!(updates.len() <= 8);
        sent += updates.iter().filter(|update| update.node == "n05").count();
    }
    assert_eq!(sent, 15);
}

#[test]
fn unusable_entries_are_ignored() {
    let mut membership = membership_of(&[]);
    let mut no_address = member("a", 1);
    no_address.peer_address = "elsewhere".to_owned();
    let no_process = member("b", 0);
    let no_name = member("", 1);
    assert_eq!(
        membership.merge(vec![no_address, no_process, no_name], STEP),
        0
    );
    assert_eq!(membership.all().len(), 1);
}

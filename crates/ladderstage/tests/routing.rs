//! Selection of a back end and rendezvous hashing.

use std::time::Duration;

use ladderstage::routing::{
    Candidate, ChoiceOptions, MAX_REPORT_AGE, choose, cost, load, rendezvous, rendezvous_first,
    rendezvous_score,
};

fn candidate(name: &str, zone: &str, running: u32) -> Candidate {
    Candidate {
        name: name.to_owned(),
        address: ([127, 0, 0, 1], 80).into(),
        zone: zone.to_owned(),
        process: 1,
        weight_version: 1,
        running,
        waiting: 0,
        capacity: 8,
        own_in_flight: 0,
        dispatched_since_report: 0,
        report_age: Duration::ZERO,
    }
}

#[test]
fn the_rendezvous_hash_never_changes() {
    // Expected values were computed independently; daemons of different versions must agree on
    // them.
    assert_eq!(rendezvous_score(b"", ""), 0x1bbd5c813c69a8d7);
    assert_eq!(
        rendezvous_score(b"shard/karm/7/0", "daemon-1"),
        0x16fa757c31aa7831
    );
}

#[test]
fn removing_a_name_moves_only_its_keys_and_shares_are_even() {
    let names = ["a", "b", "c", "d", "e"];
    let mut shares = [0_u32; 5];
    for key in 0..10_000_u32 {
        let ranked = rendezvous(&key.to_be_bytes(), names);
        assert_eq!(rendezvous_first(&key.to_be_bytes(), names), Some(ranked[0]));
        let others = names.iter().copied().filter(|name| *name != ranked[4]);
        assert_eq!(rendezvous(&key.to_be_bytes(), others), ranked[..4]);
        let first = names.iter().position(|name| *name == ranked[0]);
        shares[first.expect("one of the names")] += 1;
    }
    assert!(
        shares.iter().all(|share| (1_800..2_200).contains(share)),
        "{shares:?}"
    );
}

#[test]
fn the_cheapest_candidate_wins_and_ties_are_broken_randomly() {
    let candidates = [
        candidate("a", "x", 3),
        candidate("b", "y", 1),
        candidate("c", "y", 1),
    ];
    let options = ChoiceOptions {
        zone: "x",
        prefix: None,
    };
    let drawn: Vec<_> = (0..2)
        .map(|random| choose(&candidates, &options, random))
        .collect();
    assert_eq!(drawn, [Some(1), Some(2)]);
    let near = [candidate("a", "x", 1), candidate("b", "y", 1)];
    assert_eq!(choose(&near, &options, 1), Some(0));
    assert_eq!(choose(&[], &options, 1), None);
}

#[test]
fn an_old_report_is_not_used() {
    let mut old = candidate("a", "x", 7);
    old.own_in_flight = 2;
    old.dispatched_since_report = 1;
    assert_eq!(load(&old), 8);
    old.report_age = MAX_REPORT_AGE + Duration::from_millis(1);
    assert_eq!(load(&old), 2);
    assert!(cost(&old, "x") < cost(&old, "y"));
}

#[test]
fn a_prefix_stays_with_its_back_end_until_that_is_loaded() {
    let mut candidates: Vec<_> = ["a", "b", "c", "d"]
        .map(|name| candidate(name, "x", 2))
        .to_vec();
    let options = ChoiceOptions {
        zone: "x",
        prefix: Some(b"You are a fitter."),
    };
    let home = choose(&candidates, &options, 0).expect("candidates");
    assert_eq!(choose(&candidates, &options, 9), Some(home));
    candidates[home].running = 7;
    let second = choose(&candidates, &options, 0).expect("candidates");
    assert_ne!(second, home);
    candidates[home].running = 2;
    assert_eq!(choose(&candidates, &options, 3), Some(home));
}

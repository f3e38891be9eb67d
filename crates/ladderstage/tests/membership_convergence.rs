//! Members that have received the same entries agree, regardless of order, repetition and losses.

use std::time::Duration;

use ladderstage::membership::{Membership, MembershipConfig};
use ladderstage_wire::messages::{Member, MemberState};
use proptest::prelude::*;

const CONFIG: MembershipConfig = MembershipConfig {
    probe_interval: Duration::from_millis(500),
    suspicion_timeout: Duration::from_secs(2),
    seeds: 0,
};

const NOW: Duration = Duration::from_secs(1);

fn member(node: &str, process: u64, incarnation: u64, state: MemberState) -> Member {
    Member {
        node: node.to_owned(),
        process,
        incarnation,
        state,
        peer_address: "127.0.0.1:1".to_owned(),
        // Two processes may start in the same millisecond.
        started_unix_ms: process / 2,
        ..Member::default()
    }
}

fn observer(node: &str) -> Membership {
    Membership::new(member(node, 1, 0, MemberState::ALIVE), CONFIG)
}

fn any_state() -> impl Strategy<Value = MemberState> {
    (0..5_i32).prop_map(MemberState::from)
}

fn any_update() -> impl Strategy<Value = Member> {
    let node = prop::sample::select(vec!["a", "b", "c"]);
    (node, 1..5_u64, 0..4_u64, any_state())
        .prop_map(|(node, process, incarnation, state)| member(node, process, incarnation, state))
}

fn view(membership: &Membership, nodes: &[&str]) -> Vec<Option<Member>> {
    let view = nodes.iter().map(|node| membership.find(node).cloned());
    view.collect()
}

proptest! {
    #[test]
    fn any_order_and_duplication_gives_the_same_state(
        (updates, shuffled) in prop::collection::vec(any_update(), 0..40).prop_flat_map(|updates| {
            let twice = [updates.clone(), updates.clone()].concat();
            (Just(updates), Just(twice).prop_shuffle())
        }),
    ) {
        let (mut first, mut second) = (observer("x"), observer("y"));
        first.merge(updates, NOW);
        for update in shuffled {
            second.merge(vec![update], NOW);
        }
        let nodes = ["a", "b", "c"];
        prop_assert_eq!(view(&first, &nodes), view(&second, &nodes));
    }

    #[test]
    fn lost_updates_are_repaired_by_one_exchange_of_the_full_state(
        updates in prop::collection::vec((any_update(), any::<bool>(), any::<bool>()), 0..40),
    ) {
        let (mut first, mut second) = (observer("x"), observer("y"));
        for (update, reaches_first, reaches_second) in updates {
            if reaches_first {
                first.merge(vec![update.clone()], NOW);
            }
            if reaches_second {
                second.merge(vec![update], NOW);
            }
        }
        second.merge(first.full_state(NOW), NOW);
        first.merge(second.full_state(NOW), NOW);
        let nodes = ["a", "b", "c", "x", "y"];
        prop_assert_eq!(view(&first, &nodes), view(&second, &nodes));
    }

    #[test]
    fn leaving_process_is_never_alive_again(
        before in prop::collection::vec(any_update(), 0..20),
        after in prop::collection::vec(any_update(), 0..20),
        process in 1..5_u64,
        incarnation in 0..4_u64,
    ) {
        let mut membership = observer("x");
        membership.merge(before, NOW);
        membership.merge(vec![member("a", process, incarnation, MemberState::LEAVING)], NOW);
        for update in after {
            membership.merge(vec![update], NOW);
            let known = membership.find("a").expect("known");
            let is_stopping = matches!(known.state, MemberState::LEAVING | MemberState::LEFT);
            prop_assert!(known.process != process || is_stopping);
        }
    }

    /// Guards against a live member staying dead: it refutes every claim about itself.
    #[test]
    fn live_member_refutes_its_reported_death(
        claims in prop::collection::vec((0..9_u64, 0..3_usize, any::<bool>(), any::<bool>()), 0..40),
    ) {
        let states = [MemberState::ALIVE, MemberState::SUSPECT, MemberState::DEAD];
        let (mut accused, mut witness) = (observer("a"), observer("x"));
        for (incarnation, state_index, reaches_accused, reaches_witness) in claims {
            let update = member("a", 1, incarnation, states[state_index]);
            if reaches_witness {
                witness.merge(vec![update.clone()], NOW);
            }
            if reaches_accused {
                accused.merge(vec![update], NOW);
            }
        }
        // A single probe suffices: the ping carries the witness's view, the answer the refutation.
        accused.merge(witness.updates_for("a"), NOW);
        witness.merge(accused.updates_for("x"), NOW);
        prop_assert_eq!(witness.find("a"), Some(accused.own()));
        prop_assert_eq!(accused.own().state, MemberState::ALIVE);
    }
}

//! Few nodes try to become the giver of orders, and others take the place of those that are gone.

use ladderstage_front::orders::is_candidate;

fn candidates(nodes: &[String]) -> Vec<String> {
    let names = || nodes.iter().map(String::as_str);
    let own = nodes.iter().filter(|own| is_candidate(own, names()));
    own.cloned().collect()
}

#[test]
fn of_many_nodes_a_few_are_candidates_and_the_next_follow_when_those_are_gone() {
    let mut nodes: Vec<String> = (0..68).map(|index| format!("front-{index}")).collect();
    while !nodes.is_empty() {
        let before = candidates(&nodes);
        assert_eq!(before.len(), nodes.len().min(4));
        let gone = before[0].clone();
        nodes.retain(|node| *node != gone);
        let after = candidates(&nodes);
        assert!(before[1..].iter().all(|node| after.contains(node)));
    }
}

#[test]
fn a_node_that_is_not_present_is_no_candidate() {
    assert!(!is_candidate("front-1", ["front-2"]));
}

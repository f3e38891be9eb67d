//! Tests the selection of candidates for the orders lease.

use ladderstage_front::orders::is_lease_candidate;

fn candidates(nodes: &[String]) -> Vec<String> {
    let present = || nodes.iter().map(|node| (node.as_str(), 500));
    let own = nodes
        .iter()
        .filter(|own| is_lease_candidate(own, present()));
    own.cloned().collect()
}

#[test]
fn four_nodes_are_candidates_and_others_replace_those_that_leave() {
    let mut nodes: Vec<String> = (0..68).map(|index| format!("front-{index}")).collect();
    while !nodes.is_empty() {
        let before = candidates(&nodes);
        assert_eq!(before.len(), nodes.len().min(4));
        let departed = before[0].clone();
        nodes.retain(|node| *node != departed);
        let after = candidates(&nodes);
        assert!(before[1..].iter().all(|node| after.contains(node)));
    }
}

#[test]
fn a_node_that_is_not_present_is_no_candidate() {
    assert!(!is_lease_candidate("front-1", [("front-2", 500)]));
}

/// Guards against an order leader with little CPU, which detects finished loads late and counts
/// them as slow.
#[test]
fn weak_nodes_are_candidates_only_without_enough_strong_ones() {
    let name = |index: usize| format!("front-{index}");
    let names: Vec<String> = (0..250).map(name).collect();
    for strong in [15, 3] {
        let cpu_millis = |index| if index < strong { 500 } else { 120 };
        let present = || {
            let indexed = names.iter().enumerate();
            indexed.map(|(index, node)| (node.as_str(), cpu_millis(index)))
        };
        let chosen: Vec<usize> = (0..250)
            .filter(|index| is_lease_candidate(&names[*index], present()))
            .collect();
        assert_eq!(chosen.len(), 4);
        let strong_ones = chosen.iter().filter(|index| **index < strong).count();
        assert_eq!(strong_ones, strong.min(4), "{chosen:?}");
    }
}

//! Tests the choice of the preferred owner of a trainer's step.

use std::collections::BTreeSet;

use ladderstage_front::job::{preferred_owner, preferred_owner_in_region};
use ladderstage_front::nodes::{FormatLevel, NodeRecord, NodeRole};
use ladderstage_front::region::Distance;
use proptest::prelude::*;

fn front(node: &str, zone: &str, cpu_millis: u32) -> NodeRecord {
    NodeRecord {
        node: node.to_owned(),
        role: NodeRole::Front,
        process: 1,
        peer_address: "127.0.0.1:1".parse().unwrap(),
        zone: zone.to_owned(),
        replica_id: 0,
        is_leaving: false,
        cpu_millis,
        region: String::new(),
        formats: FormatLevel::OWN,
    }
}

#[test]
fn equally_strong_fronts_keep_the_steps_they_receive() {
    let fronts = [front("a", "z", 250), front("b", "z", 250)];
    assert_eq!(preferred_owner(&fronts[0], &fronts, "m", 0), None);
}

#[test]
fn steps_stay_in_the_zone_and_leaving_fronts_get_none() {
    let mut strong = front("strong", "z", 500);
    let far = front("far", "y", 900);
    let weak = front("weak", "z", 120);
    let fronts = [strong.clone(), far.clone(), weak.clone()];
    assert_eq!(
        preferred_owner(&weak, &fronts, "m", 0).as_deref(),
        Some("strong")
    );
    strong.is_leaving = true;
    assert_eq!(
        preferred_owner(&weak, &[strong, far, weak.clone()], "m", 0),
        None
    );
}

/// The owner of a step is in the region of its trainer if a strong front is there.
#[test]
fn without_a_strong_front_in_the_zone_a_step_goes_to_one_of_the_region() {
    let weak = front("weak", "east-1", 120);
    let near = front("near", "east-2", 500);
    let far = front("far", "west-1", 900);
    let region = |front: &NodeRecord| front.zone.split('-').next().unwrap().to_owned();
    let distance = |other: &NodeRecord| {
        if region(other) == region(&weak) {
            Distance::SameRegion
        } else {
            Distance::OtherRegion
        }
    };
    let preferred_owner_of =
        |fronts: &[NodeRecord]| preferred_owner_in_region(&weak, fronts, "m", 0, distance);
    let all = [weak.clone(), near.clone(), far.clone()];
    assert_eq!(preferred_owner_of(&all).as_deref(), Some("near"));
    assert_eq!(preferred_owner_of(&[weak.clone(), far]), None);
    let in_zone = front("in-zone", "east-1", 500);
    assert_eq!(
        preferred_owner_of(&[weak.clone(), near, in_zone]).as_deref(),
        Some("in-zone")
    );
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn steps_of_a_model_rotate_regardless_of_the_receiving_front(
        strong in 1usize..6,
        model in "[a-z]{1,8}",
        first in 0u64..1_000,
    ) {
        let mut fronts: Vec<_> = (0..strong).map(|index| front(&format!("s{index}"), "z", 500)).collect();
        let weak = [front("w0", "z", 120), front("w1", "z", 120)];
        fronts.extend(weak.clone());
        let mut owners = BTreeSet::new();
        for step in first..first + strong as u64 {
            let owner = preferred_owner(&weak[0], &fronts, &model, step);
            prop_assert_eq!(&owner, &preferred_owner(&weak[1], &fronts, &model, step));
            owners.insert(owner.unwrap());
        }
        prop_assert_eq!(owners.len(), strong);
    }
}

//! Replicas are spread over zones.

use std::collections::BTreeMap;

use ladderstage_journal::replica_set::zones::{by_need, spread};
use ladderstage_wire::messages::{Member, ReplicaMember};

fn member(zone: &str, number: u64, id: u64) -> Member {
    Member {
        node: format!("store-{zone}-{number}"),
        zone: zone.to_owned(),
        replica_id: id,
        ..Member::default()
    }
}

/// `sizes` disks a zone.
fn fleet(sizes: &[(&str, u64)]) -> Vec<Member> {
    let zones = sizes.iter().enumerate();
    zones
        .flat_map(|(index, (zone, size))| {
            (1..=*size).map(move |number| member(zone, number, index as u64 * 100 + number))
        })
        .collect()
}

fn disks(members: &[Member]) -> Vec<ReplicaMember> {
    let disks = members.iter().map(|member| ReplicaMember {
        node: member.node.clone(),
        replica_id: member.replica_id,
    });
    disks.collect()
}

fn by_zone(chosen: &[ReplicaMember], fleet: &[Member]) -> BTreeMap<String, usize> {
    let mut count = BTreeMap::new();
    for replica in chosen {
        let member = fleet.iter().find(|member| member.node == replica.node);
        *count.entry(member.unwrap().zone.clone()).or_insert(0) += 1;
    }
    count
}

#[test]
fn the_first_replicas_lie_in_all_zones() {
    let fleet = fleet(&[("a", 5), ("b", 4), ("c", 4)]);
    let chosen = spread(disks(&fleet), &fleet, 5).unwrap();
    let count = by_zone(&chosen, &fleet);
    assert_eq!(count.len(), 3, "{count:?}");
    assert!(count.values().all(|count| *count <= 2), "{count:?}");
    assert_eq!(spread(disks(&fleet[..2]), &fleet, 3), None);
}

#[test]
fn zones_with_few_disks_are_filled_up_from_others() {
    let fleet = fleet(&[("a", 4), ("b", 1)]);
    let chosen = spread(disks(&fleet), &fleet, 5).unwrap();
    assert_eq!(chosen.len(), 5);
}

#[test]
fn spares_in_the_zones_with_the_fewest_replicas_come_first() {
    let fleet = fleet(&[("a", 3), ("b", 3), ("c", 3)]);
    let present: Vec<&Member> = [0, 1, 3].map(|index| &fleet[index]).to_vec();
    let ordered = by_need(&fleet, &present);
    let zones: Vec<&str> = ordered
        .iter()
        .map(|disk| disk.node.split('-').nth(1).unwrap())
        .collect();
    assert_eq!(zones, ["c", "c", "c", "b", "b", "b", "a", "a", "a"]);
}

//! Tests of the placement of replicas over regions and zones.

use std::collections::BTreeMap;

use ladderstage_journal::replica_set::zones::{select_spread, spares_by_need};
use ladderstage_wire::messages::{Member, ReplicaMember};

fn member(zone: &str, number: u64, id: u64) -> Member {
    Member {
        node: format!("store-{zone}-{number}"),
        zone: zone.to_owned(),
        replica_id: id,
        ..Member::default()
    }
}

/// Returns members with the given number of disks in each zone.
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
fn initial_replicas_are_spread_over_all_zones() {
    let fleet = fleet(&[("a", 5), ("b", 4), ("c", 4)]);
    let chosen = select_spread(disks(&fleet), &fleet, 5).unwrap();
    let count = by_zone(&chosen, &fleet);
    assert_eq!(count.len(), 3, "{count:?}");
    assert!(count.values().all(|count| *count <= 2), "{count:?}");
    assert_eq!(select_spread(disks(&fleet[..2]), &fleet, 3), None);
}

#[test]
fn a_zone_with_too_few_disks_does_not_reduce_the_number_of_replicas() {
    let fleet = fleet(&[("a", 4), ("b", 1)]);
    let chosen = select_spread(disks(&fleet), &fleet, 5).unwrap();
    assert_eq!(chosen.len(), 5);
}

#[test]
fn spares_in_the_zones_with_the_fewest_replicas_come_first() {
    let fleet = fleet(&[("a", 3), ("b", 3), ("c", 3)]);
    let present: Vec<&Member> = [0, 1, 3].map(|index| &fleet[index]).to_vec();
    let ordered = spares_by_need(&fleet, &present);
    let zones: Vec<&str> = ordered
        .iter()
        .map(|disk| disk.node.split('-').nth(1).unwrap())
        .collect();
    assert_eq!(zones, ["c", "b", "c", "a", "b", "c", "a", "b", "a"]);
}

/// Like [`fleet`]; the part of a zone's name before the dash is its region.
fn fleet_in_regions(sizes: &[(&str, u64)]) -> Vec<Member> {
    let mut fleet = fleet(sizes);
    for member in &mut fleet {
        let region = member.zone.split('-').next().unwrap();
        member.region = region.to_owned();
    }
    fleet
}

fn by_region(chosen: &[ReplicaMember], fleet: &[Member]) -> BTreeMap<String, usize> {
    let mut count = BTreeMap::new();
    for (zone, replicas) in by_zone(chosen, fleet) {
        let region = zone.split('-').next().unwrap().to_owned();
        *count.entry(region).or_insert(0) += replicas;
    }
    count
}

/// Guards against balancing by zone only: a region with many zones would get a majority of the
/// replicas.
#[test]
fn with_three_regions_no_region_gets_a_majority() {
    let fleet = fleet_in_regions(&[("a-1", 1), ("a-2", 1), ("a-3", 1), ("b-1", 3), ("c-1", 3)]);
    let chosen = select_spread(disks(&fleet), &fleet, 5).unwrap();
    let count = by_region(&chosen, &fleet);
    assert_eq!(count.len(), 3, "{count:?}");
    assert!(count.values().all(|count| *count <= 2), "{count:?}");
}

#[test]
fn spares_in_the_regions_with_the_fewest_replicas_come_first() {
    let fleet = fleet_in_regions(&[("a-1", 2), ("a-2", 1), ("b-1", 2)]);
    let present: Vec<&Member> = [0, 1, 3].map(|index| &fleet[index]).to_vec();
    let ordered = spares_by_need(&fleet, &present);
    let nodes: Vec<&str> = ordered.iter().map(|disk| disk.node.as_str()).collect();
    assert_eq!(
        nodes,
        [
            "store-b-1-1",
            "store-a-2-1",
            "store-b-1-2",
            "store-a-1-1",
            "store-a-1-2"
        ]
    );
}

#[test]
fn two_spares_that_join_at_once_come_from_different_zones() {
    let fleet = fleet(&[("a", 4), ("b", 4), ("c", 3)]);
    let at = |zone: &str, number: u64| {
        let node = format!("store-{zone}-{number}");
        fleet.iter().find(|member| member.node == node).unwrap()
    };
    let present = [at("a", 1), at("b", 1), at("c", 1)];
    let is_spare = |member: &&Member| !present.contains(member);
    let spares: Vec<Member> = fleet.iter().filter(is_spare).cloned().collect();
    let ordered = spares_by_need(&spares, &present);
    assert_eq!(ordered.len(), spares.len());
    for joining in 1..=6 {
        let mut replicas = disks(&present.map(Member::clone));
        replicas.extend_from_slice(&ordered[..joining]);
        let count = by_zone(&replicas, &fleet);
        let (least, most) = (count.values().min(), count.values().max());
        assert!(most.unwrap() - least.unwrap() <= 1, "{count:?}");
    }
}

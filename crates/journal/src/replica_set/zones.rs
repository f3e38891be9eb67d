//! Placement of replicas over regions and zones, so that the loss of one affects as few replicas as
//! possible.

use std::collections::BTreeMap;

use ladderstage::region::Place;
use ladderstage_wire::messages::{Member, ReplicaMember};

/// Selects `count` of the candidates, balanced over regions first and over zones second; ties are
/// broken by name. `None` if there are too few candidates.
pub fn select_spread(
    mut candidates: Vec<ReplicaMember>,
    alive: &[Member],
    count: usize,
) -> Option<Vec<ReplicaMember>> {
    candidates.sort_by(|left, right| left.node.cmp(&right.node));
    let mut chosen = Vec::new();
    let mut in_region = BTreeMap::<&str, usize>::new();
    let mut in_zone = BTreeMap::<&str, usize>::new();
    while chosen.len() < count {
        let places = candidates.iter().map(|member| place_of(member, alive));
        let (index, (region, zone)) = places.enumerate().min_by_key(|(_, (region, zone))| {
            let count = |known: &BTreeMap<&str, usize>, name| known.get(name).copied().unwrap_or(0);
            (count(&in_region, region), count(&in_zone, zone))
        })?;
        *in_region.entry(region).or_insert(0) += 1;
        *in_zone.entry(zone).or_insert(0) += 1;
        chosen.push(candidates.remove(index));
    }
    Some(chosen)
}

/// Returns the candidates among the `alive` nodes, sorted by the number of `present` replicas in their
/// region, then by the number in their zone.
pub fn spares_by_need(alive: &[Member], present: &[&Member]) -> Vec<ReplicaMember> {
    let in_zone = |zone: &str| present.iter().filter(|member| member.zone == zone).count();
    let in_region = |region: &str| {
        let replicas = present.iter().filter(|member| member.region == region);
        replicas.count()
    };
    let mut disks: Vec<&Member> = alive
        .iter()
        .filter(|member| member.replica_id != 0)
        .collect();
    disks.sort_by_key(|member| (in_region(&member.region), in_zone(&member.zone)));
    let disks = disks.into_iter();
    disks
        .map(|member| ReplicaMember {
            node: member.node.clone(),
            replica_id: member.replica_id,
        })
        .collect()
}

/// Returns the location of a member.
pub(super) fn location(member: &Member) -> Place<'_> {
    Place {
        node: &member.node,
        zone: &member.zone,
        region: &member.region,
    }
}

/// Returns the region and zone of a replica; empty if its node is not alive.
fn place_of<'a>(member: &ReplicaMember, alive: &'a [Member]) -> (&'a str, &'a str) {
    let known = alive.iter().find(|known| known.node == member.node);
    known.map_or(("", ""), |known| {
        (known.region.as_str(), known.zone.as_str())
    })
}

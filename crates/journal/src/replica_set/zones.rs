//! Spreading replicas over zones, so that losing a zone costs as few of them as can be.

use std::collections::BTreeMap;

use ladderstage_wire::messages::{Member, ReplicaMember};

/// The `count` of `candidates` that lie in as many zones as can be; of one zone, those with the first names. `None` if there
/// are too few.
pub fn spread(
    mut candidates: Vec<ReplicaMember>,
    alive: &[Member],
    count: usize,
) -> Option<Vec<ReplicaMember>> {
    candidates.sort_by(|left, right| left.node.cmp(&right.node));
    let mut chosen = Vec::new();
    let mut in_zone = BTreeMap::<&str, usize>::new();
    while chosen.len() < count {
        let zones = candidates.iter().map(|member| zone_of(member, alive));
        let (index, zone) = zones
            .enumerate()
            .min_by_key(|(_, zone)| in_zone.get(zone).copied().unwrap_or(0))?;
        *in_zone.entry(zone).or_insert(0) += 1;
        chosen.push(candidates.remove(index));
    }
    Some(chosen)
}

/// Disks of `alive` nodes, those in the zones with the fewest of the `present` replicas first.
pub fn by_need(alive: &[Member], present: &[&Member]) -> Vec<ReplicaMember> {
    let replicas_in = |zone: &str| present.iter().filter(|member| member.zone == zone).count();
    let mut disks: Vec<&Member> = alive
        .iter()
        .filter(|member| member.replica_id != 0)
        .collect();
    disks.sort_by_key(|member| replicas_in(&member.zone));
    let disks = disks.into_iter();
    disks
        .map(|member| ReplicaMember {
            node: member.node.clone(),
            replica_id: member.replica_id,
        })
        .collect()
}

fn zone_of<'a>(member: &ReplicaMember, alive: &'a [Member]) -> &'a str {
    let known = alive.iter().find(|known| known.node == member.node);
    known.map_or("", |known| known.zone.as_str())
}

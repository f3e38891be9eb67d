//! Placement of replicas over regions and zones, so that the loss of one affects as few replicas as
//! possible.

use std::collections::{BTreeMap, VecDeque};

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

/// Returns the candidates among the `alive` nodes in the order in which they should join the `present`
/// replicas: each from a region, then a zone, with the fewest replicas, those before it included.
pub fn spares_by_need(alive: &[Member], present: &[&Member]) -> Vec<ReplicaMember> {
    let mut zones: Vec<ZoneSpares<'_>> = Vec::new();
    for disk in alive.iter().filter(|member| member.replica_id != 0) {
        match zones.iter_mut().find(|zone| zone.contains(disk)) {
            Some(zone) => zone.spares.push_back(disk),
            None => zones.push(ZoneSpares::new(disk, present)),
        }
    }
    let mut in_region = BTreeMap::<&str, usize>::new();
    for member in present {
        *in_region.entry(&member.region).or_insert(0) += 1;
    }
    let mut ordered = Vec::new();
    while let Some(zone) = zones
        .iter_mut()
        .filter(|zone| !zone.spares.is_empty())
        .min_by_key(|zone| (in_region.get(zone.region).copied(), zone.replicas))
    {
        zone.replicas += 1;
        *in_region.entry(zone.region).or_insert(0) += 1;
        ordered.extend(zone.spares.pop_front().map(replica_member));
    }
    ordered
}

/// Spares of one zone.
struct ZoneSpares<'a> {
    region: &'a str,
    zone: &'a str,
    /// Number of replicas in the zone, the spares selected so far included.
    replicas: usize,
    spares: VecDeque<&'a Member>,
}

impl<'a> ZoneSpares<'a> {
    fn new(first: &'a Member, present: &[&Member]) -> Self {
        let present = present.iter();
        let replicas = present.filter(|member| member.zone == first.zone).count();
        Self {
            region: &first.region,
            zone: &first.zone,
            replicas,
            spares: VecDeque::from([first]),
        }
    }

    fn contains(&self, member: &Member) -> bool {
        self.region == member.region && self.zone == member.zone
    }
}

fn replica_member(member: &Member) -> ReplicaMember {
    ReplicaMember {
        node: member.node.clone(),
        replica_id: member.replica_id,
    }
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

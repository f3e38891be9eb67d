//! Selects the instances that load weights: as many as the work needs.
//!
//! Answers the load of a fleet with many more instances than its work can use. Every version that an
//! instance loads costs an order, a load and an update to the fronts, so the rest of the fleet loads
//! nothing until an instance in use is lost or the work grows. Where the work needs all instances,
//! all of them are in use.

use std::collections::BTreeMap;

use super::plan::ModelDemand;

/// Slots in use for each item that may be open. The spare third makes up for instances that load
/// weights, and for those lost together until others have taken their place.
const SLOTS_PER_ITEM: f64 = 1.5;

/// Minimum number of slots in use for each model, as its work may begin with a large job.
const MIN_SLOTS_PER_MODEL: u64 = 512;

/// Returns the number of slots that the work needs; `None` if it is unknown for any model.
pub fn needed_slots(demands: &[ModelDemand]) -> Option<u64> {
    let needed = demands.iter().map(|demand| {
        let slots = demand.open_items? as f64 * SLOTS_PER_ITEM;
        Some((slots.ceil() as u64).max(MIN_SLOTS_PER_MODEL))
    });
    needed.sum()
}

/// Instance that is not in use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SpareInstance {
    /// Instance id.
    pub id: String,
    /// Zone.
    pub zone: String,
    /// Number of slots.
    pub slots: u32,
    /// Smallest number of versions by which it lags, over all models. Instances that an earlier
    /// leader used lag least.
    pub lag: u64,
}

/// Place of an instance in use.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Member {
    zone: String,
    slots: u32,
}

/// Instances that load weights.
#[derive(Debug, Clone, Default)]
pub struct WorkingSet {
    members: BTreeMap<String, Member>,
}

impl WorkingSet {
    /// Returns the ids of the instances in use.
    pub fn ids(&self) -> impl Iterator<Item = &str> {
        self.members.keys().map(String::as_str)
    }

    /// Removes the instances that can no longer be used.
    pub fn retain(&mut self, is_usable: impl Fn(&str) -> bool) {
        self.members.retain(|id, _| is_usable(id));
    }

    /// Returns whether instances have to be added for the needed slots; `None` needs all instances.
    pub fn lacks_slots(&self, needed: Option<u64>) -> bool {
        needed.is_none_or(|needed| self.slots() < needed)
    }

    /// Adds spare instances until there are the needed slots: those that lag least first, and each
    /// in the zone with the fewest slots in use, so that the loss of a zone takes an equal part.
    pub fn fill(&mut self, needed: Option<u64>, spare: impl Iterator<Item = SpareInstance>) {
        let mut zones = BTreeMap::<String, Vec<SpareInstance>>::new();
        for instance in spare.filter(|one| !self.members.contains_key(&one.id)) {
            let of_zone = zones.entry(instance.zone.clone()).or_default();
            of_zone.push(instance);
        }
        for of_zone in zones.values_mut() {
            // The next one is at the end.
            of_zone.sort_unstable_by(|one, other| (other.lag, &other.id).cmp(&(one.lag, &one.id)));
        }
        let mut slots = self.slots();
        let mut slots_in_zones = self.slots_in_zones();
        while needed.is_none_or(|needed| slots < needed) {
            let next = zones
                .iter_mut()
                .filter(|(_, of_zone)| !of_zone.is_empty())
                .min_by_key(|(zone, of_zone)| {
                    let lag = of_zone.last().map_or(u64::MAX, |one| one.lag);
                    (lag, slots_in_zones.get(*zone).copied().unwrap_or(0))
                });
            let Some(instance) = next.and_then(|(_, of_zone)| of_zone.pop()) else {
                return;
            };
            slots += u64::from(instance.slots);
            let zone_slots = slots_in_zones.entry(instance.zone.clone()).or_insert(0);
            *zone_slots += u64::from(instance.slots);
            let member = Member {
                zone: instance.zone,
                slots: instance.slots,
            };
            self.members.insert(instance.id, member);
        }
    }

    fn slots(&self) -> u64 {
        let members = self.members.values();
        members.map(|member| u64::from(member.slots)).sum()
    }

    fn slots_in_zones(&self) -> BTreeMap<String, u64> {
        let mut slots = BTreeMap::new();
        for member in self.members.values() {
            *slots.entry(member.zone.clone()).or_insert(0) += u64::from(member.slots);
        }
        slots
    }
}

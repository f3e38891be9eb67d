//! Chooses the zones and kinds of replacement instances.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::counts::InstanceKind;

/// Capacity that one zone can provide.
#[derive(Debug, Clone, PartialEq)]
pub struct ZoneOffer {
    /// Name of the zone.
    pub zone: Arc<str>,
    /// Serving instances that no order accounts for.
    pub serving: u32,
    /// Maximum number of instances of all kinds that may be ordered in addition to the found ones.
    pub free_capacity: u32,
    /// Price of one second of an on-demand instance.
    pub price: f64,
    /// Maximum number of orderable instances by kind, preferred kind first.
    pub kinds: Vec<(InstanceKind, u32)>,
}

/// Ordered instances by zone and kind.
pub type Placement = BTreeMap<(Arc<str>, InstanceKind), u32>;

/// Spreads `target` instances over the zones, keeping the current placement where possible.
///
/// Adds instances of the preferred kind first, in the zone with the fewest instances and then the
/// lowest price, so that the loss of a zone affects as few as possible. Removes them from the zone
/// with the most instances. Places fewer than `target` if the zones lack capacity.
pub fn place(offers: &[ZoneOffer], placement: &Placement, target: u32) -> Placement {
    let mut next = retain_offered(offers, placement);
    while total(&next) < target {
        let Some((zone, kind)) = best_to_add(offers, &next) else {
            break;
        };
        *next.entry((zone, kind)).or_insert(0) += 1;
    }
    while total(&next) > target {
        let Some(place) = best_to_remove(offers, &next) else {
            break;
        };
        let count = next.entry(place.clone()).or_insert(0);
        *count -= 1;
        if *count == 0 {
            next.remove(&place);
        }
    }
    next
}

/// Returns the part of the current placement that still fits the offers.
fn retain_offered(offers: &[ZoneOffer], placement: &Placement) -> Placement {
    let mut retained = Placement::new();
    for offer in offers {
        let mut free_capacity = offer.free_capacity;
        for (kind, max) in &offer.kinds {
            let place = (Arc::clone(&offer.zone), *kind);
            let count = placement.get(&place).copied().unwrap_or(0);
            let count = count.min(*max).min(free_capacity);
            free_capacity -= count;
            if count > 0 {
                retained.insert(place, count);
            }
        }
    }
    retained
}

fn total(placement: &Placement) -> u32 {
    placement.values().sum()
}

fn in_zone(placement: &Placement, zone: &Arc<str>) -> u32 {
    let here = placement.iter().filter(|((other, _), _)| other == zone);
    here.map(|(_, count)| *count).sum()
}

/// Returns the most preferred kind that the zone can still provide, with its rank in the zone's
/// order of preference.
fn kind_to_add(offer: &ZoneOffer, placement: &Placement) -> Option<(usize, InstanceKind)> {
    if in_zone(placement, &offer.zone) >= offer.free_capacity {
        return None;
    }
    let has_more = |(kind, max): &&(InstanceKind, u32)| {
        let place = (Arc::clone(&offer.zone), *kind);
        placement.get(&place).copied().unwrap_or(0) < *max
    };
    let rank = offer.kinds.iter().position(|kind| has_more(&kind))?;
    Some((rank, offer.kinds[rank].0))
}

fn best_to_add(offers: &[ZoneOffer], placement: &Placement) -> Option<(Arc<str>, InstanceKind)> {
    let open = offers
        .iter()
        .filter_map(|offer| Some((offer, kind_to_add(offer, placement)?)));
    let instance_count = |offer: &ZoneOffer| offer.serving + in_zone(placement, &offer.zone);
    let best = open.min_by(|(left, (left_rank, _)), (right, (right_rank, _))| {
        left_rank
            .cmp(right_rank)
            .then(instance_count(left).cmp(&instance_count(right)))
            .then(left.price.total_cmp(&right.price))
    });
    best.map(|(offer, (_, kind))| (Arc::clone(&offer.zone), kind))
}

fn best_to_remove(offers: &[ZoneOffer], placement: &Placement) -> Option<(Arc<str>, InstanceKind)> {
    let offer_of = |zone: &Arc<str>| offers.iter().find(|offer| offer.zone == *zone);
    let instance_count = |zone: &Arc<str>| {
        offer_of(zone).map_or(u32::MAX, |offer| offer.serving + in_zone(placement, zone))
    };
    let price = |zone: &Arc<str>| offer_of(zone).map_or(f64::MAX, |offer| offer.price);
    let places = placement.keys();
    let best = places.max_by(|(left, left_kind), (right, right_kind)| {
        let by_count = instance_count(left).cmp(&instance_count(right));
        // On-demand instances cost more, so they are removed first.
        by_count
            .then(price(left).total_cmp(&price(right)))
            .then(right_kind.cmp(left_kind))
    });
    best.cloned()
}

//! Where instances are ordered beyond those that were found.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::counts::InstanceKind;

/// What one zone offers.
#[derive(Debug, Clone, PartialEq)]
pub struct Offer {
    /// The zone.
    pub zone: Arc<str>,
    /// Instances that serve there without an order of ours.
    pub serving: u32,
    /// Instances that may be ordered there beyond those that were found, of both kinds together.
    pub room: u32,
    /// Price of a second of a kept instance there.
    pub price: f64,
    /// Most instances of each kind that can be had there, the preferred kind first.
    pub kinds: Vec<(InstanceKind, u32)>,
}

/// Instances ordered by zone and kind.
pub type Placed = BTreeMap<(Arc<str>, InstanceKind), u32>;

/// Spreads `target` instances over the zones. What is placed stays as far as it can. Further ones are of the preferred kind if there are
/// any, and go to the zones with the fewest instances, of these to the cheapest, so that the loss of a zone costs the least; surplus ones
/// are removed where there are most. Fewer than `target` are placed where there is no room for them.
pub fn place(offers: &[Offer], placed: &Placed, target: u32) -> Placed {
    let mut next = keep(offers, placed);
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

/// What stays of what is placed: nothing in zones that offer none, and no more than there is room for.
fn keep(offers: &[Offer], placed: &Placed) -> Placed {
    let mut kept = Placed::new();
    for offer in offers {
        let mut room = offer.room;
        for (kind, most) in &offer.kinds {
            let place = (Arc::clone(&offer.zone), *kind);
            let count = placed.get(&place).copied().unwrap_or(0);
            let count = count.min(*most).min(room);
            room -= count;
            if count > 0 {
                kept.insert(place, count);
            }
        }
    }
    kept
}

fn total(placed: &Placed) -> u32 {
    placed.values().sum()
}

fn in_zone(placed: &Placed, zone: &Arc<str>) -> u32 {
    let here = placed.iter().filter(|((other, _), _)| other == zone);
    here.map(|(_, count)| *count).sum()
}

/// The kind of which one more can be had in a zone, and how many others are preferred to it.
fn kind_to_add(offer: &Offer, placed: &Placed) -> Option<(usize, InstanceKind)> {
    if in_zone(placed, &offer.zone) >= offer.room {
        return None;
    }
    let has_more = |(kind, most): &&(InstanceKind, u32)| {
        let place = (Arc::clone(&offer.zone), *kind);
        placed.get(&place).copied().unwrap_or(0) < *most
    };
    let rank = offer.kinds.iter().position(|kind| has_more(&kind))?;
    Some((rank, offer.kinds[rank].0))
}

fn best_to_add(offers: &[Offer], placed: &Placed) -> Option<(Arc<str>, InstanceKind)> {
    let open = offers
        .iter()
        .filter_map(|offer| Some((offer, kind_to_add(offer, placed)?)));
    let fullness = |offer: &Offer| offer.serving + in_zone(placed, &offer.zone);
    let best = open.min_by(|(left, (left_rank, _)), (right, (right_rank, _))| {
        left_rank
            .cmp(right_rank)
            .then(fullness(left).cmp(&fullness(right)))
            .then(left.price.total_cmp(&right.price))
    });
    best.map(|(offer, (_, kind))| (Arc::clone(&offer.zone), kind))
}

fn best_to_remove(offers: &[Offer], placed: &Placed) -> Option<(Arc<str>, InstanceKind)> {
    let offer_of = |zone: &Arc<str>| offers.iter().find(|offer| offer.zone == *zone);
    let fullness = |zone: &Arc<str>| {
        offer_of(zone).map_or(u32::MAX, |offer| offer.serving + in_zone(placed, zone))
    };
    let price = |zone: &Arc<str>| offer_of(zone).map_or(f64::MAX, |offer| offer.price);
    let places = placed.keys();
    let best = places.max_by(|(left, left_kind), (right, right_kind)| {
        let by_fullness = fullness(left).cmp(&fullness(right));
        // Of two kinds the kept one costs more.
        by_fullness
            .then(price(left).total_cmp(&price(right)))
            .then(right_kind.cmp(left_kind))
    });
    best.cloned()
}

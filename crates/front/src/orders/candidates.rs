//! Which nodes try to become the giver of orders: a few, as each try and each look at the lease is a priced call.

use ladderstage::routing::rendezvous;

/// Nodes that try.
const CANDIDATES: usize = 4;

/// Key by which nodes are ranked.
const RANKING: &[u8] = b"orders/giver";

/// Whether `own` is among the first of the present nodes, by rendezvous hash. Nodes that are gone make room for the next.
pub fn is_candidate<'a>(own: &str, present: impl IntoIterator<Item = &'a str>) -> bool {
    let ranked = rendezvous(RANKING, present);
    ranked.iter().take(CANDIDATES).any(|name| *name == own)
}

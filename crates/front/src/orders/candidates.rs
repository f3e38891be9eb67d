//! Which nodes try to become the giver of orders: a few, as each try and each look at the lease is a priced call.

use std::cmp::Reverse;

use ladderstage::routing::rendezvous;

/// Nodes that try.
const CANDIDATES: usize = 4;

/// Key by which nodes are ranked.
const RANKING: &[u8] = b"orders/giver";

/// Whether `own` is among the first of the present nodes: those with the most processor time, given in thousandths of a core, and of
/// these by rendezvous hash. A weak machine notices late that loads are done. Nodes that are gone make room for the next.
pub fn is_candidate<'a>(own: &str, present: impl IntoIterator<Item = (&'a str, u32)>) -> bool {
    by_rank(present)
        .iter()
        .take(CANDIDATES)
        .any(|name| *name == own)
}

/// The present nodes by how likely they hold the lease.
pub(super) fn by_rank<'a>(present: impl IntoIterator<Item = (&'a str, u32)>) -> Vec<&'a str> {
    let present: Vec<(&str, u32)> = present.into_iter().collect();
    let cpu_millis = |name: &str| {
        let found = present.iter().find(|(known, _)| *known == name);
        found.map_or(0, |(_, cpu_millis)| *cpu_millis)
    };
    let mut ranked = rendezvous(RANKING, present.iter().map(|(name, _)| *name));
    ranked.sort_by_cached_key(|name| Reverse(cpu_millis(name)));
    ranked
}

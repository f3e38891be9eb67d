//! Selects the nodes that try to acquire the orders lease. Only a few do, because each attempt and
//! each check of the lease is a charged call to the store.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use ladderstage::routing::rendezvous;

/// Number of nodes that try to acquire the lease.
const MAX_CANDIDATES: usize = 4;

/// Key of the rendezvous hash that ranks nodes with equal CPU.
const RANKING_KEY: &[u8] = b"orders/giver";

/// Returns true if `own` is among the first present nodes, ranked by CPU (in millicores), then by
/// rendezvous hash. Strong nodes come first because a weak one detects finished loads late.
pub fn is_lease_candidate<'a>(
    own: &str,
    present: impl IntoIterator<Item = (&'a str, u32)>,
) -> bool {
    ranked_nodes(present)
        .iter()
        .take(MAX_CANDIDATES)
        .any(|name| *name == own)
}

/// Returns the present nodes in order of rank.
pub(super) fn ranked_nodes<'a>(present: impl IntoIterator<Item = (&'a str, u32)>) -> Vec<&'a str> {
    let cpu_millis: BTreeMap<&str, u32> = present.into_iter().collect();
    let mut ranked = rendezvous(RANKING_KEY, cpu_millis.keys().copied());
    ranked.sort_by_key(|name| Reverse(cpu_millis[name]));
    ranked
}

//! What the bundle orders, and who sends it.

use std::time::Duration;

use crate::bundle::{Bundle, PoolKind};
use crate::ids::{Revision, WeightVersion};
use crate::routing::rendezvous;

/// Daemons that look after one engine.
pub const CARETAKERS_PER_ENGINE: usize = 2;
/// How long the second caretaker leaves a new bundle's orders to the first: the weight store is rate-limited, and an
/// engine may load anew for each order.
pub const STANDBY_DELAY: Duration = Duration::from_secs(2);

/// An order to one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Engine's name in the machine list.
    pub backend: String,
    /// Model to hold: the pool's name.
    pub model: String,
    /// Weight version to hold.
    pub weight_version: WeightVersion,
    /// Revision of the bundle that orders it.
    pub fence: Revision,
}

/// All orders that follow from a bundle, in its order. Pools without a weight version order nothing.
pub fn orders(bundle: &Bundle) -> Vec<Order> {
    bundle
        .pools
        .iter()
        .filter(|pool| pool.kind == PoolKind::Model && pool.weight_version != 0)
        .flat_map(|pool| {
            pool.backends.iter().map(|backend| Order {
                backend: backend.clone(),
                model: pool.name.clone(),
                weight_version: pool.weight_version,
                fence: bundle.revision,
            })
        })
        .collect()
}

/// Rank of `own` among the caretakers of an engine, 0 first; `None`: others look after it.
pub fn order_sender_rank(backend: &str, own: &str, members: &[String]) -> Option<usize> {
    let key = format!("engine-caretaker/{backend}");
    rendezvous(key.as_bytes(), members.iter().map(String::as_str))
        .into_iter()
        .take(CARETAKERS_PER_ENGINE)
        .position(|caretaker| caretaker == own)
}

//! Orders that follow from a bundle, and the daemons that send them.

use std::time::Duration;

use crate::bundle::{Bundle, PoolKind};
use crate::ids::{Revision, WeightVersion};
use crate::routing::rendezvous;

/// Number of daemons that send the orders of one engine.
pub const ORDER_SENDERS_PER_ENGINE: usize = 2;
/// Time for which the second sender leaves a new bundle's orders to the first, because an engine
/// may reload the weights from the rate-limited weight store for each order.
pub const STANDBY_DELAY: Duration = Duration::from_secs(2);

/// An order to one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Name of the engine in the machine list.
    pub backend: String,
    /// Model to hold, which is the name of the pool.
    pub model: String,
    /// Weight version to hold.
    pub weight_version: WeightVersion,
    /// Revision of the bundle.
    pub fence: Revision,
}

/// Returns all orders that follow from a bundle, in bundle order. Pools without a weight version
/// have none.
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

/// Returns the rank of `own` among the daemons that send an engine's orders, from 0; `None` if it
/// is not one of them.
pub fn order_sender_rank(backend: &str, own: &str, members: &[String]) -> Option<usize> {
    let key = format!("engine-caretaker/{backend}");
    rendezvous(key.as_bytes(), members.iter().map(String::as_str))
        .into_iter()
        .take(ORDER_SENDERS_PER_ENGINE)
        .position(|sender| sender == own)
}

//! Orders to change weight versions: planned purely, given by the one node that holds the lease.

mod calls;
mod giver;
mod lease;
mod plan;

pub use giver::{OrderGiver, OrderOptions, VersionsNamed};
pub use lease::{GiverLease, Held};
pub use plan::{Assignment, FleetInstance, ModelDemand, Planned, plan};

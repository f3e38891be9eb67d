//! Orders of capacity: instances that a service lost in one zone are ordered in others.
//!
//! The plan is pure: [`counts`] tells what is there, [`losses`] what was lost, [`placement`] where a replacement goes, and [`planner`]
//! puts them together into what is [`wanted`]. The holder of the orders lease first writes that to the store (it is then *fixed*) and
//! then sends it ([`duty`]); [`outbox`] says which orders are due, and [`sink`] takes them.

pub mod counts;
pub mod duty;
pub mod losses;
pub mod outbox;
pub mod placement;
pub mod planner;
pub mod sink;
pub mod wanted;

pub use counts::{InstanceKind, Present, InstancePool, count};
pub use duty::CapacityController;
pub use losses::{LossReason, Losses};
pub use outbox::Outbox;
pub use placement::{Offer, place};
pub use planner::{CapacityPlanner, FleetNow, LossNews, Plan};
pub use sink::{CapacityOrder, CapacityOrderError, CapacitySink};
pub use wanted::{CountWanted, WantedCapacity};

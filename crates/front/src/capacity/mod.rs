//! Capacity orders: replaces instances that a service lost in one zone by instances in other zones.
//!
//! Planning has no side effects: [`counts`] counts the instances, [`losses`] tracks lost ones,
//! [`placement`] chooses zones for replacements, and [`planner`] combines these into the
//! [`desired`] capacity. [`controller`] runs on the holder of the orders lease: it persists the
//! desired capacity and then sends the orders that [`outbox`] has due to a [`sink`].

pub mod counts;
pub mod duty;
pub mod losses;
pub mod outbox;
pub mod placement;
pub mod planner;
pub mod sink;
pub mod wanted;

pub use counts::{InstanceKind, Present, Subject, count};
pub use duty::CapacityDuty;
pub use losses::{LossReason, Losses};
pub use outbox::Outbox;
pub use placement::{Offer, place};
pub use planner::{CapacityPlanner, FleetNow, LossNews, Plan};
pub use sink::{CapacityOrder, CapacityOrderError, CapacitySink};
pub use wanted::{CountWanted, WantedCapacity};

//! Capacity orders: replaces instances that a service lost in one zone by instances in other zones.
//!
//! Planning has no side effects: [`counts`] counts the instances, [`losses`] tracks lost ones,
//! [`placement`] chooses zones for replacements, and [`planner`] combines these into the
//! [`desired`] capacity. [`controller`] runs on the holder of the orders lease: it persists the
//! desired capacity and then sends the orders that [`outbox`] has due to a [`sink`].

pub mod controller;
pub mod counts;
pub mod desired;
pub mod losses;
pub mod outbox;
pub mod placement;
pub mod planner;
pub mod sink;

pub use controller::CapacityController;
pub use counts::{InstanceKind, InstancePool, PresentInstances, count_instances};
pub use desired::{DesiredCapacity, DesiredCount};
pub use losses::{LossReason, Losses};
pub use outbox::Outbox;
pub use placement::{ZoneOffer, place};
pub use planner::{CapacityPlanner, FleetState, LossUpdate, Plan};
pub use sink::{CapacityOrder, CapacityOrderError, CapacitySink};

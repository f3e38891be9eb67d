//! Plans weight loads and issues them to instances.
//!
//! A weight-load order tells an instance to load a weight version of a model. Only the order leader
//! issues orders: the node that holds the orders lease. The same node issues permits, which allow
//! fronts to send requests to cold instances.

mod announced_versions;
mod calls;
mod candidates;
mod demand;
mod former_leaders;
mod leader;
mod leader_state;
mod lease;
mod link_use;
mod load_checks;
mod load_limit;
mod load_limit_store;
mod permits;
mod plan;
mod weight_updates;
mod working_set;

pub use announced_versions::AnnouncedVersions;
pub(crate) use calls::InstanceCalls;
pub use candidates::is_lease_candidate;
pub use former_leaders::FormerLeaders;
pub use leader::{OrderLeader, OrderOptions};
pub use lease::{HeldLease, LastLeader, LeaseLoss, OrdersLease};
pub use link_use::{LinkTimes, LinkUse};
pub use load_limit::{FinishedLoad, LoadLimit, LoadTiming};
pub use load_limit_store::{LoadLimitWriter, restore_load_limit};
pub use permits::{PERMIT_QUIET_PERIOD, PermitIssuer, PermitLedger, PermitRequester};
pub use plan::{
    Assignment, FleetInstance, ModelDemand, PlannedLoad, Trade, max_trades, plan_round,
};
pub use weight_updates::LearnedLoadLimit;
pub use working_set::{SpareInstance, WorkingSet, needed_slots};

//! Weight-load orders: planned without side effects and issued by the one node that holds the
//! orders lease.

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

pub use announced_versions::VersionsNamed;
pub use candidates::is_candidate;
pub use former_leaders::EndedGivers;
pub use leader::{OrderGiver, OrderOptions};
pub use lease::{GiverLease, Held, LastGiver, LeaseLoss};
pub use link_use::{LinkTimes, LinkUse};
pub use load_limit::{FinishedLoad, LoadLimit, LoadTiming};
pub use load_limit_store::{LearntWriter, learnt_limit};
pub use permits::{PermitAsker, PermitDealer, PermitLedger, QUIET_TIME};
pub use plan::{Assignment, FleetInstance, ModelDemand, PlannedLoad, Trade, max_trades, plan};
pub use weight_updates::LearntLoads;

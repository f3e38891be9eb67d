//! Weight-load orders: planned without side effects and issued by the one node that holds the
//! orders lease.

mod calls;
mod candidates;
mod demand;
mod ended;
mod given;
mod giver;
mod learnt;
mod lease;
mod link_use;
mod load_limit;
mod looking;
mod named;
mod news;
mod permits;
mod plan;

pub use candidates::is_candidate;
pub use ended::EndedGivers;
pub use giver::{OrderGiver, OrderOptions};
pub use learnt::{LearntWriter, learnt_limit};
pub use lease::{GiverLease, Held, LastGiver, LeaseLoss};
pub use link_use::{LinkTimes, LinkUse};
pub use load_limit::{FinishedLoad, LoadLimit, LoadTiming};
pub use named::VersionsNamed;
pub use news::LearntLoads;
pub use permits::{PermitAsker, PermitDealer, PermitLedger, QUIET_TIME};
pub use plan::{Assignment, FleetInstance, ModelDemand, Planned, Trade, most_trades, plan};

//! Orders to change weight versions: planned purely, given by the one node that holds the lease.

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
pub use ended::FormerLeaders;
pub use giver::{OrderLeader, OrderOptions};
pub use learnt::{LoadLimitWriter, restore_load_limit};
pub use lease::{OrdersLease, HeldLease, LastLeader, LeaseLoss};
pub use link_use::{LinkTimes, LinkUse};
pub use load_limit::{FinishedLoad, LoadLimit, LoadTiming};
pub use named::AnnouncedVersions;
pub use news::LearnedLoadLimit;
pub use permits::{PermitRequester, PermitIssuer, PermitLedger, PERMIT_QUIET_PERIOD};
pub use plan::{Assignment, FleetInstance, ModelDemand, Planned, Trade, most_trades, plan};

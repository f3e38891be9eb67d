//! Permits for requests to cold instances. The holder of the orders lease issues them, which bounds
//! the number of requests across all nodes.

mod asking;
mod dealer;
mod ledger;

pub use asking::PermitAsker;
pub use dealer::PermitDealer;
pub use ledger::{PermitLedger, QUIET_TIME};

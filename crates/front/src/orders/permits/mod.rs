//! Permits to send requests to cold instances: the holder of the orders lease deals them out, so that the sum over all nodes is bounded.

mod asking;
mod dealer;
mod ledger;

pub use asking::PermitAsker;
pub use dealer::PermitDealer;
pub use ledger::{PermitLedger, QUIET_TIME};

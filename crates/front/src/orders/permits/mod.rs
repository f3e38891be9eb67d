//! Permits to send requests to cold instances: the holder of the orders lease deals them out, so that the sum over all nodes is bounded.

mod asking;
mod issuer;
mod ledger;

pub use asking::PermitRequester;
pub use issuer::PermitIssuer;
pub use ledger::{PermitLedger, PERMIT_QUIET_PERIOD};

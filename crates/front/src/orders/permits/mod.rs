//! Permits for requests to cold instances. One permit allows a front to send one request. The
//! holder of the orders lease issues them, which bounds the number of requests across all nodes.

mod ledger;
mod permit_issuer;
mod requester;

pub use ledger::{PERMIT_QUIET_PERIOD, PermitLedger};
pub use permit_issuer::PermitIssuer;
pub use requester::PermitRequester;

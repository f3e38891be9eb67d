//! Cold instances, which can handle only few requests for some time after their start.

mod limits;
mod share;
mod state;

pub use limits::{ColdAllowance, ColdLimit, ColdLimitTable, PermitRequests};
pub use share::{PERMIT_LIFETIME, SEND_WINDOW, SendBudget, SendTicket, WRITE_MARGIN};
pub use state::{ColdState, ColdStatus};

//! Instances that bear few requests for some time, as after their start: which ones they are, and what this node may send them.

mod limits;
mod share;
mod state;

pub use limits::{ColdAllowance, ColdLimit, ColdLimits, PermitWants};
pub use share::{PERMIT_LIFETIME, SEND_WINDOW, SendShare, SendTicket, WRITE_MARGIN};
pub use state::{ColdState, Warmth};

//! Instances of services: what is known of each, which one a request goes to, and connections to them.

mod choice;
mod cold;
mod connection;
mod counters;
mod exchange;
mod gate;
mod instance;
mod table;

pub(crate) use choice::median;
pub use choice::{Candidate, Demand, choose};
pub use cold::{
    ColdAllowance, ColdLimit, ColdLimits, ColdState, PERMIT_LIFETIME, PermitWants, SEND_WINDOW,
    SendShare, SendTicket, WRITE_MARGIN, Warmth,
};
pub use connection::{ConnectError, Connections, Lease};
pub use counters::DiscoveryCounters;
pub(crate) use exchange::keep_alive;
pub use exchange::{AnswerIdPolicy, ExchangeError, Reply, RequestHead, end_to_end, send};
pub use gate::{DrainedZones, HoldReason, Locality, SendGates};
pub use instance::{DiscoveredInstance, Instance, LOADING_PAUSE, Load, RunGuard};
pub use table::BackendTable;

//! Instances of services: their state, the choice of one for a request, and connections to them.

mod choice;
mod cold;
mod connection;
mod counters;
mod exchange;
mod gate;
mod index;
mod instance;
mod liveness;
mod table;

pub(crate) use choice::median;
pub use choice::{Candidate, WorkKind, choose};
pub use cold::{
    ColdAllowance, ColdLimit, ColdLimitTable, ColdState, ColdStatus, PERMIT_LIFETIME,
    PermitRequests, SEND_WINDOW, SendBudget, SendTicket, WRITE_MARGIN,
};
pub use connection::{ConnectError, ConnectionPool, PooledConnection};
pub use counters::DiscoveryCounters;
pub use exchange::{AnswerIdPolicy, ExchangeError, Reply, RequestHead, end_to_end_headers, send};
pub(crate) use exchange::{is_framed, keep_alive};
pub use gate::{DrainedZones, HoldReason, Locality, SendGates};
pub use index::{RequiredWeights, WeightChanges};
pub use instance::{DiscoveredInstance, InFlightGuard, Instance, LOADING_PAUSE, Load};
pub use liveness::Liveness;
pub use table::BackendTable;

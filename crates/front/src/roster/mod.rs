//! A single record of the instances that live requests may go to, for the fronts that need nothing
//! else.
//!
//! Discovery's records change with every load of weights, several times per second in total. If
//! every front followed them, each would receive about one watch answer per second, mostly about
//! weights that only owners of batch jobs and the order leader use. The order leader (the front
//! that holds the orders lease) therefore maintains the *roster*: one leased record of the
//! instances of all services that live requests may go to, without their weights, which changes
//! only when an instance is added, leaves or is removed. A front follows the roster, and follows
//! discovery itself only while it has work that needs the weights, while there is no roster, or
//! while its configuration names services that the roster lacks.
//!
//! A front must not use a roster that is no longer maintained. The record's lease expires soon
//! after its writer exits, freezes or loses contact with the store, and a writer whose own watch of
//! discovery fails stops renewing the lease. [`RosterTiming`] divides the maximum delay of changes
//! among these steps.

mod drains;
mod options;
mod reader;
mod record;
mod view;
mod writer;

pub use options::{FIRST_START_WAIT, FLEET_START_WAIT, RESTART_WAIT, RosterTiming};
pub use reader::{DiscoverySource, DrainTracking, RosterReader};
pub use record::{Roster, RosterDrains, RosterReadError};
pub use view::DiscoveryView;
pub use writer::RosterWriter;

/// Key of the roster.
pub const ROSTER_KEY: &str = "ladderstage/instances/roster";

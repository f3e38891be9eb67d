//! One record of the instances that live requests go to, for the many fronts that need to know no more.
//!
//! Discovery's records change with each load of weights, several times a second in all, and a front must hear within the notice
//! time that an instance leaves. A fleet in which each front follows these records pays for one answer about every second at
//! each front, mostly about weights that only owners of batch jobs and the giver of orders use. The giver follows the records
//! closely in any case. It keeps the *roster*: one leased record of the instances of all services that live requests may go to,
//! without their weights, written only when one comes, leaves or goes. A front without other work follows the roster; one with
//! such work, without a roster, or with a configuration that names other services follows discovery itself.
//!
//! A front must not trust a roster that nobody keeps any more. The record goes with its lease soon after its writer dies, freezes
//! or loses the store, and the writer stops renewing the lease when its own following of discovery fails. [`RosterOptions`] shares
//! the notice time among these steps.

mod drains;
mod options;
mod reader;
mod record;
mod view;
mod writer;

pub use options::{FIRST_START_WAIT, RESTART_WAIT, RosterOptions};
pub use reader::{DiscoverySource, DrainTracking, RosterReader};
pub use record::{Roster, RosterDrains};
pub use view::DiscoveryView;
pub use writer::RosterWriter;

/// The record.
pub const ROSTER_KEY: &str = "ladderstage/instances/roster";

//! SWIM-style membership with incarnations and suspicion.
//!
//! Each member probes the others in shuffled round robin. A member that answers neither directly
//! nor through helpers is suspected, and declared dead unless it refutes in time by raising its own
//! incarnation. Updates are piggybacked on probes and their answers; a periodic exchange of the
//! full state with a random member or a seed repairs lost updates. [`Precedence`] decides between
//! two entries of a node.
//!
//! Membership is a hint; no safety guarantee may depend on it.

mod action;
mod config;
mod entry;
mod isolation;
mod precedence;
mod probing;
mod state;
mod updates;

pub use action::{Action, SyncTarget};
pub use config::{MembershipConfig, UPDATES_PER_MESSAGE};
pub use precedence::{Phase, Precedence};
pub use state::Membership;

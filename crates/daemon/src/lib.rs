//! The ladderstage daemon as a library. `ladderstaged` runs one node per process; tools and tests run several.
//!
//! [`node::Node`] creates the components and connects them. The HTTP interface is in [`http`]; logic without I/O is
//! in the `ladderstage` crate.

pub mod backends;
pub mod bundles;
pub mod claims;
pub mod drain;
pub mod hooks;
pub mod http;
pub mod live;
pub mod logging;
pub mod members;
mod members_cache;
pub mod metrics;
pub mod node;
pub mod orders;
pub mod peer_handler;
pub mod settings;
pub mod shards;
pub mod signals;
pub mod status;
mod watchers;

pub use ladderstage_journal as journal;
pub use ladderstage_journal::{jitter, replica_set};

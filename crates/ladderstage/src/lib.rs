//! Coordination parts of ladderstage, for its daemons and for others to embed.
//!
//! Every module holds decisions as plain state machines: messages, time, ids and random numbers come in as
//! arguments, actions come out as values. Nothing here opens a socket, reads a clock or starts a task.

pub mod admission;
pub mod backend;
pub mod bundle;
pub mod claim;
pub mod document;
pub mod engine_orders;
pub mod evidence;
pub mod ids;
pub mod journal;
pub mod membership;
pub mod region;
pub mod retry;
pub mod routing;
pub mod shard;
pub mod staleness;

//! Coordination logic of ladderstage, for its daemons and for embedding.
//!
//! Every module is a plain state machine: messages, time, identifiers and random numbers are
//! arguments, actions are return values. Nothing in this crate opens a socket, reads a clock or
//! starts a task.

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

//! The programs that run beside a linearizable coordination store: `front` serves clients and owns
//! batch jobs, `store` keeps a replica of the journal.
//!
//! A live request passes through [`ingress`], which reads it, [`tenant`], which identifies its
//! sender, [`config`], which selects route and service, [`backend`], which chooses an instance, and
//! [`live`], which sends it and answers. A batch job is accepted by [`ingress`] and scheduled, run,
//! recorded and read by [`job`]. [`orders`] changes weight versions, [`usage`] reports the served
//! requests, and [`capacity`] orders replacements for lost instances. External systems are reached
//! through [`coordination`] and [`dialect`].

#![warn(missing_docs)]

pub mod activity;
pub mod backend;
mod body_buffer;
pub mod capacity;
pub mod config;
pub mod config_age;
pub mod coordination;
pub mod dialect;
pub mod explain;
pub mod front;
pub mod ingress;
pub mod job;
pub mod live;
pub mod logging;
pub mod memory;
pub mod metrics;
pub mod nodes;
pub mod orders;
pub mod program;
pub mod region_findings;
pub mod resources;
pub mod roster;
pub mod set_records;
mod socket;
pub mod store;
pub mod suspects;
mod suspension;
pub mod tenant;
pub mod usage;

pub use ladderstage::region;

//! The programs that run beside a linearizable coordination store: `front` serves clients and owns batch jobs, `store` keeps
//! a replica of the journal.
//!
//! How a request flows: [`ingress`] reads it, [`tenant`] says whose it is, [`config`] names route and service, [`backend`] chooses an instance, [`live`]
//! sends it and answers. How a batch job flows: [`ingress`] accepts it, [`job`] schedules, runs, records and reads it.
//! [`orders`] changes weight versions, [`usage`] reports what was served,
//! [`capacity`] orders instances in place of those that were lost. What is outside is reached through [`coordination`] and [`dialect`].

#![warn(missing_docs)]

pub mod activity;
pub mod backend;
pub mod capacity;
pub mod config;
pub mod coordination;
pub mod dialect;
pub mod explain;
pub mod front;
pub mod ingress;
pub mod job;
pub mod live;
pub mod logging;
pub mod metrics;
pub mod nodes;
pub mod orders;
pub mod program;
pub mod region_findings;
pub mod roster;
pub mod set_records;
mod socket;
pub mod store;
pub mod suspects;
mod suspension;
pub mod tenant;
pub mod usage;

pub use ladderstage::region;

//! Every sample names the weight versions that produced it, and none older than the staleness bound
//! in force is delivered, despite failures of swaps, engines, owners, pulling daemons and the
//! key-value service.
//!
//! Checked by the samples' texts, which are functions of prompt, position and weight version, and
//! by the engines' runs; for staleness by the order of events: once a bundle is in force, no sample
//! that it does not allow is delivered.

mod bundles;
mod engines;
mod paused_daemons;
#[allow(dead_code)] // it is shared with the binary beside this one, which uses more of it
#[path = "../exactly_once/scenario.rs"]
mod scenario;
mod support;

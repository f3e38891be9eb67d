//! Tests of the journal's state machines.

mod interleavings;
mod rules;
mod set_changes;
mod simulated_replica;
mod support;
mod write_timeout;

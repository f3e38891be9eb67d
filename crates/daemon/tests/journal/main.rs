//! The journal of several nodes over an in-memory network, with real data folders.

mod copies;
#[path = "../../../platform/tests/support/key_value_server.rs"]
#[allow(dead_code)]
mod key_value_server;
mod long_logs;
mod network;
mod owners;
mod replica_sets;
mod several_lost_replicas;
mod writers;

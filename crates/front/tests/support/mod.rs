//! Stand-ins that several tests use.

#![allow(dead_code)]

pub mod memory_store;

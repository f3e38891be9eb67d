//! Fakes shared by several tests.

#![allow(dead_code)]

pub mod memory_store;

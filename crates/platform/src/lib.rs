//! Clients of external systems, one module for each. `docs/PLATFORM.md` describes their protocols.

pub mod application;
pub mod control;
pub mod dispatch;
pub mod engine;
pub mod key_value;
pub mod load;
pub mod machine_list;
pub mod orders;
pub mod scorer;
pub mod weight_store;

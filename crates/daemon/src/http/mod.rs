//! HTTP interface for callers, trainers and operators. Routes only translate between HTTP and the other modules.

pub mod applications;
mod body;
pub mod bundles;
pub mod completions;
pub mod failures;
pub mod outcome;
pub mod server;
pub mod status;
pub mod trainers;

//! HTTP interface to callers, trainers and operators. Policy stays outside: a route reads a request, asks one part, and
//! writes its answer.

pub mod applications;
mod body;
pub mod bundles;
pub mod completions;
pub mod failures;
pub mod outcome;
pub mod server;
pub mod status;
pub mod trainers;

//! Every sample of a step reaches its trainer exactly once, despite failures of owners, answers,
//! disks and daemons.
//!
//! Checked by the samples that the trainer received ([`ladderstage_bench::trainer::StepChecker`]) and by
//! the engines' runs.

mod answers;
mod disks;
mod owners;
mod restarts;
mod scenario;
mod submissions;

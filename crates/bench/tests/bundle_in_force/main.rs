//! An accepted bundle is in force everywhere within seconds and no daemon returns to an older one,
//! despite faults. Checked by the answers to callers and trainers and by the versions that engines
//! hold.

mod outages;
mod refusals;
mod rolls;
mod scenario;
mod stragglers;

//! Selects a back end for a request, and provides rendezvous hashing for assignments on which
//! processes agree without communication (shard owners, readers of load reports, senders of engine
//! orders).

mod candidate;
mod choice;
mod rendezvous;

pub use candidate::Candidate;
pub use choice::{ChoiceOptions, MAX_REPORT_AGE, choose, cost, load};
pub use rendezvous::{rendezvous, rendezvous_first, rendezvous_score};

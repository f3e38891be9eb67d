//! Choice of a back end for a request, and rendezvous hashing for choices on which several
//! processes must agree (shard owners, readers of load reports, senders of engine orders).

mod candidate;
mod choice;
mod rendezvous;

pub use candidate::Candidate;
pub use choice::{ChoiceOptions, MAX_REPORT_AGE, choose, cost, load};
pub use rendezvous::{rendezvous, rendezvous_first, rendezvous_score};

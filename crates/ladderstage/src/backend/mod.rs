//! What is known of each back end, and whether it may be given new work.
//!
//! Rules:
//! - **Positive freshness.** A back end is used only with evidence younger than `freshness`: a load report or a whole
//!   answer to an own request. Its age counts from when the request was sent. A machine list that stops answering
//!   takes nothing away while reports are fresh; a list that answers without the back end does, after a grace time.
//! - **Leaving is sticky** for the process that was meant, from whichever source it was learned: its own report, a
//!   peer, a refusal, the machine list (see `listing` for whom a lagging list means).
//! - **A new process** counts only when its own report was certainly given after the last one of the process before.
//! - **Failures in a row** eject for a growing time, then one request at a time may try (see `health`).
//! - **Pushed gossip** may be arbitrarily late: it proves leaving, never life (see [`GossipOrigin`]).

mod description;
mod entry;
mod gossip;
mod health;
mod listing;
mod observation;
mod policy;
mod process;
mod readers;
mod refresh;
mod table;
mod traffic;
mod view;

pub use description::BackendDescription;
pub use entry::Unusable;
pub use gossip::GossipOrigin;
pub use listing::Placement;
pub use observation::{ListedBackend, ObservationInterval, Report};
pub use policy::BackendPolicy;
pub use readers::{
    READERS_PER_BACKEND, SELF_READ_MEMBERS, reads_reports_directly, reports_spread_by_gossip,
};
pub use refresh::LEAST_GAIN;
pub use table::{BackendTable, Dispatch};

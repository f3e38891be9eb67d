//! State of the back ends, and the decision whether they may be given new work.
//!
//! Rules:
//! - **Freshness.** A back end is used only with evidence younger than `freshness`: a load report
//!   or a complete answer to an own request. Its age counts from when the request was sent. A
//!   machine list that stops answering excludes nothing while reports are fresh; a list that
//!   answers without the back end excludes it after a grace period.
//! - **Leaving is permanent** for the process concerned, whatever the source: its own report, a
//!   peer, a refusal or the machine list (see `listing` for lagging lists).
//! - **A new process** is accepted only if its own report was given after the last report of the
//!   previous process.
//! - **Consecutive failures** eject a back end for an increasing time; then one trial request at a
//!   time is allowed (see `health`).
//! - **Pushed gossip** may be arbitrarily late: it proves that a process is leaving, never that it
//!   is alive (see [`GossipOrigin`]).

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
    MAX_DIRECT_READ_MEMBERS, READERS_PER_BACKEND, reads_reports_directly, uses_report_gossip,
};
pub use refresh::MIN_AGE_GAIN;
pub use table::{BackendTable, Dispatch};

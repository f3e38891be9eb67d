//! Who reads a back end's load reports.
//!
//! Up to [`SELF_READ_MEMBERS`] daemons each reads the reports of all back ends itself: freshness then depends on no
//! peer. Beyond that the readers of a back end are its two nearest by rendezvous hash, and the others ask peers.
//! A wrong choice costs freshness, never safety.

use crate::routing::rendezvous;

/// Most members with which each reads all reports itself.
pub const SELF_READ_MEMBERS: usize = 8;

/// Readers of one back end's reports beyond that.
pub const READERS_PER_BACKEND: usize = 2;

/// Whether reports spread through peers, `members` counting this process.
pub fn reports_spread_by_gossip(members: usize) -> bool {
    members > SELF_READ_MEMBERS
}

/// Whether the member `own` reads the reports of `backend` itself.
pub fn reads_reports_directly(backend: &str, own: &str, members: &[String]) -> bool {
    if !reports_spread_by_gossip(members.len()) {
        return true;
    }
    let key = format!("report-reader/{backend}");
    rendezvous(key.as_bytes(), members.iter().map(String::as_str))
        .into_iter()
        .take(READERS_PER_BACKEND)
        .any(|reader| reader == own)
}

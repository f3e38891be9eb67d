//! Assignment of daemons that read a back end's load reports.
//!
//! Up to [`MAX_DIRECT_READ_MEMBERS`] daemons each read the reports of all back ends directly, so
//! that freshness does not depend on peers. With more members, the first two by rendezvous hash
//! read a back end's reports, and the others request them from peers. A wrong assignment reduces
//! freshness, never safety.

use crate::routing::rendezvous;

/// Maximum number of members up to which each member reads all reports directly.
pub const MAX_DIRECT_READ_MEMBERS: usize = 8;

/// Number of members that read one back end's reports in larger clusters.
pub const READERS_PER_BACKEND: usize = 2;

/// Returns whether the cluster is so large that members also request reports from peers; `members`
/// includes this process.
pub fn uses_report_gossip(members: usize) -> bool {
    members > MAX_DIRECT_READ_MEMBERS
}

/// Returns whether the member `own` reads the reports of `backend` directly.
pub fn reads_reports_directly(backend: &str, own: &str, members: &[String]) -> bool {
    if !uses_report_gossip(members.len()) {
        return true;
    }
    let key = format!("report-reader/{backend}");
    rendezvous(key.as_bytes(), members.iter().map(String::as_str))
        .into_iter()
        .take(READERS_PER_BACKEND)
        .any(|reader| reader == own)
}

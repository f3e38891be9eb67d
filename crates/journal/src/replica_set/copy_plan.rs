//! Selection of the replica from which each log is copied.

use std::collections::BTreeMap;

use ladderstage::journal::replica::ContentVersion;

/// Maximum number of logs that are requested at once. More would leave replicas without requests.
const LOGS_PER_REQUEST: usize = 4;

/// Maximum number of entries that are requested at once, unless a single log has more. The answer should
/// fit into one page, as further pages are only requested when the first one is stored.
const ENTRIES_PER_REQUEST: u64 = 512;

/// Version of each log that one replica holds.
pub(super) type Listing = BTreeMap<String, ContentVersion>;

/// Listing of a replica from which logs can be copied.
#[derive(Debug, Clone, Copy)]
pub(super) struct ListedSource<'a> {
    pub listing: &'a Listing,
    /// Whether the replica is in this node's region. Others send only what no such replica holds.
    pub is_near: bool,
}

/// Logs that are copied from the same replica, in ascending order of their names.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct WantedLogs {
    pub logs: Vec<String>,
    /// Indexes of the replicas that hold the newest version of each of them.
    pub holders: Vec<usize>,
    /// Total number of entries.
    entries: u64,
}

impl WantedLogs {
    /// Returns whether a log that these replicas hold can be requested together with these.
    fn admits(&self, holders: &[usize], entries: u64) -> bool {
        self.holders == holders
            && self.logs.len() < LOGS_PER_REQUEST
            && self.entries + entries <= ENTRIES_PER_REQUEST
    }
}

/// Selects the logs of which a replica lists a newer version than the one that `stored` returns, in
/// ascending order of their names.
pub(super) fn wanted_logs(
    sources: &[ListedSource<'_>],
    stored: impl Fn(&str) -> ContentVersion,
) -> Vec<WantedLogs> {
    let mut wanted: Vec<WantedLogs> = Vec::new();
    for (log, newest) in newest_versions(sources) {
        if newest <= stored(log) {
            continue;
        }
        let holders = holders_of(sources, log, newest);
        match wanted.last_mut() {
            Some(last) if last.admits(&holders, newest.length) => {
                last.logs.push(log.to_owned());
                last.entries += newest.length;
            }
            _ => wanted.push(WantedLogs {
                logs: vec![log.to_owned()],
                holders,
                entries: newest.length,
            }),
        }
    }
    wanted
}

/// Returns the newest listed version of each log.
pub(super) fn newest_versions<'a>(
    sources: &[ListedSource<'a>],
) -> BTreeMap<&'a str, ContentVersion> {
    let mut newest: BTreeMap<&str, ContentVersion> = BTreeMap::new();
    for (log, version) in sources.iter().flat_map(|source| source.listing) {
        let known = newest.entry(log).or_default();
        *known = (*known).max(*version);
    }
    newest
}

fn holders_of(sources: &[ListedSource<'_>], log: &str, newest: ContentVersion) -> Vec<usize> {
    let holds = |source: &ListedSource<'_>| source.listing.get(log) == Some(&newest);
    let indexed = || sources.iter().enumerate();
    let near = indexed().filter(|(_, source)| source.is_near && holds(source));
    let near: Vec<usize> = near.map(|(index, _)| index).collect();
    if !near.is_empty() {
        return near;
    }
    let all = indexed().filter(|(_, source)| holds(source));
    all.map(|(index, _)| index).collect()
}

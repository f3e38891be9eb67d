//! Choice of the nodes that poll a platform service at its full rate.
//!
//! A few watchers, chosen by rendezvous hash, poll at every interval; the other nodes poll less often and receive
//! changes from them, so that the load of the service does not grow with the number of nodes.

use ladderstage::routing::rendezvous;

/// Number of nodes that poll at every interval.
const WATCHERS: usize = 6;

/// Multiplier of the poll interval at all other nodes.
const NON_WATCHER_FACTOR: u32 = 16;

/// Returns the multiplier of the poll interval of node `own` for the service named by `key`. `members` includes `own`.
pub(crate) fn poll_interval_factor<'a>(
    key: &[u8],
    own: &str,
    members: impl IntoIterator<Item = &'a str>,
) -> u32 {
    let ranked = rendezvous(key, members);
    let is_watcher = ranked.iter().take(WATCHERS).any(|name| *name == own);
    if is_watcher { 1 } else { NON_WATCHER_FACTOR }
}

//! Follows the records under a prefix: lists them once and then watches them, across outages and
//! compacted history.

use std::sync::Arc;
use std::time::Duration;

use super::{Change, Coordination, CoordinationError, Record, WatchAnswer};

/// Update passed to a [`Follower`].
#[derive(Debug, Clone)]
pub enum Update {
    /// All current records; every other record no longer exists.
    Snapshot(Vec<Record>),
    /// Changes since the last update.
    Changes(Vec<Change>),
}

/// Consumer of updates to the records under a prefix.
pub trait Follower: Send {
    /// Waits between two answers of the store, so that changes in quick succession cost one call.
    fn pause(&self) -> impl Future<Output = ()> + Send;

    /// Applies an update as of revision `at`. A watch that ended without changes passes an empty
    /// list.
    fn on_update(&mut self, update: Update, at: u64);

    /// Reports that the store does not answer, so that the known records may be outdated.
    fn on_unavailable(&mut self) {}

    /// Returns whether the first listing may be a stale read. The watch from its revision starts at
    /// once and reports the later changes; until it is answered, or pending at the current
    /// revision, the records are as old as that read.
    fn may_start_stale(&self) -> bool {
        false
    }

    /// Returns the revision as of which the records are known already, from which they are watched
    /// without a listing; `None` if they are not known.
    fn known_revision(&self) -> Option<u64> {
        None
    }

    /// Returns the time after which a watch is restarted, in case its answer was lost silently.
    fn max_watch_duration(&self) -> Duration {
        Duration::MAX
    }
}

/// Delay before the retry of the first failed call, which may be an isolated failure.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Maximum wait after further failed calls. Failed calls cost as much as others, and the renewals
/// of the node's lease, which are cheaper and more frequent, show when the store is back.
const MAX_RETRY_WAIT: Duration = Duration::from_secs(10);

/// Follower with a fixed pause that passes updates to a function.
struct FnFollower<F> {
    batch_interval: Duration,
    on_update: F,
}

impl<F: FnMut(Update) + Send> Follower for FnFollower<F> {
    fn pause(&self) -> impl Future<Output = ()> + Send {
        tokio::time::sleep(self.batch_interval)
    }

    fn on_update(&mut self, update: Update, _at: u64) {
        (self.on_update)(update);
    }

    fn may_start_stale(&self) -> bool {
        true
    }
}

/// Follows all records under `prefix` until the future is dropped, starting with a stale listing.
/// Waits `batch_interval` between two answers of the store.
pub async fn follow(
    coordination: Arc<dyn Coordination>,
    prefix: &str,
    batch_interval: Duration,
    on_update: impl FnMut(Update) + Send,
) {
    let mut follower = FnFollower {
        batch_interval,
        on_update,
    };
    follow_with(coordination, prefix, &mut follower).await;
}

/// Follows all records under `prefix` with any [`Follower`].
pub async fn follow_with(
    coordination: Arc<dyn Coordination>,
    prefix: &str,
    follower: &mut impl Follower,
) {
    let mut after = follower.known_revision();
    let mut is_unavailable = false;
    // A listing after compacted history must not be older than the updates already passed on.
    let mut allows_stale = follower.may_start_stale();
    loop {
        let result = match after {
            None if allows_stale => list_stale(coordination.as_ref(), prefix, follower).await,
            None => list(coordination.as_ref(), prefix, follower).await,
            Some(at) => watch(coordination.as_ref(), prefix, at, follower).await,
        };
        match result {
            // The known records are as old as the last answer, so the listing must not wait for
            // another pause.
            Ok(Next::List) => {
                log::info!("event=store_history_compacted prefix={prefix}");
                after = None;
            }
            Ok(Next::WatchNow { at }) => {
                after = Some(at);
                allows_stale = false;
            }
            Ok(Next::WatchAgain) => {}
            Ok(Next::Watch { at }) => {
                after = Some(at);
                if std::mem::take(&mut is_unavailable) {
                    log::info!("event=store_available prefix={prefix} revision={at}");
                }
                follower.pause().await;
            }
            Err(error) => {
                follower.on_unavailable();
                if std::mem::replace(&mut is_unavailable, true) {
                    coordination.wait_for_success(MAX_RETRY_WAIT).await;
                } else {
                    log::warn!("event=store_unavailable prefix={prefix} cause=\"{error}\"");
                    let pause = ladderstage_journal::jitter::jittered(FIRST_RETRY_DELAY);
                    tokio::time::sleep(pause).await;
                }
            }
        }
    }
}

/// Next call to the store.
enum Next {
    /// Watch from a revision after a pause.
    Watch { at: u64 },
    /// Watch from a revision without a pause.
    WatchNow { at: u64 },
    /// Restart the same watch without a pause.
    WatchAgain,
    /// List without a pause.
    List,
}

async fn list(
    coordination: &dyn Coordination,
    prefix: &str,
    follower: &mut impl Follower,
) -> Result<Next, CoordinationError> {
    let listing = coordination.list(prefix).await?;
    follower.on_update(Update::Snapshot(listing.records), listing.at);
    Ok(Next::Watch { at: listing.at })
}

async fn list_stale(
    coordination: &dyn Coordination,
    prefix: &str,
    follower: &mut impl Follower,
) -> Result<Next, CoordinationError> {
    let listing = coordination.list_stale(prefix).await?;
    follower.on_update(Update::Snapshot(listing.records), listing.at);
    Ok(Next::WatchNow { at: listing.at })
}

async fn watch(
    coordination: &dyn Coordination,
    prefix: &str,
    after: u64,
    follower: &mut impl Follower,
) -> Result<Next, CoordinationError> {
    let watching = coordination.watch(prefix, after);
    let Ok(answer) = tokio::time::timeout(follower.max_watch_duration(), watching).await else {
        return Ok(Next::WatchAgain);
    };
    match answer? {
        WatchAnswer::Changes { changes, at } => {
            follower.on_update(Update::Changes(changes), at);
            Ok(Next::Watch { at })
        }
        WatchAnswer::HistoryCompacted => Ok(Next::List),
    }
}

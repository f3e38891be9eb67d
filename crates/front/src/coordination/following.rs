//! Follows the records under a prefix: lists them once, then watches, over outages and forgotten history.

use std::sync::Arc;
use std::time::Duration;

use super::{Change, Coordination, CoordinationError, Record, WatchAnswer};

/// What a follower is told.
#[derive(Debug, Clone)]
pub enum Update {
    /// All records there are now; what is not among them is gone.
    Snapshot(Vec<Record>),
    /// Changes since.
    Changes(Vec<Change>),
}

/// Who follows records: how closely, and what becomes of the news.
pub trait Follower: Send {
    /// Passes between two answers, so that changes in quick succession cost one call.
    fn pause(&self) -> impl Future<Output = ()> + Send;

    /// Takes what the store told as of its revision `at`; a watch that ended without news tells of no changes.
    fn on_update(&mut self, update: Update, at: u64);

    /// The store does not answer: what was told may be old.
    fn on_unavailable(&mut self) {}

    /// Whether the first listing may be a stale read. The watch from its revision begins at once and tells what came since; until
    /// that is answered, or waits, what was told is as old as that read.
    fn may_begin_stale(&self) -> bool {
        false
    }

    /// A watch is given up after this long and begun anew: its answer may have been lost without a sign.
    fn max_watch_duration(&self) -> Duration {
        Duration::MAX
    }
}

/// Pause after a first failed call: a refusal or a lost answer may be the only one.
const FAILURE_PAUSE: Duration = Duration::from_millis(200);

/// Longest pause after a further failed call. Each call to the store has its price, refused ones too, and the node's lease is
/// renewed or taken anew each second and a quarter in any case, for a tenth of it: that shows when the store is back.
const LONGEST_FAILURE_PAUSE: Duration = Duration::from_secs(10);

/// A follower with a fixed pause and a function that takes the news.
struct FnFollower<F> {
    gather: Duration,
    on_update: F,
}

impl<F: FnMut(Update) + Send> Follower for FnFollower<F> {
    fn pause(&self) -> impl Future<Output = ()> + Send {
        tokio::time::sleep(self.gather)
    }

    fn on_update(&mut self, update: Update, _at: u64) {
        (self.on_update)(update);
    }

    fn may_begin_stale(&self) -> bool {
        true
    }
}

/// Follows all records under `prefix` for as long as the future is polled, from a stale listing on. `gather` passes between two
/// answers.
pub async fn follow(
    coordination: Arc<dyn Coordination>,
    prefix: &str,
    gather: Duration,
    on_update: impl FnMut(Update) + Send,
) {
    let mut follower = FnFollower { gather, on_update };
    follow_with(coordination, prefix, &mut follower).await;
}

/// As [`follow`], for any [`Follower`].
pub async fn follow_with(
    coordination: Arc<dyn Coordination>,
    prefix: &str,
    follower: &mut impl Follower,
) {
    let mut after = None;
    let mut is_lost = false;
    // What is listed once more, as history is gone, must not be older than what was told before.
    let mut may_be_stale = follower.may_begin_stale();
    loop {
        let result = match after {
            None if may_be_stale => list_stale(coordination.as_ref(), prefix, follower).await,
            None => list(coordination.as_ref(), prefix, follower).await,
            Some(at) => watch(coordination.as_ref(), prefix, at, follower).await,
        };
        match result {
            // What the lost history told is as old as the last answer: the listing must not wait for another pause.
            Ok(Next::List) => {
                log::info!("event=store_history_compacted prefix={prefix}");
                after = None;
            }
            Ok(Next::WatchAtOnce { at }) => {
                after = Some(at);
                may_be_stale = false;
            }
            Ok(Next::WatchAgain) => {}
            Ok(Next::Watch { at }) => {
                after = Some(at);
                if std::mem::take(&mut is_lost) {
                    log::info!("event=store_available prefix={prefix} revision={at}");
                }
                follower.pause().await;
            }
            Err(error) => {
                follower.on_unavailable();
                if std::mem::replace(&mut is_lost, true) {
                    coordination.wait_for_success(LONGEST_FAILURE_PAUSE).await;
                } else {
                    log::warn!("event=store_unavailable prefix={prefix} cause=\"{error}\"");
                    let pause = ladderstage_journal::jitter::jittered(FAILURE_PAUSE);
                    tokio::time::sleep(pause).await;
                }
            }
        }
    }
}

/// How following goes on.
enum Next {
    /// After a pause, with a watch from a revision.
    Watch { at: u64 },
    /// At once, with a watch from a revision.
    WatchAtOnce { at: u64 },
    /// At once, with the same watch.
    WatchAgain,
    /// At once, with a listing.
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
    Ok(Next::WatchAtOnce { at: listing.at })
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

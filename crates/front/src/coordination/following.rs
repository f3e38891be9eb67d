//! Follows the records under a prefix: lists them once, then watches, over outages and forgotten history.

use std::sync::Arc;
use std::time::Duration;

use super::{Change, Coordination, Record, WatchAnswer};

/// What a follower is told.
#[derive(Debug, Clone)]
pub enum Update {
    /// All records there are now; what is not among them is gone.
    Snapshot(Vec<Record>),
    /// Changes since.
    Changes(Vec<Change>),
}

/// Pause after a first failed call: a refusal or a lost answer may be the only one.
const FAILURE_PAUSE: Duration = Duration::from_millis(200);

/// Longest pause after a further failed call. Each call to the store has its price, refused ones too, and the node's lease is
/// renewed or taken anew each second and a quarter in any case, for a tenth of it: that shows when the store is back.
const LONGEST_FAILURE_PAUSE: Duration = Duration::from_secs(10);

/// Follows all records under `prefix` for as long as the future is polled. `gather` passes between two answers, so that
/// changes in quick succession cost one call.
pub async fn follow(
    coordination: Arc<dyn Coordination>,
    prefix: &str,
    gather: Duration,
    on_update: impl FnMut(Update),
) {
    let pause = || tokio::time::sleep(gather);
    follow_with(coordination, prefix, pause, on_update).await;
}

/// As [`follow`], with any pause between two answers.
pub async fn follow_with<P: Future<Output = ()>>(
    coordination: Arc<dyn Coordination>,
    prefix: &str,
    pause: impl Fn() -> P,
    mut on_update: impl FnMut(Update),
) {
    let mut after = None;
    let mut is_lost = false;
    loop {
        let result = match after {
            None => coordination.list(prefix).await.map(|listing| {
                on_update(Update::Snapshot(listing.records));
                Some(listing.at)
            }),
            Some(at) => coordination
                .watch(prefix, at)
                .await
                .map(|answer| match answer {
                    WatchAnswer::Changes { changes, at } => {
                        if !changes.is_empty() {
                            on_update(Update::Changes(changes));
                        }
                        Some(at)
                    }
                    WatchAnswer::HistoryGone => None,
                }),
        };
        match result {
            // What the lost history told is as old as the last answer: the listing must not wait for another pause.
            Ok(None) => {
                log::info!("event=history_gone prefix={prefix}");
                after = None;
            }
            Ok(Some(at)) => {
                after = Some(at);
                if std::mem::take(&mut is_lost) {
                    log::info!("event=store_regained prefix={prefix} revision={at}");
                }
                pause().await;
            }
            Err(error) => {
                if std::mem::replace(&mut is_lost, true) {
                    coordination.regained(LONGEST_FAILURE_PAUSE).await;
                } else {
                    log::warn!("event=store_lost prefix={prefix} cause=\"{error}\"");
                    let pause = ladderstage_journal::jitter::jittered(FAILURE_PAUSE);
                    tokio::time::sleep(pause).await;
                }
            }
        }
    }
}

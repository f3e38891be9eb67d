//! How soon a follower of the store's records learns what it missed.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_util::future::BoxFuture;
use ladderstage_front::coordination::{
    Coordination, CoordinationError, LeaseId, Listing, Record, SwapResult, WatchAnswer, follow,
};
use tokio::time::Instant;

/// A store whose watches answer as scripted, then wait for ever.
#[derive(Default)]
struct ScriptedStore {
    watch_answers: Mutex<VecDeque<WatchAnswer>>,
    listed_at: Mutex<Vec<Instant>>,
    watched_at: Mutex<Vec<Instant>>,
}

impl Coordination for ScriptedStore {
    fn get<'a>(&'a self, _: &'a str) -> BoxFuture<'a, Result<Option<Record>, CoordinationError>> {
        unimplemented!()
    }

    fn list<'a>(&'a self, _: &'a str) -> BoxFuture<'a, Result<Listing, CoordinationError>> {
        self.listed_at.lock().unwrap().push(Instant::now());
        Box::pin(async { Ok(Listing::default()) })
    }

    fn watch<'a>(
        &'a self,
        _: &'a str,
        _: u64,
    ) -> BoxFuture<'a, Result<WatchAnswer, CoordinationError>> {
        self.watched_at.lock().unwrap().push(Instant::now());
        let answer = self.watch_answers.lock().unwrap().pop_front();
        Box::pin(async {
            match answer {
                Some(answer) => Ok(answer),
                None => std::future::pending().await,
            }
        })
    }

    fn swap<'a>(
        &'a self,
        _: &'a str,
        _: u64,
        _: Vec<u8>,
        _: Option<LeaseId>,
    ) -> BoxFuture<'a, Result<SwapResult, CoordinationError>> {
        unimplemented!()
    }

    fn put<'a>(
        &'a self,
        _: &'a str,
        _: Vec<u8>,
        _: Option<LeaseId>,
    ) -> BoxFuture<'a, Result<(), CoordinationError>> {
        unimplemented!()
    }

    fn grant(&self, _: Duration) -> BoxFuture<'_, Result<LeaseId, CoordinationError>> {
        unimplemented!()
    }

    fn renew(&self, _: LeaseId) -> BoxFuture<'_, Result<(), CoordinationError>> {
        unimplemented!()
    }

    fn revoke(&self, _: LeaseId) -> BoxFuture<'_, Result<(), CoordinationError>> {
        unimplemented!()
    }
}

/// Found by a failed run of CI: a front that was told that history is gone passed its whole gathering time once more before it
/// listed, and sent requests to an instance 2.2 s after that one had said that it leaves.
#[tokio::test(start_paused = true)]
async fn a_follower_whose_history_is_gone_lists_at_once() {
    let store = Arc::new(ScriptedStore::default());
    store
        .watch_answers
        .lock()
        .unwrap()
        .push_back(WatchAnswer::HistoryGone);
    let followed: Arc<dyn Coordination> = store.clone();
    let gather = Duration::from_millis(1_100);
    let following = follow(followed, "instances/", gather, |_| {});
    let _ = tokio::time::timeout(Duration::from_secs(5), following).await;
    let listed_at = store.listed_at.lock().unwrap();
    let watched_at = store.watched_at.lock().unwrap();
    assert_eq!(listed_at.len(), 2);
    assert_eq!(listed_at[1], watched_at[0]);
}

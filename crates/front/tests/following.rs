//! How soon a follower of the store's records learns what it missed.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_util::future::BoxFuture;
use ladderstage_front::coordination::{
    Coordination, CoordinationError, LeaseId, Listing, Observed, Record, StoreCalls, SwapResult,
    WatchAnswer, follow,
};
use tokio::time::Instant;

/// A store whose watches answer as scripted, then wait for ever.
#[derive(Clone, Default)]
struct ScriptedStore {
    watch_answers: Arc<Mutex<VecDeque<WatchAnswer>>>,
    listed_at: Arc<Mutex<Vec<Instant>>>,
    watched_at: Arc<Mutex<Vec<Instant>>>,
    is_down: Arc<AtomicBool>,
}

impl ScriptedStore {
    fn checked<T>(&self, answer: T) -> Result<T, CoordinationError> {
        if self.is_down.load(Ordering::Relaxed) {
            return Err(CoordinationError::Refused("down".to_owned()));
        }
        Ok(answer)
    }
}

impl Coordination for ScriptedStore {
    fn get<'a>(&'a self, _: &'a str) -> BoxFuture<'a, Result<Option<Record>, CoordinationError>> {
        unimplemented!()
    }

    fn list<'a>(&'a self, _: &'a str) -> BoxFuture<'a, Result<Listing, CoordinationError>> {
        self.listed_at.lock().unwrap().push(Instant::now());
        let answer = self.checked(Listing::default());
        Box::pin(async { answer })
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
        let answer = self.checked(());
        Box::pin(async { answer })
    }

    fn revoke(&self, _: LeaseId) -> BoxFuture<'_, Result<(), CoordinationError>> {
        unimplemented!()
    }
}

/// Found by a failed run of CI: a front that was told that history is gone passed its whole gathering time once more before it
/// listed, and sent requests to an instance 2.2 s after that one had said that it leaves.
#[tokio::test(start_paused = true)]
async fn a_follower_whose_history_is_gone_lists_at_once() {
    let store = ScriptedStore::default();
    store
        .watch_answers
        .lock()
        .unwrap()
        .push_back(WatchAnswer::HistoryGone);
    let followed: Arc<dyn Coordination> = Arc::new(store.clone());
    let gather = Duration::from_millis(1_100);
    let following = follow(followed, "instances/", gather, |_| {});
    let _ = tokio::time::timeout(Duration::from_secs(5), following).await;
    let listed_at = store.listed_at.lock().unwrap();
    let watched_at = store.watched_at.lock().unwrap();
    assert_eq!(listed_at.len(), 2);
    assert_eq!(listed_at[1], watched_at[0]);
}

/// Found by counting the calls of a day on which the store turned a third of 84 nodes away for 9 s: each of their three followers
/// asked once a second, and each refused call has its price.
#[tokio::test(start_paused = true)]
async fn followers_of_a_store_that_refuses_wait_for_another_call_to_be_carried_out() {
    let store = ScriptedStore::default();
    store.is_down.store(true, Ordering::Relaxed);
    let observed: Arc<dyn Coordination> =
        Arc::new(Observed::new(store.clone(), StoreCalls::default()));
    let following = follow(
        Arc::clone(&observed),
        "instances/",
        Duration::from_millis(100),
        |_| {},
    );
    let renewals = async {
        for _ in 0..9 {
            tokio::time::sleep(Duration::from_secs(1)).await;
            let _ = observed.renew(1).await;
        }
        let while_down = store.listed_at.lock().unwrap().len();
        store.is_down.store(false, Ordering::Relaxed);
        let _ = observed.renew(1).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
        while_down
    };
    let while_down = tokio::select! {
        () = following => unreachable!("a follower goes on for ever"),
        while_down = renewals => while_down,
    };
    assert_eq!(while_down, 2);
    assert_eq!(store.listed_at.lock().unwrap().len(), 3);
}

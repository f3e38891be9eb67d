//! How soon a follower of the store's records learns what it missed.

mod support;

use std::sync::Arc;
use std::time::Duration;

use ladderstage_front::coordination::{
    Change, Coordination, Follower, ObservedStore, StoreCallMetrics, Update, follow, follow_with,
};
use support::memory_store::{MemoryStore, NodeFaults};
use tokio::time::sleep;

/// Found by a failed run of CI: a front that was told that history is gone passed its whole gathering time once more before it
/// listed, and sent requests to an instance 2.2 s after that one had said that it leaves.
#[tokio::test(start_paused = true)]
async fn a_follower_whose_history_is_gone_lists_at_once() {
    for begins_stale in [false, true] {
        let store = MemoryStore::default();
        store.write("instances/i-1", Vec::new());
        let followed: Arc<dyn Coordination> = Arc::new(store.of("node"));
        let gather = Duration::from_millis(1_100);
        let mut follower = Gathering {
            gather,
            begins_stale,
        };
        let forgetting = async {
            sleep(gather / 2).await;
            store.write("instances/i-2", Vec::new());
            store.forget_history();
            sleep(Duration::from_secs(5)).await;
        };
        tokio::select! {
            () = follow_with(followed, "instances/", &mut follower) => unreachable!("a follower goes on for ever"),
            () = forgetting => {}
        }
        let mut listed_at = store.call_times("node", "list_stale", "instances/");
        listed_at.extend(store.call_times("node", "list", "instances/"));
        let watched_at = store.call_times("node", "watch", "instances/");
        assert_eq!(listed_at.len(), 2);
        if begins_stale {
            // The watch was under way.
            assert_eq!(watched_at[0], listed_at[0]);
            assert_eq!(listed_at[1], listed_at[0] + gather / 2);
        } else {
            assert_eq!(listed_at[1], watched_at[0]);
        }
    }
}

/// Gathers changes for a while.
struct Gathering {
    gather: Duration,
    begins_stale: bool,
}

impl Follower for Gathering {
    fn pause(&self) -> impl Future<Output = ()> + Send {
        sleep(self.gather)
    }

    fn on_update(&mut self, _: Update, _: u64) {}

    fn may_begin_stale(&self) -> bool {
        self.begins_stale
    }
}

/// What a stale listing lacks is told by the watch that follows it at once.
#[tokio::test(start_paused = true)]
async fn a_stale_listing_is_made_up_for_at_once() {
    let store = MemoryStore::default();
    store.write("instances/i-1", Vec::new());
    store.set_faults(
        "node",
        NodeFaults {
            stale_by: 1,
            ..NodeFaults::default()
        },
    );
    store.write("instances/i-2", Vec::new());
    let followed: Arc<dyn Coordination> = Arc::new(store.of("node"));
    let mut heard = Vec::new();
    let gather = Duration::from_secs(60);
    let following = follow(followed, "instances/", gather, |update| match update {
        Update::Snapshot(records) => heard.extend(records.into_iter().map(|record| record.key)),
        Update::Changes(changes) => {
            heard.extend(changes.into_iter().filter_map(|change| match change {
                Change::Written(record) => Some(record.key),
                Change::Removed { .. } => None,
            }));
        }
    });
    let _ = tokio::time::timeout(Duration::from_millis(50), following).await;
    assert_eq!(heard, ["instances/i-1", "instances/i-2"]);
}

/// After the history was forgotten a stale listing could tell what was before.
#[tokio::test(start_paused = true)]
async fn only_the_first_listing_is_stale() {
    let store = MemoryStore::default();
    store.write("instances/i-1", Vec::new());
    let followed: Arc<dyn Coordination> = Arc::new(store.of("node"));
    let following = follow(followed, "instances/", Duration::from_millis(10), |_| {});
    let forgetting = async {
        for _ in 0..5 {
            sleep(Duration::from_secs(1)).await;
            store.write("elsewhere", Vec::new());
            store.forget_history();
        }
    };
    tokio::select! {
        () = following => unreachable!("a follower goes on for ever"),
        () = forgetting => {}
    }
    assert_eq!(store.calls("node", "list_stale", "instances/"), 1);
    assert!(store.calls("node", "list", "instances/") >= 4);
}

/// Found by counting the calls of a day on which the store turned a third of 84 nodes away for 9 s: each of their three followers
/// asked once a second, and each refused call has its price.
#[tokio::test(start_paused = true)]
async fn followers_of_a_store_that_refuses_wait_for_another_call_to_be_carried_out() {
    let store = MemoryStore::default();
    let refused = NodeFaults {
        is_refused: true,
        ..NodeFaults::default()
    };
    let observed: Arc<dyn Coordination> =
        Arc::new(ObservedStore::new(store.of("node"), StoreCallMetrics::default()));
    let lease = observed.grant(Duration::from_secs(60)).await.unwrap();
    store.set_faults("node", refused);
    let following = follow(
        Arc::clone(&observed),
        "instances/",
        Duration::from_millis(100),
        |_| {},
    );
    let renewals = async {
        for _ in 0..9 {
            sleep(Duration::from_secs(1)).await;
            let _ = observed.renew(lease).await;
        }
        let while_down = store.calls("node", "list_stale", "instances/");
        store.set_faults("node", NodeFaults::default());
        observed.renew(lease).await.unwrap();
        sleep(Duration::from_millis(50)).await;
        while_down
    };
    let while_down = tokio::select! {
        () = following => unreachable!("a follower goes on for ever"),
        while_down = renewals => while_down,
    };
    assert_eq!(while_down, 2);
    assert_eq!(store.calls("node", "list_stale", "instances/"), 3);
}

/// A watch whose answer was lost without a sign tells nothing until its time is over.
#[tokio::test(start_paused = true)]
async fn a_watch_is_begun_anew_when_it_was_silent_for_long() {
    struct Impatient;

    impl Follower for Impatient {
        fn pause(&self) -> impl Future<Output = ()> + Send {
            sleep(Duration::from_millis(10))
        }

        fn on_update(&mut self, _: Update, _: u64) {}

        fn max_watch_duration(&self) -> Duration {
            Duration::from_secs(5)
        }
    }

    let store = MemoryStore::default();
    let followed: Arc<dyn Coordination> = Arc::new(store.of("node"));
    let mut follower = Impatient;
    let following = follow_with(followed, "instances/", &mut follower);
    let _ = tokio::time::timeout(Duration::from_secs(21), following).await;
    assert_eq!(store.calls("node", "watch", "instances/"), 5);
    assert_eq!(store.calls("node", "list", "instances/"), 1);
}

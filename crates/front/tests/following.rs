//! Tests of following the store's records through lost answers, rejected calls and compacted
//! history.

mod support;

use std::sync::Arc;
use std::time::Duration;

use ladderstage_front::coordination::{
    Change, Coordination, Follower, ObservedStore, StoreCallMetrics, Update, follow, follow_with,
};
use support::memory_store::{MemoryStore, NodeFaults};
use tokio::time::sleep;

/// Guards against a follower that waits one more batch interval before it lists again after
/// compaction; meanwhile requests would go to instances that left.
#[tokio::test(start_paused = true)]
async fn a_follower_lists_at_once_after_compacted_history() {
    for starts_stale in [false, true] {
        let store = MemoryStore::default();
        store.write("instances/i-1", Vec::new());
        let coordination: Arc<dyn Coordination> = Arc::new(store.of("node"));
        let batch_interval = Duration::from_millis(1_100);
        let mut follower = FixedPauseFollower {
            batch_interval,
            starts_stale,
        };
        let compaction = async {
            sleep(batch_interval / 2).await;
            store.write("instances/i-2", Vec::new());
            store.compact_history();
            sleep(Duration::from_secs(5)).await;
        };
        tokio::select! {
            () = follow_with(coordination, "instances/", &mut follower) => unreachable!("a follower never returns"),
            () = compaction => {}
        }
        let mut listed_at = store.call_times("node", "list_stale", "instances/");
        listed_at.extend(store.call_times("node", "list", "instances/"));
        let watched_at = store.call_times("node", "watch", "instances/");
        assert_eq!(listed_at.len(), 2);
        if starts_stale {
            // The watch was in progress when the history was compacted, so it ends then.
            assert_eq!(watched_at[0], listed_at[0]);
            assert_eq!(listed_at[1], listed_at[0] + batch_interval / 2);
        } else {
            // The first watch starts after a pause, when the history is already compacted.
            assert_eq!(listed_at[1], watched_at[0]);
        }
    }
}

struct FixedPauseFollower {
    batch_interval: Duration,
    starts_stale: bool,
}

impl Follower for FixedPauseFollower {
    fn pause(&self) -> impl Future<Output = ()> + Send {
        sleep(self.batch_interval)
    }

    fn on_update(&mut self, _: Update, _: u64) {}

    fn may_start_stale(&self) -> bool {
        self.starts_stale
    }
}

/// The watch starts at the stale listing's revision, so it reports newer records.
#[tokio::test(start_paused = true)]
async fn a_watch_starts_immediately_after_a_stale_listing() {
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
    let coordination: Arc<dyn Coordination> = Arc::new(store.of("node"));
    let mut keys = Vec::new();
    let batch_interval = Duration::from_secs(60);
    let follow_task = follow(
        coordination,
        "instances/",
        batch_interval,
        |update| match update {
            Update::Snapshot(records) => keys.extend(records.into_iter().map(|record| record.key)),
            Update::Changes(changes) => {
                keys.extend(changes.into_iter().filter_map(|change| match change {
                    Change::Written(record) => Some(record.key),
                    Change::Removed { .. } => None,
                }));
            }
        },
    );
    let _ = tokio::time::timeout(Duration::from_millis(50), follow_task).await;
    assert_eq!(keys, ["instances/i-1", "instances/i-2"]);
}

/// A stale listing after compacted history could be older than the known records.
#[tokio::test(start_paused = true)]
async fn only_the_first_listing_is_stale() {
    let store = MemoryStore::default();
    store.write("instances/i-1", Vec::new());
    let coordination: Arc<dyn Coordination> = Arc::new(store.of("node"));
    let follow_task = follow(
        coordination,
        "instances/",
        Duration::from_millis(10),
        |_| {},
    );
    let compaction = async {
        for _ in 0..5 {
            sleep(Duration::from_secs(1)).await;
            store.write("elsewhere", Vec::new());
            store.compact_history();
        }
    };
    tokio::select! {
        () = follow_task => unreachable!("a follower never returns"),
        () = compaction => {}
    }
    assert_eq!(store.calls("node", "list_stale", "instances/"), 1);
    assert!(store.calls("node", "list", "instances/") >= 4);
}

/// Guards against every follower retrying rejected calls each second.
#[tokio::test(start_paused = true)]
async fn followers_retry_a_rejecting_store_only_after_another_call_succeeds() {
    let store = MemoryStore::default();
    let rejecting = NodeFaults {
        is_refused: true,
        ..NodeFaults::default()
    };
    let observed: Arc<dyn Coordination> = Arc::new(ObservedStore::new(
        store.of("node"),
        StoreCallMetrics::default(),
    ));
    let lease = observed.grant(Duration::from_secs(60)).await.unwrap();
    store.set_faults("node", rejecting);
    let follow_task = follow(
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
        let during_outage = store.calls("node", "list_stale", "instances/");
        store.set_faults("node", NodeFaults::default());
        observed.renew(lease).await.unwrap();
        sleep(Duration::from_millis(50)).await;
        during_outage
    };
    let during_outage = tokio::select! {
        () = follow_task => unreachable!("a follower never returns"),
        during_outage = renewals => during_outage,
    };
    // The first call and its only retry before another call succeeds.
    assert_eq!(during_outage, 2);
    assert_eq!(store.calls("node", "list_stale", "instances/"), 3);
}

/// Guards against a watch that waits forever for a lost answer.
#[tokio::test(start_paused = true)]
async fn a_watch_without_an_answer_is_restarted() {
    struct ShortWatchFollower;

    impl Follower for ShortWatchFollower {
        fn pause(&self) -> impl Future<Output = ()> + Send {
            sleep(Duration::from_millis(10))
        }

        fn on_update(&mut self, _: Update, _: u64) {}

        fn max_watch_duration(&self) -> Duration {
            Duration::from_secs(5)
        }
    }

    let store = MemoryStore::default();
    let coordination: Arc<dyn Coordination> = Arc::new(store.of("node"));
    let mut follower = ShortWatchFollower;
    let follow_task = follow_with(coordination, "instances/", &mut follower);
    let _ = tokio::time::timeout(Duration::from_secs(21), follow_task).await;
    assert_eq!(store.calls("node", "watch", "instances/"), 5);
    assert_eq!(store.calls("node", "list", "instances/"), 1);
}

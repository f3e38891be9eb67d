//! Tests of following the store's records through lost answers, rejected calls and compacted
//! history.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use ladderstage_clock::Instant;
use ladderstage_front::coordination::{
    Change, Coordination, Follower, LeaseId, ObservedStore, StoreCallMetrics, Update, follow,
    follow_with,
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

/// Follower that counts the changes that it gets.
struct CountingFollower {
    changes: Arc<AtomicUsize>,
}

impl Follower for CountingFollower {
    fn pause(&self) -> impl Future<Output = ()> + Send {
        sleep(Duration::from_millis(10))
    }

    fn on_update(&mut self, update: Update, _: u64) {
        if let Update::Changes(changes) = update {
            self.changes.fetch_add(changes.len(), Ordering::Relaxed);
        }
    }
}

/// Process that follows records of a store which loses the answer of its watch, while no other call
/// is in progress.
struct DoubtfulWatch {
    store: MemoryStore,
    observed: Arc<dyn Coordination>,
    lease: LeaseId,
    changes: Arc<AtomicUsize>,
    following: tokio::task::JoinHandle<()>,
}

impl DoubtfulWatch {
    async fn start() -> Self {
        let store = MemoryStore::default();
        let observed: Arc<dyn Coordination> = Arc::new(ObservedStore::new(
            store.of("node"),
            StoreCallMetrics::default(),
        ));
        let lease = observed.grant(Duration::from_secs(600)).await.unwrap();
        let changes = Arc::new(AtomicUsize::new(0));
        let mut follower = CountingFollower {
            changes: Arc::clone(&changes),
        };
        let coordination = Arc::clone(&observed);
        let following = tokio::spawn(async move {
            follow_with(coordination, "instances/", &mut follower).await;
        });
        sleep(Duration::from_secs(1)).await;
        store.set_faults(
            "node",
            NodeFaults {
                loses_watches: true,
                ..NodeFaults::default()
            },
        );
        sleep(Duration::from_secs(1)).await;
        store.set_faults("node", NodeFaults::default());
        Self {
            store,
            observed,
            lease,
            changes,
            following,
        }
    }

    fn watch_count(&self) -> usize {
        self.store.calls("node", "watch", "instances/")
    }

    fn change_count(&self) -> usize {
        self.changes.load(Ordering::Relaxed)
    }
}

impl Drop for DoubtfulWatch {
    fn drop(&mut self) {
        self.following.abort();
    }
}

/// Guards against a process that stood still while the store lost the answers of its watches, and
/// hears of no change until their time is over, as no other call of it failed.
#[tokio::test(start_paused = true)]
async fn doubtful_watches_are_repeated_once_the_store_answers() {
    let process = DoubtfulWatch::start().await;
    process.store.write("instances/i-1", Vec::new());
    sleep(Duration::from_secs(60)).await;
    assert_eq!((process.watch_count(), process.change_count()), (1, 0));
    process.observed.doubt_watches(Instant::now());
    process.observed.renew(process.lease).await.unwrap();
    sleep(Duration::from_secs(1)).await;
    assert_eq!(process.change_count(), 1);
}

/// Guards against repetitions that the store loses as well, since it recovers only after them.
#[tokio::test(start_paused = true)]
async fn doubtful_watches_wait_for_the_answer_to_a_later_call() {
    let process = DoubtfulWatch::start().await;
    let stall_end = Instant::now() + Duration::from_secs(1);
    process.observed.doubt_watches(stall_end);
    process.observed.renew(process.lease).await.unwrap();
    sleep(Duration::from_secs(5)).await;
    assert_eq!(process.watch_count(), 1);
    process.observed.doubt_watches(Instant::now());
    process.observed.renew(process.lease).await.unwrap();
    sleep(Duration::from_secs(5)).await;
    assert_eq!(process.watch_count(), 2);
}

/// Guards against a process that repeats its watches with each call, because it is busy for long.
#[tokio::test(start_paused = true)]
async fn doubtful_watches_are_repeated_rarely() {
    let process = DoubtfulWatch::start().await;
    for _ in 0..20 {
        process.observed.doubt_watches(Instant::now());
        process.observed.renew(process.lease).await.unwrap();
        sleep(Duration::from_millis(10)).await;
    }
    sleep(Duration::from_secs(5)).await;
    assert_eq!(process.watch_count(), 2);
}

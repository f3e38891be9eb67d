//! What a giver of orders goes on from that knows nothing of loads itself.

mod support;

use std::sync::Arc;
use std::time::Duration;

use ladderstage_front::coordination::Coordination;
use ladderstage_front::orders::{LearnedLoadLimit, LoadLimitWriter, LoadLimit, restore_load_limit};
use support::memory_store::{MemoryStore, NodeFaults};

const KEY: &str = "ladderstage/orders/learnt";

fn learnt(limit: usize) -> LoadLimit {
    LoadLimit::from_learned(limit, Duration::from_millis(1_020), true)
}

/// The store's answers come at once, on another task.
async fn written(store: &MemoryStore) {
    for _ in 0..100 {
        if store.read(KEY).is_some() {
            return;
        }
        tokio::task::yield_now().await;
    }
    panic!("nothing was written");
}

#[tokio::test(start_paused = true)]
async fn a_giver_after_a_kill_of_all_goes_on_from_what_was_learnt() {
    let store = MemoryStore::default();
    let before: Arc<dyn Coordination> = Arc::new(store.of("front-1"));
    LoadLimitWriter::default().save(&LoadLimit::default(), &before);
    tokio::task::yield_now().await;
    assert_eq!(
        store.read(KEY),
        None,
        "nothing is learnt before the first load"
    );
    let mut writer = LoadLimitWriter::default();
    writer.save(&learnt(11), &before);
    written(&store).await;
    let after = store.of("front-2");
    let limit = restore_load_limit(&LearnedLoadLimit::default(), &after).await.unwrap();
    assert_eq!(limit.get(), 11);
    assert_eq!(limit.typical_load_time(), Some(Duration::from_millis(1_020)));
    assert!(limit.is_near_capacity());
}

#[tokio::test(start_paused = true)]
async fn what_a_giver_was_told_goes_before_the_record() {
    let store = MemoryStore::default();
    store.write(
        KEY,
        br#"{"limit":30,"usual_ms":900,"is_near":false}"#.to_vec(),
    );
    let told = LearnedLoadLimit::default();
    told.record(&learnt(9));
    let limit = restore_load_limit(&told, &store.of("front-1")).await.unwrap();
    assert_eq!(limit.get(), 9);
}

#[tokio::test(start_paused = true)]
async fn without_a_usable_record_a_giver_begins_as_the_first_one() {
    let store = MemoryStore::default();
    let nothing = LearnedLoadLimit::default();
    assert!(restore_load_limit(&nothing, &store.of("front-1")).await.is_none());
    store.write(KEY, b"damaged".to_vec());
    assert!(restore_load_limit(&nothing, &store.of("front-1")).await.is_none());
    let is_partitioned = NodeFaults {
        is_partitioned: true,
        ..NodeFaults::default()
    };
    store.set_faults("front-1", is_partitioned);
    assert!(restore_load_limit(&nothing, &store.of("front-1")).await.is_none());
}

#[tokio::test(start_paused = true)]
async fn the_record_is_written_now_and_then_only() {
    let store = MemoryStore::default();
    let node: Arc<dyn Coordination> = Arc::new(store.of("front-1"));
    let mut writer = LoadLimitWriter::default();
    for limit in [4, 8, 8, 14] {
        writer.save(&learnt(limit), &node);
        written(&store).await;
    }
    assert_eq!(store.calls("front-1", "put", KEY), 1);
}

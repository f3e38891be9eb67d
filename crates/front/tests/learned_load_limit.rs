//! Tests how a new order leader restores the learned load limit.

mod support;

use std::sync::Arc;
use std::time::Duration;

use ladderstage_front::coordination::Coordination;
use ladderstage_front::orders::{LearnedLoadLimit, LoadLimit, LoadLimitWriter, restore_load_limit};
use support::memory_store::{MemoryStore, NodeFaults};

const KEY: &str = "ladderstage/orders/learnt";

fn learned(limit: usize) -> LoadLimit {
    LoadLimit::from_learned(limit, Duration::from_millis(1_020), true)
}

/// Waits for the store's answer, which arrives on another task.
async fn wait_for_record(store: &MemoryStore) {
    for _ in 0..100 {
        if store.read(KEY).is_some() {
            return;
        }
        tokio::task::yield_now().await;
    }
    panic!("no record was written");
}

#[tokio::test(start_paused = true)]
async fn a_leader_restores_the_stored_limit_after_a_restart_of_all_nodes() {
    let store = MemoryStore::default();
    let before: Arc<dyn Coordination> = Arc::new(store.of("front-1"));
    LoadLimitWriter::default().save(&LoadLimit::default(), &before);
    tokio::task::yield_now().await;
    assert_eq!(
        store.read(KEY),
        None,
        "no record is written before the first load"
    );
    let mut writer = LoadLimitWriter::default();
    writer.save(&learned(11), &before);
    wait_for_record(&store).await;
    let after = store.of("front-2");
    let limit = restore_load_limit(&LearnedLoadLimit::default(), &after)
        .await
        .unwrap();
    assert_eq!(limit.get(), 11);
    assert_eq!(
        limit.typical_load_time(),
        Some(Duration::from_millis(1_020))
    );
    assert!(limit.is_near_capacity());
}

#[tokio::test(start_paused = true)]
async fn a_received_limit_takes_precedence_over_the_stored_one() {
    let store = MemoryStore::default();
    store.write(
        KEY,
        br#"{"limit":30,"usual_ms":900,"is_near":false}"#.to_vec(),
    );
    let received = LearnedLoadLimit::default();
    received.record(&learned(9));
    let limit = restore_load_limit(&received, &store.of("front-1"))
        .await
        .unwrap();
    assert_eq!(limit.get(), 9);
}

#[tokio::test(start_paused = true)]
async fn no_limit_is_restored_without_a_usable_record() {
    let store = MemoryStore::default();
    let unknown = LearnedLoadLimit::default();
    assert!(
        restore_load_limit(&unknown, &store.of("front-1"))
            .await
            .is_none()
    );
    store.write(KEY, b"damaged".to_vec());
    assert!(
        restore_load_limit(&unknown, &store.of("front-1"))
            .await
            .is_none()
    );
    let is_partitioned = NodeFaults {
        is_partitioned: true,
        ..NodeFaults::default()
    };
    store.set_faults("front-1", is_partitioned);
    assert!(
        restore_load_limit(&unknown, &store.of("front-1"))
            .await
            .is_none()
    );
}

#[tokio::test(start_paused = true)]
async fn writes_of_the_limit_are_rate_limited() {
    let store = MemoryStore::default();
    let node: Arc<dyn Coordination> = Arc::new(store.of("front-1"));
    let mut writer = LoadLimitWriter::default();
    for limit in [4, 8, 8, 14] {
        writer.save(&learned(limit), &node);
        wait_for_record(&store).await;
    }
    assert_eq!(store.calls("front-1", "put", KEY), 1);
}

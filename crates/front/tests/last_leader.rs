//! Tests the record of the last order leader when its writes are executed late or their answers are
//! lost.

mod support;

use std::sync::Arc;
use std::time::Duration;

use ladderstage_clock::testing::suspend;
use ladderstage_front::coordination::CoordinationError;
use ladderstage_front::orders::{HeldLease, LastLeader, OrdersLease};
use support::memory_store::{MemoryStore, NodeFaults};
use tokio::time::sleep;

const LAST_LEADER_KEY: &str = "ladderstage/orders/last";

/// Quiet period that outlasts any test.
const LONG_QUIET_PERIOD: Duration = Duration::from_secs(600);

/// Time after which an unrenewed lease has expired.
const LEASE_EXPIRY: Duration = Duration::from_secs(2);

/// Time after which a delayed write is executed: the next holder has recorded itself by then.
const LATE: Duration = Duration::from_secs(10);

fn lease(store: &MemoryStore, node: &str) -> OrdersLease {
    OrdersLease {
        coordination: Arc::new(store.of(node)),
        node: node.to_owned(),
        quiet_period: LONG_QUIET_PERIOD,
    }
}

async fn acquire(lease: &OrdersLease) -> HeldLease {
    lease.acquire().await.unwrap().expect("the lease is free")
}

/// Lets a node record itself by a write that is executed late and whose answer is lost.
async fn record_late(store: &MemoryStore, lease: &OrdersLease, held: &HeldLease, delay: Duration) {
    let faults = NodeFaults {
        delayed_swap: Some(delay),
        delayed_put: Some(delay),
        ..NodeFaults::default()
    };
    store.set_faults(&lease.node, faults);
    let answer = lease.may_issue_orders(held).await;
    assert!(matches!(answer, Err(CoordinationError::Unknown(_))));
    store.set_faults(&lease.node, NodeFaults::default());
}

fn recorded(store: &MemoryStore) -> String {
    String::from_utf8(store.read(LAST_LEADER_KEY).unwrap()).unwrap()
}

/// Guards against a holder that counts as last leader, and skips its quiet period, because its
/// write was executed after that of a later holder.
#[tokio::test(start_paused = true)]
async fn a_late_write_does_not_replace_the_record_of_a_later_holder() {
    let store = MemoryStore::default();
    let (first, second) = (lease(&store, "front-1"), lease(&store, "front-2"));
    let held = acquire(&first).await;
    record_late(&store, &first, &held, LATE).await;
    sleep(LEASE_EXPIRY).await;
    let held = acquire(&second).await;
    second.may_issue_orders(&held).await.unwrap();
    let named = format!("front-2 {}", held.fence);
    assert_eq!(recorded(&store), named);
    sleep(LATE).await;
    assert_eq!(recorded(&store), named);
    let last = LastLeader {
        node: "front-2".to_owned(),
        fence: held.fence,
    };
    let held = acquire(&first).await;
    assert_eq!(held.last, Some(last));
    assert!(held.is_in_quiet_period());
}

/// Guards against a holder that issues no orders because the answer to its write was lost.
#[tokio::test(start_paused = true)]
async fn a_write_whose_answer_was_lost_is_recognized_as_recorded() {
    let store = MemoryStore::default();
    let lease = lease(&store, "front-1");
    let held = acquire(&lease).await;
    record_late(&store, &lease, &held, Duration::ZERO).await;
    assert!(!held.is_recorded());
    sleep(Duration::from_millis(10)).await;
    let named = format!("front-1 {}", held.fence);
    assert_eq!(recorded(&store), named, "the write was executed");
    lease.may_issue_orders(&held).await.unwrap();
    assert!(held.is_recorded());
    assert_eq!(recorded(&store), named);
}

/// Guards against a holder that issues no orders because an earlier holder's write was executed
/// after it had read the record.
#[tokio::test(start_paused = true)]
async fn a_holder_records_itself_over_a_late_write_of_an_earlier_one() {
    let store = MemoryStore::default();
    let lease = lease(&store, "front-2");
    let held = acquire(&lease).await;
    let earlier = format!("front-1 {}", held.fence - 1);
    store.write(LAST_LEADER_KEY, earlier.into_bytes());
    assert!(!lease.may_issue_orders(&held).await.unwrap());
    assert!(!held.is_recorded());
    lease.may_issue_orders(&held).await.unwrap();
    assert!(held.is_recorded());
    assert_eq!(recorded(&store), format!("front-2 {}", held.fence));
}

/// Guards against a holder whose lease has ended and that takes the place of a later one.
#[tokio::test(start_paused = true)]
async fn a_holder_never_records_itself_over_a_later_one() {
    let store = MemoryStore::default();
    let lease = lease(&store, "front-1");
    let held = acquire(&lease).await;
    let later = format!("front-2 {}", held.fence + 1);
    store.write(LAST_LEADER_KEY, later.clone().into_bytes());
    for _ in 0..3 {
        assert!(!lease.may_issue_orders(&held).await.unwrap());
        assert!(!held.is_recorded());
        assert_eq!(recorded(&store), later);
    }
}

/// Guards against a holder that stood still after it had acquired the lease, read the record of a
/// later holder, and then takes its place.
#[tokio::test(start_paused = true)]
async fn a_holder_whose_lease_has_ended_writes_no_record() {
    let store = MemoryStore::default();
    let lease = OrdersLease {
        quiet_period: Duration::ZERO,
        ..lease(&store, "front-1")
    };
    let later = "front-2 99";
    store.write(LAST_LEADER_KEY, later.as_bytes().to_vec());
    let held = acquire(&lease).await;
    suspend(LEASE_EXPIRY);
    assert!(!lease.may_issue_orders(&held).await.unwrap());
    assert_eq!(recorded(&store), later);
}

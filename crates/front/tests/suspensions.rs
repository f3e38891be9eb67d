//! After a suspension of the machine, a process must not rely on leases, ages or windows that have
//! passed meanwhile.

mod support;

use std::sync::Arc;
use std::time::Duration;

use ladderstage_clock::Instant;
use ladderstage_clock::testing::suspend;
use ladderstage_front::backend::{BackendTable, DiscoveredInstance};
use ladderstage_front::job::QuorumConfirmation;
use ladderstage_front::orders::{LeaseLoss, OrdersLease};
use ladderstage_front::usage::WindowClock;
use support::memory_store::MemoryStore;

const SUSPENSION: Duration = Duration::from_secs(20);

fn lease(store: &MemoryStore, node: &str) -> OrdersLease {
    OrdersLease {
        coordination: Arc::new(store.of(node)),
        node: node.to_owned(),
        quiet_period: Duration::ZERO,
    }
}

#[tokio::test(start_paused = true)]
async fn a_lease_holder_issues_no_orders_after_a_suspension() {
    let store = MemoryStore::default();
    let lease = lease(&store, "front-1");
    let held = lease.acquire().await.unwrap().unwrap();
    assert!(lease.may_issue_orders(&held).await.unwrap());
    suspend(SUSPENSION);
    assert!(!lease.may_issue_orders(&held).await.unwrap());
    // The lease expired at the store, which the next renewal reports.
    tokio::time::advance(SUSPENSION).await;
    assert_eq!(lease.renew_until_lost(&held).await, LeaseLoss::Expired);
}

#[test]
fn a_confirmation_ages_during_a_suspension() {
    let confirmation = QuorumConfirmation::default();
    let taken_at = Instant::now();
    confirmation.record(Instant::now());
    assert!(confirmation.age(taken_at) < SUSPENSION);
    suspend(SUSPENSION);
    assert!(confirmation.age(taken_at) >= SUSPENSION);
}

#[test]
fn usage_windows_advance_during_a_suspension() {
    let window = Duration::from_secs(5);
    let clock = WindowClock::new(window);
    let before = clock.window_of(Instant::now());
    suspend(SUSPENSION);
    let after = clock.window_of(Instant::now());
    assert!(after >= before + 4, "{before} {after}");
}

#[test]
fn the_pause_of_a_failed_instance_ends_during_a_suspension() {
    let table = BackendTable::new("a");
    table.upsert(DiscoveredInstance {
        id: "i-1".to_owned(),
        service: "service".to_owned(),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: "a".to_owned(),
        is_ready: true,
        slots: 8,
        started_unix_ms: 0,
        cold_ms: 0,
        is_preemptible: false,
        leaves_ms: None,
        versions: [].into(),
    });
    let instance = table.get("i-1").unwrap();
    instance.record_unit_time(40.0, Instant::now());
    instance.record_failure(Instant::now());
    suspend(SUSPENSION);
    assert!(instance.is_usable("", Instant::now()));
    assert_eq!(instance.recent_unit_time_ms(), None);
}

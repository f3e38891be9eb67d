//! Tests of the timeout of rounds with writes.

use std::time::Duration;

use ladderstage::journal::WriteTimeout;

const BASE: Duration = Duration::from_millis(800);

/// Age of a heartbeat of replicas that are alive.
const RECENT: Option<Duration> = Some(Duration::from_millis(300));

/// Guards against rounds that start over for ever at replicas with slow disks.
#[test]
fn the_timeout_grows_while_rounds_of_live_replicas_time_out() {
    let mut timeout = WriteTimeout::new(BASE);
    let mut timeouts = Vec::new();
    for _ in 0..3 {
        timeouts.push(timeout.next(RECENT));
        timeout.record_timeout(timeout.next(RECENT));
    }
    assert_eq!(timeouts, [BASE, BASE * 4, BASE * 4]);
}

/// Guards against long waits for replicas that cannot be reached.
#[test]
fn replicas_without_recent_heartbeats_get_the_initial_timeout() {
    let mut timeout = WriteTimeout::new(BASE);
    timeout.record_timeout(BASE);
    assert_eq!(timeout.next(RECENT), BASE * 4);
    assert_eq!(timeout.next(None), BASE);
    assert_eq!(timeout.next(Some(Duration::from_secs(2))), BASE);
    let is_changed = timeout.record_timeout(BASE);
    assert!(!is_changed, "rounds at unreachable replicas say nothing");
}

#[test]
fn quick_rounds_restore_the_initial_timeout() {
    let mut timeout = WriteTimeout::new(BASE);
    timeout.record_timeout(BASE);
    assert!(!timeout.record_success(BASE * 2), "still slow");
    assert!(timeout.record_success(BASE / 10));
    assert_eq!(timeout.next(RECENT), BASE * 2);
    assert!(timeout.record_success(BASE / 10));
    assert!(!timeout.record_success(BASE / 10));
    assert_eq!(timeout.next(RECENT), BASE);
}

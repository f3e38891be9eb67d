//! Tests when a front may take its configuration for the newest.

use std::time::Duration;

use ladderstage_clock::{Instant, testing};
use ladderstage_front::config_age::ConfigAge;

/// Guards against a front that takes any answered call for proof of its configuration.
#[test]
fn contact_with_the_store_proves_nothing_after_the_watch_failed() {
    let age = ConfigAge::default();
    let contact = || Some(Instant::now());
    assert!(!age.is_newest(contact()), "the watch was never answered");
    age.record_answer();
    assert!(age.is_newest(contact()));
    assert!(!age.is_newest(None), "the store answers no other call");
    age.record_failure();
    assert!(!age.is_newest(contact()));
    age.record_check(Instant::now());
    assert!(age.is_newest(None));
    testing::suspend(Duration::from_secs(5));
    assert!(!age.is_newest(contact()), "the check is too old");
}

//! Simulated suspensions for tests. They are per thread, so that a test can suspend one of several
//! programs in a process.

use std::cell::Cell;
use std::time::Duration;

thread_local! {
    static SUSPENDED: Cell<Duration> = const { Cell::new(Duration::ZERO) };
}

/// Advances this thread's [`Instant`](crate::Instant) by `duration`, as after a suspension.
pub fn suspend(duration: Duration) {
    SUSPENDED.set(suspended() + duration);
}

/// Returns the total simulated suspension of this thread.
pub(crate) fn suspended() -> Duration {
    SUSPENDED.get()
}

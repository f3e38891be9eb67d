//! Suspensions for tests: each thread has its own, so that one program of several in a process can be suspended.

use std::cell::Cell;
use std::time::Duration;

thread_local! {
    static SUSPENDED: Cell<Duration> = const { Cell::new(Duration::ZERO) };
}

/// Makes this thread believe that its machine has just been suspended for so long.
pub fn suspend(duration: Duration) {
    SUSPENDED.set(suspended() + duration);
}

/// For how long this thread believes its machine was suspended in all.
pub(crate) fn suspended() -> Duration {
    SUSPENDED.get()
}

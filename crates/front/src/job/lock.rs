//! Helper for mutexes of this module.

use std::sync::{Mutex, MutexGuard};

/// Locks a mutex, even a poisoned one, because no holder leaves inconsistent data behind.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

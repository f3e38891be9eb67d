//! Locks of this folder.

use std::sync::{Mutex, MutexGuard};

/// Locks; a panic of another holder leaves nothing half changed.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

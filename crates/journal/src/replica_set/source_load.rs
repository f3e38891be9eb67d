//! Number of requests in flight to each replica from which logs are copied.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Requests in flight by the index of their replica; `None` for a replica that has failed.
#[derive(Debug)]
pub(super) struct SourceLoad {
    in_flight: Mutex<Vec<Option<usize>>>,
}

impl SourceLoad {
    pub fn new(sources: usize) -> Self {
        Self {
            in_flight: Mutex::new(vec![Some(0); sources]),
        }
    }

    /// Selects the replica in `holders` with the fewest requests and counts one more; `None` if all
    /// have failed.
    pub fn begin(&self, holders: &[usize]) -> Option<usize> {
        let mut in_flight = self.lock();
        let working = holders.iter().copied();
        let working = working.filter(|index| in_flight[*index].is_some());
        let selected = working.min_by_key(|index| in_flight[*index])?;
        in_flight[selected] = in_flight[selected].map(|count| count + 1);
        Some(selected)
    }

    /// Counts the end of a request.
    pub fn end(&self, index: usize, succeeded: bool) {
        let mut in_flight = self.lock();
        in_flight[index] = in_flight[index]
            .filter(|_| succeeded)
            .map(|count| count.saturating_sub(1));
    }

    /// Records that a replica has failed.
    pub fn fail(&self, index: usize) {
        self.lock()[index] = None;
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Option<usize>>> {
        self.in_flight
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

//! Memory limit for the bodies of requests in flight.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::LiveError;

/// Maximum total size of request bodies on a node, in KiB.
const TOTAL_KIB: usize = 64 * 1024;

const KIB: u64 = 1024;

/// Memory budget for request bodies. Cheap to clone.
#[derive(Debug, Clone)]
pub(super) struct BodyMemory {
    permits: Arc<Semaphore>,
}

/// Memory reserved for a request body; released when dropped.
#[derive(Debug)]
pub struct Reservation {
    _permits: OwnedSemaphorePermit,
}

impl BodyMemory {
    pub(super) fn new() -> Self {
        Self {
            permits: Arc::new(Semaphore::new(TOTAL_KIB)),
        }
    }

    /// Reserves memory for a body of at most `bytes` bytes without waiting.
    ///
    /// # Errors
    /// [`LiveError::NoMemory`] if the budget is exhausted.
    pub(super) fn reserve(&self, bytes: u64) -> Result<Reservation, LiveError> {
        let kib = u32::try_from(bytes.div_ceil(KIB)).unwrap_or(u32::MAX);
        let permits = self.permits.clone().try_acquire_many_owned(kib);
        let permits = permits.map_err(|_| LiveError::NoMemory)?;
        Ok(Reservation { _permits: permits })
    }
}

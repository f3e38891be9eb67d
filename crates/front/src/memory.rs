//! Budget of the bytes that requests may occupy in this process.
//!
//! Bytes are reserved before they are read or allocated, and are given back when the [`Reservation`]
//! is dropped. Heads, bodies, jobs and responses share one budget, so that no combination of them
//! exceeds the memory of the machine.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use prometheus::{IntCounterVec, IntGauge};
use tokio::sync::{Notify, Semaphore};

/// Size up to which a request may use the part of the budget that larger ones leave free, in bytes.
const SMALL_REQUEST_BYTES: usize = 512 * 1024;

/// Size from which content is processed in turn, in bytes.
pub(crate) const LARGE_CONTENT_BYTES: usize = 64 * 1024;

/// Maximum time until a reservation that waits is tried again.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Error of a reservation: the bytes are not available now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{requested} bytes requested while {used} of {capacity} are reserved")]
pub struct BudgetExhausted {
    /// Bytes requested, including those that the reservation has already.
    pub requested: usize,
    /// Bytes reserved by all requests.
    pub used: usize,
    /// Bytes that may be reserved.
    pub capacity: usize,
}

/// Sizes of a budget, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetSize {
    /// Bytes that requests of any size may reserve.
    pub shared: usize,
    /// Further bytes for requests of up to 512 KiB, so that large ones do not displace them.
    pub small_requests: usize,
}

/// Budget of a process. Cheap to clone.
#[derive(Debug, Clone)]
pub struct MemoryBudget {
    state: Arc<BudgetState>,
}

#[derive(Debug)]
struct BudgetState {
    size: BudgetSize,
    used: AtomicUsize,
    used_gauge: IntGauge,
    refusals: IntCounterVec,
    /// Notified when bytes are given back.
    released: Notify,
    /// Notified when a reservation has failed.
    exhausted: Notify,
    /// Permit to process a part of large content.
    turns: Semaphore,
}

/// Metrics of a budget.
#[derive(Debug, Clone)]
pub struct BudgetMetrics {
    /// Bytes reserved.
    pub used: IntGauge,
    /// Refused reservations, by what was to be read.
    pub refusals: IntCounterVec,
}

impl MemoryBudget {
    /// Creates a budget of which nothing is reserved.
    pub fn new(size: BudgetSize, metrics: BudgetMetrics) -> Self {
        let state = BudgetState {
            size,
            used: AtomicUsize::new(0),
            used_gauge: metrics.used,
            refusals: metrics.refusals,
            released: Notify::new(),
            exhausted: Notify::new(),
            turns: Semaphore::new(1),
        };
        Self {
            state: Arc::new(state),
        }
    }

    /// Starts a reservation of no bytes, for `purpose`, which labels its refusals.
    pub fn reservation(&self, purpose: &'static str) -> Reservation {
        Reservation {
            state: Arc::clone(&self.state),
            bytes: 0,
            purpose,
        }
    }

    /// Waits for a turn to process large content, and lets other tasks run. Many large contents in progress
    /// delay small requests by a part of one of them this way, not by a part of each.
    pub async fn take_turn(&self) {
        let _turn = self.state.turns.acquire().await;
        tokio::task::yield_now().await;
    }

    /// Completes after the next reservation that fails.
    pub async fn exhausted(&self) {
        self.state.exhausted.notified().await;
    }

    /// Returns the number of bytes reserved.
    pub fn used(&self) -> usize {
        self.state.used.load(Ordering::Relaxed)
    }
}

/// Reserved bytes, given back on drop.
#[derive(Debug)]
pub struct Reservation {
    state: Arc<BudgetState>,
    bytes: usize,
    purpose: &'static str,
}

impl Reservation {
    /// Returns the budget of this reservation.
    pub fn budget(&self) -> MemoryBudget {
        MemoryBudget {
            state: Arc::clone(&self.state),
        }
    }

    /// Returns the number of reserved bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Reserves `additional` bytes.
    ///
    /// # Errors
    /// Reserves nothing if the budget is exhausted.
    pub fn grow(&mut self, additional: usize) -> Result<(), BudgetExhausted> {
        let requested = self.bytes.saturating_add(additional);
        self.grow_within(self.state.size.capacity_for(requested), additional)
    }

    fn grow_within(&mut self, capacity: usize, additional: usize) -> Result<(), BudgetExhausted> {
        let requested = self.bytes.saturating_add(additional);
        let used = &self.state.used;
        let reserved = used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |used| {
            used.checked_add(additional).filter(|sum| *sum <= capacity)
        });
        match reserved {
            Ok(_) => {
                self.state.used_gauge.add(additional as i64);
                self.bytes = requested;
                Ok(())
            }
            Err(used) => {
                let refusals = &self.state.refusals;
                refusals.with_label_values(&[self.purpose]).inc();
                self.state.exhausted.notify_one();
                Err(BudgetExhausted {
                    requested,
                    used,
                    capacity,
                })
            }
        }
    }

    /// Reserves `additional` bytes as soon as they are available, for content that cannot be refused
    /// any more, in three quarters of the budget if there are many of them: the rest is left to requests,
    /// which would be refused. More bytes than that are reserved once nothing else is.
    pub async fn grow_when_available(&mut self, additional: usize) {
        let state = Arc::clone(&self.state);
        loop {
            let released = state.released.notified();
            let requested = self.bytes.saturating_add(additional);
            let capacity = state.size.waiting_capacity_for(requested);
            if self.grow_within(capacity, additional).is_ok() {
                return;
            }
            if state.used.load(Ordering::Relaxed) <= self.bytes {
                return self.grow_unchecked(additional);
            }
            // Each failed reservation makes the ingress close a client that does not read.
            let _ = tokio::time::timeout(RETRY_INTERVAL, released).await;
        }
    }

    /// Reserves `additional` bytes even if the budget is exhausted, for content that cannot be
    /// refused any more.
    pub fn grow_unchecked(&mut self, additional: usize) {
        self.state.used.fetch_add(additional, Ordering::Relaxed);
        self.state.used_gauge.add(additional as i64);
        self.bytes += additional;
    }

    /// Moves all reserved bytes to a new reservation.
    pub fn take(&mut self) -> Self {
        Self {
            state: Arc::clone(&self.state),
            bytes: std::mem::take(&mut self.bytes),
            purpose: self.purpose,
        }
    }

    /// Gives all but `bytes` back.
    pub fn shrink_to(&mut self, bytes: usize) {
        let surplus = self.bytes.saturating_sub(bytes);
        self.state.used.fetch_sub(surplus, Ordering::Relaxed);
        self.state.used_gauge.sub(surplus as i64);
        self.bytes -= surplus;
        if surplus > 0 {
            self.state.released.notify_waiters();
        }
    }
}

/// Content that keeps its memory reserved until it is dropped.
#[derive(Debug)]
struct ReservedContent {
    content: Bytes,
    _memory: Reservation,
}

impl AsRef<[u8]> for ReservedContent {
    fn as_ref(&self) -> &[u8] {
        &self.content
    }
}

impl Reservation {
    /// Attaches the reservation to the content for which it was made.
    pub fn attach_to(self, content: Bytes) -> Bytes {
        Bytes::from_owner(ReservedContent {
            content,
            _memory: self,
        })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}

impl BudgetSize {
    /// Returns the capacity for content that waits until its bytes are available.
    fn waiting_capacity_for(&self, requested: usize) -> usize {
        if requested <= SMALL_REQUEST_BYTES {
            self.capacity_for(requested)
        } else {
            self.shared / 4 * 3
        }
    }

    fn capacity_for(&self, requested: usize) -> usize {
        if requested <= SMALL_REQUEST_BYTES {
            self.shared.saturating_add(self.small_requests)
        } else {
            self.shared
        }
    }
}

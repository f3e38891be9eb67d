//! Drain state of client connections and requests.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use tokio::sync::watch;

/// Drain state and number of requests, shared by all connections.
#[derive(Debug)]
pub struct IngressState {
    is_draining: AtomicBool,
    pub(super) requests: AtomicU64,
    pub(super) closing: watch::Sender<bool>,
}

impl Default for IngressState {
    fn default() -> Self {
        Self {
            is_draining: AtomicBool::new(false),
            requests: AtomicU64::new(0),
            closing: watch::Sender::new(false),
        }
    }
}

impl IngressState {
    /// Starts the drain: each response closes its connection.
    pub fn drain(&self) {
        self.is_draining.store(true, Ordering::Relaxed);
    }

    /// Returns whether the drain has started.
    pub fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Relaxed)
    }

    /// Closes each connection once it is idle.
    pub fn close_idle(&self) {
        self.closing.send_replace(true);
    }

    /// Returns the number of requests in progress.
    pub fn requests(&self) -> u64 {
        self.requests.load(Ordering::Relaxed)
    }
}

/// Counts a request until its response was written or aborted.
pub(super) struct RequestGuard(pub(super) Arc<IngressState>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.requests.fetch_sub(1, Ordering::Relaxed);
    }
}

//! What a stop needs to know of clients' connections and requests.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use tokio::sync::watch;

/// What a stop needs to know of the connections.
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
    /// Says from now on with each answer that its connection ends.
    pub fn drain(&self) {
        self.is_draining.store(true, Ordering::Relaxed);
    }

    /// Whether a stop has begun.
    pub fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Relaxed)
    }

    /// Closes each connection once no request is on it.
    pub fn close_idle(&self) {
        self.closing.send_replace(true);
    }

    /// Requests that are being answered.
    pub fn requests(&self) -> u64 {
        self.requests.load(Ordering::Relaxed)
    }
}

/// Counts a request until its answer was written or given up.
pub(super) struct RequestGuard(pub(super) Arc<IngressState>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.requests.fetch_sub(1, Ordering::Relaxed);
    }
}

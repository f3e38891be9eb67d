//! Drain state of client connections and requests.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};

use ladderstage_clock::Instant;
use tokio::sync::watch;

/// Drain state and number of requests, shared by all connections.
#[derive(Debug)]
pub struct IngressState {
    /// When the drain ends; set when it starts.
    drain_ends_at: OnceLock<Instant>,
    pub(super) requests: AtomicU64,
    pub(super) closing: watch::Sender<bool>,
    has_drained: watch::Sender<bool>,
}

impl Default for IngressState {
    fn default() -> Self {
        Self {
            drain_ends_at: OnceLock::new(),
            requests: AtomicU64::new(0),
            closing: watch::Sender::new(false),
            has_drained: watch::Sender::new(false),
        }
    }
}

impl IngressState {
    /// Starts the drain, which ends at `ends_at`: each response closes its connection.
    pub fn drain(&self, ends_at: Instant) {
        let _ = self.drain_ends_at.set(ends_at);
    }

    /// Returns whether the drain has started.
    pub fn is_draining(&self) -> bool {
        self.drain_ends_at.get().is_some()
    }

    /// Closes each connection once it is idle, and admits only requests that end with the drain.
    pub fn close_idle(&self) {
        self.closing.send_replace(true);
    }

    /// Returns whether a request that takes until `until` may start. A request that is still being
    /// read when idle connections are closed would be cut at the end of the drain otherwise.
    pub(super) fn may_start(&self, until: Instant) -> bool {
        if *self.has_drained.borrow() {
            return false;
        }
        let is_closing = *self.closing.borrow();
        let ends_at = self.drain_ends_at.get();
        !is_closing || ends_at.is_none_or(|ends_at| until <= *ends_at)
    }

    /// Ends the requests in progress, as this process exits.
    pub fn end_requests(&self) {
        self.has_drained.send_replace(true);
    }

    /// Completes when requests in progress have to end.
    pub(super) async fn drained(&self) {
        let mut has_drained = self.has_drained.subscribe();
        // The sender lives as long as `self`.
        let _ = has_drained.wait_for(|has_drained| *has_drained).await;
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

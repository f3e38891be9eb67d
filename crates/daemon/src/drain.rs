//! Drain of a node: counts work in flight and refuses new work once the drain has started.

use std::sync::Arc;

use tokio::sync::watch;

#[derive(Debug, Clone, Copy, Default)]
struct DrainState {
    draining: bool,
    in_flight: usize,
}

/// Counter of work in flight on a node. Cheap to clone.
#[derive(Debug, Clone)]
pub struct Drain {
    state: Arc<watch::Sender<DrainState>>,
}

impl Drain {
    /// Creates a counter without work in flight that is not draining.
    pub fn new() -> Self {
        Self {
            state: Arc::new(watch::Sender::new(DrainState::default())),
        }
    }

    /// Counts a request as in flight until the guard is dropped. Returns `None` while draining.
    pub fn track_request(&self) -> Option<DrainGuard> {
        let mut admitted = false;
        self.state.send_if_modified(|state| {
            admitted = !state.draining;
            state.in_flight += usize::from(admitted);
            admitted
        });
        admitted.then(|| DrainGuard {
            state: self.state.clone(),
        })
    }

    /// Starts the drain, after which new work is refused. Idempotent.
    pub fn start(&self) {
        self.state.send_modify(|state| state.draining = true);
    }

    /// Returns whether the node is draining.
    pub fn is_draining(&self) -> bool {
        self.state.borrow().draining
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.state.borrow().in_flight
    }

    /// Waits until no request is in flight.
    pub async fn wait_until_idle(&self) {
        let mut state = self.state.subscribe();
        // Cannot fail, as `self` holds the sender.
        let _ = state.wait_for(|state| state.in_flight == 0).await;
    }
}

impl Default for Drain {
    fn default() -> Self {
        Self::new()
    }
}

/// Guard of a request in flight. A clone counts as another request, even while draining.
#[derive(Debug)]
pub struct DrainGuard {
    state: Arc<watch::Sender<DrainState>>,
}

impl Clone for DrainGuard {
    fn clone(&self) -> Self {
        self.state.send_modify(|state| state.in_flight += 1);
        Self {
            state: self.state.clone(),
        }
    }
}

impl Drop for DrainGuard {
    fn drop(&mut self) {
        self.state.send_modify(|state| state.in_flight -= 1);
    }
}

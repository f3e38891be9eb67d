//! Planned stop: counts what is under way and refuses new work once it has started.

use std::sync::Arc;

use tokio::sync::watch;

#[derive(Debug, Clone, Copy, Default)]
struct DrainState {
    draining: bool,
    in_flight: usize,
}

/// Work under way at this node. Cheap to clone.
#[derive(Debug, Clone)]
pub struct Drain {
    state: Arc<watch::Sender<DrainState>>,
}

impl Drain {
    /// Nothing under way, not draining.
    pub fn new() -> Self {
        Self {
            state: Arc::new(watch::Sender::new(DrainState::default())),
        }
    }

    /// Counts one piece of work until the guard is dropped; `None` once draining.
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

    /// Refuses new work from now on. Calling it again changes nothing.
    pub fn start(&self) {
        self.state.send_modify(|state| state.draining = true);
    }

    /// Whether new work is refused.
    pub fn is_draining(&self) -> bool {
        self.state.borrow().draining
    }

    /// Pieces of work under way.
    pub fn in_flight(&self) -> usize {
        self.state.borrow().in_flight
    }

    /// Returns when nothing is under way.
    pub async fn wait_until_idle(&self) {
        let mut state = self.state.subscribe();
        // Fails only when the sender is gone, and `self` holds it.
        let _ = state.wait_for(|state| state.in_flight == 0).await;
    }
}

impl Default for Drain {
    fn default() -> Self {
        Self::new()
    }
}

/// One piece of work under way. A clone counts as another piece, also while draining.
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

//! Whether some kind of work is under way at this node.
//!
//! Each call to the coordination store has its price, and a fleet of nodes that all follow every change pays it many times.
//! What nobody works with right now is followed less closely: an [`Activity`] tells.

use std::time::Duration;

use tokio::sync::watch;

/// Counts work of one kind. Cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct Activity {
    count: watch::Sender<usize>,
}

/// Counts as work under way until it is dropped.
#[derive(Debug)]
pub struct ActivityGuard {
    count: watch::Sender<usize>,
}

impl Drop for ActivityGuard {
    fn drop(&mut self) {
        self.count.send_modify(|count| *count -= 1);
    }
}

impl Activity {
    /// Notes that work begins; it ends with the guard.
    pub fn start(&self) -> ActivityGuard {
        self.count.send_modify(|count| *count += 1);
        ActivityGuard {
            count: self.count.clone(),
        }
    }

    /// Whether work is under way.
    pub fn is_active(&self) -> bool {
        *self.count.borrow() > 0
    }

    /// Returns once work is under way.
    pub async fn wait_until_active(&self) {
        self.wait_for(true).await;
    }

    /// Returns once no work is under way.
    pub async fn wait_until_idle(&self) {
        self.wait_for(false).await;
    }

    /// Returns once there has been no work for `rest`.
    pub async fn wait_until_idle_for(&self, rest: Duration) {
        loop {
            self.wait_until_idle().await;
            if tokio::time::timeout(rest, self.wait_until_active()).await.is_err() {
                return;
            }
        }
    }

    /// Passes `busy` while work is under way, and up to `idle`, the longer time, while none is.
    pub async fn pause(&self, busy: Duration, wait_until_idle: Duration) {
        tokio::time::sleep(busy).await;
        let rest = wait_until_idle.saturating_sub(busy);
        let _ = tokio::time::timeout(rest, self.wait_until_active()).await;
    }

    async fn wait_for(&self, is_active: bool) {
        let mut count = self.count.subscribe();
        // The sender lives as long as this activity.
        let _ = count.wait_for(|count| (*count > 0) == is_active).await;
    }
}

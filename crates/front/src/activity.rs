//! Tracks whether work of some kind is in progress at this node.
//!
//! Reading the coordination store is costly for a large fleet, so changes are followed closely only
//! while an [`Activity`] shows work that needs them.

use std::time::Duration;

use tokio::sync::watch;

/// Counter of work of one kind. Cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct Activity {
    count: watch::Sender<usize>,
}

/// Counts as work in progress until it is dropped.
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
    /// Starts work, which ends when the guard is dropped.
    pub fn start(&self) -> ActivityGuard {
        self.count.send_modify(|count| *count += 1);
        ActivityGuard {
            count: self.count.clone(),
        }
    }

    /// Returns whether work is in progress.
    pub fn is_active(&self) -> bool {
        *self.count.borrow() > 0
    }

    /// Waits until work is in progress.
    pub async fn wait_until_active(&self) {
        self.wait_for(true).await;
    }

    /// Waits until no work is in progress.
    pub async fn wait_until_idle(&self) {
        self.wait_for(false).await;
    }

    /// Waits until there has been no work for `idle_time`.
    pub async fn wait_until_idle_for(&self, idle_time: Duration) {
        loop {
            self.wait_until_idle().await;
            if tokio::time::timeout(idle_time, self.wait_until_active())
                .await
                .is_err()
            {
                return;
            }
        }
    }

    /// Sleeps for `busy_interval` while work is in progress, otherwise for up to `idle_interval`,
    /// which must be the longer one.
    pub async fn pause_until_next_poll(&self, busy_interval: Duration, idle_interval: Duration) {
        tokio::time::sleep(busy_interval).await;
        let remaining = idle_interval.saturating_sub(busy_interval);
        let _ = tokio::time::timeout(remaining, self.wait_until_active()).await;
    }

    async fn wait_for(&self, is_active: bool) {
        let mut count = self.count.subscribe();
        // The sender outlives this call, so the wait cannot fail.
        let _ = count.wait_for(|count| (*count > 0) == is_active).await;
    }
}

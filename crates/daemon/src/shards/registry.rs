//! Registry of the shards owned by this process.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::{Notify, mpsc};
use tokio::task::AbortHandle;

use super::owner::Message;

/// Maximum number of shards that one process owns.
const MAX_OWNED_SHARDS: usize = 4_096;

/// Status of an owned shard, for operators.
#[derive(Debug, Clone, PartialEq, Eq, Default, serde::Serialize)]
pub struct ShardDescription {
    /// Name of its log.
    pub log: String,
    /// Whether this node can append to the log: it is taken over and no append has an unknown outcome.
    pub accepting: bool,
    /// Number of slots of the shard.
    pub slots: usize,
    /// Number of slots whose samples the trainer has acknowledged.
    pub settled: usize,
    /// Number of slots whose samples are committed and not yet acknowledged.
    pub committed: usize,
    /// Number of running attempts.
    pub in_flight: usize,
}

/// Status that the owner's task publishes.
#[derive(Debug, Default)]
pub(super) struct OwnerStatus {
    accepting: AtomicBool,
    description: Mutex<ShardDescription>,
}

impl OwnerStatus {
    pub(super) fn set_accepting(&self, accepting: bool) {
        self.accepting.store(accepting, Ordering::Release);
    }

    pub(super) fn publish(&self, description: ShardDescription) {
        *lock(&self.description) = description;
    }
}

/// Handle to the task of an owned shard.
#[derive(Debug, Clone)]
pub(super) struct OwnedShard {
    id: u64,
    pub(super) mailbox: mpsc::Sender<Message>,
    pub(super) status: Arc<OwnerStatus>,
    abort: AbortHandle,
}

impl OwnedShard {
    pub(super) fn is_accepting(&self) -> bool {
        self.status.accepting.load(Ordering::Acquire)
    }
}

/// Owned shards by log. Cheap to clone.
#[derive(Debug, Clone, Default)]
pub(super) struct Registry {
    inner: Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    shards: Mutex<OwnedShards>,
    removed: Notify,
}

#[derive(Debug, Default)]
struct OwnedShards {
    by_log: BTreeMap<String, OwnedShard>,
    last_id: u64,
}

/// Guard that removes a shard from the registry when its task ends or is aborted.
#[derive(Debug)]
pub(super) struct Registration {
    registry: Registry,
    log: String,
    id: u64,
}

impl Registry {
    pub(super) fn find(&self, log: &str) -> Option<OwnedShard> {
        lock(&self.inner.shards).by_log.get(log).cloned()
    }

    /// Returns the shard's handle; if there is none, `spawn` starts its task. `None` if the registry is full.
    pub(super) fn find_or_start(
        &self,
        log: &str,
        spawn: impl FnOnce(Registration, mpsc::Receiver<Message>, Arc<OwnerStatus>) -> AbortHandle,
        mailbox_capacity: usize,
    ) -> Option<OwnedShard> {
        let mut owned = lock(&self.inner.shards);
        if let Some(shard) = owned.by_log.get(log) {
            return Some(shard.clone());
        }
        if owned.by_log.len() >= MAX_OWNED_SHARDS {
            return None;
        }
        owned.last_id += 1;
        let id = owned.last_id;
        let registration = Registration {
            registry: self.clone(),
            log: log.to_owned(),
            id,
        };
        let (mailbox, receiver) = mpsc::channel(mailbox_capacity);
        let status = Arc::new(OwnerStatus::default());
        let abort = spawn(registration, receiver, status.clone());
        let shard = OwnedShard {
            id,
            mailbox,
            status,
            abort,
        };
        owned.by_log.insert(log.to_owned(), shard.clone());
        Some(shard)
    }

    pub(super) fn logs(&self) -> Vec<String> {
        lock(&self.inner.shards).by_log.keys().cloned().collect()
    }

    pub(super) fn abort(&self, log: &str) {
        if let Some(shard) = self.find(log) {
            shard.abort.abort();
        }
    }

    pub(super) fn abort_all(&self) {
        for log in self.logs() {
            self.abort(&log);
        }
    }

    pub(super) fn describe(&self) -> Vec<ShardDescription> {
        let owned = lock(&self.inner.shards);
        let describe = |(log, shard): (&String, &OwnedShard)| ShardDescription {
            log: log.clone(),
            accepting: shard.is_accepting(),
            ..lock(&shard.status.description).clone()
        };
        owned.by_log.iter().map(describe).collect()
    }

    /// Waits until no shard is owned.
    pub(super) async fn wait_until_empty(&self) {
        loop {
            let removed = self.inner.removed.notified();
            if lock(&self.inner.shards).by_log.is_empty() {
                return;
            }
            removed.await;
        }
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        let mut owned = lock(&self.registry.inner.shards);
        if owned
            .by_log
            .get(&self.log)
            .is_some_and(|shard| shard.id == self.id)
        {
            owned.by_log.remove(&self.log);
        }
        drop(owned);
        self.registry.inner.removed.notify_waiters();
    }
}

/// Locks the mutex, ignoring poison: every update is a single step, so the value stays valid after a panic.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

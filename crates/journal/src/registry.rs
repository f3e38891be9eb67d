//! Registry of this node's open writers and take-overs in progress, for its heartbeats.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard};

use ladderstage::journal::WriterEpoch;
use ladderstage_wire::messages::OwnedLog;

use super::writer::{WeakWriter, WriterShared};

/// Open writers of monitored logs, by log name. A writer is registered from its take-over until it
/// is dropped. Writers of other logs, such as claims, are not registered.
pub(crate) struct WriterRegistry {
    monitored_prefix: &'static str,
    writers: Mutex<BTreeMap<String, WeakWriter>>,
    /// Sealed logs that are being read and installed, with the epochs of their future writers.
    take_overs: Mutex<BTreeSet<(String, WriterEpoch)>>,
}

/// A take-over in progress, which heartbeats name until this is dropped.
///
/// Reading and installing a long log may take longer than the time without heartbeats after which a
/// log counts as orphaned. Two nodes would then take the log from each other without end.
pub(crate) struct TakeOverEntry {
    registry: Arc<WriterRegistry>,
    key: (String, WriterEpoch),
}

impl Drop for TakeOverEntry {
    fn drop(&mut self) {
        self.registry.lock_take_overs().remove(&self.key);
    }
}

impl WriterRegistry {
    /// Creates an empty registry for logs whose names start with `monitored_prefix`.
    pub fn new(monitored_prefix: &'static str) -> Self {
        Self {
            monitored_prefix,
            writers: Mutex::default(),
            take_overs: Mutex::default(),
        }
    }

    /// Adds a log that was sealed with `epoch` to those that heartbeats name. Returns `None` if the
    /// log is not monitored.
    pub fn insert_take_over(
        self: &Arc<Self>,
        log: &str,
        epoch: WriterEpoch,
    ) -> Option<TakeOverEntry> {
        if !log.starts_with(self.monitored_prefix) {
            return None;
        }
        let key = (log.to_owned(), epoch);
        self.lock_take_overs().insert(key.clone());
        Some(TakeOverEntry {
            registry: Arc::clone(self),
            key,
        })
    }

    /// Registers a writer, unless one with the same or a higher epoch is registered for its log.
    pub fn insert(&self, writer: &Arc<WriterShared>) {
        if !writer.log.starts_with(self.monitored_prefix) {
            return;
        }
        let mut writers = self.lock();
        let registered = writers.get(&writer.log).and_then(WeakWriter::upgrade);
        if registered.is_none_or(|registered| registered.epoch < writer.epoch) {
            writers.insert(writer.log.clone(), Arc::downgrade(writer));
        }
    }

    /// Removes this writer; another writer of the same log stays registered.
    pub fn remove(&self, writer: &Arc<WriterShared>) {
        let mut writers = self.lock();
        let registered = writers.get(&writer.log);
        if registered.is_some_and(|registered| registered.as_ptr() == Arc::as_ptr(writer)) {
            writers.remove(&writer.log);
        }
    }

    /// Returns the writer of a log.
    pub fn find(&self, log: &str) -> Option<Arc<WriterShared>> {
        self.lock().get(log)?.upgrade()
    }

    /// Returns the owned logs with their epochs, as sent in heartbeats. A log that this node takes
    /// over from its own earlier writer has the higher epoch.
    pub fn list(&self) -> Vec<OwnedLog> {
        let mut epochs: BTreeMap<String, WriterEpoch> = BTreeMap::new();
        for writer in self.lock().values().filter_map(WeakWriter::upgrade) {
            epochs.insert(writer.log.clone(), writer.epoch);
        }
        for (log, epoch) in self.lock_take_overs().iter() {
            let known = epochs.entry(log.clone()).or_default();
            *known = (*known).max(*epoch);
        }
        let owned = epochs.into_iter().map(|(log, epoch)| OwnedLog {
            log,
            epoch: epoch.to_wire(),
        });
        owned.collect()
    }

    fn lock_take_overs(&self) -> MutexGuard<'_, BTreeSet<(String, WriterEpoch)>> {
        let guard = self.take_overs.lock();
        guard.unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, WeakWriter>> {
        let guard = self.writers.lock();
        guard.unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

//! Registry of this node's open writers, for its heartbeats.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};

use ladderstage_wire::messages::OwnedLog;

use super::writer::{WeakWriter, WriterShared};

/// Open writers of monitored logs, by log name. A writer is registered from its take-over until it
/// is dropped. Writers of other logs, such as claims, are not registered.
pub(crate) struct WriterRegistry {
    monitored_prefix: &'static str,
    writers: Mutex<BTreeMap<String, WeakWriter>>,
}

impl WriterRegistry {
    /// Creates an empty registry for logs whose names start with `monitored_prefix`.
    pub fn new(monitored_prefix: &'static str) -> Self {
        Self {
            monitored_prefix,
            writers: Mutex::default(),
        }
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

    /// Returns the owned logs with their epochs, as sent in heartbeats.
    pub fn list(&self) -> Vec<OwnedLog> {
        let writers = self.lock();
        let live = writers.values().filter_map(WeakWriter::upgrade);
        live.map(|writer| writer.owned_log()).collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, WeakWriter>> {
        let guard = self.writers.lock();
        guard.unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

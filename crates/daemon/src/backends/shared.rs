//! State shared by the tasks of this module.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use ladderstage::backend::{BackendPolicy, BackendTable};
use tokio::sync::{Notify, watch};

use super::peers::Peers;
use crate::bundles::BundleInForce;
use crate::settings::{Settings, Timing};

/// Shared state. The table's lock is never held over an await.
#[derive(Debug)]
pub(super) struct Shared {
    table: Mutex<BackendTable>,
    started: Instant,
    bundle: watch::Receiver<Option<Arc<BundleInForce>>>,
    pub(super) peers: Arc<dyn Peers>,
    pub(super) http: reqwest::Client,
    pub(super) timing: Timing,
    /// Wakes the task that pushes leaving processes to peers.
    pub(super) leaving_updated: Notify,
}

impl Shared {
    pub(super) fn new(
        settings: &Settings,
        peers: Arc<dyn Peers>,
        bundle: watch::Receiver<Option<Arc<BundleInForce>>>,
        http: reqwest::Client,
    ) -> Self {
        let freshness = Duration::from_millis(settings.timing.backend_freshness_ms);
        let table = BackendTable::new(BackendPolicy::with_freshness(freshness));
        Self {
            table: Mutex::new(table),
            started: Instant::now(),
            bundle,
            peers,
            http,
            timing: settings.timing.clone(),
            leaving_updated: Notify::new(),
        }
    }

    pub(super) fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub(super) fn bundle(&self) -> Option<Arc<BundleInForce>> {
        self.bundle.borrow().clone()
    }

    pub(super) fn read<T>(&self, query: impl FnOnce(&BackendTable) -> T) -> T {
        query(&self.lock())
    }

    pub(super) fn update<T>(&self, change: impl FnOnce(&mut BackendTable) -> T) -> T {
        let mut table = self.lock();
        let version = table.version();
        let result = change(&mut table);
        if table.version() != version {
            self.leaving_updated.notify_one();
        }
        result
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BackendTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

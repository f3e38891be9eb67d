//! The journal's replica set, the nodes that store a copy of each log, as known to this node.
//!
//! The set is read from the disk, the key-value service and peers, so that all nodes can restart
//! while the key-value service is down.

mod bootstrap;
mod copy;
mod copy_plan;
mod copy_source;
mod health;
mod joining;
mod key_value_records;
mod log_transfer;
mod long_log;
mod records;
mod replacement;
mod source_load;
pub mod zones;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use ladderstage_storage::{Storage, StorageError};
use ladderstage_wire::messages::mod_Request::OneOfkind as RequestKind;
use ladderstage_wire::messages::mod_Response::OneOfkind as ResponseKind;
use ladderstage_wire::messages::{FetchReplicaSet, ReplicaMember, ReplicaSet, Request, Response};
use prometheus::Gauge;
use tokio::sync::watch;

use crate::JournalOptions;
use crate::Peers;
use bootstrap::Bootstrap;
use health::SetHealth;
use replacement::Replacement;

pub use records::{RecordError, RecordedSet, SetRecords, decode_record, encode_record};

/// Timeout of a request for a peer's replica set.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Newest replica set known to this node; only a higher version replaces it. Cheap to clone.
#[derive(Debug, Clone)]
pub struct ReplicaSets {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    storage: Option<Storage>,
    current: watch::Sender<Option<Arc<ReplicaSet>>>,
    is_fetching: AtomicBool,
    /// Version of the joint set under which this node has copied all logs; 0 if none.
    copied_version: AtomicU64,
    incomplete_seconds: Gauge,
}

/// Handle of the task that creates, learns and changes the set. Dropping it stops the task.
#[derive(Debug)]
pub struct ReplicaSetTask {
    handle: tokio::task::JoinHandle<()>,
}

impl Drop for ReplicaSetTask {
    fn drop(&mut self) {
        self.handle.abort();
    }
}

impl ReplicaSets {
    /// Starts the task that creates or learns the first set and then replaces lost replicas. It
    /// runs until the returned handle is dropped. Must be called within a tokio runtime.
    pub fn run(
        &self,
        options: impl Into<JournalOptions>,
        peers: Arc<dyn Peers>,
        records: impl SetRecords,
    ) -> ReplicaSetTask {
        let options = options.into();
        let poll_interval = options.poll_interval;
        let records: Arc<dyn SetRecords> = Arc::new(records);
        let bootstrap = Bootstrap {
            records: Arc::clone(&records),
            peers: Arc::clone(&peers),
            own: self.own_replica_id().map(|replica_id| ReplicaMember {
                node: options.node.clone(),
                replica_id,
            }),
            initial_replicas: options.initial_replicas.clone(),
            may_bootstrap: options.may_bootstrap,
            max_poll_interval: options.max_poll_interval,
            poll_interval,
        };
        let replacement = Replacement {
            node: options.node.clone(),
            records,
            peers,
            replica_sets: self.clone(),
            replace_after: options.replace_after,
            max_poll_interval: options.max_poll_interval,
            target_count: options.initial_replicas.target_count(),
            part_bytes: options.part_bytes,
            missing_since: BTreeMap::new(),
            record_read_at: None,
            leaving_since: None,
            health: SetHealth::new(self.incomplete_seconds()),
            logged_wait: String::new(),
        };
        let replica_sets = self.clone();
        let handle = tokio::spawn(async move {
            bootstrap.run(&replica_sets).await;
            replacement.run(poll_interval).await;
        });
        ReplicaSetTask { handle }
    }

    /// Starts with the set stored on this node's disk, if any.
    pub fn new(storage: Option<Storage>) -> Self {
        let stored = storage.as_ref().and_then(Storage::replica_set);
        let inner = Inner {
            storage,
            current: watch::Sender::new(stored.map(Arc::new)),
            is_fetching: AtomicBool::new(false),
            copied_version: AtomicU64::new(0),
            incomplete_seconds: incomplete_seconds(),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Returns the newest known set; `None` until the first one is known.
    pub fn current(&self) -> Option<Arc<ReplicaSet>> {
        self.inner.current.borrow().clone()
    }

    /// Returns the version of the newest known set; 0 if none is known.
    pub fn version(&self) -> u64 {
        let current = self.inner.current.borrow();
        current.as_ref().map_or(0, |set| set.version)
    }

    /// Returns a receiver that is notified of every newer set.
    pub fn watch(&self) -> watch::Receiver<Option<Arc<ReplicaSet>>> {
        self.inner.current.subscribe()
    }

    /// Adopts a set if it is newer than the known one, and returns whether it was. The set is first
    /// stored on this node's disk, if it has one.
    ///
    /// # Errors
    ///
    /// If the set cannot be stored; it is not adopted then.
    pub async fn learn(&self, set: ReplicaSet) -> Result<bool, StorageError> {
        if set.version <= self.version() || set.current.is_empty() {
            return Ok(false);
        }
        if let Some(storage) = &self.inner.storage {
            storage.put_replica_set(set.clone()).await?;
        }
        let set = Arc::new(set);
        let is_newer = self.inner.current.send_if_modified(|current| {
            let known = current.as_ref().map_or(0, |set| set.version);
            let is_newer = set.version > known;
            if is_newer {
                *current = Some(Arc::clone(&set));
            }
            is_newer
        });
        if is_newer {
            log::info!("event=replica_set_learned version={}", set.version);
        }
        Ok(is_newer)
    }

    /// Returns the version of the joint set under which this process has copied all logs; 0 if it has
    /// copied none. The other joining replicas ask for it.
    pub(crate) fn copied_version(&self) -> u64 {
        self.inner.copied_version.load(Ordering::Acquire)
    }

    /// Records that this process has copied all logs under a joint set.
    pub(crate) fn set_copied_version(&self, version: u64) {
        self.inner.copied_version.store(version, Ordering::Release);
    }

    /// Returns the gauge of the seconds for which the set was not whole; it is set on nodes with a disk.
    pub(crate) fn incomplete_seconds(&self) -> Gauge {
        self.inner.incomplete_seconds.clone()
    }

    /// Returns the replica id of this node's disk, if it has one.
    pub fn own_replica_id(&self) -> Option<u64> {
        self.inner.storage.as_ref().map(Storage::replica_id)
    }

    pub(crate) fn storage(&self) -> Option<&Storage> {
        self.inner.storage.as_ref()
    }

    /// Like [`ReplicaSets::learn`], but logs the error.
    pub(crate) async fn learn_or_log(&self, set: ReplicaSet) {
        if let Err(error) = self.learn(set).await {
            log::error!("event=replica_set_store_failed cause=\"{error}\"");
        }
    }

    /// Handles a peer's request for the set.
    pub fn handle_fetch_replica_set(&self) -> Response {
        let set = self.current().map(|set| set.as_ref().clone());
        Response {
            kind: ResponseKind::replica_set(set.unwrap_or_default()),
        }
    }

    /// Fetches the set from a peer if `version`, as found in its pings and responses, is newer than
    /// the known one.
    pub fn on_peer_version(&self, peers: Arc<dyn Peers>, node: &str, version: u64) {
        if version > self.version() {
            self.fetch_in_background(peers, node.to_owned());
        }
    }

    /// Starts to fetch the set from a peer, unless a fetch is already in progress.
    pub(crate) fn fetch_in_background(&self, peers: Arc<dyn Peers>, node: String) {
        if self.inner.is_fetching.swap(true, Ordering::AcqRel) {
            return;
        }
        let replica_sets = self.clone();
        tokio::spawn(async move {
            replica_sets.fetch(peers.as_ref(), &node).await;
            let is_fetching = &replica_sets.inner.is_fetching;
            is_fetching.store(false, Ordering::Release);
        });
    }

    async fn fetch(&self, peers: &dyn Peers, node: &str) {
        let request = Request {
            kind: RequestKind::fetch_replica_set(FetchReplicaSet {}),
        };
        let answer = peers.call(node, request, FETCH_TIMEOUT).await;
        let Ok(Response {
            kind: ResponseKind::replica_set(set),
        }) = answer
        else {
            log::warn!("event=replica_set_fetch_failed node={node}");
            return;
        };
        self.learn_or_log(set).await;
    }
}

fn incomplete_seconds() -> Gauge {
    let help = "Time for which the replica set was not whole; 0 while it is";
    let name = "ladderstage_journal_replica_set_incomplete_seconds";
    Gauge::new(name, help).expect("valid name")
}

//! The journal's replica set as known at this node.
//!
//! It comes from the disk, from the key-value service and from peers, so that a restart of all nodes works while the
//! key-value service is down.

mod bootstrap;
mod copy;
mod record;
mod records;
mod replacement;
pub mod zones;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use ladderstage_storage::{Storage, StorageError};
use ladderstage_wire::messages::mod_Request::OneOfkind as RequestKind;
use ladderstage_wire::messages::mod_Response::OneOfkind as ResponseKind;
use ladderstage_wire::messages::{FetchReplicaSet, ReplicaMember, ReplicaSet, Request, Response};
use tokio::sync::watch;

use crate::JournalOptions;
use crate::Peers;
use bootstrap::Bootstrap;
use replacement::Replacement;

pub use records::{RecordError, RecordedSet, SetRecords};

/// How long a peer may take to answer with its replica set.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// The newest replica set known here; only larger versions replace it. Cheap to clone.
#[derive(Debug, Clone)]
pub struct ReplicaSets {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    storage: Option<Storage>,
    current: watch::Sender<Option<Arc<ReplicaSet>>>,
    is_fetching: AtomicBool,
}

/// The task that makes, learns and changes the set; it ends when this is dropped.
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
    /// Runs what makes the first set, learns of it, and replaces lost replicas, until the returned task is dropped.
    /// Call within a tokio runtime.
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
            wanted: options.initial_replicas.wanted(),
            missing_since: BTreeMap::new(),
            looked_at: None,
            leaving_since: None,
            copied_version: 0,
        };
        let replica_sets = self.clone();
        let handle = tokio::spawn(async move {
            bootstrap.run(&replica_sets).await;
            replacement.run(poll_interval).await;
        });
        ReplicaSetTask { handle }
    }

    /// Starts from the set that this node's disk remembers, if any.
    pub fn new(storage: Option<Storage>) -> Self {
        let stored = storage.as_ref().and_then(Storage::replica_set);
        let inner = Inner {
            storage,
            current: watch::Sender::new(stored.map(Arc::new)),
            is_fetching: AtomicBool::new(false),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// The newest set known; `None` before the first one was made or heard of.
    pub fn current(&self) -> Option<Arc<ReplicaSet>> {
        self.inner.current.borrow().clone()
    }

    /// Version of the newest set known; 0: none.
    pub fn version(&self) -> u64 {
        let current = self.inner.current.borrow();
        current.as_ref().map_or(0, |set| set.version)
    }

    /// Changes whenever a newer set is known.
    pub fn watch(&self) -> watch::Receiver<Option<Arc<ReplicaSet>>> {
        self.inner.current.subscribe()
    }

    /// Takes in a set from anywhere; returns whether it was newer. Stored on this node's disk first, if it has one.
    ///
    /// # Errors
    ///
    /// When the disk refuses; the set is then not used here either.
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

    /// Id of this node's disk, if it has one.
    pub fn own_replica_id(&self) -> Option<u64> {
        self.inner.storage.as_ref().map(Storage::replica_id)
    }

    pub(crate) fn storage(&self) -> Option<&Storage> {
        self.inner.storage.as_ref()
    }

    /// As [`ReplicaSets::learn`], for callers that have nobody to tell of an error.
    pub(crate) async fn learn_or_log(&self, set: ReplicaSet) {
        if let Err(error) = self.learn(set).await {
            log::error!("event=replica_set_store_failed cause=\"{error}\"");
        }
    }

    /// Answers a peer's question for the set.
    pub fn handle_fetch_replica_set(&self) -> Response {
        let set = self.current().map(|set| set.as_ref().clone());
        Response {
            kind: ResponseKind::replica_set(set.unwrap_or_default()),
        }
    }

    /// Call with the version in each ping and answer: fetches the set from that peer if it has a newer one.
    pub fn on_peer_version(&self, peers: Arc<dyn Peers>, node: &str, version: u64) {
        if version > self.version() {
            self.fetch_in_background(peers, node.to_owned());
        }
    }

    /// Asks a peer for its set, unless such a question is already under way.
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

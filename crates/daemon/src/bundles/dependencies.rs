//! Interfaces through which bundles use the rest of the node.

use std::collections::BTreeSet;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use ladderstage::ids::{Revision, WeightVersion};
use ladderstage_platform::key_value::KeyValue;
use ladderstage_platform::weight_store::WeightStore;
use ladderstage_storage::Storage;
use ladderstage_transport::CallError;
use ladderstage_wire::messages::{ReplicaSet, Request, Response};

use crate::members::Members;
use crate::replica_set::ReplicaSets;
use crate::settings::Settings;

/// Connections to the other nodes.
pub trait Peers: Send + Sync + 'static {
    /// Returns the name of this node.
    fn own_node(&self) -> String;

    /// Returns the names of the other live members.
    fn others(&self) -> Vec<String>;

    /// Returns the id of a node's data folder; 0 if it has none or the node is unknown.
    fn replica_id(&self, node: &str) -> u64;

    /// Calls a node by name.
    fn call<'a>(
        &'a self,
        node: &'a str,
        request: Request,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<Response, CallError>>;
}

impl Peers for Members {
    fn own_node(&self) -> String {
        self.own().node
    }

    fn others(&self) -> Vec<String> {
        let own = self.own_node();
        let members = self.alive().into_iter().map(|member| member.node);
        members.filter(|node| *node != own).collect()
    }

    fn replica_id(&self, node: &str) -> u64 {
        self.find(node).map_or(0, |member| member.replica_id)
    }

    fn call<'a>(
        &'a self,
        node: &'a str,
        request: Request,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<Response, CallError>> {
        Box::pin(Members::call(self, node, request, timeout))
    }
}

/// Disk record of the newest signed bundle.
pub trait BundleStore: Send + Sync + 'static {
    /// Loads the record, if there is one.
    fn load_bundle(&self) -> BoxFuture<'_, io::Result<Option<Vec<u8>>>>;

    /// Replaces the record unless it has this or a higher revision. Returns once the record is on disk.
    fn store_bundle(&self, revision: Revision, record: Vec<u8>) -> BoxFuture<'_, io::Result<()>>;
}

impl BundleStore for Storage {
    fn load_bundle(&self) -> BoxFuture<'_, io::Result<Option<Vec<u8>>>> {
        Box::pin(async move {
            let stored = self.get_bundle().await.map_err(io::Error::other)?;
            Ok(stored.map(|bundle| bundle.bytes))
        })
    }

    fn store_bundle(&self, revision: Revision, record: Vec<u8>) -> BoxFuture<'_, io::Result<()>> {
        Box::pin(async move {
            let stored = self.put_bundle(revision, record).await;
            stored.map_err(io::Error::other)
        })
    }
}

/// Source of the weight versions that exist for a model.
pub trait WeightVersionSource: Send + Sync + 'static {
    /// Lists the weight versions of a model.
    ///
    /// # Errors
    /// If the weight versions cannot be read.
    fn versions<'a>(
        &'a self,
        model: &'a str,
    ) -> BoxFuture<'a, Result<BTreeSet<WeightVersion>, String>>;
}

impl WeightVersionSource for WeightStore {
    fn versions<'a>(
        &'a self,
        model: &'a str,
    ) -> BoxFuture<'a, Result<BTreeSet<WeightVersion>, String>> {
        Box::pin(async move {
            let versions = WeightStore::versions(self, model).await;
            versions.map_err(|error| error.to_string())
        })
    }
}

/// Returns the replica set in use; `None` while it is unknown. An empty set means that there are no replicas.
pub type ReplicaSetSource = Arc<dyn Fn() -> Option<ReplicaSet> + Send + Sync>;

/// Returns the source of this node's replica set. Without initial replicas in the settings the set is empty.
pub fn replica_set_source(settings: &Settings, replica_sets: &ReplicaSets) -> ReplicaSetSource {
    let has_replicas = !settings.initial_replicas.is_empty();
    let replica_sets = replica_sets.clone();
    Arc::new(move || match replica_sets.current() {
        Some(set) => Some(ReplicaSet::clone(&set)),
        None if has_replicas => None,
        None => Some(ReplicaSet::default()),
    })
}

/// Parts of the node that [`super::Bundles::start`] uses.
pub struct BundleDependencies {
    /// Client for the key-value service.
    pub key_value: KeyValue,
    /// Connections to the other nodes.
    pub peers: Arc<dyn Peers>,
    /// This node's disk, if the node is a replica.
    pub store: Option<Arc<dyn BundleStore>>,
    /// Replicas of which a quorum must store an accepted bundle.
    pub replica_set: ReplicaSetSource,
    /// Weight store; without it the weight versions of a bundle are not checked.
    pub weight_versions: Option<Arc<dyn WeightVersionSource>>,
    /// Time after which the outcome of a roll is reported as unknown.
    pub roll_deadline: Duration,
}

/// Default of [`BundleDependencies::roll_deadline`].
pub const DEFAULT_ROLL_DEADLINE: Duration = Duration::from_secs(8);

//! What the bundle's part of a node needs from the other parts.

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

/// The other nodes, as far as bundles are concerned.
pub trait Peers: Send + Sync + 'static {
    /// Name of this node.
    fn own_node(&self) -> String;

    /// Names of the other nodes that are thought to be up.
    fn others(&self) -> Vec<String>;

    /// Id of a node's data folder; 0 if it has none or is unknown.
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

/// A replica's disk, as far as bundles are concerned: one record, the newest signed bundle.
pub trait BundleStore: Send + Sync + 'static {
    /// The record, if there is one.
    fn load_bundle(&self) -> BoxFuture<'_, io::Result<Option<Vec<u8>>>>;

    /// Replaces the record unless it is of this or a higher revision; done only once it is on disk.
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

/// Asks which weight versions of a model the weight store holds.
pub trait WeightVersionSource: Send + Sync + 'static {
    /// The versions; the error says why they are not known.
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

/// The replica set in use; `None` while it is not known yet. An empty one means that there are no replicas.
pub type ReplicaSetSource = Arc<dyn Fn() -> Option<ReplicaSet> + Send + Sync>;

/// The replica set of this node. A node whose settings name no initial replicas runs without any.
pub fn replica_set_source(settings: &Settings, replica_sets: &ReplicaSets) -> ReplicaSetSource {
    let has_replicas = !settings.initial_replicas.is_empty();
    let replica_sets = replica_sets.clone();
    Arc::new(move || match replica_sets.current() {
        Some(set) => Some(ReplicaSet::clone(&set)),
        None if has_replicas => None,
        None => Some(ReplicaSet::default()),
    })
}

/// What [`super::Bundles::start`] joins.
pub struct BundleDependencies {
    /// The key-value service.
    pub key_value: KeyValue,
    /// The other nodes.
    pub peers: Arc<dyn Peers>,
    /// This node's disk, if it is a replica.
    pub store: Option<Arc<dyn BundleStore>>,
    /// The replicas that must hold an accepted bundle.
    pub replica_set: ReplicaSetSource,
    /// The weight store; without it the versions of a bundle are not checked against it.
    pub weight_versions: Option<Arc<dyn WeightVersionSource>>,
    /// How long a roll may take before it says that its outcome is unknown.
    pub roll_deadline: Duration,
}

/// A sensible [`BundleDependencies::roll_deadline`].
pub const DEFAULT_ROLL_DEADLINE: Duration = Duration::from_secs(8);

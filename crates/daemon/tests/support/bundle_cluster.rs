//! Bundles of several nodes in one process, connected by calls that can fail.
#![allow(dead_code)] // No test file uses all of this.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_util::future::BoxFuture;
use ladderstage::bundle::{BundleKey, sign};
use ladderstage_daemon::bundles::{BundleDependencies, BundleStore, Bundles, Peers};
use ladderstage_daemon::settings::Settings;
use ladderstage_platform::key_value::KeyValue;
use ladderstage_transport::CallError;
use ladderstage_wire::messages::mod_Request::OneOfkind as RequestKind;
use ladderstage_wire::messages::{ReplicaMember, ReplicaSet, Request, Response, SignedBundle};

/// Maximum wait for a condition before a test fails.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns the operators' signing key of all tests.
pub fn key() -> BundleKey {
    BundleKey::from_secret("operators", &[7; 32])
}

/// Returns the text of a valid bundle; `note` makes texts of one revision differ.
pub fn text(revision: u64, note: &str) -> String {
    format!(
        r#"revision = {revision}
[[pool]]
name = "pricing"
kind = "application"
backends = ["pricing-1"]
concurrency = 8
[[class]]
name = "live"
priority = 0
limit = 4
deadline_ms = 2000
[[class]]
name = "rollout"
priority = 1
limit = 4
deadline_ms = 60000
[notes]
note = "{note}"
"#
    )
}

pub fn signed(text: &str) -> SignedBundle {
    SignedBundle {
        text: text.as_bytes().to_vec(),
        signatures: vec![sign(text, &key())],
        proposal_id: String::new(),
    }
}

/// Bundle store that survives a restart of its node.
#[derive(Default)]
pub struct Disk {
    record: Mutex<Option<Vec<u8>>>,
}

impl BundleStore for Disk {
    fn load_bundle(&self) -> BoxFuture<'_, io::Result<Option<Vec<u8>>>> {
        let record = self.record.lock().unwrap().clone();
        Box::pin(async { Ok(record) })
    }

    fn store_bundle(&self, _revision: u64, record: Vec<u8>) -> BoxFuture<'_, io::Result<()>> {
        *self.record.lock().unwrap() = Some(record);
        Box::pin(async { Ok(()) })
    }
}

/// Running nodes and the state of the network between them.
#[derive(Default)]
pub struct Network {
    nodes: Mutex<BTreeMap<String, Bundles>>,
    disconnected: Mutex<BTreeSet<String>>,
    /// Replica set versions that nodes know; 1 for nodes not listed.
    set_versions: Mutex<BTreeMap<String, u64>>,
    fetches: AtomicUsize,
}

impl Network {
    pub fn disconnect(&self, node: &str) {
        self.disconnected.lock().unwrap().insert(node.to_owned());
    }

    pub fn reconnect(&self, node: &str) {
        self.disconnected.lock().unwrap().remove(node);
    }

    /// Sets the replica set version that a node knows; the members stay the same.
    pub fn set_known_replica_set_version(&self, node: &str, version: u64) {
        let mut versions = self.set_versions.lock().unwrap();
        versions.insert(node.to_owned(), version);
    }

    /// Returns the number of fetch requests so far.
    pub fn fetches(&self) -> usize {
        self.fetches.load(Ordering::Relaxed)
    }

    fn replica_set_at(&self, node: &str) -> ReplicaSet {
        let versions = self.set_versions.lock().unwrap();
        replica_set(versions.get(node).copied().unwrap_or(1))
    }

    fn is_disconnected(&self, node: &str) -> bool {
        self.disconnected.lock().unwrap().contains(node)
    }
}

struct NetworkPeers {
    own: String,
    network: Arc<Network>,
}

impl Peers for NetworkPeers {
    fn own_node(&self) -> String {
        self.own.clone()
    }

    fn others(&self) -> Vec<String> {
        let nodes = self.network.nodes.lock().unwrap();
        nodes
            .keys()
            .filter(|node| **node != self.own)
            .cloned()
            .collect()
    }

    fn replica_id(&self, node: &str) -> u64 {
        node.trim_start_matches(|letter: char| !letter.is_ascii_digit())
            .parse()
            .unwrap_or(0)
    }

    fn call<'a>(
        &'a self,
        node: &'a str,
        request: Request,
        _timeout: Duration,
    ) -> BoxFuture<'a, Result<Response, CallError>> {
        Box::pin(async move {
            let target = self.network.nodes.lock().unwrap().get(node).cloned();
            let is_disconnected =
                self.network.is_disconnected(node) || self.network.is_disconnected(&self.own);
            let Some(target) = target.filter(|_| !is_disconnected) else {
                return Err(CallError::NotSent("disconnected".to_owned()));
            };
            match request.kind {
                RequestKind::push_bundle(push) => Ok(target.handle_push_bundle(push).await),
                RequestKind::fetch_bundle(fetch) => {
                    self.network.fetches.fetch_add(1, Ordering::Relaxed);
                    Ok(target.handle_fetch_bundle(&fetch))
                }
                other => panic!("{other:?}"),
            }
        })
    }
}

/// Nodes `n1`, `n2`, ..., of which the first three are replicas.
pub struct Cluster {
    pub network: Arc<Network>,
    /// Node with a short roll deadline.
    pub short_deadline_node: &'static str,
    key_value_url: String,
    disks: BTreeMap<String, Arc<Disk>>,
}

impl Cluster {
    pub fn new(key_value_url: &str) -> Self {
        let replicas = ["n1", "n2", "n3"];
        Self {
            network: Arc::default(),
            short_deadline_node: "",
            key_value_url: key_value_url.to_owned(),
            disks: replicas
                .map(|node| (node.to_owned(), Arc::default()))
                .into(),
        }
    }

    pub async fn start_nodes(&self, names: &[&str]) -> Vec<Bundles> {
        let mut nodes = Vec::new();
        for name in names {
            nodes.push(self.start(name).await);
        }
        nodes
    }

    /// Starts or restarts a node; a replica keeps its disk.
    pub async fn start(&self, name: &str) -> Bundles {
        let (network, node) = (self.network.clone(), name.to_owned());
        let dependencies = BundleDependencies {
            key_value: KeyValue::new(vec![self.key_value_url.clone()], WAIT_TIMEOUT),
            peers: Arc::new(NetworkPeers {
                own: name.to_owned(),
                network: self.network.clone(),
            }),
            store: self
                .disks
                .get(name)
                .map(|disk| disk.clone() as Arc<dyn BundleStore>),
            replica_set: Arc::new(move || Some(network.replica_set_at(&node))),
            weight_versions: None,
            roll_deadline: self.roll_deadline(name),
        };
        let bundles = Bundles::start(&settings(name), dependencies).await.unwrap();
        let mut nodes = self.network.nodes.lock().unwrap();
        nodes.insert(name.to_owned(), bundles.clone());
        bundles
    }

    fn roll_deadline(&self, name: &str) -> Duration {
        if name == self.short_deadline_node {
            return Duration::from_millis(300);
        }
        WAIT_TIMEOUT
    }

    /// Stops a node; its state in memory is lost.
    pub fn stop(&self, name: &str) {
        self.network.nodes.lock().unwrap().remove(name);
    }
}

fn replica_set(version: u64) -> ReplicaSet {
    let members = (1..=3).map(|number| ReplicaMember {
        node: format!("n{number}"),
        replica_id: number,
    });
    ReplicaSet {
        version,
        current: members.collect(),
        next: Vec::new(),
    }
}

fn settings(node: &str) -> Settings {
    let text = format!(
        r#"
node = "{node}"
zone = "z"
region = "r"
http_listen = "127.0.0.1:0"
peer_listen = "127.0.0.1:0"
key_value = []
machine_list = "http://127.0.0.1:1"
[trusted_keys]
operators = "{}"
[timing]
key_value_poll_ms = 50
bundle_evidence_bound_ms = 1000
"#,
        key().public_hex()
    );
    toml::from_str(&text).unwrap()
}

/// Waits for a condition; fails the test after [`WAIT_TIMEOUT`].
pub async fn wait_until(description: &str, condition: impl Fn() -> bool) {
    let deadline = std::time::Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(
            std::time::Instant::now() < deadline,
            "timed out: {description}"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Waits until all nodes have this revision in force.
pub async fn wait_for_revision(nodes: &[Bundles], revision: u64) {
    let has = |node: &Bundles| {
        node.current()
            .is_some_and(|it| it.bundle.revision == revision)
    };
    wait_until(&format!("revision {revision}"), || nodes.iter().all(has)).await;
}

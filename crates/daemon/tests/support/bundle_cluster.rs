//! Nodes' bundle parts in one process, joined by calls that can be cut.
#![allow(dead_code)] // Each test file uses some of it.

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

/// Longer than any wait on a busy machine should take.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// The operators' key in all tests.
pub fn key() -> BundleKey {
    BundleKey::from_secret("operators", &[7; 32])
}

/// Text of a bundle without findings; `note` makes texts of one revision differ.
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

/// A disk that survives its node.
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

/// Nodes that are up, and those that no call reaches or leaves.
#[derive(Default)]
pub struct Network {
    nodes: Mutex<BTreeMap<String, Bundles>>,
    cut_off: Mutex<BTreeSet<String>>,
    /// Versions of the replica set that nodes know; 1 for those not named.
    set_versions: Mutex<BTreeMap<String, u64>>,
    fetches: AtomicUsize,
}

impl Network {
    pub fn cut_off(&self, node: &str) {
        self.cut_off.lock().unwrap().insert(node.to_owned());
    }

    pub fn reconnect(&self, node: &str) {
        self.cut_off.lock().unwrap().remove(node);
    }

    /// The node learns a replica set of this version, with the same members.
    pub fn learn_replica_set(&self, node: &str, version: u64) {
        let mut versions = self.set_versions.lock().unwrap();
        versions.insert(node.to_owned(), version);
    }

    /// Bundles that were asked for so far.
    pub fn fetches(&self) -> usize {
        self.fetches.load(Ordering::Relaxed)
    }

    fn replica_set_at(&self, node: &str) -> ReplicaSet {
        let versions = self.set_versions.lock().unwrap();
        replica_set(versions.get(node).copied().unwrap_or(1))
    }

    fn is_cut_off(&self, node: &str) -> bool {
        self.cut_off.lock().unwrap().contains(node)
    }
}

struct Link {
    own: String,
    network: Arc<Network>,
}

impl Peers for Link {
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
            let is_cut = self.network.is_cut_off(node) || self.network.is_cut_off(&self.own);
            let Some(target) = target.filter(|_| !is_cut) else {
                return Err(CallError::NotSent("cut".to_owned()));
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

/// Nodes `n1`, `n2`, ... of which the first three are replicas.
pub struct Cluster {
    pub network: Arc<Network>,
    /// A node whose rolls soon give up.
    pub impatient: &'static str,
    key_value_url: String,
    disks: BTreeMap<String, Arc<Disk>>,
}

impl Cluster {
    pub fn new(key_value_url: &str) -> Self {
        let replicas = ["n1", "n2", "n3"];
        Self {
            network: Arc::default(),
            impatient: "",
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

    /// Starts a node, again if it ran before: a replica finds its disk as it was.
    pub async fn start(&self, name: &str) -> Bundles {
        let (network, node) = (self.network.clone(), name.to_owned());
        let parts = BundleDependencies {
            key_value: KeyValue::new(vec![self.key_value_url.clone()], PATIENCE),
            peers: Arc::new(Link {
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
        let bundles = Bundles::start(&settings(name), parts).await.unwrap();
        let mut nodes = self.network.nodes.lock().unwrap();
        nodes.insert(name.to_owned(), bundles.clone());
        bundles
    }

    fn roll_deadline(&self, name: &str) -> Duration {
        if name == self.impatient {
            return Duration::from_millis(300);
        }
        PATIENCE
    }

    /// Stops a node; what it kept in memory is gone.
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

/// Waits until the condition holds.
pub async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let deadline = std::time::Instant::now() + PATIENCE;
    while !condition() {
        assert!(
            std::time::Instant::now() < deadline,
            "waited in vain: {what}"
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

//! Test nodes with a journal and shards each, connected by an in-memory network with faults.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, Weak};
use std::time::{Duration, Instant};

use futures_util::future::BoxFuture;
use ladderstage_bench::http_server::Handle;
use ladderstage_daemon::drain::Drain;
use ladderstage_daemon::http::trainers;
use ladderstage_daemon::journal::{Journal, JournalHooks, Peers};
use ladderstage_daemon::replica_set::ReplicaSets;
use ladderstage_daemon::settings::Settings;
use ladderstage_daemon::shards::{ShardDependencies, Shards};
use ladderstage_platform::engine::EngineClient;
use ladderstage_platform::scorer::Scorer;
use ladderstage_storage::{Storage, StorageOptions};
use ladderstage_transport::CallError;
use ladderstage_wire::messages::mod_Request::OneOfkind as RequestKind;
use ladderstage_wire::messages::mod_Response::OneOfkind as ResponseKind;
use ladderstage_wire::messages::{
    BundleEvidence, Member, ReplicaMember, ReplicaSet, Request, Response, ShardNotice,
};
use rocket::local::asynchronous::Client;
use tempfile::TempDir;

use crate::platform::{TestBundles, TestEngines, start_scorer};

/// Maximum wait for a condition before a test fails.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Names of the nodes, which are all journal replicas.
pub const NODES: [&str; 3] = ["n0", "n1", "n2"];

pub struct Node {
    pub journal: Journal,
    pub shards: Shards,
    pub http: Client,
}

/// All nodes, the platform services and the network between the nodes.
pub struct Cluster {
    pub bundles: Arc<TestBundles>,
    pub engines: Arc<TestEngines>,
    pub scorer: Handle,
    nodes: Mutex<BTreeMap<String, Arc<Node>>>,
    /// Nodes without connection to any other node.
    disconnected: Mutex<BTreeSet<String>>,
    /// Delay of each call between nodes.
    delay: Mutex<Duration>,
    folders: TempDir,
}

impl Cluster {
    pub async fn start(engines: usize, weight_version: u64, staleness_bound: u64) -> Arc<Self> {
        let cluster = Arc::new(Self {
            bundles: Arc::new(TestBundles::new(weight_version, staleness_bound)),
            engines: Arc::new(TestEngines::start(engines, weight_version).await),
            scorer: start_scorer().await,
            nodes: Mutex::default(),
            disconnected: Mutex::default(),
            delay: Mutex::default(),
            folders: tempfile::tempdir().unwrap(),
        });
        let storages: Vec<Storage> = NODES.iter().map(|name| cluster.open(name)).collect();
        let current = NODES
            .iter()
            .zip(&storages)
            .map(|(name, storage)| ReplicaMember {
                node: (*name).to_owned(),
                replica_id: storage.replica_id(),
            });
        let set = ReplicaSet {
            version: 1,
            current: current.collect(),
            next: Vec::new(),
        };
        for (name, storage) in NODES.iter().zip(storages) {
            cluster.start_node(name, storage, set.clone()).await;
        }
        cluster
    }

    fn open(&self, name: &str) -> Storage {
        Storage::open(&self.folders.path().join(name), StorageOptions::default()).unwrap()
    }

    async fn start_node(self: &Arc<Self>, name: &str, storage: Storage, set: ReplicaSet) {
        let peers: Arc<dyn Peers> = Arc::new(ClusterPeers {
            cluster: Arc::downgrade(self),
            own: name.to_owned(),
        });
        let replica_sets = ReplicaSets::new(Some(storage.clone()));
        replica_sets.learn(set).await.unwrap();
        let settings = settings(name);
        let process = rand::random_range(1..=u64::MAX);
        let journal = Journal::start_with(
            &settings,
            process,
            peers.clone(),
            Some(storage),
            replica_sets,
        );
        let dependencies = ShardDependencies {
            peers,
            journal: journal.clone(),
            bundles: self.bundles.clone(),
            engines: self.engines.clone(),
            engine_client: EngineClient::new(),
            scorer: Some(Scorer::new(&self.scorer.url())),
        };
        let shards = Shards::start_with(&settings, process, dependencies);
        journal.set_hooks(Arc::new(Hooks(shards.clone())));
        let config = rocket::Config {
            log_level: rocket::config::LogLevel::Off,
            ..rocket::Config::default()
        };
        let rocket = rocket::custom(config)
            .manage(shards.clone())
            .manage(Drain::new())
            .mount("/", trainers::routes());
        let node = Node {
            journal,
            shards,
            http: Client::untracked(rocket).await.unwrap(),
        };
        self.nodes
            .lock()
            .unwrap()
            .insert(name.to_owned(), Arc::new(node));
    }

    pub fn node(&self, name: &str) -> Arc<Node> {
        self.nodes.lock().unwrap()[name].clone()
    }

    /// Disconnects exactly these nodes from all others; all other nodes are reconnected.
    pub fn set_disconnected(&self, names: &[&str]) {
        *self.disconnected.lock().unwrap() = names.iter().map(|name| (*name).to_owned()).collect();
    }

    /// Delays each call between nodes.
    pub fn slow_down(&self, delay: Duration) {
        *self.delay.lock().unwrap() = delay;
    }

    /// Waits until one of the nodes in `names` reports that it owns the log, and returns its name.
    pub async fn owner(&self, log: &str, names: &[&str]) -> String {
        let found = Mutex::new(None);
        until("the shard has an owner", async || {
            let owns = |name: &&&str| {
                let owned = self.node(name).shards.describe();
                owned
                    .iter()
                    .any(|shard| shard.log == log && shard.accepting)
            };
            let owner = names.iter().find(owns).map(|name| (*name).to_owned());
            *found.lock().unwrap() = owner.clone();
            owner.is_some()
        })
        .await;
        found.into_inner().unwrap().unwrap()
    }

    /// Returns the number of committed samples that wait for the trainer, as reported by the owner.
    pub fn waiting_samples(&self, log: &str) -> usize {
        let nodes: Vec<Arc<Node>> = self.nodes.lock().unwrap().values().cloned().collect();
        let owned = nodes.iter().flat_map(|node| node.shards.describe());
        owned
            .filter(|shard| shard.log == log)
            .map(|shard| shard.committed)
            .max()
            .unwrap_or(0)
    }

    fn is_disconnected(&self, from: &str, to: &str) -> bool {
        let disconnected = self.disconnected.lock().unwrap();
        from != to && (disconnected.contains(from) || disconnected.contains(to))
    }

    async fn deliver(&self, to: &str, request: Request) -> Result<Response, CallError> {
        let delay = *self.delay.lock().unwrap();
        tokio::time::sleep(delay).await;
        let node = self.nodes.lock().unwrap().get(to).cloned();
        let node = node.ok_or_else(|| CallError::NotSent("not started".to_owned()))?;
        let response = match request.kind {
            RequestKind::open_shard(open) => node.shards.handle_open_shard(open).await,
            RequestKind::pull_shard(pull) => node.shards.handle_pull_shard(pull).await,
            RequestKind::shard_notice(notice) => node.shards.handle_shard_notice(notice).await,
            kind => node.journal.handle(kind).await,
        };
        match response.kind {
            ResponseKind::refused(refused) => Err(CallError::Refused(refused)),
            kind => Ok(Response { kind }),
        }
    }
}

struct ClusterPeers {
    cluster: Weak<Cluster>,
    own: String,
}

impl Peers for ClusterPeers {
    fn alive(&self) -> Vec<Member> {
        let Some(cluster) = self.cluster.upgrade() else {
            return Vec::new();
        };
        let reached = NODES
            .iter()
            .filter(|name| !cluster.is_disconnected(&self.own, name));
        let member = |name: &&str| Member {
            node: (*name).to_owned(),
            ..Member::default()
        };
        reached.map(member).collect()
    }

    fn call<'a>(
        &'a self,
        node: &'a str,
        request: Request,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<Response, CallError>> {
        Box::pin(async move {
            let not_sent = || CallError::NotSent("disconnected".to_owned());
            let cluster = self.cluster.upgrade().ok_or_else(not_sent)?;
            if cluster.is_disconnected(&self.own, node) {
                return Err(not_sent());
            }
            let (from, to) = (self.own.clone(), node.to_owned());
            // As over TCP, the receiver executes the request even if the caller stops waiting.
            let delivery = tokio::spawn(async move {
                let response = cluster.deliver(&to, request).await;
                match cluster.is_disconnected(&from, &to) {
                    true => Err(CallError::Unknown(
                        "disconnected during the call".to_owned(),
                    )),
                    false => response,
                }
            });
            match tokio::time::timeout(timeout, delivery).await {
                Ok(Ok(result)) => result,
                _ => Err(CallError::Unknown("call timed out".to_owned())),
            }
        })
    }
}

struct Hooks(Shards);

impl JournalHooks for Hooks {
    fn own_evidence(&self) -> BundleEvidence {
        BundleEvidence::default()
    }

    fn heartbeat_round(&self, _: ladderstage_clock::Instant, _: Vec<BundleEvidence>, _: bool) {}

    fn fenced(&self, log: &str) {
        self.0.fenced(log);
    }

    fn orphaned(&self, logs: Vec<String>) {
        let shards = self.0.clone();
        tokio::spawn(async move {
            shards
                .handle_shard_notice(ShardNotice {
                    logs,
                    from_owner: false,
                    epochs: Vec::new(),
                })
                .await
        });
    }
}

fn settings(name: &str) -> Settings {
    let text = format!(
        r#"
        node = "{name}"
        zone = "z"
        region = "r"
        http_listen = "127.0.0.1:0"
        peer_listen = "127.0.0.1:0"
        key_value = []
        machine_list = "http://127.0.0.1:1"
        [timing]
        owner_heartbeat_ms = 50
        owner_timeout_ms = 1500
        journal_timeout_ms = 1000
        "#
    );
    toml::from_str(&text).unwrap()
}

/// Waits for a condition; fails the test after [`WAIT_TIMEOUT`].
pub async fn until(description: &str, condition: impl AsyncFn() -> bool) {
    let started = Instant::now();
    while !condition().await {
        assert!(started.elapsed() < WAIT_TIMEOUT, "timed out: {description}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

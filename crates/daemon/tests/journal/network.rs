//! Test nodes with a journal each, connected by an in-memory network with faults.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::{Duration, Instant};

use futures_util::future::BoxFuture;
use ladderstage_daemon::journal::{Journal, JournalHooks, Peers};
use ladderstage_daemon::replica_set::{ReplicaSetTask, ReplicaSets};
use ladderstage_daemon::settings::Settings;
use ladderstage_platform::key_value::KeyValue;
use ladderstage_storage::{Storage, StorageOptions};
use ladderstage_transport::CallError;
use ladderstage_wire::encode;
use ladderstage_wire::frame::MAX_PAYLOAD_BYTES;
use ladderstage_wire::messages::mod_Request::OneOfkind as RequestKind;
use ladderstage_wire::messages::mod_Response::OneOfkind as ResponseKind;
use ladderstage_wire::messages::{
    BundleEvidence, Done, LogEntry, Member, ReplicaMember, ReplicaSet, Request, Response,
};
use tempfile::TempDir;
use tokio::sync::watch;

/// Maximum wait for a condition before a test fails.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Timeout of a round of calls to the replicas.
pub const ROUND_TIMEOUT: Duration = Duration::from_secs(2);

/// Revision of the bundle that the initial replicas store.
const BUNDLE: u64 = 3;

fn write_kind(request: &RequestKind) -> Option<&'static str> {
    match request {
        RequestKind::seal(_) => Some("seal"),
        RequestKind::install(_) | RequestKind::install_rest(_) => Some("install"),
        RequestKind::append(_) => Some("append"),
        _ => None,
    }
}

/// Calls of the hooks of one node.
#[derive(Debug, Default)]
pub struct HookCalls {
    pub orphaned: BTreeSet<String>,
    pub fenced: BTreeSet<String>,
    pub evidence_with_majority: usize,
}

#[derive(Default)]
struct RecordingHooks {
    calls: Arc<Mutex<HookCalls>>,
}

impl JournalHooks for RecordingHooks {
    /// Returns no evidence, like a process that has not read its disk; the journal must insert the stored revision.
    fn own_evidence(&self) -> BundleEvidence {
        BundleEvidence::default()
    }

    fn heartbeat_round(
        &self,
        _asked_at: ladderstage_clock::Instant,
        evidence: Vec<BundleEvidence>,
        majority: bool,
    ) {
        let all_have_it = evidence.iter().all(|evidence| evidence.revision == BUNDLE);
        if majority && all_have_it {
            let mut calls = self.calls.lock().unwrap();
            calls.evidence_with_majority = calls.evidence_with_majority.max(evidence.len());
        }
    }

    fn fenced(&self, log: &str) {
        self.calls.lock().unwrap().fenced.insert(log.to_owned());
    }

    fn orphaned(&self, logs: Vec<String>) {
        self.calls.lock().unwrap().orphaned.extend(logs);
    }
}

/// Running node.
pub struct Node {
    pub journal: Journal,
    pub replica_sets: ReplicaSets,
    pub storage: Option<Storage>,
    _task: Option<ReplicaSetTask>,
    calls: Arc<Mutex<HookCalls>>,
}

/// All nodes and the state of the network between them.
pub struct Network {
    nodes: Mutex<BTreeMap<String, Arc<Node>>>,
    disconnected: Mutex<BTreeSet<String>>,
    refusing: Mutex<BTreeSet<String>>,
    /// Nodes that do not reach each other.
    separated: Mutex<BTreeSet<String>>,
    write_losing: Mutex<BTreeSet<String>>,
    ignoring_export_limits: Mutex<BTreeSet<String>>,
    /// Number of exports that fail next, by node.
    failing_exports: Mutex<BTreeMap<String, usize>>,
    frozen: watch::Sender<BTreeSet<String>>,
    /// Time that each write to a disk takes.
    write_delay: Mutex<Duration>,
    /// Time that each read of a part of a log takes.
    read_delay: Mutex<Duration>,
    folders: TempDir,
    /// Total size of all requests and answers between nodes, in bytes.
    carried: AtomicUsize,
    /// Total size of the answers to requests for all logs, in bytes, by the node that sent them.
    exported: Mutex<BTreeMap<String, usize>>,
    /// Kinds of the requests that make a node write to its disk, by node.
    writes: Mutex<BTreeMap<String, Vec<&'static str>>>,
    /// If set, the nodes create and change the replica set themselves.
    key_value_url: Option<String>,
    initial_replicas: Vec<String>,
}

impl Network {
    pub fn empty(key_value_url: Option<String>) -> Arc<Self> {
        Self::with_initial_replicas(key_value_url, 3)
    }

    /// As [`Network::empty`], with this number of initial replicas.
    pub fn with_initial_replicas(key_value_url: Option<String>, count: usize) -> Arc<Self> {
        Arc::new(Self {
            nodes: Mutex::default(),
            disconnected: Mutex::default(),
            refusing: Mutex::default(),
            separated: Mutex::default(),
            write_losing: Mutex::default(),
            ignoring_export_limits: Mutex::default(),
            failing_exports: Mutex::default(),
            frozen: watch::Sender::default(),
            write_delay: Mutex::default(),
            read_delay: Mutex::default(),
            folders: tempfile::tempdir().unwrap(),
            carried: AtomicUsize::new(0),
            exported: Mutex::default(),
            writes: Mutex::default(),
            key_value_url,
            initial_replicas: (0..count).map(|index| format!("n{index}")).collect(),
        })
    }

    /// Starts nodes `n0`, `n1`, … of which the first `replicas` form the replica set of version 1.
    pub async fn start(nodes: usize, replicas: usize) -> Arc<Self> {
        let network = Self::empty(None);
        for index in 0..nodes {
            network.start_node(&format!("n{index}"), index < replicas);
        }
        let current: Vec<_> = (0..replicas)
            .map(|index| network.member(&format!("n{index}")))
            .collect();
        network
            .spread(ReplicaSet {
                version: 1,
                current,
                next: Vec::new(),
            })
            .await;
        network
    }

    pub fn start_node(self: &Arc<Self>, name: &str, has_folder: bool) -> Arc<Node> {
        let folder = self.folders.path().join(name);
        let storage = has_folder.then(|| open(&folder));
        let replica_sets = ReplicaSets::new(storage.clone());
        let peers = Arc::new(NetworkPeers {
            network: Arc::downgrade(self),
            own: name.to_owned(),
        });
        let process = rand::random_range(1..=u64::MAX);
        let settings = settings(name, &self.initial_replicas);
        let task = self.key_value_url.clone().map(|url| {
            let key_value = KeyValue::new(vec![url], Duration::from_secs(2));
            replica_sets.run(&settings, peers.clone(), key_value)
        });
        let journal = Journal::start_with(
            &settings,
            process,
            peers,
            storage.clone(),
            replica_sets.clone(),
        );
        let hooks = RecordingHooks::default();
        let calls = Arc::clone(&hooks.calls);
        journal.set_hooks(Arc::new(hooks));
        let node = Arc::new(Node {
            journal,
            replica_sets,
            storage,
            _task: task,
            calls,
        });
        self.nodes
            .lock()
            .unwrap()
            .insert(name.to_owned(), Arc::clone(&node));
        node
    }

    /// Stops a node, keeps its data folder and waits until the folder is closed.
    pub async fn stop_node(&self, name: &str) {
        let node = self
            .nodes
            .lock()
            .unwrap()
            .remove(name)
            .expect("a running node");
        drop(node);
        let folder = self.folders.path().join(name);
        until("the data folder is closed", async || {
            !folder.exists() || Storage::open(&folder, StorageOptions::default()).is_ok()
        })
        .await;
    }

    pub fn erase(&self, name: &str) {
        std::fs::remove_dir_all(self.folders.path().join(name)).unwrap();
    }

    pub async fn store_bundle(&self, names: &[&str]) {
        for name in names {
            let storage = self.node(name).storage.clone().expect("a replica");
            storage
                .put_bundle(BUNDLE, b"bundle".to_vec())
                .await
                .unwrap();
        }
    }

    pub async fn spread(&self, set: ReplicaSet) {
        let nodes: Vec<_> = self.nodes.lock().unwrap().values().cloned().collect();
        for node in nodes {
            node.replica_sets.learn(set.clone()).await.unwrap();
        }
    }

    /// Sends the replica set version of every node to every other node, as pings do.
    pub fn ping(self: &Arc<Self>) {
        let nodes = self.nodes.lock().unwrap().clone();
        for (own, node) in &nodes {
            for (other, peer) in &nodes {
                let network = Arc::downgrade(self);
                let own = own.clone();
                let version = peer.replica_sets.version();
                let peers = Arc::new(NetworkPeers { network, own });
                node.replica_sets.on_peer_version(peers, other, version);
            }
        }
    }

    pub fn sets(&self) -> Vec<ReplicaSet> {
        let nodes = self.nodes.lock().unwrap();
        let sets = nodes
            .values()
            .filter_map(|node| node.replica_sets.current());
        sets.map(|set| set.as_ref().clone()).collect()
    }

    pub fn versions(&self) -> Vec<u64> {
        let nodes = self.nodes.lock().unwrap();
        nodes
            .values()
            .map(|node| node.replica_sets.version())
            .collect()
    }

    pub fn node(&self, name: &str) -> Arc<Node> {
        Arc::clone(
            self.nodes
                .lock()
                .unwrap()
                .get(name)
                .expect("a running node"),
        )
    }

    pub fn journal(&self, name: &str) -> Journal {
        self.node(name).journal.clone()
    }

    pub fn member(&self, name: &str) -> ReplicaMember {
        let storage = self.node(name).storage.clone().expect("a replica");
        ReplicaMember {
            node: name.to_owned(),
            replica_id: storage.replica_id(),
        }
    }

    pub fn with_hook_calls<T>(&self, name: &str, query: impl FnOnce(&HookCalls) -> T) -> T {
        query(&self.node(name).calls.lock().unwrap())
    }

    /// Returns the total size of all requests and answers between nodes, in bytes.
    pub fn carried_bytes(&self) -> usize {
        self.carried.load(Ordering::Relaxed)
    }

    /// Returns the total size of a node's answers to requests for all logs, in bytes.
    pub fn exported_bytes(&self, name: &str) -> usize {
        let exported = self.exported.lock().unwrap();
        exported.get(name).copied().unwrap_or(0)
    }

    /// Returns the kinds of the requests of other nodes that made a node write to its disk.
    pub fn writes_to(&self, name: &str) -> Vec<&'static str> {
        let writes = self.writes.lock().unwrap();
        writes.get(name).cloned().unwrap_or_default()
    }

    /// Disconnects exactly these nodes: calls to them fail at once.
    pub fn set_disconnected(&self, names: &[&str]) {
        *self.disconnected.lock().unwrap() = names.iter().map(|name| (*name).to_owned()).collect();
    }

    /// Refuses connections to exactly these nodes, whose records remain.
    pub fn refuse_connections(&self, names: &[&str]) {
        *self.refusing.lock().unwrap() = names.iter().map(|name| (*name).to_owned()).collect();
    }

    /// Drops installs and appends to exactly these nodes.
    /// Cuts the connections between these nodes; all others reach them and are reached.
    pub fn separate(&self, names: &[&str]) {
        *self.separated.lock().unwrap() = names.iter().map(|name| (*name).to_owned()).collect();
    }

    pub fn lose_writes(&self, names: &[&str]) {
        *self.write_losing.lock().unwrap() = names.iter().map(|name| (*name).to_owned()).collect();
    }

    /// Makes exactly these nodes export all logs with their entries, like an earlier version.
    pub fn ignore_export_limits(&self, names: &[&str]) {
        *self.ignoring_export_limits.lock().unwrap() =
            names.iter().map(|name| (*name).to_owned()).collect();
    }

    /// Makes this number of exports of a node fail, apart from the first page of descriptions.
    pub fn fail_exports(&self, name: &str, count: usize) {
        self.failing_exports
            .lock()
            .unwrap()
            .insert(name.to_owned(), count);
    }

    /// Returns the number of exports of a node that will fail.
    pub fn failing_exports(&self, name: &str) -> usize {
        let failing = self.failing_exports.lock().unwrap();
        failing.get(name).copied().unwrap_or(0)
    }

    /// Changes or refuses a request for all logs as the faults of the node `to` require.
    fn apply_export_faults(&self, to: &str, request: &mut RequestKind) -> Result<(), CallError> {
        let RequestKind::export_logs(export) = request else {
            return Ok(());
        };
        if self.ignoring_export_limits.lock().unwrap().contains(to) {
            export.known.clear();
            export.max_log_bytes = 0;
        }
        if export.after.is_empty() && export.max_log_bytes == 1 {
            return Ok(());
        }
        let mut failing = self.failing_exports.lock().unwrap();
        match failing.get_mut(to) {
            Some(count) if *count > 0 => {
                *count -= 1;
                Err(CallError::Unknown("lost".to_owned()))
            }
            _ => Ok(()),
        }
    }

    /// Makes each write to a disk take this long.
    pub fn set_write_delay(&self, delay: Duration) {
        *self.write_delay.lock().unwrap() = delay;
    }

    /// Makes each read of a part of a log take this long.
    pub fn set_read_delay(&self, delay: Duration) {
        *self.read_delay.lock().unwrap() = delay;
    }

    /// Freezes exactly these nodes: calls to them are executed once they are no longer frozen.
    pub fn freeze(&self, names: &[&str]) {
        self.frozen
            .send_replace(names.iter().map(|name| (*name).to_owned()).collect());
    }

    /// Delivers a request; messages that exceed the frame limit are refused, as over TCP.
    async fn deliver(&self, to: &str, mut request: Request) -> Result<Response, CallError> {
        self.apply_export_faults(to, &mut request.kind)?;
        if encode(&request).len() > MAX_PAYLOAD_BYTES {
            return Err(CallError::NotSent("the frame is too long".to_owned()));
        }
        if self.disconnected.lock().unwrap().contains(to) {
            return Err(CallError::NotSent("disconnected".to_owned()));
        }
        if self.refusing.lock().unwrap().contains(to) {
            return Err(CallError::NotSent("connection refused".to_owned()));
        }
        let is_write = matches!(
            request.kind,
            RequestKind::install(_) | RequestKind::install_rest(_) | RequestKind::append(_)
        );
        self.carried
            .fetch_add(encode(&request).len(), Ordering::Relaxed);
        if is_write && self.write_losing.lock().unwrap().contains(to) {
            return Err(CallError::Unknown("lost".to_owned()));
        }
        let write_delay = *self.write_delay.lock().unwrap();
        if is_write || matches!(request.kind, RequestKind::seal(_)) {
            tokio::time::sleep(write_delay).await;
        }
        if matches!(request.kind, RequestKind::read_log(_)) {
            let read_delay = *self.read_delay.lock().unwrap();
            tokio::time::sleep(read_delay).await;
        }
        if let Some(kind) = write_kind(&request.kind) {
            let mut writes = self.writes.lock().unwrap();
            writes.entry(to.to_owned()).or_default().push(kind);
        }
        let mut frozen = self.frozen.subscribe();
        let _ = frozen.wait_for(|frozen| !frozen.contains(to)).await;
        let node = self.nodes.lock().unwrap().get(to).cloned();
        let node = node.ok_or_else(|| CallError::NotSent("stopped".to_owned()))?;
        let response = match request.kind {
            RequestKind::fetch_replica_set(_) => node.replica_sets.handle_fetch_replica_set(),
            RequestKind::shard_notice(notice) => {
                node.calls.lock().unwrap().orphaned.extend(notice.logs);
                Response {
                    kind: ResponseKind::done(Done {}),
                }
            }
            kind => node.journal.handle(kind).await,
        };
        let response_bytes = encode(&response).len();
        self.carried.fetch_add(response_bytes, Ordering::Relaxed);
        if matches!(response.kind, ResponseKind::export_logs(_)) {
            let mut exported = self.exported.lock().unwrap();
            *exported.entry(to.to_owned()).or_default() += response_bytes;
        }
        if response_bytes > MAX_PAYLOAD_BYTES {
            return Err(CallError::Unknown("the frame is too long".to_owned()));
        }
        match response.kind {
            ResponseKind::refused(refused) => Err(CallError::Refused(refused)),
            kind => Ok(Response { kind }),
        }
    }
}

struct NetworkPeers {
    network: Weak<Network>,
    own: String,
}

impl Peers for NetworkPeers {
    fn alive(&self) -> Vec<Member> {
        let Some(network) = self.network.upgrade() else {
            return Vec::new();
        };
        let disconnected = network.disconnected.lock().unwrap().clone();
        let nodes = network.nodes.lock().unwrap();
        let is_reachable = |name: &String| *name == self.own || !disconnected.contains(name);
        let reachable = nodes.iter().filter(|(name, _)| is_reachable(name));
        let members = reachable.map(|(name, node)| Member {
            node: name.clone(),
            replica_id: node.replica_sets.own_replica_id().unwrap_or(0),
            ..Member::default()
        });
        members.collect()
    }

    fn replicas_join_together(&self) -> bool {
        true
    }

    fn call<'a>(
        &'a self,
        node: &'a str,
        request: Request,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<Response, CallError>> {
        Box::pin(async move {
            let gone = || CallError::NotSent("the network was dropped".to_owned());
            let network = self.network.upgrade().ok_or_else(gone)?;
            let to = node.to_owned();
            let is_cut = {
                let separated = network.separated.lock().unwrap();
                to != self.own && separated.contains(&to) && separated.contains(&self.own)
            };
            if is_cut {
                return Err(CallError::NotSent("connection refused".to_owned()));
            }
            // As over TCP, the receiver executes the request even if the caller stops waiting.
            let delivery = tokio::spawn(async move { network.deliver(&to, request).await });
            match tokio::time::timeout(timeout, delivery).await {
                Ok(Ok(result)) => result,
                _ => Err(CallError::Unknown("call timed out".to_owned())),
            }
        })
    }
}

pub fn settings(name: &str, initial_replicas: &[String]) -> Settings {
    let text = format!(
        r#"
        node = "{name}"
        zone = "z"
        region = "r"
        http_listen = "127.0.0.1:0"
        peer_listen = "127.0.0.1:0"
        key_value = []
        initial_replicas = {initial_replicas:?}
        machine_list = "http://127.0.0.1:1"
        [timing]
        owner_heartbeat_ms = 50
        owner_timeout_ms = 3000
        journal_timeout_ms = {}
        key_value_poll_ms = 50
        replica_replace_after_ms = 500
        "#,
        ROUND_TIMEOUT.as_millis()
    );
    toml::from_str(&text).expect("settings")
}

fn open(folder: &Path) -> Storage {
    Storage::open(folder, StorageOptions::default()).expect("data folder")
}

/// Waits for a condition; fails the test after [`WAIT_TIMEOUT`].
pub async fn until(description: &str, condition: impl AsyncFn() -> bool) {
    let started = Instant::now();
    while !condition().await {
        assert!(started.elapsed() < WAIT_TIMEOUT, "timed out: {description}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Writes the entries that a log lacks; starts over if no majority answers in time, as on a busy disk.
pub async fn write_log(
    network: &Network,
    node: &str,
    log: &str,
    entries: &[LogEntry],
    close: bool,
) {
    until("the log is written", async || {
        let Ok((mut writer, found)) = network.journal(node).take_over(log).await else {
            return false;
        };
        assert_eq!(found, entries[..found.len()], "{log}");
        let missing = entries[found.len()..].to_vec();
        missing.is_empty() || writer.append(missing, close).await.is_ok()
    })
    .await;
}

pub fn entry(text: &str) -> LogEntry {
    LogEntry {
        payload: text.as_bytes().to_vec(),
    }
}

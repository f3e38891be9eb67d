//! Membership of several nodes in one process, over real connections.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

use ladderstage_daemon::members::{MemberHooks, Members};
use ladderstage_daemon::settings::{Settings, Timing};
use ladderstage_transport::{Client, Handler, Server};
use ladderstage_wire::messages::{
    BundleEvidence, MemberState, Request, Response, mod_Request::OneOfkind,
};

/// Maximum wait for a condition before a test fails.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Hooks that announce `announced` and record what other nodes announce.
#[derive(Default)]
pub struct Hooks {
    pub announced: BundleEvidence,
    pub learned: Mutex<Vec<(String, BundleEvidence, Instant)>>,
    pub learned_versions: Mutex<Vec<(String, u64)>>,
}

impl MemberHooks for Hooks {
    fn evidence(&self) -> BundleEvidence {
        self.announced.clone()
    }

    fn observe_evidence(&self, from: &str, evidence: &BundleEvidence, sent_at: Instant) {
        let entry = (from.to_owned(), evidence.clone(), sent_at);
        self.learned.lock().expect("lock").push(entry);
    }

    fn replica_set_version(&self) -> u64 {
        self.announced.revision
    }

    fn observe_replica_set_version(&self, from: &str, version: u64) {
        let entry = (from.to_owned(), version);
        self.learned_versions.lock().expect("lock").push(entry);
    }
}

#[derive(Default)]
pub struct Answers {
    members: OnceLock<Members>,
    pub indirect_pings: AtomicUsize,
}

impl Handler for Answers {
    fn handle(&self, request: Request) -> Pin<Box<dyn Future<Output = Response> + Send + '_>> {
        if matches!(request.kind, OneOfkind::indirect_ping(_)) {
            self.indirect_pings.fetch_add(1, Ordering::Relaxed);
        }
        Box::pin(async move {
            match self.members.get() {
                Some(members) => members.handle(request).await,
                None => Response::default(),
            }
        })
    }
}

/// Running node. Dropping it simulates a crash.
pub struct Node {
    pub members: Members,
    pub hooks: Arc<Hooks>,
    pub answers: Arc<Answers>,
    pub server: Server,
}

pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

pub fn settings(node: &str, seeds: &[SocketAddr]) -> Settings {
    Settings {
        node: node.to_owned(),
        zone: "z".to_owned(),
        region: "r".to_owned(),
        http_listen: any_port(),
        peer_listen: any_port(),
        peer_advertise: None,
        data_folder: None,
        key_value: Vec::new(),
        machine_list: String::new(),
        scorer: None,
        weight_store: None,
        trusted_keys: Default::default(),
        seeds: seeds.to_vec(),
        initial_replicas: Vec::new(),
        peer_addresses: Default::default(),
        peer_connections: 64,
        timing: Timing {
            probe_interval_ms: 50,
            probe_timeout_ms: 200,
            suspicion_ms: 500,
            ..Timing::default()
        },
    }
}

impl Node {
    pub async fn start(settings: &Settings) -> Self {
        Self::start_with(settings, Hooks::default()).await
    }

    pub async fn start_with(settings: &Settings, hooks: Hooks) -> Self {
        let answers = Arc::new(Answers::default());
        let handler = Arc::clone(&answers) as Arc<dyn Handler>;
        let server = Server::start(settings.peer_listen, handler).await;
        let server = server.expect("listen");
        let hooks = Arc::new(hooks);
        let members = Members::start(
            settings,
            rand::random_range(1..=u64::MAX),
            0,
            any_port(),
            server.address(),
            Client::new(),
            Arc::clone(&hooks) as Arc<dyn MemberHooks>,
        );
        assert!(answers.members.set(members.clone()).is_ok());
        Self {
            members,
            hooks,
            answers,
            server,
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    pub fn sees(&self, node: &str, state: MemberState) -> bool {
        let member = self.members.find(node);
        member.is_some_and(|member| member.state == state)
    }

    /// Simulates a crash: connections close without any announcement.
    pub fn crash(self) {
        self.members.stop();
    }
}

/// Starts nodes with these names, the first as seed of the others, and waits until all know each other.
pub async fn start_all(names: &[&str]) -> Vec<Node> {
    let mut nodes = vec![Node::start(&settings(names[0], &[])).await];
    for name in &names[1..] {
        let seeds = [nodes[0].address()];
        nodes.push(Node::start(&settings(name, &seeds)).await);
    }
    until("every node knows all nodes", || {
        nodes
            .iter()
            .all(|node| node.members.alive().len() == names.len())
    })
    .await;
    nodes
}

/// Waits for a condition; fails the test after [`WAIT_TIMEOUT`].
pub async fn until(description: &str, condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < WAIT_TIMEOUT, "timed out: {description}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

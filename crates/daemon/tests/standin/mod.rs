//! Stand-ins for engines, the machine list and peers.

#![allow(dead_code)] // No test file uses all items.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use ladderstage::bundle::{Bundle, PoolKind, PoolSpec};
use ladderstage_daemon::backends::{Backends, Peers};
use ladderstage_daemon::bundles::BundleInForce;
use ladderstage_daemon::settings::Settings;
use ladderstage_transport::CallError;
use ladderstage_wire::messages::{Request, Response, SignedBundle, mod_Request::OneOfkind};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Status code and JSON body of an answer.
pub type Answer = (u16, String);

/// Serves HTTP on a free port until the test's runtime ends. `answer` receives the path and the body.
pub async fn serve(answer: impl Fn(&str, &str) -> Answer + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    let answer = Arc::new(answer);
    tokio::spawn(async move {
        while let Ok((connection, _)) = listener.accept().await {
            let answer = answer.clone();
            tokio::spawn(async move { exchange(connection, &*answer).await });
        }
    });
    address
}

async fn exchange(
    connection: TcpStream,
    answer: &(impl Fn(&str, &str) -> Answer + Send + Sync),
) -> Option<()> {
    let mut connection = BufReader::new(connection);
    let mut request_line = String::new();
    connection.read_line(&mut request_line).await.ok()?;
    let mut length = 0;
    loop {
        let mut header = String::new();
        connection.read_line(&mut header).await.ok()?;
        let header = header.trim().to_ascii_lowercase();
        if header.is_empty() {
            break;
        }
        if let Some(value) = header.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    connection.read_exact(&mut body).await.ok()?;
    let path = request_line.split(' ').nth(1)?;
    let (status, body) = answer(path, &String::from_utf8_lossy(&body));
    let head = format!(
        "HTTP/1.1 {status} x\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    connection
        .write_all(format!("{head}{body}").as_bytes())
        .await
        .ok()
}

/// State of a stand-in engine.
#[derive(Debug, Clone)]
pub struct Engine {
    pub name: String,
    pub process: u64,
    pub weight_version: u64,
    pub leaving: bool,
    pub reachable: bool,
    /// Whether an accepted order changes the reported version.
    pub applies_orders: bool,
    /// Number of orders to answer with 500 before accepting one.
    pub failures_left: u32,
    pub highest_fence: u64,
    pub orders_seen: u32,
    sequence: u64,
}

pub type SharedEngine = Arc<Mutex<Engine>>;

/// Starts an engine that has loaded weight version 1.
pub async fn engine(name: &str) -> (SharedEngine, SocketAddr) {
    let engine = Arc::new(Mutex::new(Engine {
        name: name.to_owned(),
        process: 1,
        weight_version: 1,
        leaving: false,
        reachable: true,
        applies_orders: true,
        failures_left: 0,
        highest_fence: 0,
        orders_seen: 0,
        sequence: 0,
    }));
    let state = engine.clone();
    let address = serve(move |path, body| {
        let mut engine = state.lock().expect("no panic");
        match path {
            "/v1/load" => engine.report(),
            "/v1/orders" => engine.order(body),
            _ => (404, String::new()),
        }
    })
    .await;
    (engine, address)
}

impl Engine {
    fn report(&mut self) -> Answer {
        if !self.reachable {
            return (500, String::new());
        }
        self.sequence += 1;
        let report = serde_json::json!({
            "name": self.name, "process": self.process, "weight_version": self.weight_version,
            "running": 0, "waiting": 0, "capacity": 4, "leaving": self.leaving, "sequence": self.sequence,
        });
        (200, report.to_string())
    }

    fn order(&mut self, body: &str) -> Answer {
        let order: serde_json::Value = serde_json::from_str(body).expect("JSON");
        let number = |field: &str| order[field].as_u64().expect("a number");
        self.orders_seen += 1;
        if self.failures_left > 0 {
            self.failures_left -= 1;
            return (500, String::new());
        }
        if number("fence") < self.highest_fence {
            return (
                409,
                serde_json::json!({"fence": self.highest_fence}).to_string(),
            );
        }
        self.highest_fence = number("fence");
        if self.applies_orders {
            self.weight_version = number("weight_version");
        }
        (
            202,
            serde_json::json!({"fence": self.highest_fence}).to_string(),
        )
    }
}

/// Starts a machine list of live engines. It answers 500 while `up` is false.
pub async fn machine_list(engines: Vec<(String, SocketAddr)>, up: Arc<Mutex<bool>>) -> SocketAddr {
    serve(move |_, _| {
        let machines: Vec<_> = engines
            .iter()
            .map(|(name, address)| {
                serde_json::json!({"name": name, "address": address.to_string(), "zone": "a", "kind": "engine", "state": "live"})
            })
            .collect();
        let status = if *up.lock().expect("no panic") { 200 } else { 500 };
        (status, serde_json::json!({ "machines": machines }).to_string())
    })
    .await
}

/// Returns settings with short intervals.
pub fn settings(node: &str, list: SocketAddr) -> Settings {
    let text = format!(
        r#"
        node = "{node}"
        zone = "a"
        region = "r"
        http_listen = "127.0.0.1:0"
        peer_listen = "127.0.0.1:0"
        key_value = []
        machine_list = "http://{list}"
        [timing]
        machine_list_poll_ms = 50
        report_poll_ms = 50
        "#
    );
    toml::from_str(&text).expect("valid settings")
}

/// Returns a bundle in force with the engine pool `lm`.
pub fn bundle(revision: u64, weight_version: u64, engines: &[&str]) -> InForce {
    let pool = PoolSpec {
        name: "lm".to_owned(),
        kind: PoolKind::Model,
        backends: engines.iter().map(|name| (*name).to_owned()).collect(),
        weight_version,
        staleness_bound: 1,
        staleness_bound_seconds: None,
        concurrency: 4,
    };
    let text = format!("revision = {revision}");
    let mut bundle: Bundle = toml::from_str(&text).expect("valid bundle");
    bundle.pools = vec![pool];
    let signed = SignedBundle::default();
    Some(Arc::new(BundleInForce { bundle, signed }))
}

/// Bundle in force, or `None` if there is none yet.
pub type InForce = Option<Arc<BundleInForce>>;

/// Returns a channel that holds a bundle, like the one of `Bundles`.
pub fn in_force(bundle: InForce) -> (watch::Sender<InForce>, watch::Receiver<InForce>) {
    watch::channel(bundle)
}

/// Peers that all forward to the same other daemon.
#[derive(Debug)]
pub struct OnePeer {
    pub own: String,
    pub alive: Vec<String>,
    pub other: Mutex<Option<Backends>>,
}

impl OnePeer {
    pub fn new(own: &str, alive: &[String]) -> Arc<Self> {
        Arc::new(Self {
            own: own.to_owned(),
            alive: alive.to_vec(),
            other: Mutex::new(None),
        })
    }
}

impl Peers for OnePeer {
    fn own(&self) -> String {
        self.own.clone()
    }

    fn alive(&self) -> Vec<String> {
        self.alive.clone()
    }

    fn call<'a>(
        &'a self,
        _node: &'a str,
        request: Request,
        _timeout: Duration,
    ) -> std::pin::Pin<Box<dyn Future<Output = Result<Response, CallError>> + Send + 'a>> {
        let other = self.other.lock().expect("no panic").clone();
        Box::pin(async move {
            let OneOfkind::backend_gossip(gossip) = request.kind else {
                panic!("only gossip is sent");
            };
            let other = other.ok_or_else(|| CallError::NotSent("no peer".to_owned()))?;
            Ok(other.handle_gossip(gossip))
        })
    }
}

/// Waits until `condition` holds. Panics after 30 seconds.
pub async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(
            started.elapsed() < Duration::from_secs(30),
            "timed out waiting until {what}"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

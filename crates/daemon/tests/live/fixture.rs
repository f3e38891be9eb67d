//! Test fixture: two daemons that share back ends and a journal.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use ladderstage_bench::cluster::{PoolNames, test_bundle};
use ladderstage_bench::http_server::Handle;
use ladderstage_bench::live::Caller;
use ladderstage_bench::proxy::Proxy;
use ladderstage_bench::stand_in::application::{
    self, ApplicationConfig, ApplicationFaults, ApplicationLog, ApplicationRun,
};
use ladderstage_bench::stand_in::engine::{self, EngineConfig, EngineFaults, EngineLog, Run};
use ladderstage_bench::stand_in::machine_list::{
    self, Machine, MachineKind, MachineListConfig, MachineState, Machines,
};
use ladderstage_daemon::backends::Backends;
use ladderstage_daemon::bundles::BundleInForce;
use ladderstage_daemon::drain::Drain;
use ladderstage_daemon::http::{applications, completions};
use ladderstage_daemon::live::{LivePath, LiveServices, NodeState};
use ladderstage_platform::application::ApplicationClient;
use ladderstage_platform::engine::EngineClient;
use reqwest::{RequestBuilder, Response};
use rocket::config::Shutdown;
use rocket::fairing::AdHoc;
use rocket::log::LogLevel;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;
use tokio::sync::{oneshot, watch};

use crate::network::{self, Network};
use crate::standin::{OnePeer, wait_until};

pub const MODEL: &str = "karm-lm";
pub const APPLICATION: &str = "prisverk";

/// Stand-in back end behind a fault proxy.
pub struct BackEnd {
    handle: Handle,
    pub proxy: Proxy,
}

impl BackEnd {
    async fn new(handle: Handle) -> Self {
        let proxy = Proxy::start(handle.address).await.unwrap();
        Self { handle, proxy }
    }

    pub async fn fault(&self, faults: &impl Serialize) {
        let url = format!("{}/control/fault", self.handle.url());
        let client = ladderstage_bench::http_client();
        let answer = client.post(url).json(faults).send().await.unwrap();
        assert!(answer.status().is_success());
    }

    async fn log<T: DeserializeOwned>(&self) -> T {
        let url = format!("{}/control/log", self.handle.url());
        let client = ladderstage_bench::http_client();
        client.get(url).send().await.unwrap().json().await.unwrap()
    }
}

/// HTTP interface of a daemon.
pub struct Front {
    pub url: String,
    pub caller: Caller,
    pub drain: Drain,
    pub node: Arc<FixedNode>,
    http: reqwest::Client,
}

impl Front {
    pub fn complete(&self, prompt: &str, tokens: u32, stream: bool) -> RequestBuilder {
        let body =
            json!({"model": MODEL, "prompt": prompt, "max_tokens": tokens, "stream": stream});
        self.http
            .post(format!("{}/v1/completions", self.url))
            .json(&body)
    }

    pub fn application(&self, method: reqwest::Method, path: &str) -> RequestBuilder {
        let url = format!("{}/v1/apps/{APPLICATION}/{path}", self.url);
        self.http.request(method, url)
    }

    /// Builds a request with an idempotency key.
    pub fn keyed(&self, key: &str, body: impl Into<reqwest::Body>) -> RequestBuilder {
        let request = self.application(reqwest::Method::POST, "quotes");
        request.header("Idempotency-Key", key).body(body)
    }
}

/// Status, outcome header and text of an answer.
pub struct ReceivedAnswer {
    pub status: u16,
    pub outcome: String,
    pub text: String,
}

pub async fn send_and_read(request: RequestBuilder) -> ReceivedAnswer {
    let response = request.send().await.unwrap();
    let retry_after = response.headers().contains_key("retry-after");
    let outcome = outcome(&response);
    assert!(outcome == "completed" || outcome.is_empty() || retry_after);
    ReceivedAnswer {
        status: response.status().as_u16(),
        outcome,
        text: response.text().await.unwrap(),
    }
}

pub fn outcome(response: &Response) -> String {
    let value = response.headers().get("ladderstage-outcome");
    value.map_or_else(String::new, |value| value.to_str().unwrap().to_owned())
}

/// Node state set by the test.
#[derive(Debug)]
pub struct FixedNode {
    bundle: Arc<BundleInForce>,
    pub disconnected: Mutex<bool>,
}

impl NodeState for FixedNode {
    fn bundle(&self) -> Option<Arc<BundleInForce>> {
        Some(self.bundle.clone())
    }

    fn evidence_age(&self) -> Option<Duration> {
        (!self.is_isolated()).then_some(Duration::ZERO)
    }

    fn is_isolated(&self) -> bool {
        *self.disconnected.lock().unwrap()
    }
}

pub struct Fixture {
    pub fronts: Vec<Front>,
    pub engines: Vec<BackEnd>,
    pub applications: Vec<BackEnd>,
    pub network: Arc<Network>,
    _list: Handle,
}

impl Fixture {
    pub async fn start(engine_count: usize, application_count: usize) -> Self {
        let mut engines = Vec::new();
        for name in names("engine", engine_count) {
            let config = EngineConfig {
                name,
                token_interval: Duration::from_millis(2),
                ..EngineConfig::default()
            };
            engines.push(BackEnd::new(engine::start(config).await.unwrap()).await);
        }
        let mut applications = Vec::new();
        for name in names("application", application_count) {
            let config = ApplicationConfig {
                name,
                ..ApplicationConfig::default()
            };
            applications.push(BackEnd::new(application::start(config).await.unwrap()).await);
        }
        let list = machines(&engines, &applications).await;
        let network = Network::start(3, 3).await;
        let mut fixture = Self {
            fronts: Vec::new(),
            engines,
            applications,
            network,
            _list: list,
        };
        for name in ["n0", "n1"] {
            let front = fixture.front(name).await;
            fixture.fronts.push(front);
        }
        fixture
    }

    async fn front(&self, name: &str) -> Front {
        let model = PoolNames {
            pool: MODEL.to_owned(),
            backends: names("engine", self.engines.len()),
        };
        let application = PoolNames {
            pool: APPLICATION.to_owned(),
            backends: names("application", self.applications.len()),
        };
        let bundle = test_bundle(1, 1, model, application);
        let in_force = Arc::new(BundleInForce {
            bundle,
            signed: Default::default(),
        });
        let (_, receiver) = watch::channel(Some(in_force.clone()));
        let initial_replicas = ["n0", "n1", "n2"].map(str::to_owned);
        let mut settings = network::settings(name, &initial_replicas);
        settings.machine_list = self._list.url();
        settings.timing.machine_list_poll_ms = 50;
        settings.timing.report_poll_ms = 50;
        let client = ladderstage_platform::control::client();
        let peers = OnePeer::new(name, &[]);
        let backends = Backends::start_with(&settings, peers, receiver, client);
        for (pool, count) in [
            (MODEL, self.engines.len()),
            (APPLICATION, self.applications.len()),
        ] {
            wait_until("back ends are usable", || {
                backends.candidates(pool).len() == count
            })
            .await;
        }
        let drain = Drain::new();
        let node = Arc::new(FixedNode {
            bundle: in_force,
            disconnected: Mutex::new(false),
        });
        let services = LiveServices {
            backends,
            journal: self.network.journal(name),
            engine: EngineClient::new(),
            application: ApplicationClient::new(),
            drain: drain.clone(),
        };
        let live = LivePath::with_node_state(&settings, node.clone(), services);
        let url = serve(live).await;
        Front {
            caller: Caller::new(&url),
            url,
            drain,
            node,
            http: ladderstage_bench::http_client(),
        }
    }

    pub async fn fault_engines(&self, faults: EngineFaults) {
        for engine in &self.engines {
            engine.fault(&faults).await;
        }
    }

    pub async fn fault_applications(&self, faults: ApplicationFaults) {
        for application in &self.applications {
            application.fault(&faults).await;
        }
    }

    /// Returns all runs on engines.
    pub async fn engine_runs(&self) -> Vec<Run> {
        let mut runs = Vec::new();
        for engine in &self.engines {
            runs.extend(engine.log::<EngineLog>().await.runs);
        }
        runs
    }

    /// Returns all runs on applications.
    pub async fn application_runs(&self) -> Vec<ApplicationRun> {
        let mut runs = Vec::new();
        for application in &self.applications {
            runs.extend(application.log::<ApplicationLog>().await.runs);
        }
        runs
    }
}

fn names(kind: &str, count: usize) -> Vec<String> {
    (1..=count)
        .map(|number| format!("{kind}-{number}"))
        .collect()
}

async fn machines(engines: &[BackEnd], applications: &[BackEnd]) -> Handle {
    let machine = |name: String, kind, back_end: &BackEnd| Machine {
        name,
        address: back_end.proxy.address,
        zone: "z".to_owned(),
        kind,
        state: MachineState::Live,
    };
    let engine_names = names("engine", engines.len()).into_iter();
    let application_names = names("application", applications.len()).into_iter();
    let engines = engine_names
        .zip(engines)
        .map(|(name, back_end)| machine(name, MachineKind::Engine, back_end));
    let applications = application_names
        .zip(applications)
        .map(|(name, back_end)| machine(name, MachineKind::Application, back_end));
    let machines = Machines {
        machines: engines.chain(applications).collect(),
    };
    let config = MachineListConfig {
        machines,
        ..MachineListConfig::default()
    };
    machine_list::start(config).await.unwrap()
}

/// Serves the live routes and returns the base URL.
async fn serve(live: LivePath) -> String {
    let config = rocket::Config {
        port: 0,
        log_level: LogLevel::Off,
        shutdown: Shutdown {
            ctrlc: false,
            signals: Default::default(),
            ..Shutdown::default()
        },
        ..rocket::Config::default()
    };
    let (sender, port) = oneshot::channel();
    let sender = Mutex::new(Some(sender));
    let rocket = rocket::custom(config)
        .manage(live)
        .mount("/", completions::routes())
        .mount("/", applications::routes())
        .attach(AdHoc::on_liftoff("port", move |rocket| {
            let sender = sender.lock().unwrap().take().unwrap();
            sender.send(rocket.config().port).unwrap();
            Box::pin(async {})
        }));
    tokio::spawn(async move {
        rocket
            .launch()
            .await
            .map(drop)
            .map_err(|error| format!("{error}"))
    });
    format!("http://127.0.0.1:{}", port.await.unwrap())
}

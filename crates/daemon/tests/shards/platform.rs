//! Platform of the test nodes: bundles, engines and scorer.

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use ladderstage::bundle::{Bundle, PoolKind, PoolSpec};
use ladderstage::routing::Candidate;
use ladderstage_bench::http_server::Handle;
use ladderstage_bench::stand_in::engine::{self, EngineConfig, EngineFaults, EngineLog};
use ladderstage_bench::stand_in::scorer::{self, ScorerConfig};
use ladderstage_daemon::bundles::BundleInForce;
use ladderstage_daemon::shards::{BundleSource, EngineGuard, EngineSource};
use ladderstage_wire::messages::SignedBundle;
use tokio::sync::watch;

pub const POOL: &str = "karm-lm";

/// Bundle in force, shared by all nodes of a test.
pub struct TestBundles {
    current: watch::Sender<Option<Arc<BundleInForce>>>,
    may_deliver: AtomicBool,
    /// Oldest weight version that each revision admits.
    min_versions: Mutex<Vec<u64>>,
}

impl TestBundles {
    pub fn new(weight_version: u64, staleness_bound: u64) -> Self {
        let bundles = Self {
            current: watch::Sender::default(),
            may_deliver: AtomicBool::new(true),
            min_versions: Mutex::default(),
        };
        bundles.roll(weight_version, staleness_bound);
        bundles
    }

    /// Puts the next revision in force.
    pub fn roll(&self, weight_version: u64, staleness_bound: u64) {
        self.roll_with_age(weight_version, staleness_bound, None);
    }

    /// Like [`Self::roll`], with an additional bound on the age in seconds.
    pub fn roll_with_age(
        &self,
        weight_version: u64,
        staleness_bound: u64,
        staleness_bound_seconds: Option<u64>,
    ) {
        let revision = self
            .current
            .borrow()
            .as_ref()
            .map_or(0, |now| now.bundle.revision)
            + 1;
        let pool = PoolSpec {
            name: POOL.to_owned(),
            kind: PoolKind::Model,
            backends: Vec::new(),
            weight_version,
            staleness_bound,
            staleness_bound_seconds,
            concurrency: 16,
        };
        let bundle = Bundle {
            revision,
            objective: Default::default(),
            pools: vec![pool],
            classes: Vec::new(),
            notes: Default::default(),
        };
        let min_version = weight_version.saturating_sub(staleness_bound);
        self.min_versions.lock().unwrap().push(min_version);
        let signed = SignedBundle::default();
        self.current
            .send_replace(Some(Arc::new(BundleInForce { bundle, signed })));
    }

    /// Returns the revision in force.
    pub fn revision(&self) -> u64 {
        self.current
            .borrow()
            .as_ref()
            .map_or(0, |now| now.bundle.revision)
    }

    /// Returns the oldest weight version that a revision admits.
    pub fn min_version(&self, revision: u64) -> u64 {
        self.min_versions.lock().unwrap()[revision as usize - 1]
    }

    /// Sets whether the evidence for the bundle is fresh.
    pub fn set_evidence(&self, is_fresh: bool) {
        self.may_deliver.store(is_fresh, Ordering::SeqCst);
    }
}

impl BundleSource for TestBundles {
    fn current(&self) -> Option<Arc<BundleInForce>> {
        self.current.borrow().clone()
    }

    fn watch(&self) -> watch::Receiver<Option<Arc<BundleInForce>>> {
        self.current.subscribe()
    }

    fn current_if_fresh(&self) -> Option<Arc<BundleInForce>> {
        let may_deliver = self.may_deliver.load(Ordering::SeqCst);
        self.current().filter(|_| may_deliver)
    }
}

struct Engine {
    handle: Handle,
    name: String,
    in_flight: Arc<AtomicU32>,
}

/// Stand-in engines, shared by all nodes of a test.
pub struct TestEngines {
    engines: Vec<Engine>,
    http: reqwest::Client,
    failures: Mutex<Vec<String>>,
}

impl TestEngines {
    pub async fn start(count: usize, weight_version: u64) -> Self {
        let mut engines = Vec::new();
        for index in 0..count {
            let name = format!("engine-{index}");
            let config = EngineConfig {
                name: name.clone(),
                weight_version,
                prefill: Duration::from_millis(1),
                token_interval: Duration::from_millis(1),
                swap: Duration::from_millis(1),
                ..EngineConfig::default()
            };
            engines.push(Engine {
                handle: engine::start(config).await.unwrap(),
                name,
                in_flight: Arc::default(),
            });
        }
        Self {
            engines,
            http: reqwest::Client::new(),
            failures: Mutex::default(),
        }
    }

    pub async fn order(&self, fence: u64, weight_version: u64) {
        let order = serde_json::json!({
            "fence": fence, "model": POOL, "weight_version": weight_version,
        });
        for engine in &self.engines {
            let url = format!("{}/v1/orders", engine.handle.url());
            let answer = self.http.post(url).json(&order).send().await.unwrap();
            assert_eq!(answer.status(), 202);
        }
    }

    pub async fn set_faults(&self, index: usize, faults: &EngineFaults) {
        let url = format!("{}/control/fault", self.engines[index].handle.url());
        let answer = self.http.post(url).json(faults).send().await.unwrap();
        assert!(answer.status().is_success(), "{}", answer.status());
    }

    pub async fn log(&self, index: usize) -> EngineLog {
        let url = format!("{}/control/log", self.engines[index].handle.url());
        self.http
            .get(url)
            .send()
            .await
            .unwrap()
            .json()
            .await
            .unwrap()
    }

    pub fn failures(&self) -> usize {
        self.failures.lock().unwrap().len()
    }
}

struct Counted(Arc<AtomicU32>);

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl EngineSource for TestEngines {
    fn candidates(&self, _pool: &str) -> Vec<Candidate> {
        let candidate = |engine: &Engine| Candidate {
            name: engine.name.clone(),
            address: engine.handle.address,
            zone: "z".to_owned(),
            process: 1,
            weight_version: 0,
            running: 0,
            waiting: 0,
            capacity: 8,
            own_in_flight: engine.in_flight.load(Ordering::SeqCst),
            dispatched_since_report: engine.in_flight.load(Ordering::SeqCst),
            report_age: Duration::ZERO,
        };
        self.engines.iter().map(candidate).collect()
    }

    fn try_start_request(&self, _pool: &str, name: &str) -> Option<EngineGuard> {
        let engine = self.engines.iter().find(|engine| engine.name == name)?;
        engine.in_flight.fetch_add(1, Ordering::SeqCst);
        Some(Box::new(Counted(engine.in_flight.clone())))
    }

    fn record_failure(&self, engine: &str) {
        self.failures.lock().unwrap().push(engine.to_owned());
    }

    fn record_refusal(&self, _engine: &str, _leaving: bool) {}

    fn record_success(&self, _engine: &str) {}
}

pub async fn start_scorer() -> Handle {
    scorer::start(ScorerConfig::default()).await.unwrap()
}

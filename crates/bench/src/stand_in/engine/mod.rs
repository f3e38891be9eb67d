//! Stand-in of a model engine: continuous batching, streams, fenced orders, and a reliable log of
//! its runs.

mod control;
mod generation;
mod record;
mod slots;
mod swap;

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde::Deserialize;
use tokio::sync::{Notify, watch};

use super::{LoadReport, lock, loopback};
use crate::http_server::{Handle, Handler, Request, Responder, serve};
pub use control::{EngineFaults, SwapFault};
use record::Record;
pub use record::{EngineLog, Run};
use slots::Slots;

/// Configuration of an engine.
#[derive(Debug, Clone)]
pub struct EngineConfig {
    pub listen: SocketAddr,
    /// Name in the machine list.
    pub name: String,
    pub model: String,
    /// Weight version held at the start.
    pub weight_version: u64,
    /// Maximum number of concurrent requests.
    pub capacity: u32,
    /// Maximum number of queued requests; further ones are refused.
    pub waiting_limit: u32,
    /// Time before the first token.
    pub prefill: Duration,
    /// Interval between tokens of a single running request.
    pub token_interval: Duration,
    /// Increase of the interval for each further running request, in percent.
    pub interval_growth_percent: u32,
    /// Duration of a swap, excluding the load from the weight store.
    pub swap: Duration,
    /// Base URL of the weight store, if swaps load from one.
    pub weight_store: Option<String>,
    /// Minimum age before a load report is renewed.
    pub report_lag: Duration,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            listen: loopback(),
            name: "engine-1".to_owned(),
            model: "karm-lm".to_owned(),
            weight_version: 1,
            capacity: 8,
            waiting_limit: 32,
            prefill: Duration::from_millis(5),
            token_interval: Duration::from_millis(5),
            interval_growth_percent: 10,
            swap: Duration::from_millis(100),
            weight_store: None,
            report_lag: Duration::ZERO,
        }
    }
}

pub async fn start(config: EngineConfig) -> io::Result<Handle> {
    let listen = config.listen;
    let engine = Arc::new(Engine::new(config));
    let swaps = tokio::spawn(swap::run(engine.clone()));
    let handle = serve(listen, engine).await?;
    Ok(handle.with_task(swaps))
}

/// An order to hold a weight version. Orders with a fence lower than the highest accepted one are
/// refused.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
struct Order {
    fence: u64,
    model: String,
    weight_version: u64,
}

#[derive(Debug)]
struct Engine {
    config: EngineConfig,
    process: u64,
    started: Instant,
    slots: Slots,
    held_version: AtomicU64,
    order: watch::Sender<Option<Order>>,
    record: Mutex<Record>,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    faults: EngineFaults,
    leaving: bool,
    /// Version that load reports state instead of the held one.
    claimed_version: Option<u64>,
    report: Option<(Instant, LoadReport)>,
    sequence: u64,
    cancels: HashMap<String, Vec<Arc<Notify>>>,
}

impl Engine {
    fn new(config: EngineConfig) -> Self {
        Self {
            process: rand::random_range(1..=u64::MAX),
            started: Instant::now(),
            slots: Slots::new(config.capacity, config.waiting_limit),
            held_version: AtomicU64::new(config.weight_version),
            order: watch::Sender::new(None),
            record: Mutex::default(),
            state: Mutex::default(),
            config,
        }
    }

    fn held_version(&self) -> u64 {
        self.held_version.load(Ordering::SeqCst)
    }

    /// Returns the interval between tokens at the current batch size.
    fn token_interval(&self) -> Duration {
        let others = self.slots.running().saturating_sub(1);
        let percent = 100 + others * self.config.interval_growth_percent;
        self.config.token_interval * percent / 100
    }

    fn load_report(&self) -> LoadReport {
        let mut state = lock(&self.state);
        let now = Instant::now();
        if let Some((at, report)) = &state.report
            && now.duration_since(*at) < self.config.report_lag
        {
            return report.clone();
        }
        state.sequence += 1;
        let report = LoadReport {
            name: self.config.name.clone(),
            process: self.process,
            weight_version: Some(state.claimed_version.unwrap_or(self.held_version())),
            running: self.slots.running(),
            waiting: self.slots.waiting(),
            capacity: self.config.capacity,
            leaving: state.leaving,
            sequence: state.sequence,
        };
        state.report = Some((now, report.clone()));
        report
    }

    async fn accept_order(&self, request: Request, responder: &mut Responder) -> io::Result<()> {
        let order: Order = match request.json() {
            Ok(order) => order,
            Err(error) => return responder.reject(400, &error.to_string()).await,
        };
        if order.model != self.config.model {
            return responder.reject(404, "model is not served here").await;
        }
        let mut highest_fence = 0;
        let accepted = self.order.send_if_modified(|current| {
            highest_fence = current.as_ref().map_or(0, |current| current.fence);
            if order.fence < highest_fence {
                return false;
            }
            highest_fence = order.fence;
            *current = Some(order);
            true
        });
        let status = if accepted { 202 } else { 409 };
        let body = serde_json::json!({ "fence": highest_fence });
        responder.json(status, &body).await
    }
}

impl Handler for Engine {
    async fn handle(&self, request: Request, responder: &mut Responder) -> io::Result<()> {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/v1/completions") => self.complete(request, responder).await,
            ("POST", "/v1/cancel") => self.cancel(request, responder).await,
            ("GET", "/v1/load") if lock(&self.state).faults.hide_load => {
                responder.reject(503, "hidden by an injected fault").await
            }
            ("GET", "/v1/load") => responder.json(200, &self.load_report()).await,
            ("POST", "/v1/orders") => self.accept_order(request, responder).await,
            (_, path) if path.starts_with("/control/") => self.control(request, responder).await,
            _ => responder.reject(404, "unknown path").await,
        }
    }
}

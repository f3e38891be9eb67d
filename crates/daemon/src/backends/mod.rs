//! Back ends known to this node: machine list, load reports, freshness, and work under way.
//!
//! Decisions are made by [`ladderstage::backend::BackendTable`]; this module feeds it from the network and keeps its
//! time, which counts from the start of this part.

mod gossip;
mod peers;
mod polling;
mod shared;
mod tasks;

use std::net::SocketAddr;
use std::sync::Arc;

use ladderstage::backend::{Dispatch, GossipOrigin, Report};
use ladderstage_wire::messages::{BackendGossip, Done, Response, mod_Response::OneOfkind};
use tokio::sync::watch;

pub use ladderstage::backend::BackendDescription;
pub use ladderstage::routing::Candidate;
pub use peers::Peers;

use crate::bundles::{BundleInForce, Bundles};
use crate::members::Members;
use crate::settings::Settings;
use shared::Shared;
pub(crate) use tasks::TaskGroup;

/// Back ends known to this node. Cheap to clone; polling stops when the last clone is dropped.
#[derive(Debug, Clone)]
pub struct Backends {
    shared: Arc<Shared>,
    _tasks: Arc<TaskGroup>,
}

/// An engine as orders see it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ObservedBackend {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its last report, if evidence of it is fresh.
    pub report: Option<Report>,
    /// Whether its present process is known to be leaving.
    pub leaving: bool,
}

impl Backends {
    /// Starts polling the machine list and the load reports of the back ends that the bundle names.
    pub fn start(
        settings: &Settings,
        members: Members,
        bundles: Bundles,
        http: reqwest::Client,
    ) -> Self {
        Self::start_with(settings, Arc::new(members), bundles.watch(), http)
    }

    /// As [`Self::start`], from whatever knows the peers and the bundle.
    pub fn start_with(
        settings: &Settings,
        peers: Arc<dyn Peers>,
        bundle: watch::Receiver<Option<Arc<BundleInForce>>>,
        http: reqwest::Client,
    ) -> Self {
        let shared = Arc::new(Shared::new(settings, peers, bundle, http));
        let mut tasks = TaskGroup::default();
        tasks.spawn(polling::poll_machine_list(
            shared.clone(),
            settings.machine_list.clone(),
        ));
        tasks.spawn(polling::poll_reports(shared.clone()));
        tasks.spawn(gossip::spread_leaving(shared.clone()));
        tasks.spawn(gossip::ask_peers(shared.clone()));
        Self {
            shared,
            _tasks: Arc::new(tasks),
        }
    }

    /// Back ends of a pool that may be given new work right now: named by the bundle in force, with fresh
    /// evidence, not leaving, not ejected, and with less own work than the pool's concurrency.
    pub fn candidates(&self, pool: &str) -> Vec<Candidate> {
        let Some(bundle) = self.shared.bundle() else {
            return Vec::new();
        };
        let Some(pool) = bundle.bundle.pool(pool) else {
            return Vec::new();
        };
        let now = self.shared.now();
        self.shared
            .read(|table| table.candidates(&pool.backends, pool.concurrency, now))
    }

    /// Counts a request as under way at a back end until the guard is dropped.
    pub fn start_request(&self, backend: &str) -> InFlightGuard {
        let now = self.shared.now();
        let dispatch = self
            .shared
            .update(|table| table.start_request(backend, now));
        self.guard(dispatch)
    }

    /// As [`Self::start_request`], but only if the back end is still a candidate of the pool: two requests that chose
    /// at the same moment cannot both take its last place or its one trial after an ejection.
    pub fn try_start_request(&self, pool: &str, backend: &str) -> Option<InFlightGuard> {
        let bundle = self.shared.bundle()?;
        let pool = bundle.bundle.pool(pool)?;
        if !pool.backends.iter().any(|name| name == backend) {
            return None;
        }
        let now = self.shared.now();
        let begun = self
            .shared
            .update(|table| table.try_start_request(backend, pool.concurrency, now));
        begun.ok().map(|dispatch| self.guard(dispatch))
    }

    fn guard(&self, dispatch: Dispatch) -> InFlightGuard {
        InFlightGuard {
            shared: self.shared.clone(),
            dispatch,
        }
    }

    /// A request failed at the back end: no connection, a cut answer, a timeout, or a 5xx.
    pub fn record_failure(&self, backend: &str) {
        let now = self.shared.now();
        self.shared
            .update(|table| table.record_failure(backend, now, rand::random()));
    }

    /// The back end refused before running; `leaving`: because it is stopping.
    pub fn record_refusal(&self, backend: &str, leaving: bool) {
        let now = self.shared.now();
        self.shared.update(|table| {
            if leaving {
                table.record_leaving(backend, now);
            } else {
                table.record_refusal(backend, now, rand::random());
            }
        });
    }

    /// A request was answered whole. To be called while its [`InFlightGuard`] guard is still held.
    pub fn record_success(&self, backend: &str) {
        self.shared.update(|table| table.record_success(backend));
    }

    /// All back ends known, sorted by name.
    pub fn describe(&self) -> Vec<BackendDescription> {
        let now = self.shared.now();
        let mut descriptions = self.shared.read(|table| table.describe(now));
        if let Some(bundle) = self.shared.bundle() {
            for description in &mut descriptions {
                let pool = bundle.bundle.pool_of_backend(&description.name);
                description.pool = pool.map(|pool| pool.name.clone());
            }
        }
        descriptions
    }

    /// What orders need to know of an engine; `None` until the machine list named it.
    pub fn observed(&self, backend: &str) -> Option<ObservedBackend> {
        let now = self.shared.now();
        self.shared.read(|table| {
            Some(ObservedBackend {
                address: table.placement(backend)?.address,
                report: table.fresh_report(backend, now).cloned(),
                leaving: table.is_leaving(backend),
            })
        })
    }

    /// Takes in what a peer knows, or answers its question.
    pub fn handle_gossip(&self, gossip: BackendGossip) -> Response {
        let kind = if gossip.reports.is_empty() {
            let answer = gossip::answer(&self.shared, gossip.known.as_ref());
            OneOfkind::backend_gossip(answer)
        } else {
            self.shared
                .update(|table| table.observe_gossip(&gossip.reports, GossipOrigin::Pushed));
            OneOfkind::done(Done {})
        };
        Response { kind }
    }
}

/// A request under way at a back end; counted until dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    shared: Arc<Shared>,
    dispatch: Dispatch,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.shared
            .update(|table| table.finish_request(&self.dispatch));
    }
}

//! Back ends known to this node: machine list, load reports, freshness, and requests in flight.
//!
//! [`ladderstage::backend::BackendTable`] decides; this module supplies it with data from the network and the time.

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

/// Observed state of a back end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ObservedBackend {
    /// Address on which the back end listens.
    pub address: SocketAddr,
    /// Last load report, if it is fresh.
    pub report: Option<Report>,
    /// Whether the present process is leaving.
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

    /// Like [`Self::start`], with the given sources of peers and bundles.
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
        tasks.spawn(gossip::push_leaving(shared.clone()));
        tasks.spawn(gossip::query_peers(shared.clone()));
        Self {
            shared,
            _tasks: Arc::new(tasks),
        }
    }

    /// Returns the back ends of a pool that may receive new work: named by the bundle in force, with fresh reports,
    /// not leaving, not ejected, and with fewer requests from this node than the pool's concurrency.
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

    /// Counts a request as in flight at a back end until the guard is dropped.
    pub fn start_request(&self, backend: &str) -> InFlightGuard {
        let now = self.shared.now();
        let dispatch = self
            .shared
            .update(|table| table.start_request(backend, now));
        self.guard(dispatch)
    }

    /// Like [`Self::start_request`], but only if the back end is still a candidate of the pool. Of two concurrent requests only
    /// one gets the last free slot, or the single trial request after an ejection.
    pub fn try_start_request(&self, pool: &str, backend: &str) -> Option<InFlightGuard> {
        let bundle = self.shared.bundle()?;
        let pool = bundle.bundle.pool(pool)?;
        if !pool.backends.iter().any(|name| name == backend) {
            return None;
        }
        let now = self.shared.now();
        let tracked = self
            .shared
            .update(|table| table.try_start_request(backend, pool.concurrency, now));
        tracked.ok().map(|dispatch| self.guard(dispatch))
    }

    fn guard(&self, dispatch: Dispatch) -> InFlightGuard {
        InFlightGuard {
            shared: self.shared.clone(),
            dispatch,
        }
    }

    /// Records a failed request: no connection, an incomplete answer, a timeout, or a 5xx status.
    pub fn record_failure(&self, backend: &str) {
        let now = self.shared.now();
        self.shared
            .update(|table| table.record_failure(backend, now, rand::random()));
    }

    /// Records a request that the back end refused before running it; `leaving` if the back end is stopping.
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

    /// Records a completely answered request. Must be called while its [`InFlightGuard`] is held.
    pub fn record_success(&self, backend: &str) {
        self.shared.update(|table| table.record_success(backend));
    }

    /// Returns all known back ends, sorted by name.
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

    /// Returns the observed state of a back end; `None` if its address is unknown.
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

    /// Handles gossip: stores the reports that a peer pushes, or answers its query.
    pub fn handle_gossip(&self, gossip: BackendGossip) -> Response {
        let kind = if gossip.reports.is_empty() {
            let answer_query = gossip::answer_query(&self.shared, gossip.known.as_ref());
            OneOfkind::backend_gossip(answer_query)
        } else {
            self.shared
                .update(|table| table.observe_gossip(&gossip.reports, GossipOrigin::Pushed));
            OneOfkind::done(Done {})
        };
        Response { kind }
    }
}

/// Guard of a request in flight at a back end; the request is counted until the guard is dropped.
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

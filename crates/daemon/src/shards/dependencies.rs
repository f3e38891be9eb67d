//! Interfaces through which shards use the rest of the node.

use std::fmt;
use std::sync::Arc;

use ladderstage::routing::Candidate;
use ladderstage_platform::engine::EngineClient;
use ladderstage_platform::scorer::Scorer;
use tokio::sync::watch;

use crate::backends::Backends;
use crate::bundles::{BundleInForce, Bundles};
use crate::journal::{Journal, Peers};

/// Source of the bundle in force on this node.
pub trait BundleSource: Send + Sync + 'static {
    /// Returns the bundle in force, or `None` if none has arrived.
    fn current(&self) -> Option<Arc<BundleInForce>>;

    /// Returns a receiver that changes whenever a newer bundle comes into force.
    fn watch(&self) -> watch::Receiver<Option<Arc<BundleInForce>>>;

    /// Returns the bundle in force if fresh evidence shows that it is the newest.
    fn current_if_fresh(&self) -> Option<Arc<BundleInForce>>;
}

/// Guard of a request in flight at an engine; the request is counted until the guard is dropped.
pub type EngineGuard = Box<dyn Send + Sync>;

/// Source of the engines that may receive work.
pub trait EngineSource: Send + Sync + 'static {
    /// Returns the engines of a pool that may receive new work.
    fn candidates(&self, pool: &str) -> Vec<Candidate>;

    /// Counts a request as in flight at an engine if the engine is still a candidate of the pool.
    fn try_start_request(&self, pool: &str, engine: &str) -> Option<EngineGuard>;

    /// Records a failed request.
    fn record_failure(&self, engine: &str);

    /// Records a request that the engine refused before running it; `leaving` if the engine is stopping.
    fn record_refusal(&self, engine: &str, leaving: bool);

    /// Records a completely answered request.
    fn record_success(&self, engine: &str);
}

/// Parts of the node that shards use.
#[derive(Clone)]
pub struct ShardDependencies {
    /// The other daemons.
    pub peers: Arc<dyn Peers>,
    /// The journal that stores the shards' logs.
    pub journal: Journal,
    /// Source of the bundle in force.
    pub bundles: Arc<dyn BundleSource>,
    /// Source of the engines.
    pub engines: Arc<dyn EngineSource>,
    /// Client for the engines.
    pub engine_client: EngineClient,
    /// Client for the scorer; without it samples are not scored.
    pub scorer: Option<Scorer>,
}

impl fmt::Debug for ShardDependencies {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("ShardDependencies")
    }
}

impl BundleSource for Bundles {
    fn current(&self) -> Option<Arc<BundleInForce>> {
        Bundles::current(self)
    }

    fn watch(&self) -> watch::Receiver<Option<Arc<BundleInForce>>> {
        Bundles::watch(self)
    }

    fn current_if_fresh(&self) -> Option<Arc<BundleInForce>> {
        Bundles::current_if_fresh(self)
    }
}

impl EngineSource for Backends {
    fn candidates(&self, pool: &str) -> Vec<Candidate> {
        Backends::candidates(self, pool)
    }

    fn try_start_request(&self, pool: &str, engine: &str) -> Option<EngineGuard> {
        let guard = Backends::try_start_request(self, pool, engine)?;
        Some(Box::new(guard))
    }

    fn record_failure(&self, engine: &str) {
        Backends::record_failure(self, engine);
    }

    fn record_refusal(&self, engine: &str, leaving: bool) {
        Backends::record_refusal(self, engine, leaving);
    }

    fn record_success(&self, engine: &str) {
        Backends::record_success(self, engine);
    }
}

//! What shards need of the other parts of a node.

use std::fmt;
use std::sync::Arc;

use ladderstage::routing::Candidate;
use ladderstage_platform::engine::EngineClient;
use ladderstage_platform::scorer::Scorer;
use tokio::sync::watch;

use crate::backends::Backends;
use crate::bundles::{BundleInForce, Bundles};
use crate::journal::{Journal, Peers};

/// The bundle in force at this node.
pub trait BundleSource: Send + Sync + 'static {
    /// The bundle in force, if any arrived yet.
    fn current(&self) -> Option<Arc<BundleInForce>>;

    /// Changes whenever a newer bundle comes into force.
    fn watch(&self) -> watch::Receiver<Option<Arc<BundleInForce>>>;

    /// The bundle in force, while it is known recently enough to be the newest.
    fn deliverable(&self) -> Option<Arc<BundleInForce>>;
}

/// A request under way at an engine; counted until dropped.
pub type EnginePlace = Box<dyn Send + Sync>;

/// The engines that may be given work.
pub trait EngineSource: Send + Sync + 'static {
    /// Engines of a pool that may be given new work right now.
    fn candidates(&self, pool: &str) -> Vec<Candidate>;

    /// Takes a place at an engine if it is still a candidate of the pool.
    fn try_start_request(&self, pool: &str, engine: &str) -> Option<EnginePlace>;

    /// A request failed there.
    fn record_failure(&self, engine: &str);

    /// The engine refused before running; `leaving`: because it is stopping.
    fn record_refusal(&self, engine: &str, leaving: bool);

    /// A request was answered whole.
    fn record_success(&self, engine: &str);
}

/// What shards need of the other parts of a node.
#[derive(Clone)]
pub struct ShardDependencies {
    /// The other daemons.
    pub peers: Arc<dyn Peers>,
    /// The journal.
    pub journal: Journal,
    /// The bundle in force.
    pub bundles: Arc<dyn BundleSource>,
    /// The engines.
    pub engines: Arc<dyn EngineSource>,
    /// Client of the engines.
    pub engine_client: EngineClient,
    /// Client of the scorer; `None`: samples are not scored.
    pub scorer: Option<Scorer>,
}

impl fmt::Debug for ShardDependencies {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("ShardParts")
    }
}

impl BundleSource for Bundles {
    fn current(&self) -> Option<Arc<BundleInForce>> {
        Bundles::current(self)
    }

    fn watch(&self) -> watch::Receiver<Option<Arc<BundleInForce>>> {
        Bundles::watch(self)
    }

    fn deliverable(&self) -> Option<Arc<BundleInForce>> {
        Bundles::deliverable(self)
    }
}

impl EngineSource for Backends {
    fn candidates(&self, pool: &str) -> Vec<Candidate> {
        Backends::candidates(self, pool)
    }

    fn try_start_request(&self, pool: &str, engine: &str) -> Option<EnginePlace> {
        let place = Backends::try_start_request(self, pool, engine)?;
        Some(Box::new(place))
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

//! Live requests: admission, choice of a back end, retries within budget and deadline, resumption of broken streams,
//! and at-most-once claims. Independent of the HTTP interface for callers, see [`crate::http`].
//!
//! Invariant: [`Outcome::NotRun`] is reported only if no attempt can have run.

mod application;
mod attempts;
mod completion;
mod error;
mod keyed;
mod limits;
mod memory;
mod metrics;
mod node_state;
mod options;
mod permit;

use std::sync::Arc;
use std::time::Duration;

use ladderstage_platform::application::ApplicationClient;
use ladderstage_platform::engine::EngineClient;

pub use application::{AnswerBody, ApplicationAnswer, ApplicationCall, StreamedBody, forward};
pub use completion::{Completion, CompletionCall, Progress};
pub use error::{LiveError, Outcome};
pub use keyed::{KeyedRequest, MAX_RECORDED_BYTES, RecordedAnswer};
pub use memory::Reservation;
pub use metrics::{LiveMetrics, REASON_ANSWERED, REASON_CALLER_GONE};
pub use node_state::NodeState;
pub use options::{RequestId, RequestOptions};
pub use permit::Permit;

use crate::backends::Backends;
use crate::bundles::Bundles;
use crate::claims::Claims;
use crate::drain::Drain;
use crate::journal::Journal;
use crate::members::Members;
use crate::settings::Settings;
use limits::Limits;
use memory::BodyMemory;
use node_state::LiveNodeState;

/// Dependencies of [`LivePath`].
#[derive(Debug, Clone)]
pub struct LiveDependencies {
    /// Back ends.
    pub backends: Backends,
    /// Bundles of this node.
    pub bundles: Bundles,
    /// Cluster members.
    pub members: Members,
    /// Journal for at-most-once claims.
    pub journal: Journal,
    /// Client to engines.
    pub engine: EngineClient,
    /// Client to applications.
    pub application: ApplicationClient,
    /// Counter of work in flight on this node.
    pub drain: Drain,
}

/// Dependencies of [`LivePath`] other than the node state.
#[derive(Debug, Clone)]
pub struct LiveServices {
    /// Back ends.
    pub backends: Backends,
    /// Journal for at-most-once claims.
    pub journal: Journal,
    /// Client to engines.
    pub engine: EngineClient,
    /// Client to applications.
    pub application: ApplicationClient,
    /// Counter of work in flight on this node.
    pub drain: Drain,
}

/// Runs live requests. Cheap to clone.
#[derive(Debug, Clone)]
pub struct LivePath {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    zone: String,
    evidence_bound: Duration,
    node: Arc<dyn NodeState>,
    services: LiveServices,
    claims: Claims,
    limits: Limits,
    memory: BodyMemory,
    metrics: LiveMetrics,
}

impl LivePath {
    /// Creates the live path of a running node.
    pub fn new(settings: &Settings, parts: LiveDependencies) -> Self {
        let node = LiveNodeState {
            bundles: parts.bundles,
            members: parts.members,
        };
        let services = LiveServices {
            backends: parts.backends,
            journal: parts.journal,
            engine: parts.engine,
            application: parts.application,
            drain: parts.drain,
        };
        Self::with_node_state(settings, Arc::new(node), services)
    }

    /// Creates the live path with a custom node state.
    pub fn with_node_state(
        settings: &Settings,
        node: Arc<dyn NodeState>,
        services: LiveServices,
    ) -> Self {
        let evidence_bound = Duration::from_millis(settings.timing.bundle_evidence_bound_ms);
        Self {
            shared: Arc::new(Shared {
                zone: settings.zone.clone(),
                evidence_bound,
                claims: Claims::new(services.journal.clone()),
                node,
                services,
                limits: Limits::new(),
                memory: BodyMemory::new(),
                metrics: LiveMetrics::new(),
            }),
        }
    }

    /// Returns the counter of work in flight on this node.
    pub fn drain(&self) -> &Drain {
        &self.shared.services.drain
    }

    /// Returns the metrics.
    pub fn metrics(&self) -> &LiveMetrics {
        &self.shared.metrics
    }

    /// Reserves memory for a request body of at most `bytes` bytes.
    ///
    /// # Errors
    /// [`LiveError::NoMemory`] if the memory for request bodies is exhausted.
    pub fn reserve_body(&self, bytes: u64) -> Result<Reservation, LiveError> {
        self.shared.memory.reserve(bytes)
    }

    fn services(&self) -> &LiveServices {
        &self.shared.services
    }
}

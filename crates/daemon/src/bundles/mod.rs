//! The bundle in force at this node: verification, rolls, spreading, and how fresh the knowledge is.

mod head;
mod metrics;
mod parts;
mod poll;
mod proposal;
mod quorum;
mod receive;
mod roll;
mod spread;
mod state;

use std::sync::Arc;
use std::time::{Duration, Instant};

use ladderstage::bundle::{Bundle, Digest, KeyError, TrustedKeys, digest};
use ladderstage_wire::messages::{BundleEvidence, SignedBundle};
use tokio::sync::watch;
use tokio::task::JoinHandle;

pub use parts::{
    BundleDependencies, BundleStore, DEFAULT_ROLL_DEADLINE, Peers, ReplicaSetSource,
    WeightVersionSource, replica_set_source,
};
pub use proposal::ProposalState;
pub use roll::{Refusal, RollOutcome};

use crate::settings::Settings;
use state::Shared;

/// Why the bundle's part of a node did not start.
#[derive(Debug, thiserror::Error)]
pub enum BundlesError {
    /// Trusted keys of the settings that cannot be used.
    #[error("trusted keys: {}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))]
    Keys(Vec<KeyError>),
    /// The disk could not be read.
    #[error("bundle on disk: {0}")]
    Store(#[from] std::io::Error),
}

/// A verified bundle with the signed text it came from.
#[derive(Debug, Clone)]
pub struct BundleInForce {
    /// What it says.
    pub bundle: Bundle,
    /// The bytes and signatures it was verified from.
    pub signed: SignedBundle,
}

impl BundleInForce {
    /// Digest of its text.
    pub fn digest(&self) -> Digest {
        digest(&self.signed.text)
    }
}

/// The bundle in force here. Cheap to clone; the background work ends with the last clone.
#[derive(Clone)]
pub struct Bundles {
    shared: Arc<Shared>,
    _poll: Arc<PollTask>,
}

/// Stops the task when dropped.
struct PollTask(JoinHandle<()>);

impl Drop for PollTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl std::fmt::Debug for Bundles {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let revision = self.shared.state().evidence.revision();
        formatter
            .debug_struct("Bundles")
            .field("revision", &revision)
            .finish_non_exhaustive()
    }
}

impl Bundles {
    /// Reads the bundle on this node's disk, if any, and starts watching the key-value service.
    pub async fn start(
        settings: &Settings,
        parts: BundleDependencies,
    ) -> Result<Self, BundlesError> {
        let trusted = TrustedKeys::from_hex(&settings.trusted_keys).map_err(BundlesError::Keys)?;
        let shared = Arc::new(Shared::new(settings, trusted, parts));
        shared.load().await?;
        let poll = tokio::spawn(poll::run(shared.clone()));
        Ok(Self {
            shared,
            _poll: Arc::new(PollTask(poll)),
        })
    }

    /// The bundle in force, if any arrived yet.
    pub fn current(&self) -> Option<Arc<BundleInForce>> {
        self.shared.current()
    }

    /// Adds the counters of this part to a registry.
    ///
    /// # Errors
    /// If the registry holds counters of these names already.
    pub fn register_metrics(&self, registry: &prometheus::Registry) -> prometheus::Result<()> {
        self.shared.metrics.register(registry)
    }

    /// Changes whenever a newer bundle comes into force.
    pub fn watch(&self) -> watch::Receiver<Option<Arc<BundleInForce>>> {
        self.shared.watch()
    }

    /// How long ago the bundle in force was known to be the newest; `None`: never, or a newer one is on its way.
    pub fn evidence_age(&self) -> Option<Duration> {
        self.shared.evidence_age()
    }

    /// The bundle in force, while it is known recently enough to be the newest: samples may be delivered under it.
    pub fn deliverable(&self) -> Option<Arc<BundleInForce>> {
        self.shared.deliverable()
    }

    /// Whether the evidence is fresh enough to deliver samples.
    pub fn may_deliver(&self) -> bool {
        self.deliverable().is_some()
    }

    /// What to tell peers in pings and heartbeats.
    pub fn evidence(&self) -> BundleEvidence {
        self.shared.evidence()
    }

    /// A peer told its evidence in the answer to a call that was sent at `asked_at`.
    pub fn observe_evidence(&self, from: &str, evidence: &BundleEvidence, asked_at: Instant) {
        self.shared.learn_from_answer(from, evidence, asked_at);
    }

    /// A peer told its revision in a call to this node. That says nothing of freshness, as the call may have been
    /// long under way.
    pub fn observe_revision(&self, from: &str, revision: u64) {
        self.shared.learn_revision(from, revision);
    }

    /// A heartbeat round sent at `asked_at` was answered so by journal replicas; `majority`: by a quorum of them.
    pub fn heartbeat_round(&self, asked_at: Instant, evidence: &[BundleEvidence], majority: bool) {
        self.shared
            .learn_from_replicas(asked_at, evidence, majority);
    }
}

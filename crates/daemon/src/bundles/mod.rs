//! Bundle in force on this node: verification, rolls, distribution, and evidence that it is the newest.

mod dependencies;
mod head;
mod metrics;
mod poll;
mod proposal;
mod push;
mod quorum;
mod receive;
mod roll;
mod state;

use std::sync::Arc;
use std::time::{Duration, Instant};

use ladderstage::bundle::{Bundle, Digest, KeyError, TrustedKeys, digest};
use ladderstage_wire::messages::{BundleEvidence, SignedBundle};
use tokio::sync::watch;
use tokio::task::JoinHandle;

pub use dependencies::{
    BundleDependencies, BundleStore, DEFAULT_ROLL_DEADLINE, Peers, ReplicaSetSource,
    WeightVersionSource, replica_set_source,
};
pub use proposal::ProposalState;
pub use roll::{Refusal, RollOutcome};

use crate::settings::Settings;
use state::Shared;

/// Error of [`Bundles::start`].
#[derive(Debug, thiserror::Error)]
pub enum BundlesError {
    /// Some trusted keys in the settings cannot be used.
    #[error("trusted keys: {}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))]
    Keys(Vec<KeyError>),
    /// The bundle on disk could not be read.
    #[error("bundle on disk: {0}")]
    Store(#[from] std::io::Error),
}

/// Verified bundle with its signed text.
#[derive(Debug, Clone)]
pub struct BundleInForce {
    /// Content of the bundle.
    pub bundle: Bundle,
    /// Text and signatures that were verified.
    pub signed: SignedBundle,
}

impl BundleInForce {
    /// Returns the digest of the bundle's text.
    pub fn digest(&self) -> Digest {
        digest(&self.signed.text)
    }
}

/// Bundle in force on this node. Cheap to clone; the background task ends when the last clone is dropped.
#[derive(Clone)]
pub struct Bundles {
    shared: Arc<Shared>,
    _poll: Arc<PollTask>,
}

/// Background task that polls the head record; it is aborted on drop.
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
    /// Loads the bundle from this node's disk, if any, and starts polling the key-value service.
    ///
    /// # Errors
    /// If the trusted keys are invalid or the disk cannot be read.
    pub async fn start(
        settings: &Settings,
        dependencies: BundleDependencies,
    ) -> Result<Self, BundlesError> {
        let trusted = TrustedKeys::from_hex(&settings.trusted_keys).map_err(BundlesError::Keys)?;
        let shared = Arc::new(Shared::new(settings, trusted, dependencies));
        shared.load().await?;
        let poll = tokio::spawn(poll::run(shared.clone()));
        Ok(Self {
            shared,
            _poll: Arc::new(PollTask(poll)),
        })
    }

    /// Returns the bundle in force, or `None` if none has arrived.
    pub fn current(&self) -> Option<Arc<BundleInForce>> {
        self.shared.current()
    }

    /// Registers the metrics of rolls.
    ///
    /// # Errors
    /// If the registry already contains metrics with these names.
    pub fn register_metrics(&self, registry: &prometheus::Registry) -> prometheus::Result<()> {
        self.shared.metrics.register(registry)
    }

    /// Returns a receiver that changes whenever a newer bundle comes into force.
    pub fn watch(&self) -> watch::Receiver<Option<Arc<BundleInForce>>> {
        self.shared.watch()
    }

    /// Returns the time since the bundle in force was known to be the newest. `None` if it never was or a newer one is
    /// known.
    pub fn evidence_age(&self) -> Option<Duration> {
        self.shared.evidence_age()
    }

    /// Returns the bundle in force if the evidence that it is the newest is fresh enough to deliver samples.
    pub fn current_if_fresh(&self) -> Option<Arc<BundleInForce>> {
        self.shared.current_if_fresh()
    }

    /// Returns whether the evidence is fresh enough to deliver samples.
    pub fn may_deliver(&self) -> bool {
        self.current_if_fresh().is_some()
    }

    /// Returns the evidence that is sent to peers in pings and heartbeats.
    pub fn evidence(&self) -> BundleEvidence {
        self.shared.evidence()
    }

    /// Records the evidence in a peer's answer to a call that was sent at `sent_at`.
    pub fn observe_evidence(&self, from: &str, evidence: &BundleEvidence, sent_at: Instant) {
        self.shared.record_answer_evidence(from, evidence, sent_at);
    }

    /// Records the revision in a peer's call to this node. It is no evidence of freshness, because the call may have
    /// been delayed.
    pub fn observe_revision(&self, from: &str, revision: u64) {
        self.shared.record_revision(from, revision);
    }

    /// Records the answers of journal replicas to a heartbeat sent at `sent_at`; `majority` if a quorum answered.
    pub fn heartbeat_round(&self, sent_at: Instant, evidence: &[BundleEvidence], majority: bool) {
        self.shared
            .record_replica_evidence(sent_at, evidence, majority);
    }
}

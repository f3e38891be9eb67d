//! State shared by the tasks of this module. All bundles come into force in [`Shared::adopt`].

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use ladderstage::bundle::{Bundle, BundleError, Digest, TrustedKeys, digest, verify};
use ladderstage::evidence::Evidence;
use ladderstage::ids::Revision;
use ladderstage_platform::key_value::KeyValue;
use ladderstage_wire::messages::{BundleEvidence, SignedBundle};
use ladderstage_wire::{decode, encode};
use log::{error, info, warn};
use tokio::sync::watch;

use super::metrics::BundleMetrics;
use super::{BundleDependencies, BundleInForce, BundleStore, BundlesError, Peers};
use super::{ReplicaSetSource, WeightVersionSource};
use crate::settings::Settings;

/// Number of past bundles kept to answer queries for their proposals.
const HISTORY_LENGTH: usize = 64;

/// Instant of the process start on the time scale of [`Evidence`]; it is not 0 because evidence may be older than the
/// process.
const BEFORE_START: Duration = Duration::from_secs(24 * 60 * 60);

/// Bundle that is or was in force on this node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct PastBundle {
    pub(super) revision: Revision,
    pub(super) proposal_id: String,
    pub(super) digest: Digest,
}

/// Mutable state; its lock is never held over an await.
#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) evidence: Evidence,
    pub(super) history: VecDeque<PastBundle>,
    pub(super) is_fetching: bool,
    /// Highest revision known to be stored by a quorum of replicas.
    pub(super) quorum_revision: Revision,
}

pub(super) struct Shared {
    pub(super) trusted: TrustedKeys,
    pub(super) key_value: KeyValue,
    pub(super) peers: Arc<dyn Peers>,
    pub(super) replica_set: ReplicaSetSource,
    pub(super) weight_versions: Option<Arc<dyn WeightVersionSource>>,
    pub(super) roll_deadline: Duration,
    pub(super) evidence_bound: Duration,
    pub(super) metrics: BundleMetrics,
    pub(super) poll_interval: Duration,
    store: Option<Arc<dyn BundleStore>>,
    /// Revision on disk. The lock serializes writes to the disk.
    stored: tokio::sync::Mutex<Revision>,
    current: watch::Sender<Option<Arc<BundleInForce>>>,
    state: Mutex<State>,
    started: Instant,
}

/// Result of adopting a bundle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Adoption {
    /// The bundle is now in force on this node.
    Newer,
    /// The same or a newer bundle was already in force.
    Known,
}

impl Shared {
    pub(super) fn new(
        settings: &Settings,
        trusted: TrustedKeys,
        dependencies: BundleDependencies,
    ) -> Self {
        let timing = &settings.timing;
        Self {
            trusted,
            key_value: dependencies.key_value,
            peers: dependencies.peers,
            replica_set: dependencies.replica_set,
            weight_versions: dependencies.weight_versions,
            roll_deadline: dependencies.roll_deadline,
            evidence_bound: Duration::from_millis(timing.bundle_evidence_bound_ms),
            poll_interval: Duration::from_millis(timing.key_value_poll_ms),
            metrics: BundleMetrics::default(),
            store: dependencies.store,
            stored: tokio::sync::Mutex::default(),
            current: watch::Sender::new(None),
            state: Mutex::default(),
            started: Instant::now(),
        }
    }

    /// Locks the state, ignoring poison: every update leaves it valid.
    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn current(&self) -> Option<Arc<BundleInForce>> {
        self.current.borrow().clone()
    }

    pub(super) fn watch(&self) -> watch::Receiver<Option<Arc<BundleInForce>>> {
        self.current.subscribe()
    }

    /// Converts an instant to the time scale of [`Evidence`].
    pub(super) fn instant(&self, at: Instant) -> Duration {
        match at.checked_duration_since(self.started) {
            Some(since_start) => BEFORE_START + since_start,
            None => BEFORE_START.saturating_sub(self.started.duration_since(at)),
        }
    }

    pub(super) fn evidence_age(&self) -> Option<Duration> {
        let now = self.instant(Instant::now());
        self.state().evidence.age(now)
    }

    /// Returns the bundle in force if the evidence that it is the newest is not older than `evidence_bound`.
    pub(super) fn current_if_fresh(&self) -> Option<Arc<BundleInForce>> {
        // Both are read under one lock, so that the evidence belongs to this bundle.
        let state = self.state();
        let age = state.evidence.age(self.instant(Instant::now()))?;
        let current = self.current();
        current.filter(|_| age <= self.evidence_bound)
    }

    pub(super) fn evidence(&self) -> BundleEvidence {
        let now = self.instant(Instant::now());
        let state = self.state();
        let age = state.evidence.age(now);
        BundleEvidence {
            revision: state.evidence.revision(),
            // Rounded up: an age must not be understated.
            age_ms: age.map_or(0, |age| {
                u64::try_from(age.as_millis())
                    .unwrap_or(u64::MAX)
                    .saturating_add(1)
            }),
            known: age.is_some(),
        }
    }

    /// Adopts the bundle on this node's disk, if any.
    pub(super) async fn load(&self) -> Result<(), BundlesError> {
        let Some(store) = &self.store else {
            return Ok(());
        };
        let Some(record) = store.load_bundle().await? else {
            return Ok(());
        };
        let signed: SignedBundle = match decode(&record) {
            Ok(signed) => signed,
            Err(error) => {
                error!(
                    "event=stored_bundle_unreadable cause={:?}",
                    error.to_string()
                );
                return Ok(());
            }
        };
        if let Ok(Adoption::Newer) = self.adopt(signed, "disk") {
            let revision = self.state().evidence.revision();
            *self.stored.lock().await = revision;
        }
        Ok(())
    }

    /// Verifies a bundle and puts it in force if it is newer than the one in force.
    pub(super) fn adopt(
        &self,
        signed: SignedBundle,
        source: &str,
    ) -> Result<Adoption, BundleError> {
        let digest = digest(&signed.text);
        let held = self.current();
        if held.is_some_and(|held| held.digest() == digest) {
            return Ok(Adoption::Known);
        }
        let bundle = verify(&signed, &self.trusted).inspect_err(|error| {
            warn!(
                "event=bundle_refused source={source} digest={digest} cause={:?}",
                error.to_string()
            );
        })?;
        Ok(self.put_in_force(bundle, signed, digest, source))
    }

    fn put_in_force(
        &self,
        bundle: Bundle,
        signed: SignedBundle,
        digest: Digest,
        source: &str,
    ) -> Adoption {
        let revision = bundle.revision;
        let past = PastBundle {
            revision,
            proposal_id: signed.proposal_id.clone(),
            digest,
        };
        // The watch changes under the lock, so that it shows revisions in order.
        let mut state = self.state();
        if !state.evidence.advance(revision) {
            let conflicts =
                |other: &PastBundle| other.revision == revision && other.digest != digest;
            if state.history.iter().any(conflicts) {
                error!("event=bundle_conflict revision={revision} digest={digest} source={source}");
            }
            return Adoption::Known;
        }
        state.history.push_back(past);
        if state.history.len() > HISTORY_LENGTH {
            state.history.pop_front();
        }
        let in_force = Arc::new(BundleInForce { bundle, signed });
        self.current.send_replace(Some(in_force));
        self.metrics.record_in_force();
        info!("event=bundle_in_force revision={revision} digest={digest} source={source}");
        Adoption::Newer
    }

    /// Stores the bundle in force on this node's disk. Returns the revision on disk, or the one in force if the node
    /// has no disk.
    pub(super) async fn persist(&self) -> std::io::Result<Revision> {
        let Some(store) = &self.store else {
            return Ok(self.state().evidence.revision());
        };
        let mut stored = self.stored.lock().await;
        if let Some(current) = self.current()
            && current.bundle.revision > *stored
        {
            let revision = current.bundle.revision;
            store
                .store_bundle(revision, encode(&current.signed))
                .await?;
            *stored = revision;
        }
        Ok(*stored)
    }
}

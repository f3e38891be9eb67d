//! Operators that roll bundles every few seconds, sometimes two at once.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use ladderstage::bundle::Bundle;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::super::evidence::Recorder;
use super::super::violation::Guarantee;
use super::Task;
use crate::cluster::{Cluster, ClusterError, Operator, current_bundle};
use crate::stand_in::lock;

const PAUSE_MS: std::ops::Range<u64> = 1_000..4_000;
/// Time limit for rolling one bundle.
const ROLL_TIMEOUT: Duration = Duration::from_secs(8);
/// Time limit for reading the bundle in force at one daemon.
const READ_TIMEOUT: Duration = Duration::from_millis(500);
const STALENESS_BOUNDS: std::ops::Range<u64> = 0..3;
/// Average number of rolls per race between two operators.
const ROLLS_PER_RACE: u32 = 3;

/// Source of a run's bundles. Clones share its state.
#[derive(Debug, Clone)]
pub(in super::super) struct BundleRoller {
    operator: Operator,
    recorder: Recorder,
    seed: u64,
    first: Bundle,
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    /// Number of bundles made; distinguishes bundles of the same revision.
    made: u64,
    /// Notes of the accepted bundles, by revision.
    accepted: BTreeMap<u64, String>,
}

impl BundleRoller {
    /// Creates a roller whose bundles succeed the first bundle of `cluster`.
    pub(in super::super) fn new(seed: u64, cluster: &Cluster, recorder: &Recorder) -> Self {
        Self {
            operator: cluster.operator(),
            recorder: recorder.clone(),
            seed,
            first: cluster.bundle(1, 1),
            state: Arc::default(),
        }
    }

    /// Returns the newest accepted revision, or 1 for the cluster's first bundle.
    pub(in super::super) fn newest_accepted(&self) -> u64 {
        let state = lock(&self.state);
        state.accepted.keys().next_back().copied().unwrap_or(1)
    }

    /// Returns a successor of the newest bundle in force at any daemon.
    pub(in super::super) async fn next(&self) -> Bundle {
        let mut newest = self.newest_accepted();
        for daemon in &self.operator.daemons {
            let current = tokio::time::timeout(READ_TIMEOUT, current_bundle(daemon)).await;
            if let Ok(Ok(current)) = current {
                newest = newest.max(current.revision);
            }
        }
        self.bundle(newest + 1)
    }

    /// Returns a bundle of this revision. Bundles of one revision differ in their notes only, so
    /// that sample checks do not depend on which one is accepted.
    fn bundle(&self, revision: u64) -> Bundle {
        let mut bundle = self.first.clone();
        bundle.revision = revision;
        let pool = &mut bundle.pools[0];
        for revision in 2..=revision {
            let mut random = StdRng::seed_from_u64(self.seed.wrapping_add(revision));
            pool.weight_version += u64::from(random.random::<bool>());
            pool.staleness_bound = random.random_range(STALENESS_BOUNDS);
        }
        let mut state = lock(&self.state);
        state.made += 1;
        let made = state.made.to_string();
        bundle.notes.insert("made".to_owned(), made);
        bundle
    }

    /// Rolls a bundle, starting with the daemon of this index, and records whether it was accepted.
    pub(in super::super) async fn roll(
        &self,
        bundle: &Bundle,
        first_daemon: usize,
        timeout: Duration,
    ) -> Result<(), ClusterError> {
        let mut operator = self.operator.clone();
        operator.daemons.rotate_left(first_daemon);
        let result = operator.roll(bundle, timeout).await;
        match result {
            Ok(()) => self.record_accepted(bundle),
            Err(_) => self
                .recorder
                .update(|observations| observations.bundles_given_up += 1),
        }
        result
    }

    fn record_accepted(&self, bundle: &Bundle) {
        self.recorder
            .update(|observations| observations.bundles += 1);
        let notes = format!("{:?}", bundle.notes);
        let revision = bundle.revision;
        let earlier = lock(&self.state).accepted.insert(revision, notes.clone());
        if let Some(earlier) = earlier.filter(|earlier| *earlier != notes) {
            let evidence = format!("revision {revision} accepted as {earlier} and as {notes}");
            self.recorder.record_violation(Guarantee::Bundles, evidence);
        }
    }
}

/// Rolls bundles until stopped.
pub(super) async fn run(mut task: Task, roller: BundleRoller) {
    loop {
        task.pause(PAUSE_MS).await;
        if task.is_stopped() {
            return;
        }
        let bundle = roller.next().await;
        let first = task.random.random_range(0..task.shared.daemons.len());
        let is_race = task.random.random_range(0..ROLLS_PER_RACE) == 0;
        if is_race {
            let second = (first + 1) % task.shared.daemons.len();
            race(&roller, bundle, first, second).await;
        } else {
            // The next round rolls a newer bundle.
            let _ = roller.roll(&bundle, first, ROLL_TIMEOUT).await;
        }
    }
}

/// Rolls two different bundles of the same revision concurrently; at most one may be accepted.
async fn race(roller: &BundleRoller, bundle: Bundle, first: usize, second: usize) {
    let other = roller.bundle(bundle.revision);
    let _ = tokio::join!(
        roller.roll(&bundle, first, ROLL_TIMEOUT),
        roller.roll(&other, second, ROLL_TIMEOUT)
    );
}

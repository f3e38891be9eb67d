//! Shared context of the runs of one job. A run is one attempt at an item on an instance.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::Duration;

use ladderstage::region::AllowedRegions;
use ladderstage_clock::Instant;
use ladderstage_wire::messages::{JobProgress, JobSpec};
use tokio::sync::{mpsc, watch};

use super::run_route::JobRoute;
use crate::backend::{BackendTable, Instance, LOADING_PAUSE, RequiredWeights};
use crate::config::CurrentConfig;
use crate::dialect::SharedCodec;
use crate::memory::MemoryBudget;
use crate::metrics::Metrics;
use crate::orders::LearnedLoadLimit;

/// Maximum timeout for the first event of a run; also used while event intervals are unknown.
const MAX_FIRST_EVENT_WAIT: Duration = Duration::from_millis(2_500);

/// Timeout for the first event, in typical event intervals. A prompt is read in less than one, and
/// an item that waits longer than this for a slot is better off elsewhere.
const FIRST_EVENT_INTERVALS: f64 = 20.0;

/// Minimum timeout for the first event of a run.
const MIN_FIRST_EVENT_WAIT: Duration = Duration::from_millis(1_100);

/// Context that the runs of one job share.
#[derive(Clone)]
pub struct RunContext {
    /// Known instances.
    pub backends: BackendTable,
    /// Codec for job requests and headers.
    pub codec: SharedCodec,
    /// Current configuration, with the routes of items and reward calls.
    pub config: CurrentConfig,
    /// Metrics of this front.
    pub metrics: Arc<Metrics>,
    /// Memory for the answers to reward calls.
    pub memory: MemoryBudget,
    /// Specification of the job.
    pub spec: Arc<JobSpec>,
    /// Round of the owner's epoch when the runs were started. Tells runs of successive owners
    /// apart in the log.
    pub owner_round: u64,
    /// Route of the job, which may change while its items run.
    pub(super) route: JobRoute,
    /// Time of the job's submission, as far as this owner knows it.
    pub opened_at: Instant,
    /// Allowed regions when these runs started, used if no route matches any more.
    pub initial_allowed_regions: AllowedRegions,
    /// Receives partial texts to be saved in the log.
    pub progress: mpsc::UnboundedSender<JobProgress>,
    /// Stops the runs, so that another node or a later job can continue them.
    pub stop: watch::Receiver<bool>,
    /// Limits when requests may be sent for the items.
    pub window: SendWindow,
    /// Weight version that generated the first event of each item.
    pub first_versions: FirstVersions,
    /// Limit on concurrent weight loads, as learned so far.
    pub learned_load_limit: LearnedLoadLimit,
}

impl RunContext {
    /// Returns the weights that an instance needs to run items of the job.
    pub fn required_weights(&self) -> RequiredWeights<'_> {
        RequiredWeights {
            model: &self.spec.model,
            min_version: self.spec.min_version,
        }
    }

    /// Returns the regions in which the items may run, by the current configuration or, if no route
    /// matches any more, by the one at the start of the runs.
    pub(super) fn allowed_regions(&self) -> AllowedRegions {
        let spec = &self.spec;
        self.config
            .allowed_regions(&spec.host, &spec.path, &spec.tenant)
            .unwrap_or_else(|| self.initial_allowed_regions.clone())
    }

    /// Returns the time at which unfinished items are terminated, or `None` if there is none.
    pub(super) fn item_deadline(&self) -> Option<Instant> {
        let max_queue_time = self.route.last_known().max_queue_time()?;
        Some(self.opened_at + max_queue_time)
    }

    /// Returns the maximum number of events of the item at `index` in a run at `instance`, or `None`
    /// if it is unknown.
    pub(super) fn max_events(&self, index: usize, instance: &Instance) -> Option<u64> {
        let route = self.route.last_known();
        let tokens_per_event = route.tokens_per_event(&instance.service());
        self.spec.items[index].tokens.checked_div(tokens_per_event)
    }

    /// Returns the timeout for the first event of a run at `instance`.
    pub(super) fn first_event_timeout(&self, instance: &Instance) -> Duration {
        let typical_ms = self.backends.typical_unit_time(&instance.service());
        first_event_timeout(typical_ms)
    }
}

/// Returns for how long an instance is excluded for a model after it rejected an item. An instance
/// that rejects an item despite free slots is loading weights, so it is excluded for the typical
/// load time. An owner that tried it again after each [`LOADING_PAUSE`] would send it a whole set
/// of items that it rejects.
pub fn exclusion_after_rejection(has_free_slots: bool, typical_load: Option<Duration>) -> Duration {
    match typical_load {
        Some(typical) if has_free_slots => typical.max(LOADING_PAUSE),
        _ => LOADING_PAUSE,
    }
}

/// Sleeps until `at`; never completes if it is `None`.
pub(super) async fn sleep_until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at.into()).await,
        None => std::future::pending().await,
    }
}

/// Returns the timeout for the first event of a run, given the typical event interval in
/// milliseconds.
pub fn first_event_timeout(typical_ms: Option<f64>) -> Duration {
    let by_interval = typical_ms.and_then(|interval_ms| {
        let seconds = interval_ms * FIRST_EVENT_INTERVALS / 1e3;
        Duration::try_from_secs_f64(seconds).ok()
    });
    by_interval.map_or(MAX_FIRST_EVENT_WAIT, |limit| {
        limit.clamp(MIN_FIRST_EVENT_WAIT, MAX_FIRST_EVENT_WAIT)
    })
}

/// Weight version of the first event of each text in progress, by item index. Cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct FirstVersions {
    versions: Arc<Mutex<HashMap<usize, u64>>>,
}

impl FirstVersions {
    /// Records the weight version of an event unless an earlier event of the item is recorded.
    pub fn record(&self, index: usize, version: u64) {
        self.lock().entry(index).or_insert(version);
    }

    /// Removes an item whose text restarts.
    pub fn remove(&self, index: usize) {
        self.lock().remove(&index);
    }

    /// Returns the weight version of the first event of an item's text, or `None` before that
    /// event.
    pub fn get(&self, index: usize) -> Option<u64> {
        self.lock().get(&index).copied()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<usize, u64>> {
        self.versions
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// Period in which requests may be sent for the items of a job: until shortly after the job's end.
#[derive(Debug, Clone, Default)]
pub struct SendWindow {
    closes_at: Arc<OnceLock<Instant>>,
}

impl SendWindow {
    /// Ends the period at `at`; only the first call has an effect.
    pub fn close_at(&self, at: Instant) {
        let _ = self.closes_at.set(at);
    }

    /// Returns whether a request may be sent now.
    pub fn is_open(&self) -> bool {
        self.closes_at.get().is_none_or(|at| Instant::now() < *at)
    }
}

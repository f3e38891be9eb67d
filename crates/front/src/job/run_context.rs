//! What the runs of one job share: what they are sent with, how long they wait, and until when they may go on.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::Duration;

use http::{HeaderValue, Method};
use ladderstage::region::AllowedRegions;
use ladderstage_clock::Instant;
use ladderstage_wire::messages::{JobProgress, JobSpec};
use tokio::sync::{mpsc, watch};

use crate::backend::{BackendTable, Instance, LOADING_PAUSE};
use crate::config::CurrentConfig;
use crate::dialect::SharedCodec;
use crate::metrics::Metrics;
use crate::orders::LearnedLoadLimit;
use crate::suspects::{
    BrokenRun, ContentDigest, HeldBack, RequestContent, RunPermit, RunSubject, Suspects,
};

/// Longest wait for the first event of a run, where it is not known how fast events come.
const FIRST_EVENT_LIMIT: Duration = Duration::from_millis(2_500);

/// The same in times between two events: a prompt is read in less than one, and an item that waits for a place for longer than so
/// many is better off elsewhere.
const FIRST_EVENT_PACES: f64 = 20.0;

/// Shortest such wait: connecting again after a lost packet takes a second.
const LEAST_FIRST_EVENT_LIMIT: Duration = Duration::from_millis(1_100);

/// Between looks whether an item is still held back: a hold lasts until another run of its content ends, or for minutes.
const HELD_LOOK: Duration = Duration::from_millis(250);

/// What runs of a job share.
#[derive(Clone)]
pub struct RunContext {
    /// Instances.
    pub backends: BackendTable,
    /// Names.
    pub codec: SharedCodec,
    /// Routes, of reward calls too.
    pub config: CurrentConfig,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// The job.
    pub spec: Arc<JobSpec>,
    /// Service that runs its items.
    pub service: String,
    /// How urgent its items are at instances.
    pub priority_header: HeaderValue,
    /// Where its items may run by the configuration under which these runs began.
    pub allowed_at_begin: AllowedRegions,
    /// Failed attempts after which an item is given up.
    pub max_attempts: u32,
    /// Every text must come from one weight version.
    pub single_version: bool,
    /// When items are given up.
    pub give_up_at: Option<Instant>,
    /// Takes text that is to be kept.
    pub progress: mpsc::UnboundedSender<JobProgress>,
    /// Tells that another node, or a later job, is to go on.
    pub stop: watch::Receiver<bool>,
    /// When requests may still be sent for the items.
    pub window: SendWindow,
    /// Weight versions under which the texts of runs begin.
    pub begun: BegunVersions,
    /// Tokens that one event holds; 0: unknown.
    pub tokens_per_event: u64,
    /// What is known of loads of weights.
    pub learned_load_limit: LearnedLoadLimit,
    /// Requests under which instances end.
    pub suspects: Suspects,
}

impl RunContext {
    /// What the item at `index` has in common with its repeats, in this job and in later ones.
    pub(super) fn item_content(&self, index: usize) -> ContentDigest {
        let item = &self.spec.items[index];
        self.content(&self.spec.host, &item.path, &item.body)
    }

    /// Where its items may run by the configuration in force; if that has no route for them, by the one in force when the runs began.
    pub(super) fn allowed_regions(&self) -> AllowedRegions {
        let spec = &self.spec;
        self.config
            .allowed_regions(&spec.host, &spec.path, &spec.tenant)
            .unwrap_or_else(|| self.allowed_at_begin.clone())
    }

    /// What its repeats share with a request that is sent for this job.
    pub(super) fn content(&self, host: &str, path: &str, body: &[u8]) -> ContentDigest {
        ContentDigest::of(&RequestContent {
            host,
            method: Method::POST.as_str(),
            path,
            tenant: &self.spec.tenant,
            body,
        })
    }

    /// Whether a request with `content` may be sent for the item at `index`.
    ///
    /// # Errors
    /// [`HeldBack`] if instances have ended under others of its content.
    pub(super) fn admit(
        &self,
        index: usize,
        content: impl Fn() -> ContentDigest,
    ) -> Result<RunPermit, HeldBack> {
        self.suspects.admit(self.subject(index), content)
    }

    /// Waits until a request with `content` may be sent for the item at `index`; `None` once none may be sent any more.
    pub(super) async fn admitted(
        &self,
        index: usize,
        content: impl Fn() -> ContentDigest,
    ) -> Option<RunPermit> {
        while self.window.is_open() {
            match self.admit(index, &content) {
                Ok(permit) => return Some(permit),
                Err(_) => self.while_held(index, &content).await,
            }
        }
        None
    }

    /// For how long a request with `content` for the item at `index` would be held back.
    pub(super) fn current_hold(
        &self,
        index: usize,
        content: impl FnOnce() -> ContentDigest,
    ) -> Option<HeldBack> {
        self.suspects.current_hold(self.subject(index), content)
    }

    async fn while_held(&self, index: usize, content: &impl Fn() -> ContentDigest) {
        while self.window.is_open() && self.current_hold(index, content).is_some() {
            tokio::time::sleep(HELD_LOOK).await;
        }
    }

    fn subject(&self, index: usize) -> RunSubject<'_> {
        RunSubject::Item {
            id: &self.spec.items[index].id,
            job: &self.spec.job,
        }
    }

    /// Finds out what became of an instance under a run of the item at `index` whose connection broke.
    pub(super) async fn check_broken_run(
        &self,
        index: usize,
        instance: &Arc<Instance>,
        content: ContentDigest,
        started_at: Instant,
    ) {
        let run = BrokenRun {
            subject: self.subject(index),
            instance,
            content,
            started_at,
        };
        self.suspects.check_broken_run(&run).await;
        self.suspects.announce_item(content);
    }

    /// Events that an item's text has at most; `None` if that is not known.
    pub(super) fn most_events(&self, index: usize) -> Option<u64> {
        self.spec.items[index]
            .tokens
            .checked_div(self.tokens_per_event)
    }

    /// Longest wait for the first event of a run: a step bears a long item that begins anew once at an instance that hangs, if that is
    /// noticed soon.
    pub(super) fn first_event_limit(&self) -> Duration {
        let typical_ms = self.backends.typical_unit_time(&self.service);
        first_event_limit(typical_ms)
    }
}

/// How long an instance is left out for a model after it refused to start an item, unless it is heard to have newer weights before:
/// with `free_slots` there it loads weights, which takes `usual_load`. Owners that tried it again each 0.15 s were refused 24 times for
/// one item, and sent it a whole set of items each time.
pub fn refusal_pause(free_slots: bool, usual_load: Option<Duration>) -> Duration {
    match usual_load {
        Some(usual) if free_slots => usual.max(LOADING_PAUSE),
        _ => LOADING_PAUSE,
    }
}

/// Longest wait for the first event of a run where events typically come each `typical_ms`.
pub fn first_event_limit(typical_ms: Option<f64>) -> Duration {
    let by_pace = typical_ms.and_then(|pace_ms| {
        let seconds = pace_ms * FIRST_EVENT_PACES / 1e3;
        Duration::try_from_secs_f64(seconds).ok()
    });
    by_pace.map_or(FIRST_EVENT_LIMIT, |limit| {
        limit.clamp(LEAST_FIRST_EVENT_LIMIT, FIRST_EVENT_LIMIT)
    })
}

/// The weight version of the first event of each text that is under way, by item. Cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct BegunVersions {
    versions: Arc<Mutex<HashMap<usize, u64>>>,
}

impl BegunVersions {
    /// Notes the version that made an event; the first counts.
    pub fn note(&self, index: usize, version: u64) {
        self.lock().entry(index).or_insert(version);
    }

    /// Forgets an item, whose text begins anew.
    pub fn forget(&self, index: usize) {
        self.lock().remove(&index);
    }

    /// The version under which an item's text began; `None` before its first event.
    pub fn get(&self, index: usize) -> Option<u64> {
        self.lock().get(&index).copied()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<usize, u64>> {
        self.versions
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// Until when requests may be sent for the items of a job: always while it is open, and for a short time after its end.
#[derive(Debug, Clone, Default)]
pub struct SendWindow {
    closes_at: Arc<OnceLock<Instant>>,
}

impl SendWindow {
    /// Sends end at `at`; only the first call counts.
    pub fn close_at(&self, at: Instant) {
        let _ = self.closes_at.set(at);
    }

    /// Whether a request may be sent now.
    pub fn is_open(&self) -> bool {
        self.closes_at.get().is_none_or(|at| Instant::now() < *at)
    }
}

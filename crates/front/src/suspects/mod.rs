//! Live requests that crash instances. They are recognized by their content at any front and held
//! back after a few crashes.
//!
//! Items of batch jobs and their reward calls are no suspects: they run again whatever happened to
//! the instances that ran them before.

mod abandoned;
mod content;
mod ledger;
mod probe;
mod record;
mod sharing;

use std::fmt;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use ladderstage_clock::Instant;
use ladderstage_wire::messages::{SuspectNews, SuspectedContent};
use tokio::sync::mpsc;

pub use abandoned::{AbandonedChecks, AbandonedRun};
pub use content::{ContentDigest, RequestContent};
pub use ledger::{
    Admission, Cleared, FIRST_HOLD, LIVE_MAX_CRASHES, MAX_HOLD, MAX_SUSPECTS, SUSPICION_LIFETIME,
    SuspectLedger,
};
pub use probe::{InstanceStatus, probe};
pub use record::SuspectRecord;
pub use sharing::SuspectSharing;

use self::abandoned::{AbandonedQueue, abandoned_queue};
use crate::backend::Instance;
use crate::metrics::Metrics;

/// A live request, by the ids in the log.
#[derive(Debug, Clone, Copy)]
pub struct RunSubject<'a> {
    /// Id of the client's attempt.
    pub id: &'a str,
    /// Name of its route.
    pub route: &'a str,
}

impl fmt::Display for RunSubject<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "request={} route={}", self.id, self.route)
    }
}

/// A run whose connection broke, possibly while the instance was executing it.
#[derive(Debug, Clone, Copy)]
pub struct BrokenRun<'a> {
    /// Request that ran.
    pub subject: RunSubject<'a>,
    /// Instance that ran it.
    pub instance: &'a Arc<Instance>,
    /// Content of its request.
    pub content: ContentDigest,
    /// When it was sent.
    pub started_at: Instant,
}

/// Maximum number of changed contents waiting to be shared; more are dropped with a log line.
const MAX_UNSHARED: usize = 256;

/// Retry delay of a request that is refused while runs of the same content are in progress, most of
/// which have ended by then.
const BUSY_RETRY: Duration = Duration::from_millis(500);

/// Detects requests that crash instances and holds them back. Cheap to clone.
#[derive(Debug, Clone)]
pub struct Suspects {
    ledger: Arc<Mutex<SuspectLedger>>,
    /// Number of suspects; while it is zero, no content digests are computed.
    count: Arc<AtomicUsize>,
    updates: mpsc::Sender<ContentDigest>,
    abandoned: AbandonedQueue,
    metrics: Arc<Metrics>,
}

/// Admission of a run, which counts among the runs of its content until dropped.
#[derive(Debug, Default)]
pub struct RunPermit {
    tracked: Option<(Suspects, ContentDigest)>,
}

impl Drop for RunPermit {
    fn drop(&mut self) {
        if let Some((suspects, content)) = self.tracked.take() {
            suspects.lock().finish_run(content);
        }
    }
}

/// A content that crashed an instance during an attempt still in progress. It is announced on drop
/// unless cleared before.
#[derive(Debug)]
pub struct UnannouncedSuspect {
    suspects: Suspects,
    content: ContentDigest,
}

impl UnannouncedSuspect {
    /// Creates a guard that announces `content` through `suspects`.
    pub fn new(suspects: &Suspects, content: ContentDigest) -> Self {
        Self {
            suspects: suspects.clone(),
            content,
        }
    }
}

impl Drop for UnannouncedSuspect {
    fn drop(&mut self) {
        self.suspects.announce(self.content);
    }
}

/// Refusal of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldBack {
    /// Time until another attempt may be admitted.
    pub retry_after: Duration,
}

impl Suspects {
    /// Creates an empty set; the receiver gets the contents whose changes are to be shared.
    pub fn new(metrics: Arc<Metrics>) -> (Self, mpsc::Receiver<ContentDigest>, AbandonedChecks) {
        let (updates, unshared_updates) = mpsc::channel(MAX_UNSHARED);
        let (abandoned, checks) = abandoned_queue();
        let suspects = Self {
            ledger: Arc::new(Mutex::new(SuspectLedger::new(BUSY_RETRY))),
            count: Arc::default(),
            updates,
            abandoned,
            metrics,
        };
        (suspects, unshared_updates, checks)
    }

    /// Admits a run. `content` is computed only while there are suspects.
    ///
    /// # Errors
    /// [`HeldBack`] if the run must not start now.
    pub fn admit(
        &self,
        subject: RunSubject<'_>,
        content: impl FnOnce() -> ContentDigest,
    ) -> Result<RunPermit, HeldBack> {
        if self.count.load(Ordering::Relaxed) == 0 {
            return Ok(RunPermit::default());
        }
        let content = content();
        let admission =
            self.update(|ledger| ledger.admit(content, LIVE_MAX_CRASHES, Instant::now()));
        match admission {
            Admission::Free => Ok(RunPermit::default()),
            Admission::Tracked => Ok(RunPermit {
                tracked: Some((self.clone(), content)),
            }),
            Admission::Held { retry_after } => {
                log::info!(
                    "event=run_held_back {subject} content={content} ends={:?} retry_after_ms={}",
                    self.crashes(content),
                    retry_after.as_millis()
                );
                let held = &self.metrics.held_back_runs;
                held.with_label_values(&["request"]).inc();
                Err(HeldBack { retry_after })
            }
        }
    }

    /// Checks the instance of a broken run, and suspects the run's content at this node if the
    /// instance crashed.
    pub async fn check_broken_run(&self, run: &BrokenRun<'_>) -> InstanceStatus {
        let status = if run.instance.has_ended() {
            InstanceStatus::Exited
        } else {
            probe(run.instance.address()).await
        };
        self.record_broken_run(run, status);
        status
    }

    /// Has the instance of an abandoned run checked for a while. `run` is computed only if there is
    /// room for it.
    pub fn check_abandoned_run(&self, run: impl FnOnce() -> AbandonedRun) {
        self.abandoned.push(run);
    }

    /// Suspects the content of a broken run if its instance crashed.
    fn record_broken_run(&self, run: &BrokenRun<'_>, status: InstanceStatus) {
        let run_ms = run.started_at.elapsed().as_millis();
        let content = run.content;
        let incarnation = run.instance.incarnation_name();
        if status == InstanceStatus::Exited {
            self.update(|ledger| {
                ledger.record_crash(content, &incarnation, run.started_at, Instant::now())
            });
        }
        log::warn!(
            "event=run_broken {} instance={} content={content} run_ms={run_ms} instance_now={} ends={:?}",
            run.subject,
            run.instance.id(),
            status.label(),
            self.crashes(content)
        );
        let counter = &self.metrics.broken_runs;
        counter.with_label_values(&[status.label()]).inc();
    }

    /// Announces a content to all fronts if it is suspected. A crash makes every request on the
    /// instance a suspect, most of which are soon cleared, so announcing all of them would cost
    /// more than the crash: a request is announced once its attempts have failed.
    pub fn announce(&self, content: ContentDigest) {
        if self.update(|ledger| ledger.mark_shared(content)) {
            self.share(content);
        }
    }

    /// Clears the content of a run that an instance completed. `content` is computed only while
    /// there are suspects.
    pub fn record_completion(&self, content: impl FnOnce() -> ContentDigest) {
        if self.count.load(Ordering::Relaxed) == 0 {
            return;
        }
        let content = content();
        let cleared = self.update(|ledger| ledger.clear(content));
        if cleared != Cleared::NotSuspected {
            log::info!("event=suspect_cleared content={content} by=own_run");
        }
        if cleared == Cleared::Shared {
            self.share(content);
        }
    }

    /// Applies updates received from another front.
    pub fn apply_updates(&self, updates: &SuspectNews) {
        updates
            .contents
            .iter()
            .for_each(|content_update| self.apply(content_update));
    }

    fn apply(&self, content_update: &SuspectedContent) {
        let content = ContentDigest::from_bits(content_update.content);
        if !content_update.ends.is_empty() {
            self.merge_crashes(content, &content_update.ends);
        } else if self.update(|ledger| ledger.clear(content)) != Cleared::NotSuspected {
            log::info!("event=suspect_cleared content={content} by=news");
        }
    }

    /// Merges crashes that other nodes know of.
    fn merge_crashes(&self, content: ContentDigest, ends: &[String]) {
        let ends = ends.iter().map(String::as_str);
        if self.update(|ledger| ledger.merge(content, ends, Instant::now())) {
            log::info!(
                "event=suspect_heard content={content} ends={:?}",
                self.crashes(content)
            );
        }
    }

    /// Returns the names of the incarnations known to have crashed during runs of a content.
    fn crashes(&self, content: ContentDigest) -> Vec<String> {
        let crashes = self.lock().crashes(content);
        crashes.iter().map(ToString::to_string).collect()
    }

    fn share(&self, content: ContentDigest) {
        if let Err(error) = self.updates.try_send(content) {
            log::warn!("event=suspect_not_shared content={content} cause=\"{error}\"");
        }
    }

    fn update<T>(&self, change: impl FnOnce(&mut SuspectLedger) -> T) -> T {
        let mut ledger = self.lock();
        let result = change(&mut ledger);
        self.count.store(ledger.len(), Ordering::Relaxed);
        self.metrics.suspected_contents.set(ledger.len() as i64);
        self.metrics.suspect_ends.set(ledger.known_crashes() as i64);
        result
    }

    fn lock(&self) -> MutexGuard<'_, SuspectLedger> {
        self.ledger
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

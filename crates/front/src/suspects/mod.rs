//! Requests under which instances end: told by their content, whatever id they come under and at which front, and held back.
//!
//! Without it each try of such a request ended as many instances as its route allows attempts: all ten in five tries of
//! platform/tests/crashing_requests.rs, where two end with it, three by an item.

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

pub use content::{ContentDigest, RequestContent};
pub use ledger::{
    Admission, Cleared, FIRST_HOLD, ITEM_MAX_CRASHES, LIVE_MAX_CRASHES, LONGEST_HOLD, MOST_CONTENTS,
    SUSPICION, SuspectLedger,
};
pub use probe::{InstanceFate, probe};
pub use record::SuspectRecord;
pub use sharing::SuspectSharing;

use crate::backend::Instance;
use crate::metrics::Metrics;

/// What ran, by the ids that the log names it by.
#[derive(Debug, Clone, Copy)]
pub enum RunSubject<'a> {
    /// A live request.
    Request {
        /// Id of the client attempt.
        id: &'a str,
        /// Its route.
        route: &'a str,
    },
    /// An item of a batch job.
    Item {
        /// Id of the item.
        id: &'a str,
        /// Its job.
        job: &'a str,
    },
}

impl RunSubject<'_> {
    /// Ends of instances after which its content is held back.
    fn most_ends(&self) -> usize {
        match self {
            Self::Request { .. } => LIVE_MAX_CRASHES,
            Self::Item { .. } => ITEM_MAX_CRASHES,
        }
    }

    /// Label of metrics.
    fn label(&self) -> &'static str {
        match self {
            Self::Request { .. } => "request",
            Self::Item { .. } => "item",
        }
    }
}

impl fmt::Display for RunSubject<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request { id, route } => write!(formatter, "request={id} route={route}"),
            Self::Item { id, job } => write!(formatter, "item={id} job={job}"),
        }
    }
}

/// A run whose connection broke while the instance may have been at work on it.
#[derive(Debug, Clone, Copy)]
pub struct BrokenRun<'a> {
    /// What ran.
    pub subject: RunSubject<'a>,
    /// Where.
    pub instance: &'a Arc<Instance>,
    /// What it is told by.
    pub content: ContentDigest,
    /// When it was sent.
    pub started_at: Instant,
}

/// Contents of which something new is known and not yet shared, at most; more are dropped with a line.
const MOST_UNSHARED: usize = 256;

/// Ends from which on fronts are told of an item: one in some thousand items meets two ends that others caused.
const ITEM_TOLD_FROM: usize = 2;

/// A caller whose request is not let through, as runs of the same content are under way, may come back after this: by then most have
/// ended one way or the other.
const BUSY_RETRY: Duration = Duration::from_millis(500);

/// Watches for requests under which instances end, and holds them back. Cheap to clone.
#[derive(Debug, Clone)]
pub struct Suspects {
    ledger: Arc<Mutex<SuspectLedger>>,
    /// Contents that are suspected; with none, as mostly, no content is digested.
    count: Arc<AtomicUsize>,
    news: mpsc::Sender<ContentDigest>,
    metrics: Arc<Metrics>,
}

/// A run that may begin. It counts among the runs of its content until it is dropped.
#[derive(Debug, Default)]
pub struct RunPermit {
    watched: Option<(Suspects, ContentDigest)>,
}

impl Drop for RunPermit {
    fn drop(&mut self) {
        if let Some((suspects, content)) = self.watched.take() {
            suspects.lock().run_over(content);
        }
    }
}

/// A content that ended an instance in a try that is not over yet: fronts are told when this is dropped, unless an instance bears it before.
#[derive(Debug)]
pub struct UntoldSuspect {
    suspects: Suspects,
    content: ContentDigest,
}

impl UntoldSuspect {
    /// To be told of by `suspects`.
    pub fn new(suspects: &Suspects, content: ContentDigest) -> Self {
        Self {
            suspects: suspects.clone(),
            content,
        }
    }
}

impl Drop for UntoldSuspect {
    fn drop(&mut self) {
        self.suspects.tell(self.content);
    }
}

/// A run that may not begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldBack {
    /// When another try may be let through.
    pub retry_after: Duration,
}

impl HeldBack {
    /// Whether only runs under way are waited for.
    pub fn is_concurrency_hold(self) -> bool {
        self.retry_after <= BUSY_RETRY
    }
}

impl Suspects {
    /// Knows of none; what becomes known is to be shared by the receiver.
    pub fn new(metrics: Arc<Metrics>) -> (Self, mpsc::Receiver<ContentDigest>) {
        let (news, unshared) = mpsc::channel(MOST_UNSHARED);
        let suspects = Self {
            ledger: Arc::new(Mutex::new(SuspectLedger::new(BUSY_RETRY))),
            count: Arc::default(),
            news,
            metrics,
        };
        (suspects, unshared)
    }

    /// Whether a run may begin. `content` is asked for only while any content is suspected.
    ///
    /// # Errors
    /// [`HeldBack`] if it may not.
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
            self.update(|ledger| ledger.admit(content, subject.most_ends(), Instant::now()));
        match admission {
            Admission::Free => Ok(RunPermit::default()),
            Admission::Watched => Ok(RunPermit {
                watched: Some((self.clone(), content)),
            }),
            Admission::Held { retry_after } => {
                log::info!(
                    "event=run_held_back {subject} content={content} ends={:?} retry_after_ms={}",
                    self.ends(content),
                    retry_after.as_millis()
                );
                let held = &self.metrics.held_back_runs;
                held.with_label_values(&[subject.label()]).inc();
                Err(HeldBack { retry_after })
            }
        }
    }

    /// Whether a run would be held back now. `content` is asked for only while any content is suspected.
    pub fn current_hold(
        &self,
        subject: RunSubject<'_>,
        content: impl FnOnce() -> ContentDigest,
    ) -> Option<HeldBack> {
        if self.count.load(Ordering::Relaxed) == 0 {
            return None;
        }
        let content = content();
        let held = self
            .lock()
            .current_hold(content, subject.most_ends(), Instant::now());
        held.map(|retry_after| HeldBack { retry_after })
    }

    /// Finds out what became of the instance under a run that broke, and suspects its content at this node if the instance ended.
    pub async fn check_broken_run(&self, run: &BrokenRun<'_>) -> InstanceFate {
        let run_ms = run.started_at.elapsed().as_millis();
        let fate = if run.instance.has_ended() {
            InstanceFate::Ended
        } else {
            probe(run.instance.address()).await
        };
        let content = run.content;
        let start = run.instance.start_name();
        if fate == InstanceFate::Ended {
            self.update(|ledger| ledger.note_end(content, &start, run.started_at, Instant::now()));
        }
        log::warn!(
            "event=run_broken {} instance={} content={content} run_ms={run_ms} instance_now={} ends={:?}",
            run.subject,
            run.instance.id(),
            fate.label(),
            self.ends(content)
        );
        let counter = &self.metrics.broken_runs;
        counter.with_label_values(&[fate.label()]).inc();
        fate
    }

    /// Tells all fronts what is known of a content, if it is suspected. Each end of an instance makes suspects of all that ran there: telling
    /// hundreds of fronts of each of them, and again as they are cleared, would cost more than the end. So a live request is told of once its
    /// try is over without success, an item once a second instance has ended under it.
    pub fn tell(&self, content: ContentDigest) {
        if self.update(|ledger| ledger.note_told(content)) {
            self.share(content);
        }
    }

    /// As [`Suspects::tell`], for an item, which only its owner runs again and again.
    pub fn announce_item(&self, content: ContentDigest) {
        if self.lock().ends(content).len() >= ITEM_TOLD_FROM {
            self.tell(content);
        }
    }

    /// An instance bore a run to the end of its answer. `content` is asked for only while any content is suspected.
    pub fn record_completion(&self, content: impl FnOnce() -> ContentDigest) {
        if self.count.load(Ordering::Relaxed) == 0 {
            return;
        }
        let content = content();
        let cleared = self.update(|ledger| ledger.clear(content));
        if cleared != Cleared::Unsuspected {
            log::info!("event=suspect_cleared content={content} by=own_run");
        }
        if cleared == Cleared::Told {
            self.share(content);
        }
    }

    /// Takes what another front tells.
    pub fn apply_updates(&self, news: &SuspectNews) {
        news.contents.iter().for_each(|told| self.take(told));
    }

    fn take(&self, told: &SuspectedContent) {
        let content = ContentDigest::from_bits(told.content);
        if !told.ends.is_empty() {
            self.take_ends(content, &told.ends);
        } else if self.update(|ledger| ledger.clear(content)) != Cleared::Unsuspected {
            log::info!("event=suspect_cleared content={content} by=news");
        }
    }

    /// Takes ends that others know of.
    fn take_ends(&self, content: ContentDigest, ends: &[String]) {
        let ends = ends.iter().map(String::as_str);
        if self.update(|ledger| ledger.merge(content, ends, Instant::now())) {
            log::info!(
                "event=suspect_heard content={content} ends={:?}",
                self.ends(content)
            );
        }
    }

    /// Starts of instances that ended under a content, as far as is known here.
    fn ends(&self, content: ContentDigest) -> Vec<String> {
        let ends = self.lock().ends(content);
        ends.iter().map(ToString::to_string).collect()
    }

    fn share(&self, content: ContentDigest) {
        if let Err(error) = self.news.try_send(content) {
            log::warn!("event=suspect_not_shared content={content} cause=\"{error}\"");
        }
    }

    fn update<T>(&self, change: impl FnOnce(&mut SuspectLedger) -> T) -> T {
        let mut ledger = self.lock();
        let result = change(&mut ledger);
        self.count.store(ledger.len(), Ordering::Relaxed);
        self.metrics.suspected_contents.set(ledger.len() as i64);
        self.metrics.suspect_ends.set(ledger.known_ends() as i64);
        result
    }

    fn lock(&self) -> MutexGuard<'_, SuspectLedger> {
        self.ledger
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

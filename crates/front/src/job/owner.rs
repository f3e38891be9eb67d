//! Owner of one batch job: starts its items, writes their results to the job's log, and notifies
//! readers.
//!
//! A result is listed once it is queued for the log, from where readers receive it.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use ladderstage_clock::Instant;
use ladderstage_journal::{JournalError, LogWriter};
use ladderstage_wire::messages::{JobProgress, JobSpec, KeptText, LogEntry};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{AbortHandle, JoinSet};

use super::appending::{AppendDone, RETRY_PAUSE, append_after, wait_for_append};
use super::context::JobContext;
use super::digest::{FoundLog, LogDigest};
use super::done::DoneItem;
use super::failures::ItemFailures;
use super::group_listing::GroupListing;
use super::local_job::{Command, Job};
use super::log_name;
use super::new_job::NewJob;
use super::queue::EntryQueue;
use super::replay::{digest_writer, replay_writer};
use super::run::RunOutcome;
use super::run_context::{FirstVersions, SendWindow, sleep_until};
use super::text::ItemText;
use super::unfinished::{ListingHistory, UnfinishedItems};

/// Shortest interval between two appends; results within it share one append.
const MIN_APPEND_INTERVAL: Duration = Duration::from_millis(20);

/// Pause before waiting items are scheduled again when no instance had free capacity.
const NO_CAPACITY_PAUSE: Duration = Duration::from_millis(25);

/// Outcome of an owner's task, returned to the registry.
pub(super) enum OwnerEnd {
    /// The client ended the job; a later job may reuse its unfinished items.
    Ended(Option<Box<UnfinishedItems>>),
    /// Another node owns the job.
    Lost,
}

/// Reason to stop an owner's task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StopCause {
    /// The end of the job is committed.
    Ended,
    /// Another node owns the job.
    Lost,
}

/// Owner of one job.
pub(super) struct Owner {
    pub(super) context: Arc<JobContext>,
    pub(super) job: Arc<Job>,
    pub(super) writer: Option<LogWriter>,
    /// Digest of the committed entries.
    pub(super) digest: LogDigest,
    /// Entries for the next append.
    pub(super) queue: EntryQueue,
    /// Specification of a new job whose acceptance is the next entry to be committed.
    pub(super) new_spec: Option<Arc<JobSpec>>,
    /// Number of entries of the append in progress.
    pub(super) in_flight: usize,
    /// Runs in progress, by item.
    pub(super) running: HashMap<usize, AbortHandle>,
    /// Items that finished at this owner, whether or not their results are in the log.
    pub(super) finished: HashSet<usize>,
    pub(super) runs: JoinSet<(usize, RunOutcome)>,
    /// Stops the runs.
    pub(super) stop: watch::Sender<bool>,
    /// Limits when requests may be sent for items.
    pub(super) window: SendWindow,
    /// Number of committed results over time.
    pub(super) listing_history: ListingHistory,
    /// Weight version that generated the first event of each item.
    pub(super) first_versions: FirstVersions,
    /// Texts from earlier jobs for items that this job repeats.
    pub(super) earlier_texts: HashMap<String, KeptText>,
    /// Request for the earlier texts, while it is in progress.
    pub(super) earlier_texts_request: Option<BoxFuture<'static, Vec<KeptText>>>,
    /// Failures of items whose runs failed in earlier jobs, and of those that were terminated in this
    /// one.
    pub(super) failures: HashMap<String, ItemFailures>,
    /// Texts that were completed after the end of the job was queued, with their scores.
    pub(super) late_texts: HashMap<usize, (ItemText, String)>,
    /// Schedule for listing results; `None` until the first result.
    pub(super) groups: Option<GroupListing>,
    /// Finished items that are not listed yet.
    pub(super) unlisted: HashMap<usize, DoneItem>,
    /// Whether this node accepted the job; only then the due time of the results is known.
    pub(super) is_accepted_here: bool,
    pub(super) end_waiters: Vec<oneshot::Sender<()>>,
    /// Time of the first request to end the job at this node; `None` if there was none, as for a
    /// job that had ended before this node took it over.
    pub(super) end_requested_at: Option<Instant>,
    pub(super) has_waiting_items: bool,
    pub(super) last_append: Instant,
    /// Channel for the partial texts of runs.
    pub(super) progress: (
        mpsc::UnboundedSender<JobProgress>,
        mpsc::UnboundedReceiver<JobProgress>,
    ),
}

impl Owner {
    /// Creates the owner of a job whose log this node may append to. `new_job` is set for a newly
    /// accepted job, whose entry is queued as the first one.
    pub fn new(
        context: Arc<JobContext>,
        job: Arc<Job>,
        writer: LogWriter,
        digest: LogDigest,
        new_job: Option<NewJob>,
    ) -> Self {
        let mut queue = EntryQueue::default();
        let is_accepted_here = new_job.is_some();
        if let Some(new_job) = &new_job {
            queue.push_accepted(new_job.take_entry());
        }
        let is_ended = job.state().is_ended();
        let mut owner = Self {
            context,
            job,
            writer: Some(writer),
            digest,
            queue,
            new_spec: new_job.map(|new_job| new_job.spec),
            in_flight: 0,
            running: HashMap::new(),
            finished: HashSet::new(),
            runs: JoinSet::new(),
            stop: watch::Sender::new(false),
            window: SendWindow::default(),
            listing_history: ListingHistory::default(),
            first_versions: FirstVersions::default(),
            earlier_texts: HashMap::new(),
            earlier_texts_request: None,
            failures: HashMap::new(),
            late_texts: HashMap::new(),
            groups: None,
            unlisted: HashMap::new(),
            is_accepted_here,
            end_waiters: Vec::new(),
            end_requested_at: None,
            has_waiting_items: false,
            last_append: Instant::now() - MIN_APPEND_INTERVAL,
            progress: mpsc::unbounded_channel(),
        };
        if is_ended {
            owner.queue_end();
        }
        owner
    }

    /// Runs the job until it ends or another node takes it over.
    pub async fn run(mut self, mut commands: mpsc::UnboundedReceiver<Command>) -> OwnerEnd {
        let mut table_changed = self.context.backends.watch();
        let mut config_changed = self.context.config.watch();
        let mut appending: Option<BoxFuture<'static, AppendDone>> = None;
        loop {
            let list_at = self.list_at();
            let reclaim_at = self.reclaim_at();
            if appending.is_none() {
                appending = self.next_append();
            }
            if appending.is_none() {
                self.mark_released_if_idle();
            }
            self.start_runs();
            tokio::select! {
                command = commands.recv() => match command {
                    Some(Command::End(answer)) => {
                        self.end_waiters.push(answer);
                        self.end_requested_at.get_or_insert_with(Instant::now);
                        self.queue_end();
                    }
                    // Wakes this loop, which schedules the takeover by `reclaim_at`.
                    Some(Command::Contested) => {}
                    Some(Command::Release) => {
                        self.stop.send_replace(true);
                    }
                    Some(Command::Lost) | None => return self.lost(),
                },
                texts = requested_texts(&mut self.earlier_texts_request) => {
                    self.earlier_texts_request = None;
                    self.accept_earlier_texts(texts);
                }
                Some(ended) = self.runs.join_next() => self.on_run_end(ended),
                Some(progress) = self.progress.1.recv() => self.queue.push_progress(progress),
                done = wait_for_append(&mut appending) => {
                    appending = None;
                    if let Some(cause) = self.on_append(done).await {
                        return self.end(cause);
                    }
                }
                () = sleep_until(list_at) => self.list_ready(),
                () = sleep_until(reclaim_at), if appending.is_none() => {
                    if let Some(cause) = self.reclaim().await {
                        return self.end(cause);
                    }
                }
                _ = table_changed.changed(), if self.has_waiting_items => {}
                _ = config_changed.changed() => {}
                () = tokio::time::sleep(NO_CAPACITY_PAUSE), if self.has_waiting_items => {}
            }
        }
    }

    /// Queues the end of the job and accepts no more results. Runs continue, as a later job may
    /// repeat their items.
    fn queue_end(&mut self) {
        for (index, done) in std::mem::take(&mut self.unlisted) {
            if let DoneItem::Completed { text, score } = done {
                self.late_texts.insert(index, (text, score));
            }
        }
        self.groups = None;
        self.queue.push_end();
    }

    /// Marks the job as ready for handover once all runs have stopped and nothing is left to
    /// append.
    fn mark_released_if_idle(&mut self) {
        let is_idle = self.runs.is_empty() && self.progress.1.is_empty();
        if *self.stop.borrow() && is_idle {
            self.job.set_released();
        }
    }

    fn on_run_end(&mut self, ended: Result<(usize, RunOutcome), tokio::task::JoinError>) {
        let Ok((index, outcome)) = ended else {
            return;
        };
        // The result must follow the progress that its run sent before.
        while let Ok(progress) = self.progress.1.try_recv() {
            self.queue.push_progress(progress);
        }
        self.running.remove(&index);
        match outcome {
            RunOutcome::Completed { text, score } => self.finish(index, text, score),
            RunOutcome::Terminated(failures) => self.terminate(index, failures),
            RunOutcome::NotStarted | RunOutcome::Stopped(_) => {}
        }
    }

    /// Appends all queued entries after the minimum interval between appends.
    fn next_append(&mut self) -> Option<BoxFuture<'static, AppendDone>> {
        if self.queue.is_empty() {
            return None;
        }
        let writer = self.writer.take()?;
        let entries = self.queue.drain();
        self.in_flight = entries.len();
        let closes_log = self.queue.has_end();
        let is_first = self.job.state().spec().is_none();
        let pause = if is_first || closes_log {
            Duration::ZERO
        } else {
            MIN_APPEND_INTERVAL
        };
        let pause = pause.saturating_sub(self.last_append.elapsed());
        Some(append_after(pause, writer, entries, closes_log))
    }

    async fn on_append(&mut self, done: AppendDone) -> Option<StopCause> {
        self.last_append = Instant::now();
        match done.result {
            Ok(()) => {
                let count = std::mem::take(&mut self.in_flight);
                done.writer
                    .with_last_entries(count, |entries| self.apply_committed(entries));
                self.writer = Some(done.writer);
                self.job.state().is_ended().then_some(StopCause::Ended)
            }
            Err(JournalError::Fenced) => Some(StopCause::Lost),
            Err(error) => {
                log::warn!(
                    "event=job_log_retaken job={} cause=\"{error}\"",
                    self.job.id
                );
                self.context.journal.observe_refusals(&done.writer);
                let count = std::mem::take(&mut self.in_flight);
                let pending = done.writer.with_last_entries(count, <[LogEntry]>::to_vec);
                drop(done.writer);
                self.take_over_again(pending).await
            }
        }
    }

    fn apply_committed(&mut self, entries: &[LogEntry]) {
        self.digest.extend(entries);
        let mut state = self.job.state();
        let mut following = entries;
        if let (Some(spec), [_, rest @ ..]) = (self.new_spec.take(), entries) {
            state.accept(spec);
            following = rest;
        }
        for entry in following {
            if let Err(error) = state.apply(entry) {
                log::error!(
                    "event=job_entry_unreadable job={} cause=\"{error}\"",
                    self.job.id
                );
            }
        }
        log::info!(
            "event=job_committed job={} entries={} results={} complete={} ended={}",
            self.job.id,
            entries.len(),
            state.results().len(),
            state.is_complete(),
            state.is_ended()
        );
        let results = state.results().len();
        drop(state);
        self.listing_history.record(results);
        self.job.notify();
    }

    /// Returns when this owner takes its contested log over again. An owner that hands the job over
    /// does not: the other writer is its successor.
    fn reclaim_at(&self) -> Option<Instant> {
        let is_handing_over = *self.stop.borrow();
        self.job.reclaim_at().filter(|_| !is_handing_over)
    }

    /// Takes over the log again because a replica has accepted another writer that did not reach
    /// a majority.
    async fn reclaim(&mut self) -> Option<StopCause> {
        log::info!("event=job_log_reclaimed job={}", self.job.id);
        if let Some(writer) = self.writer.take() {
            self.context.journal.observe_refusals(&writer);
        }
        self.job.clear_contested();
        self.take_over_again(Vec::new()).await
    }

    /// Takes over the log again, under the latest replica set, to learn whether the last append
    /// took effect. `pending` are its entries.
    async fn take_over_again(&mut self, pending: Vec<LogEntry>) -> Option<StopCause> {
        let log = log_name(&self.job.id);
        loop {
            let journal = &self.context.journal;
            match journal.take_over_writer(&log, None, |_| true).await {
                Ok(writer) => {
                    self.job.set_epoch(writer.epoch());
                    return self.resume_from(writer, pending).await;
                }
                Err(JournalError::Fenced | JournalError::Retired) => return Some(StopCause::Lost),
                Err(error) => {
                    log::warn!(
                        "event=job_log_unavailable job={} cause=\"{error}\"",
                        self.job.id
                    );
                    let pause = ladderstage_journal::jitter::jittered(RETRY_PAUSE);
                    tokio::time::sleep(pause).await;
                }
            }
        }
    }

    /// Resumes from the content of the log. Runs continue unless another owner has written to the
    /// log.
    async fn resume_from(
        &mut self,
        writer: LogWriter,
        pending: Vec<LogEntry>,
    ) -> Option<StopCause> {
        let found = self.digest.compare(digest_writer(&writer).await, &pending);
        let writer = self.writer.insert(writer);
        log::info!("event=job_log_found job={} found={found:?}", self.job.id);
        match found {
            FoundLog::WithoutAppend => self.queue.requeue(pending),
            FoundLog::WithAppend => self.apply_committed(&pending),
            FoundLog::Other => {
                let Ok(replayed) = replay_writer(writer).await else {
                    return Some(StopCause::Lost);
                };
                *self.job.state() = replayed.state;
                self.digest = replayed.digest;
                self.job.notify();
                self.reset_runs(pending);
            }
        }
        self.job.state().is_ended().then_some(StopCause::Ended)
    }

    /// Aborts all runs and drops their uncommitted texts, which may differ from those that another
    /// owner has written. Items resume from the log's content. If the job's acceptance is not in
    /// the log, the `pending` entries are queued again instead.
    fn reset_runs(&mut self, pending: Vec<LogEntry>) {
        self.runs = JoinSet::new();
        self.running.clear();
        self.finished.clear();
        self.unlisted.clear();
        self.groups = None;
        self.progress = mpsc::unbounded_channel();
        let is_accepted = self.job.state().spec().is_some();
        let is_ended = self.queue.has_end() || self.job.state().is_ended();
        if !is_accepted {
            self.queue.requeue(pending);
            return;
        }
        self.new_spec = None;
        self.queue = EntryQueue::default();
        if is_ended {
            self.queue.push_end();
        }
    }

    fn end(self, cause: StopCause) -> OwnerEnd {
        match cause {
            StopCause::Lost => self.lost(),
            StopCause::Ended => self.ended(),
        }
    }

    fn lost(mut self) -> OwnerEnd {
        self.runs.abort_all();
        log::info!("event=job_lost job={}", self.job.id);
        OwnerEnd::Lost
    }

    fn ended(mut self) -> OwnerEnd {
        let mut unfinished = self.split_off_unfinished();
        let spec = self.job.state().spec().cloned();
        self.writer = None;
        let content = spec.map(|spec| self.job.memory.end(&spec));
        if let Some(unfinished) = &mut unfinished {
            unfinished.content = content;
        }
        self.job.state().drop_bodies();
        for end_waiter in self.end_waiters.drain(..) {
            let _ = end_waiter.send(());
        }
        self.job.notify();
        log::info!("event=job_ended job={}", self.job.id);
        OwnerEnd::Ended(unfinished.map(Box::new))
    }
}

/// Waits for the requested texts; never completes if none are requested.
async fn requested_texts(
    earlier_texts_request: &mut Option<BoxFuture<'static, Vec<KeptText>>>,
) -> Vec<KeptText> {
    match earlier_texts_request {
        Some(earlier_texts_request) => earlier_texts_request.await,
        None => std::future::pending().await,
    }
}

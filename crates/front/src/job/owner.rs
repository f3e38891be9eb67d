//! The owner of one batch job: starts its items, writes their results to the job's log, and tells readers.

use std::collections::HashSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use futures_util::future::BoxFuture;
use ladderstage_journal::{JournalError, LogWriter};
use ladderstage_wire::messages::mod_JobResult::State as ResultState;
use ladderstage_wire::messages::{JobProgress, JobSpec, LogEntry};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;

use super::digest::{FoundLog, LogDigest};
use super::log_name;
use super::queue::EntryQueue;
use super::registry::{JobContext, lock};
use super::run::{RunContext, RunOutcome, run_item};
use super::state::JobState;
use crate::backend::Demand;
use crate::config::Route;

/// Results that end within this time share one append.
const GATHER: Duration = Duration::from_millis(20);

/// Items are started for this long after a majority of replicas last confirmed this owner: another one may run the job, or
/// it may have been ended.
const START_TRUST: Duration = Duration::from_millis(1_500);

/// One of so many items counts as long.
const LONG_SHARE: usize = 8;

/// Pause before another look for room when no instance had any.
const NO_ROOM_PAUSE: Duration = Duration::from_millis(25);

/// An owner whose log is another's at some replica, but not at a majority after several heartbeats, takes it again: the other
/// writer has given up.
const RECLAIM_AFTER: Duration = Duration::from_millis(1_200);

/// Pause before an append or a take-over is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// What an owner is asked.
pub(super) enum Command {
    /// End the job; answered once that is committed.
    End(oneshot::Sender<()>),
    /// Another node has the log.
    Lost,
    /// Some replica says that another node has the log; the owner looks at it in time.
    Contested,
    /// Stop the runs and write down what they have made: another node is to take the job.
    Release,
}

/// What a job's owner shares with readers.
pub struct Job {
    /// Its id.
    pub id: String,
    /// When this node became its owner.
    pub opened_at: Instant,
    state: Mutex<JobState>,
    changed: watch::Sender<u64>,
    /// When a replica first said that another node has the log.
    contested_at: Mutex<Option<Instant>>,
    /// No run is under way and all that was made is in the log.
    is_released: AtomicBool,
    commands: mpsc::UnboundedSender<Command>,
}

/// How an owner's work ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OwnerEnd {
    /// The job was ended by its client.
    Ended,
    /// Another node owns it now.
    Lost,
}

impl Job {
    pub(super) fn new(id: &str, state: JobState) -> (Arc<Self>, mpsc::UnboundedReceiver<Command>) {
        let (commands, receiver) = mpsc::unbounded_channel();
        let job = Self {
            id: id.to_owned(),
            opened_at: Instant::now(),
            state: Mutex::new(state),
            changed: watch::Sender::new(0),
            contested_at: Mutex::new(None),
            is_released: AtomicBool::new(false),
            commands,
        };
        (Arc::new(job), receiver)
    }

    pub(super) fn state(&self) -> MutexGuard<'_, JobState> {
        lock(&self.state)
    }

    /// Notes that a replica says that another node has the log.
    pub(super) fn set_contested(&self) {
        let mut contested_at = lock(&self.contested_at);
        if contested_at.is_none() {
            *contested_at = Some(Instant::now());
            self.ask(Command::Contested);
        }
    }

    /// Whether no replica has said that another node has the log.
    pub(super) fn is_uncontested(&self) -> bool {
        lock(&self.contested_at).is_none()
    }

    /// When the owner is to take its log again, as nobody else has it by then.
    fn reclaim_at(&self) -> Option<Instant> {
        lock(&self.contested_at).map(|at| at + RECLAIM_AFTER)
    }

    /// Whether the owner has stopped its runs and written down what they made.
    pub(super) fn is_released(&self) -> bool {
        self.is_released.load(Ordering::Relaxed)
    }

    /// Changes with each commit.
    pub(super) fn watch(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Asks the owner; `false` if it has finished.
    pub(super) fn ask(&self, command: Command) -> bool {
        self.commands.send(command).is_ok()
    }

    fn notify(&self) {
        self.changed.send_modify(|count| *count += 1);
    }
}

/// An append that ended, with the writer given back.
struct AppendDone {
    writer: LogWriter,
    result: Result<(), JournalError>,
}

/// Owns one job.
pub(super) struct Owner {
    context: Arc<JobContext>,
    job: Arc<Job>,
    writer: Option<LogWriter>,
    /// What is committed.
    digest: LogDigest,
    /// Entries for the next append.
    queue: EntryQueue,
    /// Entries of the append under way.
    in_append: Vec<LogEntry>,
    running: HashSet<usize>,
    runs: JoinSet<(usize, RunOutcome)>,
    /// Tells the runs to stop.
    stop: watch::Sender<bool>,
    enders: Vec<oneshot::Sender<()>>,
    has_waiting_items: bool,
    last_append: Instant,
    /// Text of items under way that is to be kept.
    progress: (
        mpsc::UnboundedSender<JobProgress>,
        mpsc::UnboundedReceiver<JobProgress>,
    ),
}

impl Owner {
    /// An owner with the right to append; `spec` is written first if the log is empty.
    pub fn new(
        context: Arc<JobContext>,
        job: Arc<Job>,
        writer: LogWriter,
        digest: LogDigest,
        spec: Option<JobSpec>,
    ) -> Self {
        let mut queue = EntryQueue::default();
        if let Some(spec) = spec {
            queue.accept(spec);
        }
        let is_ended = job.state().is_ended();
        let mut owner = Self {
            context,
            job,
            writer: Some(writer),
            digest,
            queue,
            in_append: Vec::new(),
            running: HashSet::new(),
            runs: JoinSet::new(),
            stop: watch::Sender::new(false),
            enders: Vec::new(),
            has_waiting_items: false,
            last_append: Instant::now() - GATHER,
            progress: mpsc::unbounded_channel(),
        };
        if is_ended {
            owner.queue_end();
        }
        owner
    }

    /// Runs the job until it is ended or lost.
    pub async fn run(mut self, mut commands: mpsc::UnboundedReceiver<Command>) -> OwnerEnd {
        let mut table_changed = self.context.backends.watch();
        let mut config_changed = self.context.config.watch();
        let mut appending: Option<BoxFuture<'static, AppendDone>> = None;
        loop {
            if appending.is_none() {
                appending = self.next_append();
            }
            if appending.is_none() {
                self.note_release();
            }
            self.start_runs();
            tokio::select! {
                command = commands.recv() => match command {
                    Some(Command::End(answer)) => {
                        self.enders.push(answer);
                        self.queue_end();
                    }
                    Some(Command::Contested) => {}
                    Some(Command::Release) => {
                        self.stop.send_replace(true);
                    }
                    Some(Command::Lost) | None => return self.lost(),
                },
                Some(ended) = self.runs.join_next() => self.on_run(ended),
                Some(progress) = self.progress.1.recv() => self.on_progress(progress),
                done = wait_for(&mut appending) => {
                    appending = None;
                    if let Some(end) = self.on_append(done).await {
                        return self.end(end);
                    }
                }
                () = until(self.job.reclaim_at()), if appending.is_none() => {
                    if let Some(end) = self.reclaim().await {
                        return self.end(end);
                    }
                }
                _ = table_changed.changed(), if self.has_waiting_items => {}
                _ = config_changed.changed() => {}
                () = tokio::time::sleep(NO_ROOM_PAUSE), if self.has_waiting_items => {}
            }
        }
    }

    fn queue_end(&mut self) {
        if self.queue.end() {
            self.runs.abort_all();
        }
    }

    /// Says that the job can be handed on once the runs are stopped and nothing waits to be written.
    fn note_release(&mut self) {
        let is_idle = self.runs.is_empty() && self.progress.1.is_empty();
        if *self.stop.borrow() && is_idle && !self.job.is_released.swap(true, Ordering::Relaxed) {
            self.job.notify();
        }
    }

    fn on_run(&mut self, ended: Result<(usize, RunOutcome), tokio::task::JoinError>) {
        let Ok((index, outcome)) = ended else {
            return;
        };
        // A result follows the progress that its run sent before.
        while let Ok(progress) = self.progress.1.try_recv() {
            self.on_progress(progress);
        }
        self.running.remove(&index);
        let RunOutcome::Done(result, events) = outcome else {
            return;
        };
        if let Some(spec) = self.job.state().spec() {
            self.context.lengths.note(&spec.model, events);
        }
        let outcome = match result.state {
            ResultState::COMPLETED => "completed",
            _ => "terminated",
        };
        self.context
            .metrics
            .item_runs
            .with_label_values(&[outcome])
            .inc();
        self.queue.result(result);
    }

    fn on_progress(&mut self, progress: JobProgress) {
        self.queue.progress(progress);
    }

    /// Takes the queue into one append, after the gathering time.
    fn next_append(&mut self) -> Option<BoxFuture<'static, AppendDone>> {
        if self.queue.is_empty() {
            return None;
        }
        let mut writer = self.writer.take()?;
        self.in_append = self.queue.take();
        let entries = self.in_append.clone();
        let closes = self.queue.has_end();
        let is_first = self.job.state().spec().is_none();
        let pause = if is_first || closes {
            Duration::ZERO
        } else {
            GATHER
        };
        let pause = pause.saturating_sub(self.last_append.elapsed());
        Some(Box::pin(async move {
            tokio::time::sleep(pause).await;
            let result = append_until_known(&mut writer, entries, closes).await;
            AppendDone { writer, result }
        }))
    }

    async fn on_append(&mut self, done: AppendDone) -> Option<OwnerEnd> {
        self.last_append = Instant::now();
        match done.result {
            Ok(()) => {
                self.writer = Some(done.writer);
                let entries = std::mem::take(&mut self.in_append);
                self.commit(&entries);
                self.job.state().is_ended().then_some(OwnerEnd::Ended)
            }
            Err(JournalError::Fenced) => Some(OwnerEnd::Lost),
            Err(error) => {
                log::warn!(
                    "event=job_log_retaken job={} cause=\"{error}\"",
                    self.job.id
                );
                drop(done.writer);
                self.take_over_again().await
            }
        }
    }

    fn commit(&mut self, entries: &[LogEntry]) {
        self.digest.extend(entries);
        let mut state = self.job.state();
        for entry in entries {
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
        drop(state);
        self.job.notify();
    }

    /// Takes the log again, above the promise that some replica has given to a writer that then gave up.
    async fn reclaim(&mut self) -> Option<OwnerEnd> {
        log::info!("event=job_log_reclaimed job={}", self.job.id);
        self.writer = None;
        *lock(&self.job.contested_at) = None;
        self.take_over_again().await
    }

    /// Takes the log under the newest replica set; what the last append left behind is found there or not.
    async fn take_over_again(&mut self) -> Option<OwnerEnd> {
        let log = log_name(&self.job.id);
        loop {
            match self.context.journal.take_over(&log).await {
                Ok((writer, entries)) => {
                    self.writer = Some(writer);
                    return self.go_on_from(&entries);
                }
                Err(JournalError::Fenced | JournalError::Retired) => return Some(OwnerEnd::Lost),
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

    /// Goes on from the log as it was found. Runs go on too unless another owner has written to it.
    fn go_on_from(&mut self, entries: &[LogEntry]) -> Option<OwnerEnd> {
        let pending = std::mem::take(&mut self.in_append);
        let found = self.digest.compare(entries, &pending);
        log::info!("event=job_log_found job={} found={found:?}", self.job.id);
        match found {
            FoundLog::WithoutAppend => self.queue.put_back(pending),
            FoundLog::WithAppend => self.commit(&pending),
            FoundLog::Other => {
                let Ok(state) = JobState::replay(entries) else {
                    return Some(OwnerEnd::Lost);
                };
                *self.job.state() = state;
                self.digest = LogDigest::of(entries);
                self.job.notify();
                self.start_anew(pending);
            }
        }
        self.job.state().is_ended().then_some(OwnerEnd::Ended)
    }

    /// Drops runs and what they made since the last commit: another owner may have had the log in between, and its text may
    /// differ. Items go on from what the log holds.
    fn start_anew(&mut self, pending: Vec<LogEntry>) {
        self.runs = JoinSet::new();
        self.running.clear();
        self.progress = mpsc::unbounded_channel();
        let is_accepted = self.job.state().spec().is_some();
        let is_ended = self.queue.has_end() || self.job.state().is_ended();
        if !is_accepted {
            self.queue.put_back(pending);
            return;
        }
        self.queue = EntryQueue::default();
        if is_ended {
            self.queue.end();
        }
    }

    /// Starts items that have neither a result nor a run while instances have room: those that are expected to be the longest
    /// first, and on the fastest instances, as the step waits for them.
    fn start_runs(&mut self) {
        self.has_waiting_items = false;
        if self.queue.has_end() || *self.stop.borrow() || self.context.nodes.is_leaving() {
            return;
        }
        let age = self.context.confirmation.age(self.job.opened_at);
        if !self.job.is_uncontested() || age > START_TRUST {
            self.has_waiting_items = true;
            return;
        }
        let Some(spec) = self.job.state().spec().cloned() else {
            return;
        };
        let Some(run) = self.run_context(&spec) else {
            self.has_waiting_items = true;
            return;
        };
        let startable = self.startable(&spec);
        let long_from = long_from(&spec);
        for index in startable {
            let is_long = spec.items[index].expected_tokens >= long_from;
            let demand = if is_long {
                Demand::LongBatch
            } else {
                Demand::Batch
            };
            let fits = |instance: &crate::backend::Instance| {
                instance.version(&spec.model) >= spec.min_version
            };
            let chosen = self
                .context
                .backends
                .choose(&run.service, &spec.model, demand, fits);
            let Some(instance) = chosen else {
                self.has_waiting_items = true;
                return;
            };
            // The run begins with its first poll; the guard counts it from now on.
            let guard = instance.begin();
            let run = Arc::clone(&run);
            let kept = self.job.state().kept(&spec.items[index].id);
            self.running.insert(index);
            self.runs.spawn(async move {
                drop(guard);
                (index, run_item(run, index, instance, kept).await)
            });
        }
    }

    fn startable(&self, spec: &JobSpec) -> Vec<usize> {
        let state = self.job.state();
        let in_log: HashSet<usize> = self.running.iter().copied().collect();
        let queued = self.queue.items_with_results(&self.in_append);
        let mut startable: Vec<usize> = (0..spec.items.len())
            .filter(|index| !in_log.contains(index))
            .filter(|index| {
                let id = &spec.items[*index].id;
                !state.is_listed(id) && !queued.contains(id)
            })
            .collect();
        startable.sort_by_key(|index| std::cmp::Reverse(spec.items[*index].expected_tokens));
        startable
    }

    /// How items run under the configuration in force; `None` while no route takes them.
    fn run_context(&self, spec: &Arc<JobSpec>) -> Option<Arc<RunContext>> {
        let config = self.context.config.current()?;
        let route: &Route = config.route(&spec.host, &spec.path)?;
        Some(Arc::new(RunContext {
            backends: self.context.backends.clone(),
            codec: Arc::clone(&self.context.codec),
            spec: Arc::clone(spec),
            service: route.pick_service(rand::random()).to_owned(),
            max_attempts: route.max_attempts,
            single_version: route.single_version,
            progress: self.progress.0.clone(),
            stop: self.stop.subscribe(),
            give_up_at: route.max_queue.map(|age| self.job.opened_at + age),
        }))
    }

    fn end(self, end: OwnerEnd) -> OwnerEnd {
        match end {
            OwnerEnd::Lost => self.lost(),
            OwnerEnd::Ended => self.ended(),
        }
    }

    fn lost(mut self) -> OwnerEnd {
        self.runs.abort_all();
        log::info!("event=job_lost job={}", self.job.id);
        OwnerEnd::Lost
    }

    fn ended(mut self) -> OwnerEnd {
        self.runs.abort_all();
        self.job.state().drop_bodies();
        for ender in self.enders.drain(..) {
            let _ = ender.send(());
        }
        self.job.notify();
        log::info!("event=job_ended job={}", self.job.id);
        OwnerEnd::Ended
    }
}

/// Expected tokens from which an item is among the longest eighth of its job.
fn long_from(spec: &JobSpec) -> u64 {
    let mut expected: Vec<u64> = spec.items.iter().map(|item| item.expected_tokens).collect();
    expected.sort_unstable();
    let index = expected.len() - expected.len() / LONG_SHARE;
    expected
        .get(index)
        .copied()
        .filter(|tokens| *tokens > 0)
        .unwrap_or(u64::MAX)
}

/// Repeats an append whose outcome is unknown until it is known.
async fn append_until_known(
    writer: &mut LogWriter,
    entries: Vec<LogEntry>,
    closes: bool,
) -> Result<(), JournalError> {
    let mut result = writer.append(entries, closes).await;
    while let Err(JournalError::NoQuorum(cause)) = result {
        log::warn!(
            "event=append_in_doubt log={} cause=\"{cause}\"",
            writer.log()
        );
        tokio::time::sleep(ladderstage_journal::jitter::jittered(RETRY_PAUSE)).await;
        result = writer.retry().await;
    }
    result
}

/// Returns at `at`; never without it.
async fn until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at.into()).await,
        None => std::future::pending().await,
    }
}

async fn wait_for(appending: &mut Option<BoxFuture<'static, AppendDone>>) -> AppendDone {
    match appending {
        Some(appending) => appending.await,
        None => std::future::pending().await,
    }
}

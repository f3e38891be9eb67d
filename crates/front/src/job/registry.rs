//! Registry of this node's jobs, and access to those of other nodes: accepts, reads, ends and
//! adopts jobs.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use ladderstage::journal::WriterEpoch;
use ladderstage_clock::Instant;
use ladderstage_journal::jitter::jittered;
use ladderstage_journal::{JournalError, LogWriter};
use ladderstage_wire::messages::{JobResults, JobSpec};

use super::appending::RETRY_PAUSE;
use super::context::JobContext;
use super::job_memory::JobMemory;
use super::local_job::{Command, Job};
use super::locating::JobOwner;
use super::lock::lock;
use super::new_job::NewJob;
use super::owner::{Owner, OwnerEnd};
use super::peer_requests::{
    body_from, body_request, done_from, end_request, read_request, results_from,
};
use super::reading::{
    COMMIT_TIMEOUT, JobError, end_local_job, local_item_body, read_local_job, unavailable,
};
use super::replay::{ReplayedLog, replay_writer};
use super::result_cache::ResultCache;
use super::text_reuse::UnfinishedEntry;
use super::{LOG_PREFIX, log_name};
use crate::memory::Reservation;
use crate::orders::{FormerLeaders, LearnedLoadLimit};

/// Maximum age of the last majority confirmation at which an owner answers reads. Limits how long
/// readers may see the state of a superseded owner. Readers may see an outdated state for a second
/// at most.
const MAX_READ_CONFIRMATION_AGE: Duration = Duration::from_millis(700);

/// Copies of the entries of an adopted job: the log, and the decoded items.
const ADOPTED_COPIES: usize = 2;

/// Time after an adoption without memory in which no other one is tried.
const ADOPTION_PAUSE: Duration = Duration::from_secs(1);

/// Interval at which expired jobs are removed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(10);

/// Reason why this node did not become the owner of a job.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(super) enum TakeOverError {
    /// Another node has become the owner.
    #[error("another node has taken the job over")]
    Superseded,
    /// The job could not be taken over.
    #[error(transparent)]
    Failed(#[from] JobError),
}

/// Jobs of this node. Cheap to clone.
#[derive(Clone)]
pub struct JobRegistry {
    pub(super) context: Arc<JobContext>,
    pub(super) shared: Arc<SharedState>,
    pub(super) started_at: Instant,
}

pub(super) struct SharedState {
    pub(super) jobs: Mutex<HashMap<String, Arc<Job>>>,
    /// Jobs whose logs are being taken over.
    pub(super) opening: Mutex<HashSet<String>>,
    /// Jobs reported as orphaned that are being checked.
    pub(super) checking: Mutex<HashSet<String>>,
    /// Cached owners of other nodes' jobs, with the time at which each was learned.
    pub(super) owners: Mutex<HashMap<String, (String, Instant)>>,
    /// Results that were read from other owners.
    pub(super) result_cache: Mutex<ResultCache>,
    /// Unfinished items of ended jobs.
    pub(super) unfinished: Mutex<Vec<UnfinishedEntry>>,
    /// When the memory was last too small to adopt a job.
    adoption_refused_at: Mutex<Option<Instant>>,
}

impl SharedState {
    fn new(result_cache_bytes: usize) -> Self {
        Self {
            jobs: Mutex::default(),
            opening: Mutex::default(),
            checking: Mutex::default(),
            owners: Mutex::default(),
            result_cache: Mutex::new(ResultCache::new(result_cache_bytes)),
            unfinished: Mutex::default(),
            adoption_refused_at: Mutex::default(),
        }
    }
}

/// Removes a job from `opening` when it is dropped.
struct OpeningGuard {
    shared: Arc<SharedState>,
    id: String,
}

impl Drop for OpeningGuard {
    fn drop(&mut self) {
        lock(&self.shared.opening).remove(&self.id);
    }
}

impl JobRegistry {
    /// Creates an empty registry.
    pub fn new(context: JobContext) -> Self {
        let shared = SharedState::new(context.result_cache_bytes);
        Self {
            context: Arc::new(context),
            shared: Arc::new(shared),
            started_at: Instant::now(),
        }
    }

    /// Returns results from position `after` on; waits up to `wait` for the first one.
    ///
    /// # Errors
    /// See [`JobError`].
    pub async fn read(&self, id: &str, after: u64, wait: Duration) -> Result<JobResults, JobError> {
        if !self.needs_relay(id) {
            return self.read_here_or_at_owner(id, after, wait).await;
        }
        self.read_elsewhere(id, after, wait, true).await
    }

    /// Reads like [`JobRegistry::read`], but does not relay the request through another front.
    pub(super) async fn read_here_or_at_owner(
        &self,
        id: &str,
        after: u64,
        wait: Duration,
    ) -> Result<JobResults, JobError> {
        match self.local(id) {
            Some(job) if job.state().spec().is_some() => self.read_here(&job, after, wait).await,
            _ => self.read_elsewhere(id, after, wait, false).await,
        }
    }

    /// Reads a job of another node; requests only results that are not cached. A job of this node
    /// whose ownership is not confirmed is read through another front, without the cache.
    async fn read_elsewhere(
        &self,
        id: &str,
        after: u64,
        wait: Duration,
        relayed: bool,
    ) -> Result<JobResults, JobError> {
        if relayed && self.local(id).is_some() {
            let request = read_request(id, after, wait, relayed);
            return results_from(self.relay(id, &request, wait).await?);
        }
        let read = lock(&self.shared.result_cache).start_read(id, after);
        // The page is kept while the owner is asked.
        let mut memory = self.context.memory.reservation("cached_results");
        let reserved = memory.grow(read.text_bytes());
        reserved.map_err(|error| unavailable(&error.to_string()))?;
        let wait = if read.has_results() {
            Duration::ZERO
        } else {
            wait
        };
        let request = read_request(id, read.next_position(), wait, relayed);
        let answered = if relayed {
            self.relay(id, &request, wait).await.and_then(results_from)
        } else {
            match self.call_owner(id, &request, wait).await {
                Ok(JobOwner::Local(job)) => return self.read_here(&job, after, wait).await,
                Ok(JobOwner::Answer(answer)) => results_from(answer),
                Err(error) => Err(error),
            }
        };
        match answered {
            Ok(results) => {
                let mut result_cache = lock(&self.shared.result_cache);
                result_cache.insert(id, read.next_position(), &results);
                Ok(read.complete(results))
            }
            Err(error) => read.into_cached().ok_or(error),
        }
    }

    /// Returns the body of an item of an open job.
    ///
    /// # Errors
    /// See [`JobError`].
    pub async fn body(&self, id: &str, item: &str) -> Result<Vec<u8>, JobError> {
        if !self.needs_relay(id) {
            return self.body_here_or_at_owner(id, item).await;
        }
        let request = body_request(id, item, true);
        body_from(self.relay(id, &request, Duration::ZERO).await?)
    }

    /// Returns a body like [`JobRegistry::body`], but does not relay the request through another
    /// front.
    pub(super) async fn body_here_or_at_owner(
        &self,
        id: &str,
        item: &str,
    ) -> Result<Vec<u8>, JobError> {
        let request = body_request(id, item, false);
        match self.call_owner(id, &request, Duration::ZERO).await? {
            JobOwner::Local(job) => local_item_body(&job, item).ok_or(JobError::NotFound),
            JobOwner::Answer(answer) => body_from(answer),
        }
    }

    /// Ends a job; returns `Ok` once the end is committed, also if it was ended before.
    ///
    /// # Errors
    /// See [`JobError`].
    pub async fn end(&self, id: &str) -> Result<(), JobError> {
        if !self.needs_relay(id) {
            return self.end_here_or_at_owner(id).await;
        }
        let request = end_request(id, true);
        done_from(self.relay(id, &request, COMMIT_TIMEOUT).await?)
    }

    /// Ends a job like [`JobRegistry::end`], but does not relay the request through another front.
    pub(super) async fn end_here_or_at_owner(&self, id: &str) -> Result<(), JobError> {
        let request = end_request(id, false);
        match self.call_owner(id, &request, COMMIT_TIMEOUT).await? {
            JobOwner::Local(job) => end_local_job(&job).await,
            JobOwner::Answer(answer) => done_from(answer),
        }
    }

    /// Returns whether this node owns a job whose acceptance is committed.
    pub fn has_accepted(&self, id: &str) -> bool {
        self.local(id)
            .is_some_and(|job| job.state().spec().is_some())
    }

    /// Returns the limit on concurrent weight loads, as learned so far.
    pub fn learned_load_limit(&self) -> &LearnedLoadLimit {
        &self.context.learned_load_limit
    }

    /// Returns the recent orders of former order leaders.
    pub fn former_leaders(&self) -> &FormerLeaders {
        &self.context.former_leaders
    }

    /// Records that a majority of replicas answered a heartbeat sent at `sent_at`.
    pub fn on_confirmed(&self, sent_at: Instant) {
        self.context.confirmation.record(sent_at);
    }

    /// Handles a replica's report that it has accepted another writer of the log.
    pub fn on_fence_reported(&self, log: &str) {
        let id = log.strip_prefix(LOG_PREFIX).unwrap_or_default();
        if let Some(job) = self.local(id) {
            job.set_contested();
        }
    }

    /// Returns whether this node's state of a job is recent enough to be read.
    pub(super) fn is_readable(&self, job: &Job) -> bool {
        let age = self.context.confirmation.age(job.opened_at);
        job.state().is_ended() || job.is_uncontested() && age < MAX_READ_CONFIRMATION_AGE
    }

    pub(super) async fn read_here(
        &self,
        job: &Job,
        after: u64,
        wait: Duration,
    ) -> Result<JobResults, JobError> {
        let results = read_local_job(job, after, wait).await;
        if !self.is_readable(job) {
            return Err(unavailable(
                "no recent confirmation of this node's ownership",
            ));
        }
        Ok(results)
    }

    /// Stops the owner of a job whose log another node has taken over.
    pub fn on_fenced(&self, log: &str) {
        let id = log.strip_prefix(LOG_PREFIX).unwrap_or_default();
        if let Some(job) = self.local(id) {
            job.send(Command::Lost);
        }
    }

    /// Removes expired jobs and cached results periodically, until the future is dropped.
    pub async fn sweep(&self) {
        loop {
            tokio::time::sleep(SWEEP_INTERVAL).await;
            let retention = self.context.retention;
            lock(&self.shared.jobs).retain(|_, job| job.opened_at.elapsed() < retention * 2);
            lock(&self.shared.owners).retain(|_, (_, learned_at)| learned_at.elapsed() < retention);
            lock(&self.shared.result_cache).remove_unread_for(retention);
        }
    }

    pub(super) fn local(&self, id: &str) -> Option<Arc<Job>> {
        lock(&self.shared.jobs).get(id).cloned()
    }

    /// Becomes the owner of a job that is in the journal. With the epoch `last`, only if no other
    /// node has become the owner since the one with that epoch.
    pub(super) async fn adopt(
        &self,
        id: &str,
        last: Option<WriterEpoch>,
    ) -> Result<Arc<Job>, TakeOverError> {
        if let Some(job) = self.local(id) {
            return Ok(job);
        }
        let job = match self.open(id, last).await {
            Ok(job) => job,
            Err(JournalError::Fenced) => return Err(TakeOverError::Superseded),
            Err(error) => return Err(unavailable(&error.to_string()).into()),
        };
        if job.state().spec().is_none() {
            lock(&self.shared.jobs).remove(id);
            return Err(JobError::NotFound.into());
        }
        let jobs = &self.context.metrics.jobs;
        jobs.with_label_values(&["adopted"]).inc();
        Ok(job)
    }

    /// Takes over the log of a job that is in the journal and starts its owner. With the epoch
    /// `last`, only if no other writer has taken it over since the one with that epoch.
    async fn open(&self, id: &str, last: Option<WriterEpoch>) -> Result<Arc<Job>, JournalError> {
        let opening = self.start_opening(id)?;
        if self.is_adoption_paused() {
            return Err(JournalError::NotAdmitted);
        }
        let journal = &self.context.journal;
        let mut memory = self.context.memory.reservation("adopted_job");
        let admit = |bytes| memory.grow(bytes * ADOPTED_COPIES).is_ok();
        let taken = journal.take_over_writer(&log_name(id), last, admit).await;
        if let Err(JournalError::NotAdmitted) = &taken {
            *lock(&self.shared.adoption_refused_at) = Some(Instant::now());
            log::warn!("event=job_not_adopted job={id} cause=\"no memory for its log\"");
        }
        self.start_owner(opening, taken?, None, memory).await
    }

    /// Returns whether the memory was too small for a job just now, so that reading the log of another
    /// one would be in vain, too.
    fn is_adoption_paused(&self) -> bool {
        let refused_at = *lock(&self.shared.adoption_refused_at);
        refused_at.is_some_and(|at| at.elapsed() < ADOPTION_PAUSE)
    }

    /// Takes over the log of a new job and starts its owner, which commits the acceptance. Only if
    /// no other writer has taken it over since the one with the epoch `last`.
    ///
    /// Repeats rounds that too few replicas answered in time while they still confirm this node's
    /// heartbeats, as they are only busy then.
    pub(super) async fn open_new(
        &self,
        id: &str,
        new_job: &NewJob,
        last: WriterEpoch,
    ) -> Result<Arc<Job>, JournalError> {
        let opening = self.start_opening(id)?;
        let journal = &self.context.journal;
        let mut take_over = journal.start_take_over(&log_name(id), last);
        let writer = loop {
            match take_over.attempt_writer().await {
                Err(JournalError::NoQuorum(cause)) if !self.is_journal_unreachable() => {
                    log::warn!("event=job_log_unavailable job={id} cause=\"{cause}\"");
                    tokio::time::sleep(jittered(RETRY_PAUSE)).await;
                }
                taken => break taken?,
            }
        };
        let memory = self.context.memory.reservation("adopted_job");
        self.start_owner(opening, writer, Some(new_job.clone()), memory)
            .await
    }

    fn start_opening(&self, id: &str) -> Result<OpeningGuard, JournalError> {
        if !lock(&self.shared.opening).insert(id.to_owned()) {
            return Err(JournalError::AppendPending);
        }
        Ok(OpeningGuard {
            shared: Arc::clone(&self.shared),
            id: id.to_owned(),
        })
    }

    /// Starts the owner of a job whose log has been taken over. `new_job` is set for a new job; otherwise
    /// `memory` is reserved for the log and the items.
    async fn start_owner(
        &self,
        opening: OpeningGuard,
        writer: LogWriter,
        new_job: Option<NewJob>,
        memory: Reservation,
    ) -> Result<Arc<Job>, JournalError> {
        let id = opening.id.as_str();
        let taken_at = Instant::now();
        let replayed = replay_writer(&writer).await.map_err(|error| {
            log::error!("event=job_log_unreadable job={id} cause=\"{error}\"");
            JournalError::Retired
        })?;
        let ReplayedLog {
            state,
            digest,
            bytes: log_bytes,
        } = replayed;
        let is_known = state.spec().is_some();
        log::info!(
            "event=job_log_taken job={id} epoch={:?} entries={} results={} ended={} replay_ms={}",
            writer.epoch(),
            writer.length(),
            state.results().len(),
            state.is_ended(),
            taken_at.elapsed().as_millis()
        );
        let new_job = new_job.filter(|_| !is_known);
        let memory = match (&new_job, state.spec()) {
            (Some(new_job), _) => new_job.memory.clone(),
            (None, found) => {
                let spec = found.map(Arc::as_ref);
                JobMemory::adopt(memory, spec.unwrap_or(&JobSpec::default()), log_bytes)
            }
        };
        let (job, commands) = Job::new(id, state, writer.epoch(), taken_at, memory);
        lock(&self.shared.jobs).insert(id.to_owned(), Arc::clone(&job));
        // A fence that was reported during the replay found no job to stop.
        if writer.is_fenced() {
            self.remove(&job);
            return Err(JournalError::Fenced);
        }
        lock(&self.shared.owners).remove(id);
        drop(opening);
        if !is_known && new_job.is_none() {
            return Ok(job);
        }
        let context = Arc::clone(&self.context);
        let spec = new_job.as_ref().map(|new_job| new_job.spec.as_ref());
        let trainer_spec = spec.filter(|spec| spec.desired_groups > 0);
        let collection = trainer_spec.map(|spec| self.collect_kept_texts(spec));
        let mut owner = Owner::new(context, Arc::clone(&job), writer, digest, new_job);
        owner.earlier_texts_request = collection;
        let registry = self.clone();
        let owned = Arc::clone(&job);
        let activity = self.context.activity.start();
        tokio::spawn(async move {
            let _activity = activity;
            match owner.run(commands).await {
                OwnerEnd::Lost => registry.remove(&owned),
                OwnerEnd::Ended(Some(unfinished)) => registry.keep_unfinished(*unfinished).await,
                OwnerEnd::Ended(None) => {}
            }
        });
        Ok(job)
    }

    /// Removes this job unless its entry has been replaced.
    fn remove(&self, job: &Arc<Job>) {
        let mut jobs = lock(&self.shared.jobs);
        if jobs
            .get(&job.id)
            .is_some_and(|known| Arc::ptr_eq(known, job))
        {
            jobs.remove(&job.id);
        }
    }
}

//! The jobs of this node and the way to all others: accepts, reads, ends and adopts them.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use ladderstage_clock::Instant;
use ladderstage_journal::JournalError;
use ladderstage_wire::messages::{JobResults, JobSpec};

use super::carrying::LeftoverEntry;
use super::context::JobContext;
use super::digest::LogDigest;
use super::locating::Owned;
use super::lock::lock;
use super::owner::{Owner, OwnerEnd};
use super::questions::{body_of, body_request, done_of, end_request, read_request, results_of};
use super::reading::{COMMIT_LIMIT, ReadError, body_local, end_local, read_local, unavailable};
use super::seen::SeenResults;
use super::shared::{Command, Job};
use super::state::JobState;
use super::{LOG_PREFIX, log_name};
use crate::orders::{FormerLeaders, LearnedLoadLimit};

/// An owner answers reads for this long after a majority of replicas last confirmed it: another owner may have listed more
/// since, and readers may see an older state for a second at most.
const READ_TRUST: Duration = Duration::from_millis(700);

/// Between looks for jobs that need not be kept any more.
const SWEEP_INTERVAL: Duration = Duration::from_secs(10);

/// Why a job was not accepted.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum AcceptError {
    /// Nothing of it is kept by this try.
    #[error("not kept: {0}")]
    NotStored(String),
    /// It may be kept.
    #[error("in doubt: {0}")]
    OutcomeUnknown(String),
}

/// The jobs of this node. Cheap to clone.
#[derive(Clone)]
pub struct JobRegistry {
    pub(super) context: Arc<JobContext>,
    pub(super) shared: Arc<Shared>,
    pub(super) started_at: Instant,
}

#[derive(Default)]
pub(super) struct Shared {
    pub(super) jobs: Mutex<HashMap<String, Arc<Job>>>,
    /// Jobs whose logs are being taken over.
    pub(super) opening: Mutex<HashSet<String>>,
    /// Owners of other jobs as last heard.
    pub(super) owners: Mutex<HashMap<String, (String, Instant)>>,
    /// Results that were read at other owners.
    pub(super) seen: Mutex<SeenResults>,
    /// What ended jobs left behind here.
    pub(super) leftovers: Mutex<Vec<LeftoverEntry>>,
}

/// Removes a job from those being opened.
struct Opening {
    shared: Arc<Shared>,
    id: String,
}

impl Drop for Opening {
    fn drop(&mut self) {
        lock(&self.shared.opening).remove(&self.id);
    }
}

impl JobRegistry {
    /// No jobs yet.
    pub fn new(context: JobContext) -> Self {
        Self {
            context: Arc::new(context),
            shared: Arc::default(),
            started_at: Instant::now(),
        }
    }

    /// Accepts a job and owns it: `Ok` once a majority of store disks holds it, also if it was accepted before, then by any owner.
    pub(super) async fn accept_here(&self, spec: JobSpec) -> Result<(), AcceptError> {
        let id = spec.job.clone();
        match self.find_accepted(&id).await {
            Ok(Owned::Here(job)) => return self.wait_accepted(&job).await,
            Ok(Owned::Answer(_)) => return Ok(()),
            Err(ReadError::NotFound) => {}
            Err(ReadError::Unavailable(cause)) => return Err(AcceptError::NotStored(cause)),
        }
        if let Err(cause) = self.check_bounds(&spec) {
            log::warn!("event=job_regions_rejected job={id} cause=\"{cause}\"");
            let refused = &self.context.metrics.refused_by_region;
            refused.with_label_values(&["job"]).inc();
            return Err(AcceptError::NotStored(cause.to_string()));
        }
        let about = describe(&spec);
        let opened = tokio::time::timeout(COMMIT_LIMIT, self.open(&id, Some(spec))).await;
        let job = match opened {
            Ok(Ok(job)) => job,
            Ok(Err(JournalError::NoQuorum(cause))) => return Err(AcceptError::NotStored(cause)),
            Ok(Err(error)) => return Err(AcceptError::OutcomeUnknown(error.to_string())),
            Err(_) => {
                return Err(AcceptError::NotStored(
                    "the log was not sealed in time".to_owned(),
                ));
            }
        };
        self.wait_accepted(&job).await?;
        self.context
            .metrics
            .jobs
            .with_label_values(&["accepted"])
            .inc();
        log::info!("event=job_accepted job={id} {about}");
        Ok(())
    }

    /// Results from position `after` on; waits up to `wait` for one.
    ///
    /// # Errors
    /// See [`ReadError`].
    pub async fn read(
        &self,
        id: &str,
        after: u64,
        wait: Duration,
    ) -> Result<JobResults, ReadError> {
        if !self.needs_relay(id) {
            return self.read_here_or_at_owner(id, after, wait).await;
        }
        self.read_elsewhere(id, after, wait, true).await
    }

    /// As [`JobRegistry::read`], without the help of a front that is no owner.
    pub(super) async fn read_here_or_at_owner(
        &self,
        id: &str,
        after: u64,
        wait: Duration,
    ) -> Result<JobResults, ReadError> {
        match self.local(id) {
            Some(job) if job.state().spec().is_some() => self.read_here(&job, after, wait).await,
            _ => self.read_elsewhere(id, after, wait, false).await,
        }
    }

    /// Reads a job of another node: only results that were not read here before are asked for.
    async fn read_elsewhere(
        &self,
        id: &str,
        after: u64,
        wait: Duration,
        relayed: bool,
    ) -> Result<JobResults, ReadError> {
        let known = lock(&self.shared.seen).known(id);
        let has_some = after < known;
        let (from, wait) = if has_some {
            (known, Duration::ZERO)
        } else {
            (after, wait)
        };
        let request = read_request(id, from, wait, relayed);
        let asked = if relayed {
            self.relay(id, &request, wait).await.and_then(results_of)
        } else {
            match self.ask(id, &request, wait).await {
                Ok(Owned::Here(job)) => return self.read_here(&job, after, wait).await,
                Ok(Owned::Answer(answer)) => results_of(answer),
                Err(error) => Err(error),
            }
        };
        let mut seen = lock(&self.shared.seen);
        match asked {
            Ok(results) => {
                seen.record(id, from, &results);
                Ok(seen.page(id, after).unwrap_or(results))
            }
            // What was read before holds whether its owner is reached or not.
            Err(error) => seen.page(id, after).filter(|_| has_some).ok_or(error),
        }
    }

    /// Body of an item that has no result yet.
    ///
    /// # Errors
    /// See [`ReadError`].
    pub async fn body(&self, id: &str, item: &str) -> Result<Vec<u8>, ReadError> {
        if !self.needs_relay(id) {
            return self.body_here_or_at_owner(id, item).await;
        }
        let request = body_request(id, item, true);
        body_of(self.relay(id, &request, Duration::ZERO).await?)
    }

    /// As [`JobRegistry::body`], without the help of a front that is no owner.
    pub(super) async fn body_here_or_at_owner(
        &self,
        id: &str,
        item: &str,
    ) -> Result<Vec<u8>, ReadError> {
        let request = body_request(id, item, false);
        match self.ask(id, &request, Duration::ZERO).await? {
            Owned::Here(job) => body_local(&job, item).ok_or(ReadError::NotFound),
            Owned::Answer(answer) => body_of(answer),
        }
    }

    /// Ends a job: `Ok` once that is committed, also if it was ended before.
    ///
    /// # Errors
    /// See [`ReadError`].
    pub async fn end(&self, id: &str) -> Result<(), ReadError> {
        if !self.needs_relay(id) {
            return self.end_here_or_at_owner(id).await;
        }
        let request = end_request(id, true);
        done_of(self.relay(id, &request, COMMIT_LIMIT).await?)
    }

    /// As [`JobRegistry::end`], without the help of a front that is no owner.
    pub(super) async fn end_here_or_at_owner(&self, id: &str) -> Result<(), ReadError> {
        let request = end_request(id, false);
        match self.ask(id, &request, COMMIT_LIMIT).await? {
            Owned::Here(job) => end_local(&job).await,
            Owned::Answer(answer) => done_of(answer),
        }
    }

    /// What givers of orders have learnt of loads, here or by their word.
    pub fn learned_load_limit(&self) -> &LearnedLoadLimit {
        &self.context.learned_load_limit
    }

    /// The giver of orders that told its end last.
    pub fn former_leaders(&self) -> &FormerLeaders {
        &self.context.former_leaders
    }

    /// Notes that a majority of replicas answered a heartbeat sent at `asked_at`.
    pub fn on_confirmed(&self, asked_at: Instant) {
        self.context.confirmation.record(asked_at);
    }

    /// Notes that a replica says that another node has the log.
    pub fn on_fence_reported(&self, log: &str) {
        let id = log.strip_prefix(LOG_PREFIX).unwrap_or_default();
        if let Some(job) = self.local(id) {
            job.set_contested();
        }
    }

    /// Whether this node's state of a job is recent enough to be read.
    pub(super) fn is_readable(&self, job: &Job) -> bool {
        let age = self.context.confirmation.age(job.opened_at);
        job.state().is_ended() || job.is_uncontested() && age < READ_TRUST
    }

    pub(super) async fn read_here(
        &self,
        job: &Job,
        after: u64,
        wait: Duration,
    ) -> Result<JobResults, ReadError> {
        let results = read_local(job, after, wait).await;
        if !self.is_readable(job) {
            return Err(unavailable("ownership is not confirmed"));
        }
        Ok(results)
    }

    /// Gives up a job whose log another node has taken.
    pub fn on_fenced(&self, log: &str) {
        let id = log.strip_prefix(LOG_PREFIX).unwrap_or_default();
        if let Some(job) = self.local(id) {
            job.ask(Command::Lost);
        }
    }

    /// Forgets jobs that need not be read any more, for as long as the future is polled.
    pub async fn sweep(&self) {
        loop {
            tokio::time::sleep(SWEEP_INTERVAL).await;
            let retention = self.context.retention;
            lock(&self.shared.jobs).retain(|_, job| job.opened_at.elapsed() < retention * 2);
            lock(&self.shared.owners).retain(|_, (_, heard)| heard.elapsed() < retention);
            lock(&self.shared.seen).forget(retention);
        }
    }

    pub(super) fn local(&self, id: &str) -> Option<Arc<Job>> {
        lock(&self.shared.jobs).get(id).cloned()
    }

    async fn wait_accepted(&self, job: &Job) -> Result<(), AcceptError> {
        let mut changed = job.watch();
        let accepted = async {
            while job.state().spec().is_none() {
                if changed.changed().await.is_err() {
                    return;
                }
            }
        };
        let waited = tokio::time::timeout(COMMIT_LIMIT, accepted).await;
        waited.map_err(|_| AcceptError::OutcomeUnknown("the commit takes too long".to_owned()))
    }

    /// Becomes the owner of a job that is in the journal.
    pub(super) async fn adopt(&self, id: &str) -> Result<Arc<Job>, ReadError> {
        if let Some(job) = self.local(id) {
            return Ok(job);
        }
        let opened = self.open(id, None).await;
        let job = opened.map_err(|error| unavailable(&error.to_string()))?;
        if job.state().spec().is_none() {
            lock(&self.shared.jobs).remove(id);
            return Err(ReadError::NotFound);
        }
        let jobs = &self.context.metrics.jobs;
        jobs.with_label_values(&["adopted"]).inc();
        Ok(job)
    }

    /// Takes the job's log over and starts its owner.
    async fn open(&self, id: &str, spec: Option<JobSpec>) -> Result<Arc<Job>, JournalError> {
        if !lock(&self.shared.opening).insert(id.to_owned()) {
            return Err(JournalError::Unresolved);
        }
        let opening = Opening {
            shared: Arc::clone(&self.shared),
            id: id.to_owned(),
        };
        let (writer, entries) = self.context.journal.take_over(&log_name(id)).await?;
        let state = JobState::replay(&entries).map_err(|error| {
            log::error!("event=job_log_unreadable job={id} cause=\"{error}\"");
            JournalError::Retired
        })?;
        let is_known = state.spec().is_some();
        log::info!(
            "event=job_log_taken job={id} epoch={:?} entries={} results={} ended={}",
            writer.epoch(),
            entries.len(),
            state.results().len(),
            state.is_ended()
        );
        let (job, commands) = Job::new(id, state);
        lock(&self.shared.jobs).insert(id.to_owned(), Arc::clone(&job));
        lock(&self.shared.owners).remove(id);
        drop(opening);
        let spec = spec.filter(|_| !is_known);
        if !is_known && spec.is_none() {
            return Ok(job);
        }
        let context = Arc::clone(&self.context);
        let digest = LogDigest::of(&entries);
        let trainer_spec = spec.as_ref().filter(|spec| spec.desired_groups > 0);
        let carried = trainer_spec.map(|spec| self.gather_kept_texts(spec));
        let mut owner = Owner::new(context, Arc::clone(&job), writer, digest, spec);
        owner.gathering = carried;
        let registry = self.clone();
        let owned = Arc::clone(&job);
        let activity = self.context.activity.start();
        tokio::spawn(async move {
            let _activity = activity;
            match owner.run(commands).await {
                OwnerEnd::Lost => registry.forget(&owned),
                OwnerEnd::Ended(Some(leftover)) => registry.keep_leftover(*leftover).await,
                OwnerEnd::Ended(None) => {}
            }
        });
        Ok(job)
    }

    /// Forgets exactly this job.
    fn forget(&self, job: &Arc<Job>) {
        let mut jobs = lock(&self.shared.jobs);
        if jobs
            .get(&job.id)
            .is_some_and(|known| Arc::ptr_eq(known, job))
        {
            jobs.remove(&job.id);
        }
    }
}

/// What the log tells of a job that was handed in.
fn describe(spec: &JobSpec) -> String {
    format!(
        "model={} step={} oldest_version={} desired_groups={} items={}",
        spec.model,
        spec.train_step,
        spec.min_version,
        spec.desired_groups,
        spec.items.len()
    )
}

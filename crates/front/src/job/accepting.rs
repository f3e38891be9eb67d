//! Accepts new jobs. At most one front accepts a job at a time.
//!
//! Several fronts may be asked to accept the same job: a front that forwards a step and gets no answer
//! in time accepts it itself, and a client repeats a submission at another front. A front that takes
//! the log from one that is about to commit the acceptance would move the job and start it again.

use std::time::Duration;

use ladderstage::journal::WriterEpoch;
use ladderstage_clock::Instant;
use ladderstage_journal::JournalError;
use ladderstage_journal::jitter::jittered;
use ladderstage_wire::MessageWrite;
use ladderstage_wire::messages::JobSpec;

use super::appending::RETRY_PAUSE;
use super::job_memory::JobMemory;
use super::local_job::Job;
use super::locating::{JobOwner, NodeCallError, acceptance_probe};
use super::lock::lock;
use super::new_job::NewJob;
use super::orphans::UNREACHABLE_OWNER_TIMEOUT;
use super::reading::{COMMIT_TIMEOUT, JobError};
use super::recorded_owners::{RecordedOwner, RecordedOwners};
use super::registry::JobRegistry;
use crate::memory::{BudgetExhausted, Reservation};
use crate::program::OWNER_TIMEOUT;

/// Interval between checks of a job that another front is accepting.
const ACCEPT_POLL_INTERVAL: Duration = Duration::from_millis(40);

/// Reason why a job was not accepted.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum AcceptError {
    /// The memory for the job is not available, so that this attempt has not stored it.
    #[error("job not stored: {0}")]
    NoMemory(#[from] BudgetExhausted),
    /// This attempt has not stored the job.
    #[error("job not stored: {0}")]
    NotStored(String),
    /// The job may or may not be stored.
    #[error("outcome unknown: {0}")]
    OutcomeUnknown(String),
}

/// Front that has accepted a new job.
enum AcceptedBy {
    /// This front.
    Here,
    /// Another front.
    Elsewhere,
}

/// End of a wait for this front's acceptance of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OwnAcceptance {
    /// A majority of store disks holds the job.
    Committed,
    /// Another front has taken the log over before.
    Fenced,
}

/// Whether an owner that replicas name accepts a new job.
enum AcceptState {
    /// It has accepted the job.
    Accepted,
    /// It may still accept the job.
    Undecided,
    /// It will not accept the job.
    NotAccepting,
}

/// Returns the error for a job that this attempt has not stored. `may_be_accepted` is whether another
/// attempt, here or at another front, may have stored the job.
fn not_stored(may_be_accepted: bool, cause: &str) -> AcceptError {
    if may_be_accepted {
        AcceptError::OutcomeUnknown(format!("another attempt may store it: {cause}"))
    } else {
        AcceptError::NotStored(cause.to_owned())
    }
}

impl JobRegistry {
    /// Accepts a job and becomes its owner. Returns `Ok` once a majority of store disks holds the
    /// job, also if any node accepted it before. `memory` covers the job's items.
    pub(super) async fn accept_here(
        &self,
        spec: JobSpec,
        mut memory: Reservation,
    ) -> Result<(), AcceptError> {
        let id = spec.job.clone();
        let deadline = Instant::now() + COMMIT_TIMEOUT;
        match self.find_accepted_before(&id, deadline).await {
            // Only a job whose acceptance is committed is found.
            Ok(JobOwner::Local(_) | JobOwner::Answer(_)) => return Ok(()),
            Err(JobError::NotFound) => {}
            Err(JobError::Unavailable(cause)) => {
                return Err(not_stored(self.may_be_accepting(&id), &cause));
            }
        }
        if let Err(cause) = self.check_regions(&spec) {
            log::warn!("event=job_regions_rejected job={id} cause=\"{cause}\"");
            let refused = &self.context.metrics.refused_by_region;
            refused.with_label_values(&["job"]).inc();
            return Err(AcceptError::NotStored(cause.to_string()));
        }
        // For the entry of the log, which is no larger than the items.
        memory.grow(spec.get_size())?;
        let fields = log_fields(&spec);
        let new_job = NewJob::new(spec, JobMemory::new(memory)).await;
        let deadline = Instant::now() + COMMIT_TIMEOUT;
        match self.accept_new(&id, new_job, deadline).await? {
            AcceptedBy::Here => {
                let jobs = &self.context.metrics.jobs;
                jobs.with_label_values(&["accepted"]).inc();
                log::info!("event=job_accepted job={id} {fields}");
            }
            AcceptedBy::Elsewhere => {}
        }
        Ok(())
    }

    /// Returns whether another attempt at this front is storing the job or has stored it.
    fn may_be_accepting(&self, id: &str) -> bool {
        lock(&self.shared.opening).contains(id) || self.local(id).is_some()
    }

    /// Returns the owner of a job that was accepted earlier, or `NotFound` for a new job.
    async fn find_accepted_before(
        &self,
        id: &str,
        deadline: Instant,
    ) -> Result<JobOwner, JobError> {
        if !self.knows_owner(id) {
            let owners = self.promised_owners_before(id, deadline).await?;
            if !owners.is_some_and(|owners| owners.has_entries) {
                return Err(JobError::NotFound);
            }
        }
        self.find_accepted(id).await
    }

    /// Returns the owners like [`JobRegistry::promised_owners`]. Repeats rounds that too few replicas
    /// answered in time while they still confirm this node's heartbeats, as they are only busy then.
    async fn promised_owners_before(
        &self,
        id: &str,
        deadline: Instant,
    ) -> Result<Option<RecordedOwners>, JobError> {
        loop {
            let found = self.promised_owners(id).await;
            let Err(error) = &found else {
                return found;
            };
            if self.is_journal_unreachable() || Instant::now() >= deadline {
                return found;
            }
            log::warn!("event=job_log_unavailable job={id} cause=\"{error}\"");
            tokio::time::sleep(jittered(RETRY_PAUSE)).await;
        }
    }

    /// Waits until the acceptance that this front has queued is committed.
    async fn wait_committed(&self, job: &Job) -> Result<OwnAcceptance, AcceptError> {
        let mut changed = job.watch();
        let committed = async {
            while job.state().spec().is_none() {
                tokio::select! {
                    _ = changed.changed() => {}
                    () = job.owner_finished() => break,
                }
            }
            match job.state().spec() {
                Some(_) => OwnAcceptance::Committed,
                None => OwnAcceptance::Fenced,
            }
        };
        let waited = tokio::time::timeout(COMMIT_TIMEOUT, committed).await;
        waited
            .map_err(|_| AcceptError::OutcomeUnknown("the commit of the job timed out".to_owned()))
    }

    /// Takes over the log of a new job and commits its acceptance, or waits while another front
    /// accepts the job.
    async fn accept_new(
        &self,
        id: &str,
        new_job: NewJob,
        deadline: Instant,
    ) -> Result<AcceptedBy, AcceptError> {
        let mut last = WriterEpoch::default();
        let mut was_refused = false;
        loop {
            let opening = self.open_new(id, &new_job, last);
            let opened = tokio::time::timeout_at(deadline.into(), opening).await;
            let timed_out = |_| not_stored(was_refused, "the takeover of the job's log timed out");
            match opened.map_err(timed_out)? {
                Ok(job) => match self.wait_committed(&job).await? {
                    OwnAcceptance::Committed => return Ok(AcceptedBy::Here),
                    OwnAcceptance::Fenced => was_refused = true,
                },
                Err(JournalError::Fenced) => was_refused = true,
                Err(JournalError::NoQuorum(cause)) => return Err(not_stored(was_refused, &cause)),
                Err(error) => return Err(AcceptError::OutcomeUnknown(error.to_string())),
            }
            let waiting = self.wait_while_accepted_elsewhere(id, was_refused, deadline);
            let waited = tokio::time::timeout_at(deadline.into(), waiting).await;
            let timed_out = |_| {
                let cause = "timed out waiting for another front's acceptance";
                AcceptError::OutcomeUnknown(cause.to_owned())
            };
            match waited.map_err(timed_out)?? {
                Some(epoch) => last = epoch,
                None => return Ok(AcceptedBy::Elsewhere),
            }
        }
    }

    /// Waits while another front accepts the job. Returns the epoch to take the log over from, or
    /// `None` once the job is accepted. `was_refused` is whether a replica has refused this front
    /// because of a promise to another one.
    async fn wait_while_accepted_elsewhere(
        &self,
        id: &str,
        was_refused: bool,
        deadline: Instant,
    ) -> Result<Option<WriterEpoch>, AcceptError> {
        loop {
            let owners = self.promised_owners_before(id, deadline).await;
            let owners = owners.map_err(|error| not_stored(was_refused, &error.to_string()))?;
            let Some(owners) = owners else {
                return Ok(Some(WriterEpoch::default()));
            };
            match self.accept_state_of_all(id, &owners).await {
                AcceptState::Accepted => return Ok(None),
                AcceptState::Undecided => {}
                AcceptState::NotAccepting if self.is_own_promise(&owners.newest) => {
                    return Ok(Some(owners.newest.epoch));
                }
                AcceptState::NotAccepting => match self.find_accepted(id).await {
                    Ok(JobOwner::Local(_) | JobOwner::Answer(_)) => return Ok(None),
                    Err(JobError::NotFound) => return Ok(Some(owners.newest.epoch)),
                    Err(JobError::Unavailable(cause)) => {
                        log::info!("event=job_call_failed job={id} cause=\"{cause}\"");
                    }
                },
            }
            tokio::time::sleep(ACCEPT_POLL_INTERVAL).await;
        }
    }

    /// Asks all fronts that were promised the log of a new job. The newest promise may be this
    /// front's own at a minority of the replicas and hide the front that a majority has promised.
    async fn accept_state_of_all(&self, id: &str, owners: &RecordedOwners) -> AcceptState {
        let mut state = AcceptState::NotAccepting;
        for owner in owners.iter() {
            match self.accept_state(id, owner).await {
                AcceptState::Accepted => return AcceptState::Accepted,
                AcceptState::Undecided => state = AcceptState::Undecided,
                AcceptState::NotAccepting => {}
            }
        }
        state
    }

    async fn accept_state(&self, id: &str, owner: &RecordedOwner) -> AcceptState {
        if owner.node == self.context.nodes.own().node {
            return AcceptState::NotAccepting;
        }
        let answer = self.call_node(id, &owner.node, acceptance_probe(id), Duration::ZERO);
        let required_silence = match answer.await {
            Ok(_) => return AcceptState::Accepted,
            Err(NodeCallError::NotOwner) => return AcceptState::NotAccepting,
            Err(NodeCallError::NotReady(_)) => return AcceptState::Undecided,
            Err(NodeCallError::Unavailable(_)) => OWNER_TIMEOUT,
            Err(NodeCallError::Absent(_) | NodeCallError::NotSent(_)) => UNREACHABLE_OWNER_TIMEOUT,
        };
        if owner.is_heard_within(required_silence) {
            AcceptState::Undecided
        } else {
            AcceptState::NotAccepting
        }
    }
}

/// Formats the fields of a job for the log.
fn log_fields(spec: &JobSpec) -> String {
    format!(
        "model={} step={} oldest_version={} desired_groups={} items={}",
        spec.model,
        spec.train_step,
        spec.min_version,
        spec.desired_groups,
        spec.items.len()
    )
}

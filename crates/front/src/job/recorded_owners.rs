//! Owners of a job as a majority of the journal's replicas describe them.

use std::time::Duration;

use ladderstage::journal::WriterEpoch;
use ladderstage_wire::messages::LogDescription;

use super::log_name;
use super::reading::{JobError, unavailable};
use super::registry::JobRegistry;

/// Owner of a job as described by a majority of the journal's replicas.
#[derive(Debug, Clone)]
pub(super) struct RecordedOwner {
    pub node: String,
    pub epoch: WriterEpoch,
    /// Time since any of the replicas heard from the owner; `None` if unknown, or if the job has
    /// ended and needs no owner.
    pub silence: Option<Duration>,
}

impl From<LogDescription> for RecordedOwner {
    fn from(log: LogDescription) -> Self {
        let silence_ms = Some(log.owner_silence_ms);
        let silence_ms = silence_ms.filter(|silence_ms| *silence_ms > 0 && !log.closed);
        Self {
            node: log.owner_node,
            epoch: WriterEpoch::from(&log.promised),
            silence: silence_ms.map(Duration::from_millis),
        }
    }
}

impl RecordedOwner {
    /// Returns whether a replica has heard from the owner within `timeout`.
    pub fn is_heard_within(&self, timeout: Duration) -> bool {
        self.silence.is_some_and(|silence| silence < timeout)
    }
}

/// Nodes that replicas of a majority have promised a job's log.
///
/// A front that was refused by a majority may leave its promise at a minority of the replicas. It
/// then is the newest owner, but the job belongs to an earlier one.
#[derive(Debug, Clone)]
pub(super) struct RecordedOwners {
    pub newest: RecordedOwner,
    /// Owners with lower epochs, newest first.
    pub earlier: Vec<RecordedOwner>,
    /// Whether a replica holds entries of the log. Without any, the job is not accepted.
    pub has_entries: bool,
}

impl RecordedOwners {
    /// Returns all owners, newest first.
    pub fn iter(&self) -> impl Iterator<Item = &RecordedOwner> {
        std::iter::once(&self.newest).chain(&self.earlier)
    }
}

impl JobRegistry {
    /// Queries a majority of replicas for the owners of an accepted job.
    pub(super) async fn recorded_owners(&self, id: &str) -> Result<RecordedOwners, JobError> {
        let owners = self.promised_owners(id).await?;
        let accepted = owners.filter(|owners| owners.has_entries);
        accepted.ok_or(JobError::NotFound)
    }

    /// Queries a majority of replicas for the nodes that were promised a job's log, whether or not
    /// the job is accepted; `None` if there was none.
    pub(super) async fn promised_owners(
        &self,
        id: &str,
    ) -> Result<Option<RecordedOwners>, JobError> {
        let described = self.context.journal.describe_writers(&log_name(id)).await;
        let writers = described.map_err(|error| unavailable(&error.to_string()))?;
        Ok(owners_from(writers.into_iter()))
    }

    /// Returns whether the log was last promised to this process, which does not own the job, as it
    /// could not complete the takeover.
    pub(super) fn is_own_promise(&self, owner: &RecordedOwner) -> bool {
        owner.epoch.owner == self.context.nodes.own().process
    }
}

/// Returns the owners of a log from the descriptions of its writers, newest first.
fn owners_from(mut writers: impl Iterator<Item = LogDescription>) -> Option<RecordedOwners> {
    let newest = writers.next()?;
    Some(RecordedOwners {
        has_entries: newest.length > 0,
        newest: RecordedOwner::from(newest),
        earlier: writers.map(RecordedOwner::from).collect(),
    })
}

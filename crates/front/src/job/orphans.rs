//! Checks whether a job that a replica reports as orphaned has lost its owner.
//!
//! A single replica may be partitioned from the owner, and a single call to the owner may fail while
//! it is busy. A job whose owner is alive must not be taken over: its runs would start again.

use std::time::Duration;

use ladderstage::journal::WriterEpoch;
use ladderstage_wire::messages::mod_Response::OneOfkind as ResponseKind;

use super::locating::{NodeCallError, owner_probe};
use super::lock::lock;
use super::reading::JobError;
use super::recorded_owners::{RecordedOwner, RecordedOwners};
use super::registry::JobRegistry;
use crate::program::{OWNER_HEARTBEAT_INTERVAL, OWNER_TIMEOUT};

/// Time for which no replica must have heard from an owner to which nothing can be sent.
pub(super) const UNREACHABLE_OWNER_TIMEOUT: Duration =
    Duration::from_millis(OWNER_TIMEOUT.as_millis() as u64 * 2 / 5);

/// Time in which the heartbeats of an owner that answers must reach the replicas again. One that
/// stood still answers as soon as it runs, and sends its next heartbeats a moment later.
const CONFIRMATION_WAIT: Duration = OWNER_HEARTBEAT_INTERVAL.saturating_mul(2);

/// Evidence against a recorded owner of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OwnerDoubt {
    /// The node says that it does not own the job.
    NotOwner,
    /// Nothing can be sent to the node, or it has left.
    Unreachable,
    /// The node answered that it cannot confirm its ownership at present.
    NotConfirmed,
    /// The node did not answer.
    NoAnswer,
}

impl OwnerDoubt {
    /// Returns for how long the replicas must not have heard from the owner to confirm the doubt;
    /// `None` if it needs no confirmation.
    fn required_silence(&self) -> Option<Duration> {
        match self {
            Self::NotOwner => None,
            Self::Unreachable => Some(UNREACHABLE_OWNER_TIMEOUT),
            Self::NotConfirmed | Self::NoAnswer => Some(OWNER_TIMEOUT),
        }
    }

    /// Returns the label in logs.
    fn label(self) -> &'static str {
        match self {
            Self::NotOwner => "not_owner",
            Self::Unreachable => "unreachable",
            Self::NotConfirmed => "not_confirmed",
            Self::NoAnswer => "no_answer",
        }
    }
}

impl JobRegistry {
    /// Returns the epoch of a job's last owner if the job is orphaned: its owner does not own it
    /// any more, or neither answers nor reaches a majority of the replicas.
    pub(super) async fn confirm_orphaned(&self, id: &str) -> Option<WriterEpoch> {
        lock(&self.shared.owners).remove(id);
        let owners = self.recorded_owners_or_log(id).await?;
        let mut doubts = Vec::new();
        for owner in owners.iter() {
            let Some(doubt) = self.doubt_owner(id, owner).await else {
                log_owned(id, owner, "answered");
                return None;
            };
            doubts.push((owner.epoch, doubt));
        }
        let is_not_confirmed = |(_, doubt): &(_, OwnerDoubt)| *doubt == OwnerDoubt::NotConfirmed;
        if doubts.iter().any(is_not_confirmed) {
            tokio::time::sleep(CONFIRMATION_WAIT).await;
        }
        // Whatever the first owners did or did not answer, the job may have a new one by now.
        let latest = self.recorded_owners_or_log(id).await?;
        if latest.newest.epoch != owners.newest.epoch {
            log_owned(id, &latest.newest, "taken_over");
            return None;
        }
        let doubt_about = |owner: &RecordedOwner| {
            let doubt = doubts.iter().find(|(epoch, _)| *epoch == owner.epoch);
            // Another majority may name an owner that was not asked.
            doubt.map_or(OwnerDoubt::NoAnswer, |(_, doubt)| *doubt)
        };
        for owner in latest.iter() {
            let required_silence = doubt_about(owner).required_silence();
            if required_silence.is_some_and(|required| owner.is_heard_within(required)) {
                log_owned(id, owner, "heartbeats");
                return None;
            }
        }
        for owner in latest.iter() {
            log_without_owner(id, owner, doubt_about(owner));
        }
        Some(latest.newest.epoch)
    }

    /// Asks a recorded owner whether it owns the job; returns `None` if it does.
    async fn doubt_owner(&self, id: &str, owner: &RecordedOwner) -> Option<OwnerDoubt> {
        if owner.node == self.context.nodes.own().node {
            return Some(OwnerDoubt::NotOwner);
        }
        let answer = self.call_node(id, &owner.node, owner_probe(id), Duration::ZERO);
        match answer.await {
            Ok(ResponseKind::job_results(_)) => None,
            Err(NodeCallError::NotReady(_)) => Some(OwnerDoubt::NotConfirmed),
            Ok(_) | Err(NodeCallError::Unavailable(_)) => Some(OwnerDoubt::NoAnswer),
            Err(NodeCallError::NotOwner) => Some(OwnerDoubt::NotOwner),
            Err(NodeCallError::Absent(_) | NodeCallError::NotSent(_)) => {
                Some(OwnerDoubt::Unreachable)
            }
        }
    }

    async fn recorded_owners_or_log(&self, id: &str) -> Option<RecordedOwners> {
        match self.recorded_owners(id).await {
            Ok(owners) => Some(owners),
            Err(JobError::NotFound) => None,
            // The replicas repeat their notices while the job has no owner.
            Err(JobError::Unavailable(cause)) => {
                log::warn!("event=job_not_adopted job={id} cause=\"{cause}\"");
                None
            }
        }
    }
}

fn log_without_owner(id: &str, owner: &RecordedOwner, doubt: OwnerDoubt) {
    log::info!(
        "event=job_without_owner job={id} node={} epoch={} doubt={} silence_ms={}",
        owner.node,
        owner.epoch.round,
        doubt.label(),
        owner.silence.unwrap_or_default().as_millis()
    );
}

fn log_owned(id: &str, owner: &RecordedOwner, reason: &str) {
    let node = &owner.node;
    log::info!("event=job_is_owned job={id} node={node} reason={reason}");
}

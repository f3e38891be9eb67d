//! Checks whether a job that a replica reports as orphaned has lost its owner.
//!
//! A single replica may be partitioned from the owner, and a single call to the owner may fail while
//! it is busy. A job whose owner is alive must not be taken over: its runs would start again.

use std::time::Duration;

use ladderstage::journal::WriterEpoch;
use ladderstage_wire::messages::mod_Response::OneOfkind as ResponseKind;

use super::locating::{NodeCallError, RecordedOwner, owner_probe};
use super::lock::lock;
use super::reading::JobError;
use super::registry::JobRegistry;
use crate::program::OWNER_TIMEOUT;

/// Part of [`OWNER_TIMEOUT`] for which all replicas must not have heard from an owner to which
/// nothing can be sent.
const UNREACHABLE_OWNER_FRACTION: f64 = 0.4;

/// Evidence against the recorded owner of a job.
enum OwnerDoubt {
    /// The node says that it does not own the job.
    NotOwner,
    /// Nothing can be sent to the node, or it has left.
    Unreachable,
    /// The node did not answer, or could not confirm its ownership.
    NoAnswer,
}

impl OwnerDoubt {
    /// Returns for how long the replicas must not have heard from the owner to confirm the doubt;
    /// `None` if it needs no confirmation.
    fn required_silence(&self) -> Option<Duration> {
        match self {
            Self::NotOwner => None,
            Self::Unreachable => Some(OWNER_TIMEOUT.mul_f64(UNREACHABLE_OWNER_FRACTION)),
            Self::NoAnswer => Some(OWNER_TIMEOUT),
        }
    }
}

impl JobRegistry {
    /// Returns the epoch of a job's last owner if the job is orphaned: its owner does not own it
    /// any more, or neither answers nor reaches a majority of the replicas.
    pub(super) async fn confirm_orphaned(&self, id: &str) -> Option<WriterEpoch> {
        lock(&self.shared.owners).remove(id);
        let owner = self.recorded_owner_or_log(id).await?;
        if owner.node == self.context.nodes.own().node {
            return Some(owner.epoch);
        }
        let Some(doubt) = self.doubt_owner(id, &owner).await else {
            log::info!(
                "event=job_is_owned job={id} node={} reason=answered",
                owner.node
            );
            return None;
        };
        // Whatever the first owner did or did not answer, the job may have a new one by now.
        let latest = self.recorded_owner_or_log(id).await?;
        let is_heard = |required| latest.is_heard_within(required);
        let reason = if latest.epoch != owner.epoch {
            "taken_over"
        } else if doubt.required_silence().is_some_and(is_heard) {
            "heartbeats"
        } else {
            return Some(latest.epoch);
        };
        log::info!(
            "event=job_is_owned job={id} node={} reason={reason}",
            latest.node
        );
        None
    }

    /// Asks the recorded owner whether it owns the job; returns `None` if it does.
    async fn doubt_owner(&self, id: &str, owner: &RecordedOwner) -> Option<OwnerDoubt> {
        let answer = self.call_node(id, &owner.node, owner_probe(id), Duration::ZERO);
        match answer.await {
            Ok(ResponseKind::job_results(_)) => None,
            Ok(_) | Err(NodeCallError::Unavailable(_) | NodeCallError::NotReady(_)) => {
                Some(OwnerDoubt::NoAnswer)
            }
            Err(NodeCallError::NotOwner) => Some(OwnerDoubt::NotOwner),
            Err(NodeCallError::Absent(_) | NodeCallError::NotSent(_)) => {
                Some(OwnerDoubt::Unreachable)
            }
        }
    }

    async fn recorded_owner_or_log(&self, id: &str) -> Option<RecordedOwner> {
        match self.recorded_owner(id).await {
            Ok(owner) => Some(owner),
            Err(JobError::NotFound) => None,
            // The replicas repeat their notices while the job has no owner.
            Err(JobError::Unavailable(cause)) => {
                log::warn!("event=job_not_adopted job={id} cause=\"{cause}\"");
                None
            }
        }
    }
}

//! Merges the answers of a step's shards into one response for the trainer.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use ladderstage::staleness::StalenessBound;
use ladderstage_wire::messages::{PullShardReply, Sample};

use super::Shared;
use super::delivery::UNKNOWN_AGE_MS;
use super::pulling::{PullError, StepPullRequest, StepPullResponse};
use super::step_index::StepStatus;

/// Outcome of a pull from one shard.
pub(super) enum ShardPull {
    Answered(PullShardReply),
    HeldBack,
    Superseded,
    Unreachable,
}

/// Answer of one shard.
pub(super) struct ShardAnswer {
    pub(super) shard: u32,
    /// Time at which the pull was sent to the shard.
    pub(super) sent_at: Instant,
    pub(super) pull: ShardPull,
}

/// Answers of a step's shards to one pull.
#[derive(Default)]
pub(super) struct CollectedAnswers {
    /// Replies with samples, in order of arrival.
    replies: Vec<(u32, Instant, PullShardReply)>,
    pub(super) complete: BTreeSet<u32>,
    pub(super) unreachable: BTreeSet<u32>,
    is_held_back: bool,
    is_superseded: bool,
}

impl CollectedAnswers {
    pub(super) fn add(&mut self, answer: ShardAnswer) {
        let ShardAnswer {
            shard,
            sent_at,
            pull,
        } = answer;
        match pull {
            ShardPull::Answered(reply) if reply.complete => {
                self.complete.insert(shard);
            }
            ShardPull::Answered(reply) if reply.samples.is_empty() => {}
            ShardPull::Answered(reply) => self.replies.push((shard, sent_at, reply)),
            ShardPull::HeldBack => self.is_held_back = true,
            ShardPull::Superseded => self.is_superseded = true,
            ShardPull::Unreachable => {
                self.unreachable.insert(shard);
            }
        }
    }

    /// Returns whether an answer determines the response to the trainer.
    pub(super) fn has_result(&self) -> bool {
        !self.replies.is_empty() || self.is_superseded || self.is_held_back
    }

    /// Returns whether a longer wait would not change the response.
    pub(super) fn is_final(&self, status: &StepStatus) -> bool {
        let settled = self.complete.len() + self.unreachable.len();
        self.has_result() || settled >= status.shard_count as usize
    }

    /// Removes all answers except complete shards, which stay complete.
    pub(super) fn reset(&mut self) {
        *self = Self {
            complete: std::mem::take(&mut self.complete),
            ..Self::default()
        };
    }
}

/// Merges the shards' answers, after a last check against the bundle in force on this node.
pub(super) fn merge(
    shared: &Shared,
    pull_request: &StepPullRequest,
    status: &StepStatus,
    collected: CollectedAnswers,
) -> Result<StepPullResponse, PullError> {
    if collected.is_superseded {
        return Err(PullError::Superseded);
    }
    let is_complete = collected.complete.len() == status.shard_count as usize;
    let mut pull = StepPullResponse {
        samples: Vec::new(),
        cursor: pull_request.cursor.clone(),
        complete: is_complete,
        bundle_revision: 0,
    };
    let current = shared.dependencies.bundles.current_if_fresh();
    let current = current.ok_or(PullError::HeldBack)?;
    let pool = current.bundle.pool(&status.pool);
    let bound = StalenessBound::of(pool.ok_or(PullError::HeldBack)?);
    pull.bundle_revision = current.bundle.revision;
    let mut is_held_back = collected.is_held_back;
    for (shard, sent_at, reply) in collected.replies {
        if pull.samples.len() + reply.samples.len() > pull_request.max_samples {
            continue;
        }
        if !are_fresh(&reply.samples, sent_at, &bound) {
            is_held_back = true;
            continue;
        }
        for sample in &reply.samples {
            let age = age_on_arrival(sample, sent_at);
            shared
                .metrics
                .record_delivery(sample, bound.weight_version, age);
        }
        pull.cursor.advance(shard, reply.answer);
        pull.samples.extend(reply.samples);
    }
    if !pull.samples.is_empty() || is_complete {
        return Ok(pull);
    }
    if is_held_back {
        return Err(PullError::HeldBack);
    }
    if !collected.unreachable.is_empty() {
        let detail = format!(
            "owners of shards {:?} are not reachable",
            collected.unreachable
        );
        return Err(PullError::Unavailable(detail));
    }
    Ok(pull)
}

/// Returns whether all samples are fresh; time since the pull was sent is added to their ages.
fn are_fresh(samples: &[Sample], sent_at: Instant, bound: &StalenessBound) -> bool {
    samples
        .iter()
        .all(|sample| bound.admits(&sample.segments, age_on_arrival(sample, sent_at)))
}

fn age_on_arrival(sample: &Sample, sent_at: Instant) -> Option<Duration> {
    match sample.age_ms {
        UNKNOWN_AGE_MS => None,
        age_ms => Some(Duration::from_millis(age_ms).saturating_add(sent_at.elapsed())),
    }
}

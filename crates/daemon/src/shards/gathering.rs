//! Joining the answers of a step's shards into one answer for the trainer.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use ladderstage::staleness::StalenessBound;
use ladderstage_wire::messages::{PullShardReply, Sample};

use super::Shared;
use super::delivery::UNKNOWN_AGE_MS;
use super::pulling::{PullError, StepPullRequest, StepPullResponse};
use super::step_index::StepStatus;

/// What came of asking one shard.
pub(super) enum ShardPull {
    Answered(PullShardReply),
    HeldBack,
    Superseded,
    Unreachable,
}

/// The answer of one shard.
pub(super) struct ShardAnswer {
    pub(super) shard: u32,
    /// When it was asked.
    pub(super) asked_at: Instant,
    pub(super) pull: ShardPull,
}

/// The answers of a step's shards to one pull.
#[derive(Default)]
pub(super) struct Gathered {
    /// Replies with samples, in the order in which they came.
    replies: Vec<(u32, Instant, PullShardReply)>,
    pub(super) complete: BTreeSet<u32>,
    pub(super) unreachable: BTreeSet<u32>,
    is_held_back: bool,
    is_superseded: bool,
}

impl Gathered {
    pub(super) fn add(&mut self, answer: ShardAnswer) {
        let ShardAnswer {
            shard,
            asked_at,
            pull,
        } = answer;
        match pull {
            ShardPull::Answered(reply) if reply.complete => {
                self.complete.insert(shard);
            }
            ShardPull::Answered(reply) if reply.samples.is_empty() => {}
            ShardPull::Answered(reply) => self.replies.push((shard, asked_at, reply)),
            ShardPull::HeldBack => self.is_held_back = true,
            ShardPull::Superseded => self.is_superseded = true,
            ShardPull::Unreachable => {
                self.unreachable.insert(shard);
            }
        }
    }

    /// Whether there is something to tell the trainer.
    pub(super) fn has_news(&self) -> bool {
        !self.replies.is_empty() || self.is_superseded || self.is_held_back
    }

    /// Whether waiting any longer would not change the answer.
    pub(super) fn is_decided(&self, status: &StepStatus) -> bool {
        let settled = self.complete.len() + self.unreachable.len();
        self.has_news() || settled >= status.shard_count as usize
    }

    /// Forgets all but what stays true.
    pub(super) fn start_over(&mut self) {
        *self = Self {
            complete: std::mem::take(&mut self.complete),
            ..Self::default()
        };
    }
}

/// Joins the shards' answers, checked once more against the bundle in force here as the last thing before they leave.
pub(super) fn finish(
    shared: &Shared,
    question: &StepPullRequest,
    status: &StepStatus,
    gathered: Gathered,
) -> Result<StepPullResponse, PullError> {
    if gathered.is_superseded {
        return Err(PullError::Superseded);
    }
    let is_complete = gathered.complete.len() == status.shard_count as usize;
    let mut pull = StepPullResponse {
        samples: Vec::new(),
        cursor: question.cursor.clone(),
        complete: is_complete,
        bundle_revision: 0,
    };
    let current = shared.parts.bundles.deliverable();
    let current = current.ok_or(PullError::HeldBack)?;
    let pool = current.bundle.pool(&status.pool);
    let bound = StalenessBound::of(pool.ok_or(PullError::HeldBack)?);
    pull.bundle_revision = current.bundle.revision;
    let mut is_held_back = gathered.is_held_back;
    for (shard, asked_at, reply) in gathered.replies {
        if pull.samples.len() + reply.samples.len() > question.max_samples {
            continue;
        }
        if !are_fresh(&reply.samples, asked_at, &bound) {
            is_held_back = true;
            continue;
        }
        for sample in &reply.samples {
            let age = age_on_arrival(sample, asked_at);
            shared
                .metrics
                .note_delivery(sample, bound.weight_version, age);
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
    if !gathered.unreachable.is_empty() {
        let detail = format!("owners of shards {:?} do not answer", gathered.unreachable);
        return Err(PullError::Unavailable(detail));
    }
    Ok(pull)
}

/// The owner's ages are counted on from the moment it was asked, which can only make them larger.
fn are_fresh(samples: &[Sample], asked_at: Instant, bound: &StalenessBound) -> bool {
    samples
        .iter()
        .all(|sample| bound.admits(&sample.segments, age_on_arrival(sample, asked_at)))
}

fn age_on_arrival(sample: &Sample, asked_at: Instant) -> Option<Duration> {
    match sample.age_ms {
        UNKNOWN_AGE_MS => None,
        age_ms => Some(Duration::from_millis(age_ms).saturating_add(asked_at.elapsed())),
    }
}

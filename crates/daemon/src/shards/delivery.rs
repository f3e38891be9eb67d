//! Replies of an owner to submitters and trainers, sent after the commits that they need.

use std::time::{Duration, Instant};

use ladderstage::bundle::Bundle;
use ladderstage::shard::{AttemptId, Pull, PullDecision, PullOutcome, SampleAges};
use ladderstage::staleness::StalenessBound;
use ladderstage_wire::messages::mod_OpenShardReply::Outcome as OpenOutcome;
use ladderstage_wire::messages::mod_PullShardReply::Outcome as ReplyOutcome;
use ladderstage_wire::messages::mod_Refused::Reason;
use ladderstage_wire::messages::mod_ShardEntry::OneOfkind as EntryKind;
use ladderstage_wire::messages::{PullShardReply, Response, Sample, ShardEntry};
use tokio::sync::oneshot;

use super::owner::{Owner, PendingPull};
use super::replies;
use super::shard_log::CommitError;

/// Maximum number of waiting pulls of one shard.
const MAX_PENDING_PULLS: usize = 32;

/// Maximum number of decisions on one pull; a decision is repeated if a newer bundle made its samples stale.
const MAX_DECISIONS: usize = 4;

/// Age on the wire of a sample whose age the owner does not know.
pub(super) const UNKNOWN_AGE_MS: u64 = u64::MAX;

/// Staleness bound in force, and the bundle revision that sets it.
#[derive(Debug, Clone, Copy)]
struct BoundInForce {
    bound: StalenessBound,
    revision: u64,
}

impl Owner {
    /// Opens the shard for the first pending request and compares the others with it.
    pub(super) async fn commit_pending_opens(&mut self) -> Result<(), CommitError> {
        if self.log.state().spec().is_none()
            && let Some(pending) = self.pending_opens.first()
        {
            let digest = pending.spec.step_digest.clone();
            let entry = ShardEntry {
                kind: EntryKind::opened((*pending.spec).clone()),
            };
            self.log.commit(vec![entry], false).await?;
            ::log::info!("event=shard_opened shard={}", self.key);
            self.reply_opened(&digest, OpenOutcome::OPENED);
            return Ok(());
        }
        if let Some(spec) = self.log.state().spec() {
            let digest = spec.step_digest.clone();
            self.reply_opened(&digest, OpenOutcome::ALREADY_OPEN);
        }
        Ok(())
    }

    fn reply_opened(&mut self, digest: &[u8], same: OpenOutcome) {
        for pending in self.pending_opens.drain(..) {
            let outcome = match pending.spec.step_digest == digest {
                true => same,
                false => OpenOutcome::CONFLICT,
            };
            let _ = pending.reply.send(replies::opened(outcome));
        }
    }

    pub(super) fn receive_pull(
        &mut self,
        pull: Pull,
        wait: Duration,
        reply: oneshot::Sender<Response>,
    ) {
        if self.pending_pulls.len() >= MAX_PENDING_PULLS {
            let _ = reply.send(replies::refused(Reason::OVERLOADED, "too many pulls wait"));
            return;
        }
        self.pending_pulls.push(PendingPull {
            pull,
            deadline: Instant::now() + wait,
            reply,
        });
    }

    pub(super) fn refuse_pending_pulls(&mut self, reason: Reason, detail: &str) {
        for pull in self.pending_pulls.drain(..) {
            let _ = pull.reply.send(replies::refused(reason, detail));
        }
    }

    /// Discards committed samples that the bundle in force no longer admits.
    pub(super) async fn discard_stale(&mut self) -> Result<(), CommitError> {
        let Some(in_force) = self.in_force() else {
            return Ok(());
        };
        let state = self.log.state();
        let entries = state.discard_entries(&in_force.bound, &self.first_token_times);
        if !entries.is_empty() {
            self.shared.metrics.record_stale(entries.len());
            ::log::info!(
                "event=samples_stale shard={} count={} revision={}",
                self.key,
                entries.len(),
                in_force.revision
            );
        }
        self.log.commit(entries, false).await
    }

    /// Answers the waiting pulls that have fresh samples, and those that have expired.
    pub(super) async fn answer_pending_pulls(&mut self) -> Result<(), CommitError> {
        // Callers that have stopped waiting do not read the reply.
        self.pending_pulls.retain(|pull| !pull.reply.is_closed());
        let mut index = 0;
        while index < self.pending_pulls.len() {
            let pull = self.pending_pulls[index].pull;
            let is_expired = self.pending_pulls[index].deadline <= Instant::now();
            let response = match self.answer(pull).await? {
                Some(response) => Some(response),
                None if is_expired => Some(self.empty_reply(pull)),
                None => None,
            };
            match response {
                Some(response) => {
                    let pending_pull = self.pending_pulls.swap_remove(index);
                    let _ = pending_pull.reply.send(response);
                }
                None => index += 1,
            }
        }
        Ok(())
    }

    /// Returns the answer to a pull; `None` while there are no fresh samples.
    ///
    /// The bundle and the freshness of the samples are checked again after the commit, because the append may have
    /// taken long or the process may have been paused.
    async fn answer(&mut self, pull: Pull) -> Result<Option<Response>, CommitError> {
        if self.log.state().spec().is_none() {
            return Ok(Some(outcome_only(ReplyOutcome::UNKNOWN_SHARD)));
        }
        for _ in 0..MAX_DECISIONS {
            let Some(in_force) = self.in_force_if_fresh() else {
                return Ok(Some(replies::held_back()));
            };
            let state = self.log.state();
            let decision = state.pull(pull, &in_force.bound, &self.first_token_times);
            let completes = decision.outcome == PullOutcome::Complete && !self.log.is_closed();
            if is_repeated(&decision) {
                self.log.confirm_ownership().await?;
            }
            self.log.commit(decision.entries, completes).await?;
            let Some(latest_in_force) = self.in_force_if_fresh() else {
                return Ok(Some(replies::held_back()));
            };
            match decision.outcome {
                PullOutcome::Answer { answer, samples } => {
                    if let Some(response) = self.deliver(answer, &samples, latest_in_force) {
                        return Ok(Some(response));
                    }
                }
                PullOutcome::Wait => return Ok(None),
                PullOutcome::Complete => return Ok(Some(self.complete(pull))),
                PullOutcome::Superseded => {
                    return Ok(Some(outcome_only(ReplyOutcome::SUPERSEDED)));
                }
                PullOutcome::UnknownAnswer => {
                    let detail = "this owner does not know the acknowledged answer";
                    return Ok(Some(replies::refused(Reason::NOT_READY, detail)));
                }
            }
        }
        Ok(Some(replies::held_back()))
    }

    /// Returns the reply with these samples; `None` if one of them has become stale.
    fn deliver(&self, answer: u64, ids: &[AttemptId], in_force: BoundInForce) -> Option<Response> {
        let mut samples = Vec::with_capacity(ids.len());
        for id in ids {
            let age = self.first_token_times.age(*id);
            let mut sample: Sample = self.log.state().sample(*id)?;
            if !in_force.bound.admits(&sample.segments, age) {
                return None;
            }
            sample.age_ms = age.map_or(UNKNOWN_AGE_MS, |age| age.as_millis() as u64);
            samples.push(sample);
        }
        Some(replies::pulled(PullShardReply {
            outcome: ReplyOutcome::ANSWERED,
            answer,
            samples,
            bundle_revision: in_force.revision,
            ..PullShardReply::default()
        }))
    }

    fn empty_reply(&self, pull: Pull) -> Response {
        replies::pulled(PullShardReply {
            outcome: ReplyOutcome::ANSWERED,
            answer: pull.after_answer,
            bundle_revision: self.in_force().map_or(0, |in_force| in_force.revision),
            ..PullShardReply::default()
        })
    }

    fn complete(&self, pull: Pull) -> Response {
        replies::pulled(PullShardReply {
            outcome: ReplyOutcome::ANSWERED,
            answer: pull.after_answer,
            complete: true,
            bundle_revision: self.in_force().map_or(0, |in_force| in_force.revision),
            ..PullShardReply::default()
        })
    }

    /// Returns the bound in force if the evidence for its bundle is fresh.
    fn in_force_if_fresh(&self) -> Option<BoundInForce> {
        self.bound_of(&self.shared.dependencies.bundles.current_if_fresh()?.bundle)
    }

    fn in_force(&self) -> Option<BoundInForce> {
        self.bound_of(&self.shared.dependencies.bundles.current()?.bundle)
    }

    fn bound_of(&self, bundle: &Bundle) -> Option<BoundInForce> {
        let pool_name = &self.log.state().spec()?.pool;
        let pool = bundle.pool(pool_name)?;
        Some(BoundInForce {
            bound: StalenessBound::of(pool),
            revision: bundle.revision,
        })
    }
}

/// Returns whether an earlier answer is repeated. This needs no commit, so ownership must be confirmed separately.
fn is_repeated(decision: &PullDecision) -> bool {
    matches!(decision.outcome, PullOutcome::Answer { .. }) && decision.entries.is_empty()
}

fn outcome_only(outcome: ReplyOutcome) -> Response {
    replies::pulled(PullShardReply {
        outcome,
        ..PullShardReply::default()
    })
}

//! Relays requests about jobs through another front while this one cannot reach the journal.
//!
//! Clients stay with a front for as long as it reports that it is ready. Without relays, a front
//! that is partitioned from the stores and replicas but not from its clients would reject all their
//! requests about jobs.

use std::time::Duration;

use ladderstage_journal::Peers;
use ladderstage_transport::CallError;
use ladderstage_wire::messages::mod_Refused::Reason;
use ladderstage_wire::messages::mod_Request::OneOfkind as RequestKind;
use ladderstage_wire::messages::mod_Response::OneOfkind as ResponseKind;
use ladderstage_wire::messages::{Refused, Request};
use rand::seq::SliceRandom;

use super::local_job::Job;
use super::reading::{JobError, unavailable};
use super::registry::JobRegistry;
use crate::nodes::NodeRole;

/// Time without an answer from a majority of replicas after which the journal counts as
/// unreachable. Allows for an idle node, which sends only every third heartbeat.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(1_500);

/// Maximum number of fronts that are tried, one after the other.
const MAX_RELAYS: usize = 2;

/// Time limit for another front to find the job's owner, in addition to the requested wait.
const RELAY_MARGIN: Duration = Duration::from_millis(1_200);

impl JobRegistry {
    /// Returns whether no majority of replicas has answered this node recently.
    pub fn is_journal_unreachable(&self) -> bool {
        self.context.confirmation.age(self.started_at) > UNREACHABLE_AFTER
    }

    /// Returns whether requests about a job must be relayed rather than answered from local state.
    pub(super) fn needs_relay(&self, id: &str) -> bool {
        let is_unreadable = |job: &Job| job.state().spec().is_some() && !self.is_readable(job);
        self.is_journal_unreachable() || self.local(id).is_some_and(|job| is_unreadable(&job))
    }

    /// Relays a request through other fronts until one answers.
    pub(super) async fn relay(
        &self,
        id: &str,
        request: &RequestKind,
        wait: Duration,
    ) -> Result<ResponseKind, JobError> {
        let mut last = unavailable("the journal is unreachable and no other front is known");
        for front in self.relay_candidates() {
            let request = Request {
                kind: request.clone(),
            };
            let call = self
                .context
                .nodes
                .call(&front, request, wait + RELAY_MARGIN);
            let answer = call.await.and_then(|response| match response.kind {
                ResponseKind::refused(refused) => Err(CallError::Refused(refused)),
                answer => Ok(answer),
            });
            match answer {
                Ok(answer) => {
                    log::info!("event=job_call_relayed job={id} node={front}");
                    return Ok(answer);
                }
                Err(CallError::Refused(Refused {
                    reason: Reason::NOT_OWNER,
                    ..
                })) => return Err(JobError::NotFound),
                Err(error) => last = unavailable(&format!("relay {front}: {error}")),
            }
        }
        Err(last)
    }

    /// Returns other fronts to relay through, the nearest first.
    fn relay_candidates(&self) -> Vec<String> {
        let nodes = &self.context.nodes;
        let own = nodes.own();
        let mut fronts = nodes.with_role(NodeRole::Front);
        fronts.retain(|front| front.node != own.node && !front.is_leaving);
        fronts.shuffle(&mut rand::rng());
        fronts.sort_by_key(|front| nodes.distance_to(front));
        let names = fronts.into_iter().map(|front| front.node);
        names.take(MAX_RELAYS).collect()
    }
}

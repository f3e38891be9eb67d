//! Calls about jobs at a front that is cut off from the journal: another front answers them.
//!
//! A client stays with its front for as long as that front is taken for ready. One that reaches neither the store nor the
//! replicas, but its clients and the other fronts, would refuse all that it is asked about jobs.

use std::time::Duration;

use ladderstage_journal::Peers;
use ladderstage_transport::CallError;
use ladderstage_wire::messages::mod_Refused::Reason;
use ladderstage_wire::messages::mod_Request::OneOfkind as RequestKind;
use ladderstage_wire::messages::mod_Response::OneOfkind as ResponseKind;
use ladderstage_wire::messages::{Refused, Request};
use rand::seq::SliceRandom;

use super::reading::{ReadError, unavailable};
use super::registry::JobRegistry;
use super::shared::Job;
use crate::nodes::NodeRole;

/// A front counts as cut off when no majority of replicas has answered it for this long. A node without jobs among many asks
/// only each third heartbeat, 0.9 s.
const CUT_OFF_AFTER: Duration = Duration::from_millis(1_500);

/// Fronts that are asked, one after the other.
const RELAYS: usize = 2;

/// Time for another front to find the job and its owner, beyond the time that it was asked to wait.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1_200);

impl JobRegistry {
    /// Whether this node has not reached a majority of replicas of late.
    pub fn is_journal_unreachable(&self) -> bool {
        self.context.confirmation.age(self.started_at) > CUT_OFF_AFTER
    }

    /// Whether another front is asked about a job rather than its state here.
    pub(super) fn needs_relay(&self, id: &str) -> bool {
        let is_unreadable = |job: &Job| job.state().spec().is_some() && !self.is_readable(job);
        self.is_journal_unreachable() || self.local(id).is_some_and(|job| is_unreadable(&job))
    }

    /// Asks other fronts, which answer wherever the job is.
    pub(super) async fn relay(
        &self,
        id: &str,
        request: &RequestKind,
        wait: Duration,
    ) -> Result<ResponseKind, ReadError> {
        let mut last = unavailable("cut off from the journal, and no other front is known");
        for front in self.relays() {
            let request = Request {
                kind: request.clone(),
            };
            let call = self
                .context
                .nodes
                .call(&front, request, wait + RELAY_TIMEOUT);
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
                })) => return Err(ReadError::NotFound),
                Err(error) => last = unavailable(&format!("relay {front}: {error}")),
            }
        }
        Err(last)
    }

    /// Some other fronts, the nearest first.
    fn relays(&self) -> Vec<String> {
        let nodes = &self.context.nodes;
        let own = nodes.own();
        let mut fronts = nodes.with_role(NodeRole::Front);
        fronts.retain(|front| front.node != own.node && !front.is_leaving);
        fronts.shuffle(&mut rand::rng());
        fronts.sort_by_key(|front| nodes.distance_to(front));
        let names = fronts.into_iter().map(|front| front.node);
        names.take(RELAYS).collect()
    }
}

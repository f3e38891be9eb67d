//! Places each step of a trainer at its preferred owner, one of the strongest fronts of the zone.
//! The strongest fronts are those with the most CPU.
//!
//! The owner of a step reads the events of hundreds of runs at once, which overloads a machine with
//! little CPU. Weaker fronts therefore forward steps to stronger ones: in their zone, so that reads
//! do not cross zones, or else in their region. The steps of a trainer rotate among the
//! strongest fronts, which spreads its open steps and reuses connections to instances.

use std::time::Duration;

use ladderstage::region::Distance;
use ladderstage::routing::rendezvous;
use ladderstage_clock::Instant;
use ladderstage_journal::Peers;
use ladderstage_transport::CallError;
use ladderstage_wire::MessageWrite;
use ladderstage_wire::messages::mod_Refused::Reason;
use ladderstage_wire::messages::mod_Request::OneOfkind as RequestKind;
use ladderstage_wire::messages::mod_Response::OneOfkind as ResponseKind;
use ladderstage_wire::messages::{AcceptJob, Done, JobSpec, Request};

use super::accepting::AcceptError;
use super::job_memory::items_bytes;
use super::lock::lock;
use super::peer_handler::refused;
use super::registry::JobRegistry;
use crate::memory::Reservation;
use crate::nodes::{NodeRecord, NodeRole};

/// Time limit for the preferred owner to accept a job; leaves time to accept the job locally
/// afterwards. An acceptance takes some tens of milliseconds, and trainers expect their answer
/// within 0.4 s.
const REMOTE_ACCEPT_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum size of a job that is forwarded to its preferred owner, in bytes. Larger ones exist several
/// times while they are sent.
const MAX_FORWARDED_BYTES: usize = 4 * 1024 * 1024;

/// Outcome of forwarding a job to its preferred owner.
enum RemoteAccept {
    /// The preferred owner has accepted the job.
    Accepted,
    /// The preferred owner has not stored the job.
    NotStored(String),
    /// The preferred owner may or may not have stored the job.
    OutcomeUnknown(String),
}

impl JobRegistry {
    /// Accepts a job, at its preferred owner if that is another front. Returns `Ok` once a majority
    /// of store disks holds the job, also if it was accepted before.
    ///
    /// # Errors
    /// See [`AcceptError`].
    pub async fn accept(&self, spec: JobSpec, memory: Reservation) -> Result<(), AcceptError> {
        // The body is sent to another front only if the allowed regions permit it. Locally, a job
        // that was accepted before is found without its body.
        let may_forward =
            spec.get_size() <= MAX_FORWARDED_BYTES && self.check_regions(&spec).is_ok();
        let Some(owner) = self.preferred_owner_of(&spec).filter(|_| may_forward) else {
            return self.accept_here(spec, memory).await;
        };
        let id = spec.job.clone();
        match self.accept_remotely(&owner, spec.clone()).await {
            RemoteAccept::Accepted => {
                log::info!("event=job_accepted_at_home job={id} home={owner}");
                let known_owner = (owner, Instant::now());
                lock(&self.shared.owners).insert(id, known_owner);
                Ok(())
            }
            RemoteAccept::NotStored(cause) => {
                log::warn!("event=job_home_refused job={id} home={owner} cause=\"{cause}\"");
                self.accept_here(spec, memory).await
            }
            RemoteAccept::OutcomeUnknown(cause) => {
                log::warn!(
                    "event=job_home_outcome_unknown job={id} home={owner} cause=\"{cause}\""
                );
                // The preferred owner may still run the job, whatever the local outcome.
                self.accept_here(spec, memory)
                    .await
                    .map_err(|error| match error {
                        AcceptError::NotStored(cause) => AcceptError::OutcomeUnknown(cause),
                        AcceptError::NoMemory(cause) => {
                            AcceptError::OutcomeUnknown(cause.to_string())
                        }
                        error => error,
                    })
            }
        }
    }

    /// Returns the preferred owner of a job if it is another front. Only steps of a trainer are
    /// forwarded.
    fn preferred_owner_of(&self, spec: &JobSpec) -> Option<String> {
        if spec.desired_groups == 0 {
            return None;
        }
        let nodes = &self.context.nodes;
        let own = nodes.own();
        let fronts = nodes.with_role(NodeRole::Front);
        let (model, step) = (&spec.model, spec.train_step);
        if !nodes.regions().has_several() {
            return preferred_owner(&own, &fronts, model, step);
        }
        preferred_owner_in_region(&own, &fronts, model, step, |front| nodes.distance_to(front))
    }

    async fn accept_remotely(&self, owner: &str, spec: JobSpec) -> RemoteAccept {
        let kind = RequestKind::accept_job(AcceptJob { spec: Some(spec) });
        let nodes = &self.context.nodes;
        let answer = nodes
            .call(owner, Request { kind }, REMOTE_ACCEPT_TIMEOUT)
            .await;
        match answer.map(|response| response.kind) {
            Ok(ResponseKind::done(_)) => RemoteAccept::Accepted,
            Ok(ResponseKind::refused(refused)) | Err(CallError::Refused(refused))
                if matches!(refused.reason, Reason::NOT_READY | Reason::LEAVING) =>
            {
                RemoteAccept::NotStored(refused.detail)
            }
            Ok(_) => RemoteAccept::OutcomeUnknown("unexpected kind of answer".to_owned()),
            Err(CallError::NotSent(cause)) => RemoteAccept::NotStored(cause),
            Err(error) => RemoteAccept::OutcomeUnknown(error.to_string()),
        }
    }

    /// Accepts a job that another front forwarded.
    pub(super) async fn handle_accept(&self, request: AcceptJob) -> ResponseKind {
        let Some(spec) = request.spec else {
            return refused(Reason::MALFORMED, "request without a job");
        };
        if self.context.nodes.is_leaving() {
            return refused(Reason::LEAVING, "this front is stopping");
        }
        if self.is_journal_unreachable() {
            return refused(Reason::NOT_READY, "the journal is unreachable");
        }
        let mut memory = self.context.memory.reservation("forwarded_job");
        if let Err(cause) = memory.grow(items_bytes(&spec)) {
            return refused(Reason::NOT_READY, &cause.to_string());
        }
        match self.accept_here(spec, memory).await {
            Ok(()) => ResponseKind::done(Done {}),
            Err(AcceptError::NoMemory(cause)) => refused(Reason::NOT_READY, &cause.to_string()),
            Err(AcceptError::NotStored(cause)) => refused(Reason::NOT_READY, &cause),
            Err(AcceptError::OutcomeUnknown(cause)) => refused(Reason::INTERNAL, &cause),
        }
    }
}

/// Returns the preferred owner of a step that was submitted at `own`, or `None` if no other front
/// of the zone is stronger.
pub fn preferred_owner(
    own: &NodeRecord,
    fronts: &[NodeRecord],
    model: &str,
    step: u64,
) -> Option<String> {
    let in_zone = fronts.iter().filter(|front| front.zone == own.zone);
    let in_zone: Vec<NodeRecord> = in_zone.cloned().collect();
    preferred_among(own, &in_zone, model, step)
}

/// Returns the preferred owner like [`preferred_owner`], but falls back to the fronts of the
/// region.
pub fn preferred_owner_in_region(
    own: &NodeRecord,
    fronts: &[NodeRecord],
    model: &str,
    step: u64,
    distance: impl Fn(&NodeRecord) -> Distance,
) -> Option<String> {
    preferred_owner(own, fronts, model, step).or_else(|| {
        let near = fronts
            .iter()
            .filter(|front| distance(front) < Distance::OtherRegion);
        let near: Vec<NodeRecord> = near.cloned().collect();
        preferred_among(own, &near, model, step)
    })
}

/// Chooses one of the strongest of `fronts`, or `None` if they are no stronger than `own`.
fn preferred_among(
    own: &NodeRecord,
    fronts: &[NodeRecord],
    model: &str,
    step: u64,
) -> Option<String> {
    let staying = fronts.iter().filter(|front| !front.is_leaving);
    let max_cpu_millis = staying.clone().map(|front| front.cpu_millis).max()?;
    if max_cpu_millis <= own.cpu_millis {
        return None;
    }
    let names = staying
        .filter(|front| front.cpu_millis == max_cpu_millis)
        .map(|front| front.node.as_str());
    // All fronts compute the same ranking, so consecutive steps of a model go to different owners.
    let ranked = rendezvous(model.as_bytes(), names);
    let position = (step % ranked.len() as u64) as usize;
    Some(ranked[position].to_owned())
}

/// Returns the fronts of this region, or all fronts if the region has none.
pub(super) fn prefer_same_region(
    fronts: Vec<NodeRecord>,
    distance: impl Fn(&NodeRecord) -> Distance,
) -> Vec<NodeRecord> {
    let (near, far): (Vec<_>, Vec<_>) = fronts
        .into_iter()
        .partition(|front| distance(front) < Distance::OtherRegion);
    if near.is_empty() { far } else { near }
}

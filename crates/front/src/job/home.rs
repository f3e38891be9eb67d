//! A trainer's step is owned by one of the strongest fronts of the zone: its home.
//!
//! A trainer hands each step in at whichever front it meets. The owner reads every event of hundreds of runs at once, which takes a
//! weak machine all of its processor time: events and results are late then. Where some machines are stronger than others, the
//! weaker ones hand steps to them, those of a trainer in turn, so that its two open steps are at two machines. As the same few
//! fronts own all steps, connections to instances are used again. The home lies in the zone of the front that was met, so that
//! what the trainer reads crosses no zones; in a deployment with several regions, at least in its region.

use std::time::Duration;

use ladderstage::region::Distance;
use ladderstage::routing::rendezvous;
use ladderstage_clock::Instant;
use ladderstage_journal::Peers;
use ladderstage_transport::CallError;
use ladderstage_wire::messages::mod_Refused::Reason;
use ladderstage_wire::messages::mod_Request::OneOfkind as RequestKind;
use ladderstage_wire::messages::mod_Response::OneOfkind as ResponseKind;
use ladderstage_wire::messages::{AcceptJob, Done, JobSpec, Request};

use super::lock::lock;
use super::peers::refused;
use super::registry::{AcceptError, JobRegistry};
use crate::nodes::{NodeRecord, NodeRole};

/// Time for the home to accept a job, which takes some tens of milliseconds. A home that is frozen or cut off costs each step
/// so much, of the 0.4 s in which trainers want their answer.
const HOME_TIMEOUT: Duration = Duration::from_millis(250);

/// What became of a job that was handed to its home.
enum HomeAnswer {
    /// It is kept.
    Accepted,
    /// Nothing of it is kept there.
    NotStored(String),
    /// It may be kept there.
    OutcomeUnknown(String),
}

impl JobRegistry {
    /// Accepts a job, at its home if that is another front: `Ok` once a majority of store disks holds it, also if it was accepted
    /// before.
    ///
    /// # Errors
    /// See [`AcceptError`].
    pub async fn accept(&self, spec: JobSpec) -> Result<(), AcceptError> {
        // The body is sent to another front only where the bounds allow it. Here, a job that was accepted before is found without it.
        let may_leave = self.check_bounds(&spec).is_ok();
        let Some(home) = self.home_of(&spec).filter(|_| may_leave) else {
            return self.accept_here(spec).await;
        };
        let id = spec.job.clone();
        match self.accept_at(&home, spec.clone()).await {
            HomeAnswer::Accepted => {
                log::info!("event=job_accepted_at_home job={id} home={home}");
                let heard = (home, Instant::now());
                lock(&self.shared.owners).insert(id, heard);
                Ok(())
            }
            HomeAnswer::NotStored(cause) => {
                log::warn!("event=job_home_refused job={id} home={home} cause=\"{cause}\"");
                self.accept_here(spec).await
            }
            HomeAnswer::OutcomeUnknown(cause) => {
                log::warn!("event=job_home_outcome_unknown job={id} home={home} cause=\"{cause}\"");
                // The home may still run it, whatever is found here.
                self.accept_here(spec).await.map_err(|error| match error {
                    AcceptError::NotStored(cause) => AcceptError::OutcomeUnknown(cause),
                    error => error,
                })
            }
        }
    }

    /// The front that is to own a job, if it is another one. Jobs that are no steps of a trainer stay where they are.
    fn home_of(&self, spec: &JobSpec) -> Option<String> {
        if spec.desired_groups == 0 {
            return None;
        }
        let nodes = &self.context.nodes;
        let own = nodes.own();
        let fronts = nodes.with_role(NodeRole::Front);
        let (model, step) = (&spec.model, spec.train_step);
        if !nodes.regions().has_several() {
            return home(&own, &fronts, model, step);
        }
        home_in_region(&own, &fronts, model, step, |front| nodes.distance_to(front))
    }

    async fn accept_at(&self, home: &str, spec: JobSpec) -> HomeAnswer {
        let kind = RequestKind::accept_job(AcceptJob { spec: Some(spec) });
        let nodes = &self.context.nodes;
        let answer = nodes.call(home, Request { kind }, HOME_TIMEOUT).await;
        match answer.map(|response| response.kind) {
            Ok(ResponseKind::done(_)) => HomeAnswer::Accepted,
            Ok(ResponseKind::refused(refused)) | Err(CallError::Refused(refused))
                if matches!(refused.reason, Reason::NOT_READY | Reason::LEAVING) =>
            {
                HomeAnswer::NotStored(refused.detail)
            }
            Ok(_) => HomeAnswer::OutcomeUnknown("another answer than asked for".to_owned()),
            Err(CallError::NotSent(cause)) => HomeAnswer::NotStored(cause),
            Err(error) => HomeAnswer::OutcomeUnknown(error.to_string()),
        }
    }

    /// Accepts a job that was handed in at another front.
    pub(super) async fn answer_accept(&self, request: AcceptJob) -> ResponseKind {
        let Some(spec) = request.spec else {
            return refused(Reason::MALFORMED, "no job");
        };
        if self.context.nodes.is_leaving() {
            return refused(Reason::LEAVING, "this front stops");
        }
        if self.is_journal_unreachable() {
            return refused(Reason::NOT_READY, "cut off from the journal");
        }
        match self.accept_here(spec).await {
            Ok(()) => ResponseKind::done(Done {}),
            Err(AcceptError::NotStored(cause)) => refused(Reason::NOT_READY, &cause),
            Err(AcceptError::OutcomeUnknown(cause)) => refused(Reason::INTERNAL, &cause),
        }
    }
}

/// The front that is to own a step that was handed in at `own`, if it is another one: none if no front of the zone is stronger.
pub fn home(own: &NodeRecord, fronts: &[NodeRecord], model: &str, step: u64) -> Option<String> {
    let in_zone = fronts.iter().filter(|front| front.zone == own.zone);
    let in_zone: Vec<NodeRecord> = in_zone.cloned().collect();
    strongest_home(own, &in_zone, model, step)
}

/// As [`home`]; if no front of the zone is stronger, a front of the region.
pub fn home_in_region(
    own: &NodeRecord,
    fronts: &[NodeRecord],
    model: &str,
    step: u64,
    distance: impl Fn(&NodeRecord) -> Distance,
) -> Option<String> {
    home(own, fronts, model, step).or_else(|| {
        let near = fronts
            .iter()
            .filter(|front| distance(front) < Distance::Elsewhere);
        let near: Vec<NodeRecord> = near.cloned().collect();
        strongest_home(own, &near, model, step)
    })
}

/// The front among the strongest of `fronts` that is to own a step, if these are stronger than the front where it was handed in.
fn strongest_home(
    own: &NodeRecord,
    fronts: &[NodeRecord],
    model: &str,
    step: u64,
) -> Option<String> {
    let near = fronts.iter().filter(|front| !front.is_leaving);
    let most = near.clone().map(|front| front.cpu_millis).max()?;
    if most <= own.cpu_millis {
        return None;
    }
    let names = near
        .filter(|front| front.cpu_millis == most)
        .map(|front| front.node.as_str());
    // All fronts rank them alike, so that the steps of a model go round.
    let ranked = rendezvous(model.as_bytes(), names);
    let turn = (step % ranked.len() as u64) as usize;
    Some(ranked[turn].to_owned())
}

/// The fronts of this region, or all if there is none: a job that moves stays near its trainer if it can.
pub(super) fn nearby(
    fronts: Vec<NodeRecord>,
    distance: impl Fn(&NodeRecord) -> Distance,
) -> Vec<NodeRecord> {
    let (near, far): (Vec<_>, Vec<_>) = fronts
        .into_iter()
        .partition(|front| distance(front) < Distance::Elsewhere);
    if near.is_empty() { far } else { near }
}

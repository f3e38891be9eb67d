//! Handover of this node's jobs and their partial texts to other fronts before a planned stop.

use std::sync::Arc;
use std::time::Duration;

use ladderstage_clock::Instant;
use ladderstage_journal::Peers;
use ladderstage_wire::messages::mod_Request::OneOfkind as RequestKind;
use ladderstage_wire::messages::{Request, ShardNotice};

use super::local_job::{Command, Job};
use super::locating::PEER_TIMEOUT;
use super::lock::lock;
use super::log_name;
use super::preferred_owner::prefer_same_region;
use super::registry::JobRegistry;
use crate::nodes::{NodeRecord, NodeRole, strongest};

/// Interval at which the remaining jobs are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time limit for a job's owner to save the partial texts of its runs.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(400);

/// Interval between two requests to take over the same job.
const NOTICE_INTERVAL: Duration = Duration::from_millis(150);

impl JobRegistry {
    /// Hands over open jobs, including newly accepted ones, until the future is dropped.
    pub async fn hand_over(&self) {
        loop {
            let jobs = self.open_jobs();
            let handovers = jobs
                .iter()
                .enumerate()
                .map(|(index, job)| self.hand_over_job(job, index));
            futures_util::future::join_all(handovers).await;
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the jobs of this node that have not ended.
    pub fn open_jobs(&self) -> Vec<Arc<Job>> {
        let jobs = lock(&self.shared.jobs);
        let open = jobs
            .values()
            .filter(|job| job.state().spec().is_some() && !job.state().is_ended());
        open.cloned().collect()
    }

    /// Has the owner of a job save its partial texts, then asks another front to take over the job.
    async fn hand_over_job(&self, job: &Arc<Job>, index: usize) {
        job.send(Command::Release);
        let mut changed = job.watch();
        let all_saved = async { while !job.is_released() && changed.changed().await.is_ok() {} };
        let in_time = tokio::time::timeout(RELEASE_TIMEOUT, all_saved)
            .await
            .is_ok();
        let Some(successor) = self.successor(job, index) else {
            log::warn!("event=job_not_handed_over job={} reason=no_front", job.id);
            return;
        };
        let kind = RequestKind::shard_notice(ShardNotice {
            logs: vec![log_name(&job.id)],
            from_owner: true,
            epochs: job.epoch().to_wire().into_iter().collect(),
        });
        let nodes = &self.context.nodes;
        let call = nodes.call(&successor.node, Request { kind }, PEER_TIMEOUT);
        let outcome = match call.await {
            Ok(_) => "told".to_owned(),
            Err(error) => format!("not_told cause=\"{error}\""),
        };
        log::info!(
            "event=job_handed_over job={} node={} released={in_time} outcome={outcome}",
            job.id,
            successor.node
        );
        self.wait_removed(&job.id).await;
    }

    /// Waits until another front has taken over the job, for at most [`NOTICE_INTERVAL`].
    async fn wait_removed(&self, id: &str) {
        let deadline = Instant::now() + NOTICE_INTERVAL;
        while self.local(id).is_some() && Instant::now() < deadline {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Chooses the front that takes over the job at `index`: one of the strongest, in this region
    /// if possible. Chooses from the half that this node discovered last, because a rolling restart
    /// reaches those fronts last.
    fn successor(&self, job: &Job, index: usize) -> Option<NodeRecord> {
        let nodes = &self.context.nodes;
        let own = nodes.own().node;
        let mut others = nodes.with_role(NodeRole::Front);
        others.retain(|front| front.node != own);
        // The route's regions may have changed since the job was accepted.
        if let Some(allowed) = self.allowed_regions(job) {
            others.retain(|front| allowed.permits(nodes.region_of(front)));
        }
        let mut others = prefer_same_region(strongest(others), |front| nodes.distance_to(front));
        others.sort_by_key(|front| std::cmp::Reverse(nodes.first_seen(&front.node)));
        let half = others.len().div_ceil(2).max(1);
        others.into_iter().nth(index % half)
    }
}

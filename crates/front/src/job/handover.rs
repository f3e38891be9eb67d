//! A planned stop: this node's jobs go to other fronts with all that was made of them.

use std::sync::Arc;
use std::time::Duration;

use ladderstage_clock::Instant;
use ladderstage_journal::Peers;
use ladderstage_wire::messages::mod_Request::OneOfkind as RequestKind;
use ladderstage_wire::messages::{Request, ShardNotice};

use super::home::nearby;
use super::locating::PEER_TIMEOUT;
use super::lock::lock;
use super::log_name;
use super::registry::JobRegistry;
use super::shared::{Command, Job};
use crate::nodes::{NodeRecord, NodeRole, strongest};

/// Between looks at the jobs that are still here.
const LOOK_PAUSE: Duration = Duration::from_millis(20);

/// How long a job's owner may take to write down what its runs have made.
const RELEASE_LIMIT: Duration = Duration::from_millis(400);

/// Between two notices about the same job.
const NOTICE_PAUSE: Duration = Duration::from_millis(150);

impl JobRegistry {
    /// Hands open jobs to other fronts, those too that are accepted meanwhile, for as long as the future is polled.
    pub async fn hand_over(&self) {
        loop {
            let jobs = self.open_jobs();
            let handed = jobs
                .iter()
                .enumerate()
                .map(|(index, job)| self.hand_over_job(job, index));
            futures_util::future::join_all(handed).await;
            tokio::time::sleep(LOOK_PAUSE).await;
        }
    }

    /// Jobs of this node that are not ended.
    pub fn open_jobs(&self) -> Vec<Arc<Job>> {
        let jobs = lock(&self.shared.jobs);
        let open = jobs
            .values()
            .filter(|job| job.state().spec().is_some() && !job.state().is_ended());
        open.cloned().collect()
    }

    /// Lets the owner of a job write down what its runs have made, and asks another front to take the job.
    async fn hand_over_job(&self, job: &Arc<Job>, index: usize) {
        job.ask(Command::Release);
        let mut changed = job.watch();
        let released = async { while !job.is_released() && changed.changed().await.is_ok() {} };
        let in_time = tokio::time::timeout(RELEASE_LIMIT, released).await.is_ok();
        let Some(successor) = self.successor(job, index) else {
            log::warn!("event=job_not_handed_over job={} reason=no_front", job.id);
            return;
        };
        let kind = RequestKind::shard_notice(ShardNotice {
            logs: vec![log_name(&job.id)],
            from_owner: true,
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
        self.wait_taken(&job.id).await;
    }

    /// Waits until a job is no longer here, for the pause between two notices at most.
    async fn wait_taken(&self, id: &str) {
        let deadline = Instant::now() + NOTICE_PAUSE;
        while self.local(id).is_some() && Instant::now() < deadline {
            tokio::time::sleep(LOOK_PAUSE).await;
        }
    }

    /// A front that may keep the job at `index`: one of the strongest, of this region if it has any, and of the half that started last,
    /// as restarts in turn come to the others first.
    fn successor(&self, job: &Job, index: usize) -> Option<NodeRecord> {
        let nodes = &self.context.nodes;
        let own = nodes.own().node;
        let mut others = nodes.with_role(NodeRole::Front);
        others.retain(|front| front.node != own);
        // Since it was accepted, it may have been bound to other regions.
        if let Some(allowed) = self.allowed_regions(job) {
            others.retain(|front| allowed.permits(nodes.region_of(front)));
        }
        let mut others = nearby(strongest(others), |front| nodes.distance_to(front));
        others.sort_by_key(|front| std::cmp::Reverse(nodes.first_seen(&front.node)));
        let half = others.len().div_ceil(2).max(1);
        others.into_iter().nth(index % half)
    }
}

//! Runs of an item that may crash their instance, recorded in the job's log.
//!
//! Crashes of an item are known only to its owner at first. The next owner did not see them, nor
//! the crash of a run that was in progress when it took the job over, and would allow the item to
//! crash as many instances again.

use std::collections::BTreeSet;
use std::sync::Arc;

use futures_util::future::join_all;
use ladderstage_wire::messages::SuspectRun;
use tokio::sync::oneshot;

use super::context::JobContext;
use super::run_context::RunContext;
use super::run_record::RunRecord;
use super::state::JobState;
use crate::backend::Instance;
use crate::suspects::{ContentDigest, InstanceStatus, probe};

/// Runs that wait for the commit of their records.
#[derive(Debug, Default)]
pub(super) struct CommitWaiters {
    queued: Vec<oneshot::Sender<()>>,
    in_flight: Vec<oneshot::Sender<()>>,
}

impl CommitWaiters {
    /// Adds a run whose record has been queued.
    pub fn add(&mut self, committed: oneshot::Sender<()>) {
        self.queued.push(committed);
    }

    /// Marks the queued records as part of the append in progress.
    pub fn start_append(&mut self) {
        self.in_flight.append(&mut self.queued);
    }

    /// Notifies the runs whose records were part of the append.
    pub fn notify_committed(&mut self) {
        for committed in self.in_flight.drain(..) {
            // A run that has been aborted does not wait any more.
            let _ = committed.send(());
        }
    }

    /// Returns the runs of an append that had no effect to the queue.
    pub fn requeue(&mut self) {
        self.queued.append(&mut self.in_flight);
    }
}

impl RunContext {
    /// Records a run of the item at `index` before it starts, and waits until the record is
    /// committed or the job has no owner here any more.
    pub(super) async fn record_suspect_start(
        &self,
        index: usize,
        content: ContentDigest,
        instance: &Arc<Instance>,
    ) {
        let run = self.suspect_run(index, content, instance);
        let (committed, is_committed) = oneshot::channel();
        if self
            .records
            .send(RunRecord::Suspect(run, committed))
            .is_ok()
        {
            // Without an owner, no other front continues the item.
            let _ = is_committed.await;
        }
    }

    /// Records that the instance crashed in a run of the item at `index`.
    pub(super) fn record_suspect_crash(
        &self,
        index: usize,
        content: ContentDigest,
        instance: &Arc<Instance>,
    ) {
        let mut run = self.suspect_run(index, content, instance);
        run.crashed = true;
        let (committed, _) = oneshot::channel();
        // Without an owner, no other front continues the item.
        let _ = self.records.send(RunRecord::Suspect(run, committed));
    }

    fn suspect_run(
        &self,
        index: usize,
        content: ContentDigest,
        instance: &Arc<Instance>,
    ) -> SuspectRun {
        SuspectRun {
            item: self.spec.items[index].id.clone(),
            content: content.to_bits(),
            instance: instance.id().to_owned(),
            incarnation: instance.incarnation_name(),
            address: instance.address().to_string(),
            crashed: false,
        }
    }
}

/// Suspects the unfinished items of a job that was taken over of the crashes in its log, and of
/// those of runs that were in progress, if their instances have exited.
pub(super) async fn suspect_recorded_crashes(context: &JobContext, state: &JobState) {
    let runs: Vec<&SuspectRun> = state.suspect_runs().collect();
    let has_crashed = join_all(runs.iter().map(|run| has_crashed(context, run))).await;
    let crashed = runs.into_iter().zip(has_crashed);
    let crashed: BTreeSet<(u64, &str)> = crashed
        .filter(|(_, has_crashed)| *has_crashed)
        .map(|(run, _)| (run.content, run.incarnation.as_str()))
        .collect();
    for (content, incarnation) in crashed {
        let content = ContentDigest::from_bits(content);
        context.suspects.record_earlier_crash(content, incarnation);
    }
}

async fn has_crashed(context: &JobContext, run: &SuspectRun) -> bool {
    if run.crashed {
        return true;
    }
    let known = context.backends.get(&run.instance);
    if known.is_some_and(|instance| instance.incarnation_name() != run.incarnation) {
        return true;
    }
    match run.address.parse() {
        Ok(address) => probe(address).await == InstanceStatus::Exited,
        Err(error) => {
            let incarnation = &run.incarnation;
            log::error!("event=suspect_unreadable instance={incarnation} cause=\"{error}\"");
            false
        }
    }
}

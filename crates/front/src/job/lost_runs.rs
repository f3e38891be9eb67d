//! Runs of an item that were given up without an answer at instances that seemed alive.
//!
//! Such an instance may still run the item and crash in it later. An item that is suspected of
//! crashes waits for a while for the instances of its lost runs before it runs again.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use ladderstage_clock::Instant;

use super::run_context::RunContext;
use crate::backend::Instance;
use crate::suspects::{ContentDigest, InstanceStatus, probe};

/// Maximum number of lost runs of an item; the oldest is dropped first.
const MAX_LOST_RUNS: usize = 4;

/// Time after the end of a lost run in which a suspected item waits for its instance to crash.
const CRASH_WAIT: Duration = Duration::from_secs(3);

/// Interval between checks of the instances of lost runs.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// A run that was given up without an answer.
#[derive(Debug)]
struct LostRun {
    instance: Arc<Instance>,
    started_at: Instant,
    lost_at: Instant,
}

/// Lost runs of one item, oldest first.
#[derive(Debug, Default)]
pub(super) struct LostRuns {
    runs: VecDeque<LostRun>,
}

impl LostRuns {
    /// Checks the instance of a run that was given up or broke, and those of earlier lost runs.
    /// A run that was given up at a listening instance becomes a lost run.
    pub async fn check(
        &mut self,
        context: &RunContext,
        index: usize,
        content: ContentDigest,
        instance: &Arc<Instance>,
        started_at: Instant,
        is_given_up: bool,
    ) {
        self.record_crashes(context, index, content).await;
        let status = context.check_broken_run(index, instance, content, started_at);
        if status.await == InstanceStatus::Listening && is_given_up {
            self.add(instance, started_at);
        }
    }

    fn add(&mut self, instance: &Arc<Instance>, started_at: Instant) {
        if self.runs.len() >= MAX_LOST_RUNS {
            self.runs.pop_front();
        }
        self.runs.push_back(LostRun {
            instance: Arc::clone(instance),
            started_at,
            lost_at: Instant::now(),
        });
    }

    /// Waits until all instances of recently lost runs have crashed, if the item is suspected of
    /// crashes. Forgets runs that were lost longer than [`CRASH_WAIT`] ago.
    pub async fn wait_for_crashes(&mut self, context: &RunContext, index: usize) {
        if self.runs.is_empty() {
            return;
        }
        let content = context.item_content(index);
        while context.suspects.is_suspected(content) && context.window.is_open() {
            self.runs.retain(|run| run.lost_at.elapsed() < CRASH_WAIT);
            if self.runs.is_empty() {
                return;
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
            self.record_crashes(context, index, content).await;
        }
    }

    /// Records the crashes of instances and drops their runs.
    async fn record_crashes(&mut self, context: &RunContext, index: usize, content: ContentDigest) {
        for run in std::mem::take(&mut self.runs) {
            if has_crashed(&run.instance).await {
                context
                    .check_broken_run(index, &run.instance, content, run.started_at)
                    .await;
            } else {
                self.runs.push_back(run);
            }
        }
    }
}

async fn has_crashed(instance: &Instance) -> bool {
    instance.has_ended() || probe(instance.address()).await == InstanceStatus::Exited
}

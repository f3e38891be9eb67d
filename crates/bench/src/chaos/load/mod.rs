//! Load of a run: live callers, trainers, operators, and a watch on the bundle in force at each
//! daemon.

mod applications;
mod completions;
mod operators;
mod training;
mod watch;

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::sync::watch as signal;
use tokio::task::JoinSet;

use super::evidence::Recorder;
use super::violation::Guarantee;
use crate::cluster::Cluster;
use crate::live::LiveError;

pub(super) use operators::BundleRoller;

const COMPLETION_CALLERS: u64 = 4;
const APPLICATION_CALLERS: u64 = 4;
const TRAINERS: u64 = 2;

/// State shared by all load tasks.
#[derive(Debug, Clone)]
struct Shared {
    daemons: Vec<String>,
    recorder: Recorder,
    stopped: signal::Receiver<bool>,
}

/// A load task's number and random generator.
#[derive(Debug)]
struct Task {
    shared: Shared,
    number: u64,
    random: StdRng,
}

impl Task {
    fn is_stopped(&self) -> bool {
        *self.shared.stopped.borrow()
    }

    fn any_daemon(&mut self) -> String {
        let index = self.random.random_range(0..self.shared.daemons.len());
        self.shared.daemons[index].clone()
    }

    /// Waits for a random time in this range, in milliseconds, or until the load is stopped.
    async fn pause(&mut self, milliseconds: std::ops::Range<u64>) {
        let pause = Duration::from_millis(self.random.random_range(milliseconds));
        let mut stopped = self.shared.stopped.clone();
        let _ = tokio::time::timeout(pause, stopped.wait_for(|stopped| *stopped)).await;
    }
}

pub(super) struct Load {
    stop: signal::Sender<bool>,
    tasks: JoinSet<()>,
    stop_watching: signal::Sender<bool>,
    watchers: JoinSet<()>,
}

impl Load {
    /// Starts all tasks. Equal seeds give equal random numbers.
    pub(super) fn start(
        seed: u64,
        cluster: &Cluster,
        roller: &BundleRoller,
        recorder: &Recorder,
        step_timeout: Duration,
    ) -> Self {
        let (stop, stopped) = signal::channel(false);
        let (stop_watching, watching_stopped) = signal::channel(false);
        let shared = Shared {
            daemons: cluster.urls(),
            recorder: recorder.clone(),
            stopped,
        };
        let task = |kind: u64, number| Task {
            shared: shared.clone(),
            number,
            random: StdRng::seed_from_u64(seed.wrapping_mul(1_000) + kind * 100 + number),
        };
        let mut tasks = JoinSet::new();
        for number in 0..COMPLETION_CALLERS {
            tasks.spawn(completions::run(task(1, number)));
        }
        for number in 0..APPLICATION_CALLERS {
            tasks.spawn(applications::run(task(2, number)));
        }
        for number in 0..TRAINERS {
            let trainer = cluster.trainer(&format!("trainer-{number}"));
            tasks.spawn(training::run(task(3, number), trainer, step_timeout));
        }
        tasks.spawn(operators::run(task(4, 0), roller.clone()));
        let watchers = watch::start(&shared, &watching_stopped);
        Self {
            stop,
            tasks,
            stop_watching,
            watchers,
        }
    }

    /// Signals all tasks to start no further request.
    pub(super) fn stop(&self) {
        let _ = self.stop.send(true);
    }

    /// Waits until all tasks have ended.
    pub(super) async fn finish(mut self) {
        while self.tasks.join_next().await.is_some() {}
        let _ = self.stop_watching.send(true);
        while self.watchers.join_next().await.is_some() {}
    }
}

/// Records the violations that an error shows.
fn record_error(recorder: &Recorder, content: &str, error: &LiveError) {
    if error.is_violation() {
        recorder.record_violation(Guarantee::WholeAnswer, format!("{content}: {error}"));
    }
    if error.lacks_retry_after() {
        recorder.record_violation(Guarantee::RetryAfter, format!("{content}: {error}"));
    }
}

//! Checks of the instances of abandoned requests, which were given up at their deadline or whose
//! client left.
//!
//! Such a request may still run and crash its instance. Under overload many requests are abandoned,
//! so that connections are opened per instance and interval, and not per request.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use ladderstage_clock::Instant;
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;

use super::{BrokenRun, ContentDigest, InstanceStatus, RunSubject, Suspects, probe};
use crate::backend::Instance;

/// Time after a request was abandoned in which a crash of its instance counts against it.
const CRASH_WAIT: Duration = Duration::from_secs(3);

/// Interval between checks of an instance. One that crashes and listens again in between is
/// recognized by its next incarnation.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of connections opened per interval; the instances whose last check is the oldest
/// come first.
const MAX_PROBES: usize = 16;

/// Maximum number of instances that are checked. Those beyond are not checked.
const MAX_INSTANCES: usize = 256;

/// Maximum number of abandoned requests per instance; the oldest is dropped first.
const MAX_RUNS_PER_INSTANCE: usize = 32;

/// Maximum number of abandoned requests waiting to be checked; more are not checked.
const MAX_QUEUED: usize = 256;

/// A request that was abandoned while an instance was executing it.
#[derive(Debug)]
pub struct AbandonedRun {
    /// Id of the client's attempt.
    pub id: String,
    /// Name of its route.
    pub route: String,
    /// Instance that it was sent to.
    pub instance: Arc<Instance>,
    /// Content of the request.
    pub content: ContentDigest,
    /// When it was sent.
    pub started_at: Instant,
}

/// Queue of abandoned requests. Cheap to clone.
#[derive(Debug, Clone)]
pub(super) struct AbandonedQueue(mpsc::Sender<AbandonedRun>);

impl AbandonedQueue {
    /// Queues a request unless the queue is full; `run` is computed only if it is not.
    pub fn push(&self, run: impl FnOnce() -> AbandonedRun) {
        match self.0.try_reserve() {
            Ok(place) => place.send(run()),
            Err(error) => log::info!("event=abandoned_run_not_checked cause=\"{error}\""),
        }
    }
}

/// Returns an empty queue and the checks of the requests in it.
pub(super) fn abandoned_queue() -> (AbandonedQueue, AbandonedChecks) {
    let (sender, queued) = mpsc::channel(MAX_QUEUED);
    (AbandonedQueue(sender), AbandonedChecks { queued })
}

/// Checks the instances of abandoned requests.
#[derive(Debug)]
pub struct AbandonedChecks {
    queued: mpsc::Receiver<AbandonedRun>,
}

impl AbandonedChecks {
    /// Checks until the future is dropped, and suspects the contents of requests whose instance
    /// crashed.
    pub async fn run(mut self, suspects: Suspects) {
        let mut watched: Vec<WatchedInstance> = Vec::new();
        let mut ticks = tokio::time::interval(CHECK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                run = self.queued.recv() => match run {
                    Some(run) => add(&mut watched, run),
                    None => return,
                },
                _ = ticks.tick(), if !watched.is_empty() => {
                    check_all(&mut watched, &suspects).await;
                }
            }
        }
    }
}

/// An instance with abandoned requests.
#[derive(Debug)]
struct WatchedInstance {
    instance: Arc<Instance>,
    runs: Vec<WatchedRun>,
    checked_at: Option<Instant>,
}

/// An abandoned request whose instance may still crash.
#[derive(Debug)]
struct WatchedRun {
    run: AbandonedRun,
    abandoned_at: Instant,
    /// True if the instance was listening after the request was abandoned.
    was_listening: bool,
}

fn add(watched: &mut Vec<WatchedInstance>, run: AbandonedRun) {
    let known = watched
        .iter_mut()
        .find(|known| Arc::ptr_eq(&known.instance, &run.instance));
    let new = WatchedRun {
        abandoned_at: Instant::now(),
        was_listening: false,
        run,
    };
    if let Some(known) = known {
        if known.runs.len() >= MAX_RUNS_PER_INSTANCE {
            known.runs.remove(0);
        }
        known.runs.push(new);
    } else if watched.len() < MAX_INSTANCES {
        watched.push(WatchedInstance {
            instance: Arc::clone(&new.run.instance),
            runs: vec![new],
            checked_at: None,
        });
    } else {
        log::info!("event=abandoned_run_not_checked cause=\"too many instances\"");
    }
}

/// Checks the instances, and forgets those without requests that may still crash them.
async fn check_all(watched: &mut Vec<WatchedInstance>, suspects: &Suspects) {
    watched.sort_by_key(|instance| instance.checked_at);
    let (ended, listening): (Vec<_>, Vec<_>) = watched
        .iter_mut()
        .partition(|watched| watched.instance.has_ended());
    for watched in ended {
        watched.apply(InstanceStatus::Exited, suspects);
    }
    let checks = listening.into_iter().take(MAX_PROBES).map(|watched| async {
        let status = probe(watched.instance.address()).await;
        watched.apply(status, suspects);
    });
    join_all(checks).await;
    for watched in watched.iter_mut() {
        watched.forget_old_runs();
    }
    watched.retain(|watched| !watched.runs.is_empty());
}

impl WatchedInstance {
    fn apply(&mut self, status: InstanceStatus, suspects: &Suspects) {
        self.checked_at = Some(Instant::now());
        match status {
            InstanceStatus::Exited => {
                for watched in self.runs.drain(..) {
                    record_crash(&watched.run, suspects);
                }
            }
            InstanceStatus::Listening => {
                for watched in &mut self.runs {
                    watched.was_listening = true;
                }
            }
            // A request that was abandoned while its machine was out of reach may never have
            // arrived.
            InstanceStatus::Unknown => self.runs.retain(|watched| watched.was_listening),
        }
    }

    /// Forgets requests that were abandoned long ago. Each is checked at least once.
    fn forget_old_runs(&mut self) {
        let checked_at = self.checked_at;
        self.runs.retain(|watched| {
            let is_checked = checked_at.is_some_and(|at| at >= watched.abandoned_at);
            !is_checked || watched.abandoned_at.elapsed() < CRASH_WAIT
        });
    }
}

fn record_crash(run: &AbandonedRun, suspects: &Suspects) {
    let broken = BrokenRun {
        subject: RunSubject {
            id: &run.id,
            route: &run.route,
        },
        instance: &run.instance,
        content: run.content,
        started_at: run.started_at,
    };
    suspects.record_broken_run(&broken, InstanceStatus::Exited);
    suspects.announce(run.content);
}

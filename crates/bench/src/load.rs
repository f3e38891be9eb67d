//! Continuous load of live callers and trainers, with a report of each request's outcome.

use std::collections::BTreeMap;
use std::time::Duration;

use reqwest::Method;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::cluster::{APPLICATION_POOL, MODEL_POOL};
use crate::live::{Caller, LiveError};
use crate::trainer::{PullOptions, StepReport, StepSpec, Trainer, TrainerError};

const TOKENS: u64 = 10;
const PATH: &str = "price";
/// Pause between the requests of a caller.
const PAUSE: Duration = Duration::from_millis(20);
/// Number of samples per step.
const STEP_SAMPLES: u32 = 12;
const STEP_TOKENS: u32 = 10;

/// Kinds of requests, which a caller sends in turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// A completion that is answered once it is complete.
    Buffered,
    /// A completion that is streamed.
    Streamed,
    Application,
}

const KINDS: [RequestKind; 3] = [
    RequestKind::Buffered,
    RequestKind::Streamed,
    RequestKind::Application,
];

/// A request that was neither answered completely nor refused as not run.
#[derive(Debug)]
pub struct Failure {
    pub kind: RequestKind,
    /// Prompt or body, unique to this request.
    pub text: String,
    /// Error that the caller received.
    pub error: LiveError,
}

/// Results of callers and trainers.
#[derive(Debug, Default)]
pub struct LoadReport {
    /// Number of requests answered completely, by base URL of the daemon.
    pub completed: BTreeMap<String, u64>,
    /// Number of requests refused as not run.
    pub refused: u64,
    /// Requests that failed otherwise.
    pub failures: Vec<Failure>,
    pub steps: Vec<StepReport>,
    /// Errors of steps that did not finish.
    pub unfinished_steps: Vec<TrainerError>,
}

impl LoadReport {
    fn add(&mut self, other: Self) {
        for (daemon, count) in other.completed {
            *self.completed.entry(daemon).or_default() += count;
        }
        self.refused += other.refused;
        self.failures.extend(other.failures);
        self.steps.extend(other.steps);
        self.unfinished_steps.extend(other.unfinished_steps);
    }

    /// Asserts that there was at least one step and that every step delivered each sample once.
    pub fn assert_steps_complete(&self) {
        assert!(
            self.unfinished_steps.is_empty(),
            "{:?}",
            self.unfinished_steps
        );
        assert!(!self.steps.is_empty(), "no step was completed");
        for step in &self.steps {
            assert_eq!(step.violations, [], "{step:?}");
            let counts = (step.delivered, step.duplicated, step.lost);
            let expected = (u64::from(STEP_SAMPLES), 0, 0);
            assert_eq!(counts, expected, "delivered, duplicated, lost: {step:?}");
        }
    }
}

/// Callers and trainers that run until [`Load::stop`].
#[derive(Debug)]
pub struct Load {
    stopped: watch::Sender<bool>,
    tasks: JoinSet<LoadReport>,
}

impl Load {
    /// Creates an empty load.
    pub fn new() -> Self {
        Self {
            stopped: watch::Sender::new(false),
            tasks: JoinSet::new(),
        }
    }

    /// Adds a caller of the daemons at these base URLs, which uses the next one after each request
    /// that is refused or fails. `name` must be unique.
    pub fn add_caller(&mut self, name: &str, daemons: &[String]) {
        let caller = LoadCaller {
            name: name.to_owned(),
            daemons: daemons.to_vec(),
            report: LoadReport::default(),
        };
        self.tasks.spawn(caller.run(self.stopped.subscribe()));
    }

    /// Adds a trainer that runs one step after another and completes the current one after the
    /// stop.
    pub fn add_trainer(&mut self, trainer: Trainer) {
        self.tasks
            .spawn(run_steps(trainer, self.stopped.subscribe()));
    }

    /// Waits until the requests in flight have ended and returns the report.
    pub async fn stop(mut self) -> LoadReport {
        self.stopped.send_replace(true);
        let mut report = LoadReport::default();
        while let Some(task_report) = self.tasks.join_next().await {
            report.add(task_report.expect("load tasks do not panic"));
        }
        report
    }
}

impl Default for Load {
    fn default() -> Self {
        Self::new()
    }
}

struct LoadCaller {
    name: String,
    daemons: Vec<String>,
    report: LoadReport,
}

impl LoadCaller {
    async fn run(mut self, stopped: watch::Receiver<bool>) -> LoadReport {
        let mut current = 0;
        for (number, kind) in KINDS.into_iter().cycle().enumerate() {
            if *stopped.borrow() {
                break;
            }
            let daemon = self.daemons[current % self.daemons.len()].clone();
            let text = format!("{} request {number}", self.name);
            match request(&daemon, kind, &text).await {
                Ok(()) => *self.report.completed.entry(daemon).or_default() += 1,
                Err(error) => {
                    current += 1;
                    self.record_failure(kind, text, error);
                }
            }
            tokio::time::sleep(PAUSE).await;
        }
        self.report
    }

    fn record_failure(&mut self, kind: RequestKind, text: String, error: LiveError) {
        match error {
            LiveError::NotRun { .. } => self.report.refused += 1,
            error => self.report.failures.push(Failure { kind, text, error }),
        }
    }
}

async fn request(daemon: &str, kind: RequestKind, text: &str) -> Result<(), LiveError> {
    let caller = Caller::new(daemon);
    let is_streamed = kind == RequestKind::Streamed;
    match kind {
        RequestKind::Buffered | RequestKind::Streamed => caller
            .complete(MODEL_POOL, text, TOKENS, is_streamed)
            .await
            .map(drop),
        RequestKind::Application => caller
            .application(APPLICATION_POOL, Method::POST, PATH, text)
            .await
            .map(drop),
    }
}

async fn run_steps(mut trainer: Trainer, stopped: watch::Receiver<bool>) -> LoadReport {
    let mut report = LoadReport::default();
    let options = PullOptions {
        max: 5,
        rotates_daemons: true,
        ..PullOptions::default()
    };
    for step in 1.. {
        if *stopped.borrow() {
            break;
        }
        let spec = StepSpec::generate(MODEL_POOL, step, STEP_SAMPLES, STEP_TOKENS);
        match trainer.run(step, &spec, &options).await {
            Ok(step) => report.steps.push(step),
            Err(error) => report.unfinished_steps.push(error),
        }
    }
    report
}

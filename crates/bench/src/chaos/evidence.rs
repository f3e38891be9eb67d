//! Records of a run, made by back ends, callers and trainers.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use serde::Serialize;

use super::violation::{Guarantee, Violation};
use crate::live::LiveError;
use crate::stand_in::application::{ApplicationLog, ApplicationRun};
use crate::stand_in::engine::{EngineLog, Run};
use crate::stand_in::lock;

/// Logs of all back ends, including those that have exited.
#[derive(Debug, Clone, Default, Serialize)]
pub(super) struct BackendLogs {
    /// Engine logs with the engine's name, one entry per process.
    pub(super) engines: Vec<(String, EngineLog)>,
    /// Application logs with the back end's name, one entry per process.
    pub(super) applications: Vec<(String, ApplicationLog)>,
}

impl BackendLogs {
    pub(super) fn add_engine(&mut self, name: &str, log: EngineLog) {
        self.engines.push((name.to_owned(), log));
    }

    pub(super) fn add_application(&mut self, name: &str, log: ApplicationLog) {
        self.applications.push((name.to_owned(), log));
    }

    /// Returns completion runs with the engine's name, grouped by prompt digest.
    pub(super) fn completions(&self) -> BTreeMap<&str, Vec<(&str, &Run)>> {
        let mut by_digest: BTreeMap<&str, Vec<(&str, &Run)>> = BTreeMap::new();
        for (name, log) in &self.engines {
            for run in &log.runs {
                let runs = by_digest.entry(&run.prompt_digest).or_default();
                runs.push((name, run));
            }
        }
        by_digest
    }

    /// Returns application runs with the back end's name, grouped by request body.
    pub(super) fn requests(&self) -> BTreeMap<&str, Vec<(&str, &ApplicationRun)>> {
        let mut by_body: BTreeMap<&str, Vec<(&str, &ApplicationRun)>> = BTreeMap::new();
        for (name, log) in &self.applications {
            for run in &log.runs {
                by_body.entry(&run.body).or_default().push((name, run));
            }
        }
        by_body
    }
}

/// Outcome of a request as its caller saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    Completed,
    /// Refused as not run.
    NotRun,
    /// Failed, or the daemon does not know whether the request ran.
    Unknown,
    /// The connection broke, or the answer had no end marker.
    Broken,
}

impl Outcome {
    pub(super) fn of<T>(result: &Result<T, LiveError>) -> Self {
        match result {
            Ok(_) => Self::Completed,
            Err(LiveError::NotRun { .. }) => Self::NotRun,
            Err(LiveError::Unknown { .. }) => Self::Unknown,
            Err(_) => Self::Broken,
        }
    }
}

/// Kind of a request, which decides how often it may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestKind {
    Completion,
    Streamed,
    /// An application request that may run more than once.
    Repeatable,
    /// An application request without a key that must not run more than once.
    AtMostOnce,
    /// An application request with an idempotency key, sent again through other daemons.
    Keyed,
}

/// One attempt to send a request.
#[derive(Debug, Clone, Serialize)]
pub(super) struct Attempt {
    /// Base URL of the daemon.
    pub(super) daemon: String,
    /// Outcome as the caller saw it.
    pub(super) outcome: Outcome,
    /// Error text; empty after a complete answer.
    pub(super) detail: String,
}

/// A request and all its attempts, in the order in which they ended.
#[derive(Debug, Clone, Serialize)]
pub(super) struct Request {
    pub(super) kind: RequestKind,
    /// Prompt or body, unique to this request.
    pub(super) content: String,
    pub(super) tries: Vec<Attempt>,
    /// Whether the answer omits the weight version of some tokens.
    pub(super) lacks_versions: bool,
}

/// Observations of a run's callers, trainers and operators.
#[derive(Debug, Default, Serialize)]
pub(super) struct Observations {
    /// Requests that have ended.
    pub(super) requests: Vec<Request>,
    /// Number of samples that trainers received.
    pub(super) samples: u64,
    /// Number of pull answers that trainers dropped on purpose.
    pub(super) answers_dropped: u64,
    /// Number of steps pulled to their end.
    pub(super) steps: u64,
    pub(super) bundles: u64,
    /// Number of rolls that were refused or not accepted in time.
    pub(super) bundles_given_up: u64,
    /// Violations detected while the run was in progress.
    pub(super) violations: Vec<Violation>,
}

/// Observations shared by all tasks of a run.
#[derive(Debug, Clone, Default)]
pub(super) struct Recorder {
    observations: Arc<Mutex<Observations>>,
}

impl Recorder {
    /// Updates the observations.
    pub(super) fn update(&self, change: impl FnOnce(&mut Observations)) {
        change(&mut lock(&self.observations));
    }

    pub(super) fn record_violation(&self, guarantee: Guarantee, evidence: String) {
        self.update(|observations| {
            observations.violations.push(Violation {
                guarantee,
                evidence,
            });
        });
    }

    /// Returns the observations and resets them.
    pub(super) fn take(&self) -> Observations {
        std::mem::take(&mut lock(&self.observations))
    }
}

//! Trainer client: submits steps, pulls samples with cursors, and checks them.
//!
//! Retries refusals after their `Retry-After` time, uses another daemon after broken connections,
//! and can drop answers on purpose to pull again with the old cursor.

mod checker;
mod messages;
mod single_calls;

use std::time::{Duration, Instant};

use reqwest::{Client, Response, StatusCode};

pub use checker::{BundleRequirements, PoolRequirements, StepChecker, StepReport, Violation};
pub use messages::{Sample, SampleSpec, SamplesAnswer, StepSpec};
pub use single_calls::SingleAnswer;

const RETRY_PAUSE: Duration = Duration::from_millis(50);
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(1);
/// Time limit of a call, in addition to its long poll.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Error of a step.
#[derive(Debug, thiserror::Error)]
pub enum TrainerError {
    /// The daemons finally refused the step.
    #[error("refused with {status}: {body}")]
    Refused { status: StatusCode, body: String },
    /// The time limit was exceeded; holds the last error.
    #[error("timed out; last error: {0}")]
    TimedOut(String),
}

/// Options of pulls.
#[derive(Debug, Clone)]
pub struct PullOptions {
    /// Maximum number of samples per answer.
    pub max: u32,
    /// Long poll time.
    pub wait: Duration,
    /// Drops one in this number of answers and pulls again; 0 drops none.
    pub drop_every: u32,
    /// Uses the next daemon for each pull instead of only after a failure.
    pub rotates_daemons: bool,
    /// Time limit of the step.
    pub deadline: Duration,
}

impl Default for PullOptions {
    fn default() -> Self {
        Self {
            max: 16,
            wait: Duration::from_millis(500),
            drop_every: 0,
            rotates_daemons: false,
            deadline: Duration::from_secs(30),
        }
    }
}

/// Trainer client.
#[derive(Debug)]
pub struct Trainer {
    name: String,
    /// Base URLs of the daemons.
    daemons: Vec<String>,
    current: usize,
    requirements: BundleRequirements,
    client: Client,
    /// Retryable refusals without a `Retry-After` header.
    pub refusals_without_retry_after: Vec<String>,
}

/// Result of one pull.
enum PullOutcome {
    Answer(SamplesAnswer),
    Failure { text: String, pause: Duration },
}

impl Trainer {
    /// Creates a trainer of the daemons at these base URLs; `requirements` holds the requirements of each
    /// bundle.
    pub fn new(name: &str, daemons: Vec<String>, requirements: BundleRequirements) -> Self {
        Self {
            name: name.to_owned(),
            daemons,
            current: 0,
            requirements,
            client: crate::http_client(),
            refusals_without_retry_after: Vec::new(),
        }
    }

    pub fn use_daemons(&mut self, daemons: impl IntoIterator<Item = String>) {
        self.daemons = daemons.into_iter().collect();
        self.current = 0;
    }

    pub fn name(&self) -> &str {
        &self.name
    }

    /// Submits a step and pulls it to its end.
    pub async fn run(
        &mut self,
        step: u64,
        spec: &StepSpec,
        options: &PullOptions,
    ) -> Result<StepReport, TrainerError> {
        self.submit(step, spec, options.deadline).await?;
        self.pull(step, spec, options).await
    }

    /// Submits a step, retrying until a daemon accepts it.
    pub async fn submit(
        &mut self,
        step: u64,
        spec: &StepSpec,
        deadline: Duration,
    ) -> Result<(), TrainerError> {
        let end = Instant::now() + deadline;
        loop {
            let url = self.step_url(step);
            let sent = self
                .client
                .post(url)
                .timeout(CALL_TIMEOUT)
                .json(spec)
                .send();
            let (text, pause) = match sent.await {
                Ok(answer) if answer.status().is_success() => return Ok(()),
                Ok(answer) => self.retry_or_refuse(answer).await?,
                Err(error) => (format!("{error:?}"), RETRY_PAUSE),
            };
            self.wait_and_use_next_daemon(end, text, pause).await?;
        }
    }

    /// Pulls a submitted step to its end.
    pub async fn pull(
        &mut self,
        step: u64,
        spec: &StepSpec,
        options: &PullOptions,
    ) -> Result<StepReport, TrainerError> {
        self.pull_from(step, self.checker(step, spec), None, options)
            .await
    }

    /// Creates a checker of a step that this trainer submitted.
    pub fn checker(&self, step: u64, spec: &StepSpec) -> StepChecker {
        StepChecker::new(&self.name, step, spec.clone(), self.requirements.clone())
    }

    /// Pulls a step to its end from a cursor whose earlier answers `checker` has checked.
    pub async fn pull_from(
        &mut self,
        step: u64,
        mut checker: StepChecker,
        mut cursor: Option<String>,
        options: &PullOptions,
    ) -> Result<StepReport, TrainerError> {
        let end = Instant::now() + options.deadline;
        let mut answers = 0;
        let mut dropped = false;
        loop {
            let asked_at = Instant::now();
            let outcome = self.pull_once(step, cursor.as_deref(), options).await?;
            let answer = match outcome {
                PullOutcome::Answer(answer) => answer,
                PullOutcome::Failure { text, pause } => {
                    checker.count_failure();
                    self.wait_and_use_next_daemon(end, text, pause).await?;
                    continue;
                }
            };
            answers += 1;
            dropped = !dropped && options.drop_every > 0 && answers % options.drop_every == 0;
            if dropped {
                checker.count_dropped_answer();
                self.use_next_daemon();
                continue;
            }
            let is_end = answer.complete && answer.samples.is_empty();
            cursor = Some(answer.cursor.clone());
            checker.add_answer(answer, asked_at);
            if is_end {
                return Ok(checker.finish());
            }
            if Instant::now() > end {
                return Err(TrainerError::TimedOut(checker.progress()));
            }
            if options.rotates_daemons {
                self.use_next_daemon();
            }
        }
    }

    async fn pull_once(
        &mut self,
        step: u64,
        cursor: Option<&str>,
        options: &PullOptions,
    ) -> Result<PullOutcome, TrainerError> {
        let mut query = vec![
            ("max", options.max.to_string()),
            ("wait_ms", options.wait.as_millis().to_string()),
        ];
        query.extend(cursor.map(|cursor| ("after", cursor.to_owned())));
        let url = with_query(&format!("{}/samples", self.step_url(step)), &query);
        let timeout = CALL_TIMEOUT + options.wait;
        let answer = match self.client.get(url).timeout(timeout).send().await {
            Ok(answer) => answer,
            Err(error) => return Ok(failure(format!("{error:?}"))),
        };
        if !answer.status().is_success() {
            let (text, pause) = self.retry_or_refuse(answer).await?;
            return Ok(PullOutcome::Failure { text, pause });
        }
        match answer.json().await {
            Ok(answer) => Ok(PullOutcome::Answer(answer)),
            Err(error) => Ok(failure(format!("{error:?}"))),
        }
    }

    fn step_url(&self, step: u64) -> String {
        self.step_url_at(&self.daemons[self.current], step)
    }

    fn step_url_at(&self, daemon: &str, step: u64) -> String {
        format!("{daemon}/v1/trainers/{}/steps/{step}", self.name)
    }

    fn use_next_daemon(&mut self) {
        self.current = (self.current + 1) % self.daemons.len();
    }

    async fn wait_and_use_next_daemon(
        &mut self,
        end: Instant,
        failure: String,
        pause: Duration,
    ) -> Result<(), TrainerError> {
        if Instant::now() + pause > end {
            return Err(TrainerError::TimedOut(failure));
        }
        tokio::time::sleep(pause).await;
        self.use_next_daemon();
        Ok(())
    }

    /// Returns the text and pause of a retryable refusal.
    ///
    /// # Errors
    /// If the refusal is final.
    async fn retry_or_refuse(
        &mut self,
        answer: Response,
    ) -> Result<(String, Duration), TrainerError> {
        let status = answer.status();
        let retry_after = answer
            .headers()
            .get("Retry-After")
            .and_then(|value| value.to_str().ok()?.parse().ok())
            .map(Duration::from_secs);
        let body = answer.text().await.unwrap_or_default();
        let may_retry = status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS;
        if !may_retry {
            return Err(TrainerError::Refused { status, body });
        }
        let text = format!("{status}: {body}");
        if retry_after.is_none() {
            self.refusals_without_retry_after.push(text.clone());
        }
        let pause = retry_after.unwrap_or(RETRY_PAUSE);
        Ok((text, pause.clamp(RETRY_PAUSE, MAX_RETRY_PAUSE)))
    }
}

fn failure(text: String) -> PullOutcome {
    PullOutcome::Failure {
        text,
        pause: RETRY_PAUSE,
    }
}

fn with_query(url: &str, query: &[(&str, String)]) -> reqwest::Url {
    let mut url = reqwest::Url::parse(url).expect("base URLs of daemons are valid");
    url.query_pairs_mut().extend_pairs(query);
    url
}

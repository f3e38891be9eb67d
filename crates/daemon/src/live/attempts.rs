//! The attempts of one request: chooses a back end for each, decides on retries and determines the final outcome.

use std::net::SocketAddr;
use std::time::Duration;

use ladderstage::retry::RetryRefusal;
use ladderstage::routing::{Candidate, ChoiceOptions, choose};
use ladderstage_platform::dispatch::DispatchError;

use super::{LiveError, Permit};
use crate::backends::{Backends, InFlightGuard};

/// Minimum response timeout of an attempt that may be retried.
const MIN_ATTEMPT: Duration = Duration::from_millis(500);

/// One attempt at one back end. Counts as in flight there until dropped.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) backend: String,
    pub(super) address: SocketAddr,
    /// Unique id of this attempt, sent to the back end.
    pub(super) id: String,
    /// The attempt must use a new connection: it is a retry, or the request must not run twice.
    pub(super) fresh_connection: bool,
    _in_flight: InFlightGuard,
}

/// The attempts of one request.
#[derive(Debug)]
pub(super) struct Attempts {
    pub(super) permit: Permit,
    /// The request may be retried after an attempt whose outcome is unknown.
    repeatable: bool,
    count: u32,
    tried: Vec<String>,
    /// An attempt may have run. Never reset to false.
    may_have_run: bool,
    last_failure: Option<Failure>,
}

#[derive(Debug)]
struct Failure {
    detail: String,
    retry_after: Option<Duration>,
    /// The back end refused the request, so an immediate retry there would fail too.
    refused: bool,
}

impl Attempts {
    pub(super) fn new(permit: Permit, repeatable: bool) -> Self {
        Self {
            permit,
            repeatable,
            count: 0,
            tried: Vec::new(),
            may_have_run: false,
            last_failure: None,
        }
    }

    pub(super) fn repeatable(&self) -> bool {
        self.repeatable
    }

    /// Returns how long the back end may take to start its answer.
    pub(super) fn response_timeout(&self) -> Duration {
        let remaining = self.permit.remaining();
        if !self.repeatable {
            return remaining;
        }
        (remaining / 2).max(MIN_ATTEMPT).min(remaining)
    }

    /// Starts the next attempt, preferably at a back end that was not tried yet.
    ///
    /// # Errors
    /// [`LiveError`] if the deadline has passed or no back end accepts work.
    pub(super) fn start_next(&mut self, prefix: Option<&[u8]>) -> Result<Attempt, LiveError> {
        if self.permit.remaining().is_zero() {
            return Err(self.final_error());
        }
        let mut candidates = self.candidates();
        while let Some(index) = self.choose_index(&candidates, prefix) {
            let candidate = candidates.swap_remove(index);
            if let Some(in_flight) = self
                .backends()
                .try_start_request(&self.permit.pool, &candidate.name)
            {
                return Ok(self.new_attempt(candidate, in_flight));
            }
        }
        Err(self.final_error())
    }

    /// Records a failed attempt and waits for the back-off before the next one.
    ///
    /// # Errors
    /// [`LiveError`] if the request must not be retried.
    pub(super) async fn retry_after_failure(
        &mut self,
        attempt: Attempt,
        error: &DispatchError,
    ) -> Result<(), LiveError> {
        self.handle_failure(&attempt.backend, error);
        let certain = error.is_certainly_not_run();
        self.may_have_run |= !certain;
        drop(attempt);
        if !certain && !self.repeatable {
            return Err(self.final_error());
        }
        match self.permit.spend_retry(self.count.saturating_sub(1)) {
            Ok(wait) => tokio::time::sleep(wait).await,
            Err(refusal) => return Err(self.retry_refused(refusal)),
        }
        self.permit.live.metrics().record_retry(reason(error));
        Ok(())
    }

    /// Records that the back end of an attempt sent a complete answer.
    pub(super) fn record_success(&self, attempt: &Attempt) {
        self.backends().record_success(&attempt.backend);
    }

    /// Records that an attempt failed after its answer had started.
    pub(super) fn record_failure(&self, attempt: &Attempt) {
        self.backends().record_failure(&attempt.backend);
    }

    /// Returns the error of the request after its last attempt.
    pub(super) fn final_error(&self) -> LiveError {
        if self.may_have_run && self.permit.remaining().is_zero() {
            return LiveError::DeadlineExceeded;
        }
        match &self.last_failure {
            Some(failure) if self.may_have_run => LiveError::AnswerLost {
                detail: failure.detail.clone(),
            },
            Some(failure) => LiveError::Refused {
                detail: failure.detail.clone(),
                retry_after: failure.retry_after,
            },
            None => LiveError::NoBackend {
                pool: self.permit.pool.clone(),
            },
        }
    }

    fn retry_refused(&self, refusal: RetryRefusal) -> LiveError {
        log::debug!(
            "event=retry_refused request={} reason=\"{refusal}\"",
            self.permit.options.id.caller_id()
        );
        self.final_error()
    }

    fn candidates(&self) -> Vec<Candidate> {
        let all = self.backends().candidates(&self.permit.pool);
        let is_untried = |candidate: &Candidate| !self.tried.contains(&candidate.name);
        let untried: Vec<Candidate> = all
            .iter()
            .filter(|other| is_untried(other))
            .cloned()
            .collect();
        let refused = self.last_failure.as_ref().is_some_and(|last| last.refused);
        if untried.is_empty() && !refused {
            return all;
        }
        untried
    }

    fn choose_index(&self, candidates: &[Candidate], prefix: Option<&[u8]>) -> Option<usize> {
        let options = ChoiceOptions {
            zone: &self.permit.live.shared.zone,
            prefix,
        };
        choose(candidates, &options, rand::random())
    }

    fn new_attempt(&mut self, candidate: Candidate, in_flight: InFlightGuard) -> Attempt {
        let id = self.permit.options.id.attempt_id(self.count);
        let is_retry = self.count > 0;
        self.count += 1;
        self.tried.push(candidate.name.clone());
        Attempt {
            backend: candidate.name,
            address: candidate.address,
            id,
            fresh_connection: is_retry || !self.repeatable,
            _in_flight: in_flight,
        }
    }

    fn handle_failure(&mut self, backend: &str, error: &DispatchError) {
        let retry_after = match error {
            DispatchError::NotRun {
                retry_after,
                leaving,
                ..
            } => {
                self.backends().record_refusal(backend, *leaving);
                *retry_after
            }
            DispatchError::NotSent(_) | DispatchError::Unknown(_) => {
                self.backends().record_failure(backend);
                None
            }
        };
        log::info!(
            "event=attempt_failed request={} backend={backend} attempt={} reason={}",
            self.permit.options.id.caller_id(),
            self.count,
            reason(error)
        );
        self.last_failure = Some(Failure {
            detail: format!("{backend}: {error}"),
            retry_after,
            refused: matches!(error, DispatchError::NotRun { .. }),
        });
    }

    fn backends(&self) -> &Backends {
        &self.permit.live.services().backends
    }
}

fn reason(error: &DispatchError) -> &'static str {
    match error {
        DispatchError::NotSent(_) => "not_sent",
        DispatchError::NotRun { .. } => "not_run",
        DispatchError::Unknown(_) => "unknown",
    }
}

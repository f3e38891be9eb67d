//! The attempts of one request: which back end each goes to, whether there is another, and what is certain when
//! there is none.

use std::net::SocketAddr;
use std::time::Duration;

use ladderstage::retry::RetryRefusal;
use ladderstage::routing::{Candidate, ChoiceOptions, choose};
use ladderstage_platform::dispatch::DispatchError;

use super::{LiveError, Permit};
use crate::backends::{Backends, InFlightGuard};

/// Shortest time that an attempt is given while another may follow.
const MIN_ATTEMPT: Duration = Duration::from_millis(500);

/// One attempt at one back end; counted as under way there until dropped.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) backend: String,
    pub(super) address: SocketAddr,
    /// Id that the back end is given; no other attempt has it.
    pub(super) id: String,
    /// The attempt must not reuse a connection: it must not run twice, or follows one that broke.
    pub(super) fresh_connection: bool,
    _in_flight: InFlightGuard,
}

/// The attempts of one request.
#[derive(Debug)]
pub(super) struct Attempts {
    pub(super) permit: Permit,
    /// The request may be run again after an attempt whose outcome is unknown.
    repeatable: bool,
    count: u32,
    tried: Vec<String>,
    /// An attempt may have run. Never goes back to false.
    may_have_run: bool,
    last_failure: Option<Failure>,
}

#[derive(Debug)]
struct Failure {
    detail: String,
    retry_after: Option<Duration>,
    /// The back end itself refused, so asking it again at once is of no use.
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

    /// How long the back end of the current attempt may take to begin its answer.
    pub(super) fn patience(&self) -> Duration {
        let remaining = self.permit.remaining();
        if !self.repeatable {
            return remaining;
        }
        (remaining / 2).max(MIN_ATTEMPT).min(remaining)
    }

    /// Chooses the back end of the next attempt, one that was not tried yet if there is any.
    pub(super) fn begin(&mut self, prefix: Option<&[u8]>) -> Result<Attempt, LiveError> {
        if self.permit.remaining().is_zero() {
            return Err(self.given_up());
        }
        let mut candidates = self.candidates();
        while let Some(index) = self.pick(&candidates, prefix) {
            let candidate = candidates.swap_remove(index);
            if let Some(in_flight) = self
                .backends()
                .try_start_request(&self.permit.pool, &candidate.name)
            {
                return Ok(self.attempt(candidate, in_flight));
            }
        }
        Err(self.given_up())
    }

    /// Takes in a failure of the current attempt, and waits the back-off if there may be another.
    pub(super) async fn fail(
        &mut self,
        attempt: Attempt,
        error: &DispatchError,
    ) -> Result<(), LiveError> {
        self.note(&attempt.backend, error);
        let certain = error.certainly_not_run();
        self.may_have_run |= !certain;
        drop(attempt);
        if !certain && !self.repeatable {
            return Err(self.given_up());
        }
        match self.permit.spend_retry(self.count.saturating_sub(1)) {
            Ok(wait) => tokio::time::sleep(wait).await,
            Err(refusal) => return Err(self.given_up_because(refusal)),
        }
        self.permit.live.metrics().note_retry(reason(error));
        Ok(())
    }

    /// Takes in the back end's own whole answer.
    pub(super) fn succeed(&self, attempt: &Attempt) {
        self.backends().record_success(&attempt.backend);
    }

    /// Takes in that an attempt whose answer was begun is not to be counted as a success.
    pub(super) fn note_broken(&self, attempt: &Attempt) {
        self.backends().record_failure(&attempt.backend);
    }

    /// What is certain now that there will be no further attempt.
    pub(super) fn given_up(&self) -> LiveError {
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

    fn given_up_because(&self, refusal: RetryRefusal) -> LiveError {
        log::debug!(
            "event=retry_refused request={} reason=\"{refusal}\"",
            self.permit.options.id.shown()
        );
        self.given_up()
    }

    fn candidates(&self) -> Vec<Candidate> {
        let all = self.backends().candidates(&self.permit.pool);
        let is_untried = |candidate: &Candidate| !self.tried.contains(&candidate.name);
        let untried: Vec<Candidate> = all.iter().filter(|one| is_untried(one)).cloned().collect();
        let refused = self.last_failure.as_ref().is_some_and(|last| last.refused);
        if untried.is_empty() && !refused {
            return all;
        }
        untried
    }

    fn pick(&self, candidates: &[Candidate], prefix: Option<&[u8]>) -> Option<usize> {
        let options = ChoiceOptions {
            zone: &self.permit.live.shared.zone,
            prefix,
        };
        choose(candidates, &options, rand::random())
    }

    fn attempt(&mut self, candidate: Candidate, in_flight: InFlightGuard) -> Attempt {
        let id = self.permit.options.id.of_attempt(self.count);
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

    fn note(&mut self, backend: &str, error: &DispatchError) {
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
            self.permit.options.id.shown(),
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

//! Ejection of a back end after consecutive failures of own requests.
//!
//! After `consecutive_failures` failures in a row, no request is sent to the back end for a
//! jittered time that doubles with each ejection. Afterwards one trial request at a time is
//! allowed: a success resets the state, a failure ejects again. A refusal because the back end is
//! full proves it alive and only pauses it briefly.

use std::time::Duration;

use super::policy::BackendPolicy;

/// Maximum number of doublings of the ejection time.
const MAX_DOUBLINGS: u32 = 16;

#[derive(Debug, Clone, Default)]
pub(super) struct Health {
    failures: u32,
    ejections: u32,
    ejected_until: Option<Duration>,
    paused_until: Duration,
    trial: Option<u64>,
}

/// Reason why no request is allowed now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HealthRejection {
    Ejected,
    OnTrial,
    Paused,
}

impl Health {
    pub(super) fn failures(&self) -> u32 {
        self.failures
    }

    pub(super) fn check(&self, now: Duration) -> Result<(), HealthRejection> {
        if self.is_ejected(now) {
            return Err(HealthRejection::Ejected);
        }
        if self.trial.is_some() {
            return Err(HealthRejection::OnTrial);
        }
        if now < self.paused_until {
            return Err(HealthRejection::Paused);
        }
        Ok(())
    }

    /// Records the start of a request; the first one after an ejection is the trial.
    pub(super) fn start_request(&mut self, dispatch: u64) {
        if self.ejected_until.is_some() && self.trial.is_none() {
            self.trial = Some(dispatch);
        }
    }

    /// Records the end of a request, whatever its outcome.
    pub(super) fn finish_request(&mut self, dispatch: u64) {
        if self.trial == Some(dispatch) {
            self.trial = None;
        }
    }

    pub(super) fn succeed(&mut self) {
        *self = Self::default();
    }

    /// Records a failure; `jitter` is uniform in [0, 1).
    pub(super) fn fail(&mut self, now: Duration, policy: &BackendPolicy, jitter: f64) {
        if self.is_ejected(now) {
            // Failures of requests that were in flight at the ejection do not extend it.
            return;
        }
        self.failures = self.failures.saturating_add(1);
        if self.failures >= policy.consecutive_failures {
            self.eject(now, policy, jitter);
        }
    }

    pub(super) fn refuse(&mut self, now: Duration, policy: &BackendPolicy, jitter: f64) {
        self.failures = 0;
        self.ejections = 0;
        self.ejected_until = None;
        self.trial = None;
        self.paused_until = now + jittered(policy.refusal_pause, jitter);
    }

    fn is_ejected(&self, now: Duration) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    fn eject(&mut self, now: Duration, policy: &BackendPolicy, jitter: f64) {
        let factor = 1 << self.ejections.min(MAX_DOUBLINGS);
        let span = (policy.base_ejection_time * factor).min(policy.max_ejection_time);
        self.ejections = self.ejections.saturating_add(1);
        self.ejected_until = Some(now + jittered(span, jitter));
        self.trial = None;
    }
}

/// Returns `span` scaled by a factor between 0.5 and 1.5.
fn jittered(span: Duration, jitter: f64) -> Duration {
    span.mul_f64(0.5 + jitter.clamp(0.0, 1.0))
}

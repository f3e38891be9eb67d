//! Admission of live requests.

use std::time::Duration;

use ladderstage::admission::AdmissionError;
use ladderstage::bundle::{Bundle, PoolKind};
use ladderstage::retry::RetryRefusal;
use tokio::time::Instant;

use super::limits::AdmittedRequest;
use super::{LiveError, LivePath, RequestOptions, Reservation};

/// Deadline of classes without one in the bundle.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// Permit to run one request; counts against its class until dropped.
#[derive(Debug)]
pub struct Permit {
    pub(super) live: LivePath,
    pub(super) options: RequestOptions,
    pub(super) pool: String,
    /// Priority of the class, sent to engines.
    pub(super) priority: u32,
    pub(super) deadline: Instant,
    admitted: AdmittedRequest,
    _body: Reservation,
}

impl Permit {
    /// Returns the deadline of the request.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Returns the time until the deadline.
    pub(super) fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Takes one retry from the budget of the class and returns the back-off before it.
    pub(super) fn spend_retry(&self, retries: u32) -> Result<Duration, RetryRefusal> {
        self.admitted.spend_retry(retries, self.remaining())
    }
}

impl LivePath {
    /// Admits a request for a pool without waiting. `body` is held as long as the permit.
    ///
    /// # Errors
    /// [`LiveError`] with the outcome [`super::Outcome::NotRun`].
    pub fn admit(
        &self,
        options: RequestOptions,
        pool: &str,
        kind: PoolKind,
        body: Reservation,
    ) -> Result<Permit, LiveError> {
        let Some(in_force) = self.shared.node.bundle() else {
            return Err(LiveError::NoBundle);
        };
        if self.is_isolated_and_stale() {
            return Err(LiveError::Isolated);
        }
        let bundle = &in_force.bundle;
        check_pool(bundle, pool, kind)?;
        let admitted = self
            .shared
            .limits
            .admit(bundle, &options.class)
            .map_err(admission_error)?;
        let class = bundle.class(&options.class);
        let class_deadline = class
            .map(|class| Duration::from_millis(class.deadline_ms))
            .filter(|deadline| !deadline.is_zero());
        let time_limit = options.deadline.or(class_deadline);
        Ok(Permit {
            live: self.clone(),
            pool: pool.to_owned(),
            priority: class.map_or(0, |class| class.priority),
            deadline: Instant::now() + time_limit.unwrap_or(DEFAULT_DEADLINE),
            options,
            admitted,
            _body: body,
        })
    }

    /// Returns whether the bundle may be outdated, as the node is isolated and its evidence is old.
    fn is_isolated_and_stale(&self) -> bool {
        let node = &self.shared.node;
        let evidence_is_old = node
            .evidence_age()
            .is_none_or(|age| age > self.shared.evidence_bound);
        evidence_is_old && node.is_isolated()
    }
}

fn check_pool(bundle: &Bundle, name: &str, kind: PoolKind) -> Result<(), LiveError> {
    if bundle.pool(name).is_some_and(|pool| pool.kind == kind) {
        return Ok(());
    }
    let kind = match kind {
        PoolKind::Model => "model",
        PoolKind::Application => "application",
    };
    Err(LiveError::UnknownPool {
        kind,
        pool: name.to_owned(),
    })
}

fn admission_error(error: AdmissionError) -> LiveError {
    match error {
        AdmissionError::UnknownClass { class } => LiveError::UnknownClass { class },
        AdmissionError::Full { class, retry_after } => LiveError::AtLimit { class, retry_after },
    }
}

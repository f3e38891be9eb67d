//! Admission limits and retry budgets per class, as the bundle in force sets them.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use ladderstage::admission::{Admission, AdmissionError};
use ladderstage::bundle::Bundle;
use ladderstage::ids::Revision;
use ladderstage::retry::{RetryBudget, RetryRefusal};

/// Maximum number of live requests in flight on a node, over all classes.
const MAX_IN_FLIGHT: u32 = 2_048;

/// Admission limits and retry budgets of all classes. Cheap to clone.
#[derive(Debug, Clone)]
pub(crate) struct Limits {
    started: Instant,
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    revision: Revision,
    admission: Admission,
    budgets: BTreeMap<String, RetryBudget>,
}

impl Limits {
    pub(crate) fn new() -> Self {
        Self {
            started: Instant::now(),
            state: Arc::new(Mutex::new(State {
                revision: 0,
                admission: Admission::new(MAX_IN_FLIGHT),
                budgets: BTreeMap::new(),
            })),
        }
    }

    /// Admits a request of a class under the limits of the bundle.
    ///
    /// # Errors
    /// [`AdmissionError`] if the class is unknown or has reached its limit.
    pub(crate) fn admit(
        &self,
        bundle: &Bundle,
        class: &str,
    ) -> Result<AdmittedRequest, AdmissionError> {
        let now = self.now();
        let mut state = self.lock();
        state.apply_bundle(bundle);
        state.admission.admit(class, now)?;
        if let Some(budget) = state.budgets.get_mut(class) {
            budget.record_first_attempt(now);
        }
        Ok(AdmittedRequest {
            limits: self.clone(),
            class: class.to_owned(),
        })
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Locks the state. Poisoning is ignored, as a panic leaves the state usable.
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn apply_bundle(&mut self, bundle: &Bundle) {
        if bundle.revision <= self.revision {
            return;
        }
        self.revision = bundle.revision;
        self.admission.configure(&bundle.classes);
        let mut previous = std::mem::take(&mut self.budgets);
        for class in &bundle.classes {
            let percent = class.retry_budget_percent;
            let mut budget = previous
                .remove(&class.name)
                .unwrap_or_else(|| RetryBudget::new(percent));
            budget.set_percent(percent);
            self.budgets.insert(class.name.clone(), budget);
        }
    }
}

/// Admitted request; counts against its class until dropped.
#[derive(Debug)]
pub(crate) struct AdmittedRequest {
    limits: Limits,
    class: String,
}

impl AdmittedRequest {
    /// Takes one retry from the budget of the class and returns the back-off before it.
    ///
    /// # Errors
    /// [`RetryRefusal`] if the budget is spent or the remaining time is too short.
    pub(crate) fn spend_retry(
        &self,
        retries: u32,
        remaining: Duration,
    ) -> Result<Duration, RetryRefusal> {
        let now = self.limits.now();
        let mut state = self.limits.lock();
        let Some(budget) = state.budgets.get_mut(&self.class) else {
            return Err(RetryRefusal::BudgetSpent);
        };
        budget.spend(now, retries, remaining, rand::random())
    }
}

impl Drop for AdmittedRequest {
    fn drop(&mut self) {
        let now = self.limits.now();
        self.limits.lock().admission.finish(&self.class, now);
    }
}

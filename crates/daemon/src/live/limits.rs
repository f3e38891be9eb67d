//! Admission limits and retry budgets of the bundle in force.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use ladderstage::admission::{Admission, AdmissionError};
use ladderstage::bundle::Bundle;
use ladderstage::ids::Revision;
use ladderstage::retry::{RetryBudget, RetryRefusal};

/// Live requests in flight at one node, of all classes together.
const MAX_IN_FLIGHT: u32 = 2_048;

/// Limits of all classes. Cheap to clone.
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

    /// Admits a request of a class under a bundle's limits.
    pub(crate) fn admit(&self, bundle: &Bundle, class: &str) -> Result<Place, AdmissionError> {
        let now = self.now();
        let mut state = self.lock();
        state.adopt(bundle);
        state.admission.admit(class, now)?;
        if let Some(budget) = state.budgets.get_mut(class) {
            budget.record_first_attempt(now);
        }
        Ok(Place {
            limits: self.clone(),
            class: class.to_owned(),
        })
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// A panic while the lock was held left nothing half done that matters here.
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn adopt(&mut self, bundle: &Bundle) {
        if bundle.revision <= self.revision {
            return;
        }
        self.revision = bundle.revision;
        self.admission.configure(&bundle.classes);
        let mut earlier = std::mem::take(&mut self.budgets);
        for class in &bundle.classes {
            let percent = class.retry_budget_percent;
            let mut budget = earlier
                .remove(&class.name)
                .unwrap_or_else(|| RetryBudget::new(percent));
            budget.set_percent(percent);
            self.budgets.insert(class.name.clone(), budget);
        }
    }
}

/// The place of one admitted request; given back when dropped.
#[derive(Debug)]
pub(crate) struct Place {
    limits: Limits,
    class: String,
}

impl Place {
    /// Spends one retry of the class's budget; returns how long to wait first.
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

impl Drop for Place {
    fn drop(&mut self) {
        let now = self.limits.now();
        self.limits.lock().admission.finish(&self.class, now);
    }
}

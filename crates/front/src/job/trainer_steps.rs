//! The newest step of each trainer, and which weights its next job will allow.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};

/// Weight version that an instance has from its start: a bound of it says nothing of how the bound moves.
const FIRST_VERSION: u64 = 1;

/// The newest step of each model that was accepted anywhere, as far as this front was told. Cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct LatestSteps {
    steps: Arc<Mutex<HashMap<String, NewestStep>>>,
}

/// A step and the oldest weight version that its job allows.
#[derive(Debug, Clone, Copy)]
struct NewestStep {
    step: u64,
    min_version: u64,
}

impl LatestSteps {
    /// Notes that the job of a step was accepted.
    pub fn note(&self, model: &str, step: u64, min_version: u64) {
        let mut steps = self.lock();
        let is_older = |known: &NewestStep| known.step >= step;
        if !steps.get(model).is_some_and(is_older) {
            steps.insert(model.to_owned(), NewestStep { step, min_version });
        }
    }

    /// The oldest weight version that the next job of a model is expected to allow: the bound rises by one with each step, once
    /// it has left the first version. `known` is the bound of a job that is known to be accepted.
    pub fn next_min_version(&self, model: &str, known: u64) -> u64 {
        let newest = self.lock().get(model).copied();
        let bound = newest.map_or(known, |newest| newest.min_version.max(known));
        if bound <= FIRST_VERSION {
            return bound;
        }
        bound + 1
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, NewestStep>> {
        self.steps
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

//! Latest step of each trainer, and the weights that its next job is expected to allow.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};

/// Weight version of an instance before its first weight load.
const INITIAL_VERSION: u64 = 1;

/// Latest step of each model that any front has reported as accepted. Cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct LatestSteps {
    steps: Arc<Mutex<HashMap<String, NewestStep>>>,
}

/// Step and the oldest weight version that its job allows.
#[derive(Debug, Clone, Copy)]
struct NewestStep {
    step: u64,
    min_version: u64,
}

impl LatestSteps {
    /// Records that the job of a step was accepted.
    pub fn record(&self, model: &str, step: u64, min_version: u64) {
        let mut steps = self.lock();
        let is_older = |known: &NewestStep| known.step >= step;
        if !steps.get(model).is_some_and(is_older) {
            steps.insert(model.to_owned(), NewestStep { step, min_version });
        }
    }

    /// Returns the oldest weight version that the next job of a model is expected to allow. Assumes
    /// that the minimum rises by one with each step once it exceeds the initial version. `known` is
    /// the minimum of a job that is known to be accepted.
    pub fn next_min_version(&self, model: &str, known: u64) -> u64 {
        let newest = self.lock().get(model).copied();
        let bound = newest.map_or(known, |newest| newest.min_version.max(known));
        if bound <= INITIAL_VERSION {
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

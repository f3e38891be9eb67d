//! Failures of an item's runs, which count over all jobs that have the item.
//!
//! A trainer submits incomplete groups again in later jobs. An item that fails on every run would
//! otherwise be sent to instances in each of them.

use ladderstage_wire::messages::{JobResult, KeptText};

/// Number of times that an item may fail as often as its route allows, over all jobs that have it.
const MAX_FAILED_ROUNDS: u32 = 3;

/// Failures of an item's runs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ItemFailures {
    /// Number of runs that instances answered with a failure.
    pub failed_runs: u32,
    /// Whether an instance answered that the item can never be processed.
    pub is_unprocessable: bool,
}

impl ItemFailures {
    /// Returns whether there is any failure.
    pub fn is_any(&self) -> bool {
        *self != Self::default()
    }

    /// Returns whether the item may run again on a route that allows `max_attempts` failures per job.
    pub fn may_run(&self, max_attempts: u32) -> bool {
        let max_failed_runs = max_attempts.max(1).saturating_mul(MAX_FAILED_ROUNDS);
        !self.is_unprocessable && self.failed_runs < max_failed_runs
    }

    /// Combines what is known of the same item from two sources, each of which may have seen the
    /// failures of the other.
    pub fn merge(&mut self, other: Self) {
        self.failed_runs = self.failed_runs.max(other.failed_runs);
        self.is_unprocessable |= other.is_unprocessable;
    }
}

impl From<&KeptText> for ItemFailures {
    fn from(text: &KeptText) -> Self {
        Self {
            failed_runs: text.failed_runs,
            is_unprocessable: text.unprocessable,
        }
    }
}

impl From<&JobResult> for ItemFailures {
    fn from(result: &JobResult) -> Self {
        Self {
            failed_runs: result.failed_runs,
            is_unprocessable: result.unprocessable,
        }
    }
}

//! Retry budgets: retries are a bounded share of the first tries, so that a failing pool is not flooded by them.

use std::time::Duration;

use crate::admission::SlidingCounter;

/// Window over which first tries and retries are compared.
const BUDGET_WINDOW: Duration = Duration::from_secs(10);

/// Retries allowed within a window whatever the first tries, so that a quiet pool can still repeat one.
const FLOOR_PER_WINDOW: u64 = 10;

/// Retries of one request at most.
pub const MAX_RETRIES_PER_REQUEST: u32 = 5;

/// A retry that has less time than this before its deadline is not worth its load.
const MIN_REMAINING: Duration = Duration::from_millis(50);

/// Longest wait before the first retry; doubled for each further one.
const FIRST_BACKOFF: Duration = Duration::from_millis(10);

/// Why a request may not be tried again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum RetryRefusal {
    /// Too many retries among the requests of the last window.
    #[error("retry budget spent")]
    BudgetSpent,
    /// This request was retried [`MAX_RETRIES_PER_REQUEST`] times already.
    #[error("retried too often")]
    TooOften,
    /// Too little time is left.
    #[error("deadline too close")]
    DeadlineTooClose,
}

/// Retry budget of one class of work.
#[derive(Debug)]
pub struct RetryBudget {
    percent: u32,
    first_tries: SlidingCounter,
    retries: SlidingCounter,
}

impl RetryBudget {
    /// A budget of `percent` retries for each hundred first tries, and a small floor.
    pub fn new(percent: u32) -> Self {
        Self {
            percent,
            first_tries: SlidingCounter::new(BUDGET_WINDOW),
            retries: SlidingCounter::new(BUDGET_WINDOW),
        }
    }

    /// Takes over the share of a new bundle; what was counted stays.
    pub fn set_percent(&mut self, percent: u32) {
        self.percent = percent;
    }

    /// Counts a first try.
    pub fn record_first_attempt(&mut self, now: Duration) {
        self.first_tries.add(now);
    }

    /// Spends one retry for a request that was retried `retries` times before and has `remaining` time left.
    /// Returns how long to wait first; `random` is from 0 to 1.
    ///
    /// # Errors
    /// [`RetryRefusal`]; nothing is spent then.
    pub fn spend(
        &mut self,
        now: Duration,
        retries: u32,
        remaining: Duration,
        random: f64,
    ) -> Result<Duration, RetryRefusal> {
        if retries >= MAX_RETRIES_PER_REQUEST {
            return Err(RetryRefusal::TooOften);
        }
        let longest = FIRST_BACKOFF * 2u32.pow(retries);
        let wait = longest.mul_f64(random.clamp(0.0, 1.0));
        if remaining < wait + MIN_REMAINING {
            return Err(RetryRefusal::DeadlineTooClose);
        }
        if self.retries.count(now) >= self.allowance(now) {
            return Err(RetryRefusal::BudgetSpent);
        }
        self.retries.add(now);
        Ok(wait)
    }

    /// Retries allowed within the window that ends now.
    fn allowance(&mut self, now: Duration) -> u64 {
        let share = self.first_tries.count(now) * u64::from(self.percent) / 100;
        share.max(FLOOR_PER_WINDOW)
    }
}

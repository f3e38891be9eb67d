//! Retry budgets limit retries to a share of the first attempts, so that retries cannot overload a
//! failing pool.

use std::time::Duration;

use crate::admission::SlidingCounter;

/// Window over which first attempts and retries are counted.
const BUDGET_WINDOW: Duration = Duration::from_secs(10);

/// Retries allowed within a window regardless of the number of first attempts, so that pools with
/// little traffic can retry.
const MIN_RETRIES_PER_WINDOW: u64 = 10;

/// Maximum number of retries of one request.
pub const MAX_RETRIES_PER_REQUEST: u32 = 5;

/// Minimum time that must be left before the deadline after the backoff.
const MIN_REMAINING_TIME: Duration = Duration::from_millis(50);

/// Maximum backoff before the first retry; doubles with each further retry.
const INITIAL_BACKOFF: Duration = Duration::from_millis(10);

/// Reason why a request may not be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum RetryRefusal {
    /// The retries within the last window have used up the budget.
    #[error("retry budget spent")]
    BudgetSpent,
    /// This request has been retried [`MAX_RETRIES_PER_REQUEST`] times.
    #[error("retry limit reached")]
    RetryLimitReached,
    /// Too little time is left before the deadline.
    #[error("deadline too close")]
    DeadlineTooClose,
}

/// Retry budget of one class of work.
#[derive(Debug)]
pub struct RetryBudget {
    percent: u32,
    first_attempts: SlidingCounter,
    retries: SlidingCounter,
}

impl RetryBudget {
    /// Creates a budget of `percent` retries per hundred first attempts, with a small minimum.
    pub fn new(percent: u32) -> Self {
        Self {
            percent,
            first_attempts: SlidingCounter::new(BUDGET_WINDOW),
            retries: SlidingCounter::new(BUDGET_WINDOW),
        }
    }

    /// Applies the percentage of a new bundle; past counts are kept.
    pub fn set_percent(&mut self, percent: u32) {
        self.percent = percent;
    }

    /// Counts a first attempt.
    pub fn record_first_attempt(&mut self, now: Duration) {
        self.first_attempts.add(now);
    }

    /// Spends one retry for a request that was retried `retries` times before and has `remaining`
    /// time left. Returns the backoff before the retry; `random` is in [0, 1].
    ///
    /// # Errors
    /// [`RetryRefusal`] if no retry is allowed; the budget is unchanged.
    pub fn spend(
        &mut self,
        now: Duration,
        retries: u32,
        remaining: Duration,
        random: f64,
    ) -> Result<Duration, RetryRefusal> {
        if retries >= MAX_RETRIES_PER_REQUEST {
            return Err(RetryRefusal::RetryLimitReached);
        }
        let max_backoff = INITIAL_BACKOFF * 2u32.pow(retries);
        let wait = max_backoff.mul_f64(random.clamp(0.0, 1.0));
        if remaining < wait + MIN_REMAINING_TIME {
            return Err(RetryRefusal::DeadlineTooClose);
        }
        if self.retries.count(now) >= self.allowance(now) {
            return Err(RetryRefusal::BudgetSpent);
        }
        self.retries.add(now);
        Ok(wait)
    }

    /// Returns the number of retries allowed within the window that ends at `now`.
    fn allowance(&mut self, now: Duration) -> u64 {
        let share = self.first_attempts.count(now) * u64::from(self.percent) / 100;
        share.max(MIN_RETRIES_PER_WINDOW)
    }
}

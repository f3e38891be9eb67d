//! Retry budgets limit retries to a share of the first attempts.

use std::time::Duration;

use ladderstage::retry::{MAX_RETRIES_PER_REQUEST, RetryBudget, RetryRefusal};

const PLENTY: Duration = Duration::from_secs(10);

fn spend_all(budget: &mut RetryBudget, now: Duration) -> usize {
    (0..1_000)
        .take_while(|_| budget.spend(now, 0, PLENTY, 0.5).is_ok())
        .count()
}

#[test]
fn retries_are_a_share_of_first_attempts_with_a_minimum() {
    let mut budget = RetryBudget::new(20);
    let now = Duration::from_secs(60);
    assert_eq!(spend_all(&mut budget, now), 10);
    assert_eq!(
        budget.spend(now, 0, PLENTY, 0.0),
        Err(RetryRefusal::BudgetSpent)
    );
    for _ in 0..200 {
        budget.record_first_attempt(now);
    }
    assert_eq!(spend_all(&mut budget, now), 30);
    let later = now + Duration::from_secs(11);
    assert_eq!(spend_all(&mut budget, later), 10);
}

#[test]
fn a_retry_without_enough_time_left_is_refused() {
    let mut budget = RetryBudget::new(20);
    let soon = Duration::from_millis(20);
    let refused = budget.spend(Duration::ZERO, 0, soon, 0.0);
    assert_eq!(refused, Err(RetryRefusal::DeadlineTooClose));
    let refused = budget.spend(Duration::ZERO, MAX_RETRIES_PER_REQUEST, PLENTY, 0.0);
    assert_eq!(refused, Err(RetryRefusal::RetryLimitReached));
}

//! Jitter for periodic timers and retries, so that several processes do not synchronize.

use std::time::Duration;

/// Largest fraction by which an interval is shortened or lengthened.
const JITTER_FRACTION: f64 = 0.25;

/// Number of failures after which the back-off no longer doubles.
const MAX_DOUBLINGS: u32 = 16;

/// Returns `interval`, randomly shortened or lengthened by up to a quarter.
pub fn jittered(interval: Duration) -> Duration {
    interval.mul_f64(rand::random_range(
        1.0 - JITTER_FRACTION..1.0 + JITTER_FRACTION,
    ))
}

/// Returns the exponential back-off after `failures` failures: `base` doubled for each, at most
/// `max_delay`, times a random factor from 0.5 to 1.5, so that competitors that failed together do
/// not retry together.
pub fn backoff(base: Duration, failures: u32, max_delay: Duration) -> Duration {
    let factor = 2u32.saturating_pow(failures.min(MAX_DOUBLINGS));
    let delay = base.saturating_mul(factor).min(max_delay);
    delay.mul_f64(rand::random_range(0.5..1.5))
}

//! Random spreading of repeated timers, so that those of several daemons do not fall into step.

use std::time::Duration;

/// Largest share by which a timer is made shorter or longer.
const SPREAD: f64 = 0.25;

/// Exponents from which on a back-off no longer doubles.
const MAX_DOUBLINGS: u32 = 16;

/// `interval`, up to a quarter shorter or longer.
pub fn jittered(interval: Duration) -> Duration {
    interval.mul_f64(rand::random_range(1.0 - SPREAD..1.0 + SPREAD))
}

/// `base` doubled with each failure up to `most`, then spread over half to one and a half of that: rivals that failed
/// together should not try again together.
pub fn backoff(base: Duration, failures: u32, most: Duration) -> Duration {
    let factor = 2u32.saturating_pow(failures.min(MAX_DOUBLINGS));
    let delay = base.saturating_mul(factor).min(most);
    delay.mul_f64(rand::random_range(0.5..1.5))
}

//! Token bucket of rate-limited stand-ins.

use std::time::Instant;

/// Token bucket that holds at most the tokens of one second, and at least one token.
#[derive(Debug)]
pub(crate) struct Rate {
    tokens: f64,
    refilled: Instant,
}

impl Rate {
    /// Creates a bucket with one token.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            tokens: 1.0,
            refilled: now,
        }
    }

    /// Removes a token if there is one; `per_second` 0 means no limit.
    pub(crate) fn try_acquire(&mut self, per_second: f64, now: Instant) -> bool {
        if per_second <= 0.0 {
            return true;
        }
        let passed = now.duration_since(self.refilled).as_secs_f64();
        self.refilled = now;
        self.tokens = (self.tokens + passed * per_second).min(per_second.max(1.0));
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

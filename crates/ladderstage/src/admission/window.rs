//! Counter of events within a sliding time window.

use std::time::Duration;

/// Number of buckets per window.
const BUCKETS: usize = 10;

/// Number of events within the last window, counted in buckets of a tenth of the window.
///
/// Times are durations since a fixed origin and must not decrease; an earlier time counts towards
/// the newest bucket.
#[derive(Debug, Clone)]
pub struct SlidingCounter {
    bucket_length: Duration,
    counts: [u64; BUCKETS],
    /// Index of the newest bucket since the origin.
    newest: u128,
}

impl SlidingCounter {
    /// Creates an empty counter with the window length `window`.
    pub fn new(window: Duration) -> Self {
        let min_length = Duration::from_millis(1);
        Self {
            bucket_length: (window / BUCKETS as u32).max(min_length),
            counts: [0; BUCKETS],
            newest: 0,
        }
    }

    /// Counts one event.
    pub fn add(&mut self, now: Duration) {
        self.advance(now);
        self.counts[slot(self.newest)] += 1;
    }

    /// Returns the number of events within the window that ends at `now`.
    pub fn count(&mut self, now: Duration) -> u64 {
        self.advance(now);
        self.counts.iter().sum()
    }

    /// Returns the events per second over the window that ends at `now`.
    pub fn rate(&mut self, now: Duration) -> f64 {
        let window = self.bucket_length.as_secs_f64() * BUCKETS as f64;
        self.count(now) as f64 / window
    }

    fn advance(&mut self, now: Duration) {
        let current = now.as_nanos() / self.bucket_length.as_nanos();
        if current <= self.newest {
            return;
        }
        let passed = (current - self.newest).min(BUCKETS as u128);
        for step in 0..passed {
            self.counts[slot(current - step)] = 0;
        }
        self.newest = current;
    }
}

fn slot(bucket: u128) -> usize {
    (bucket % BUCKETS as u128) as usize
}

//! Times at which the attempts of this process received their first tokens.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use ladderstage::shard::{AttemptId, SampleAges};

/// First-token time of each attempt that this process ran.
///
/// Attempts committed by earlier owners are missing: their age is unknown.
#[derive(Debug, Default)]
pub(super) struct FirstTokenTimes {
    times: HashMap<AttemptId, Instant>,
}

impl FirstTokenTimes {
    pub(super) fn insert(&mut self, id: AttemptId, first_token_at: Instant) {
        self.times.insert(id, first_token_at);
    }
}

impl SampleAges for FirstTokenTimes {
    fn age(&self, id: AttemptId) -> Option<Duration> {
        Some(self.times.get(&id)?.elapsed())
    }
}

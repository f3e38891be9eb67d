//! Longest recent text of each model.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use ladderstage_clock::Instant;

/// Time for which a length counts as recent.
const LENGTH_WINDOW: Duration = Duration::from_secs(20);

/// Longest recent text of each model, in events.
#[derive(Debug, Default)]
pub struct LongestTexts {
    longest: Mutex<BTreeMap<String, (u64, Instant)>>,
}

impl LongestTexts {
    /// Records a text with the given number of events.
    pub fn record(&self, model: &str, events: u64) {
        let now = Instant::now();
        let mut longest = self.lock();
        let known = longest.get(model).filter(|(_, at)| is_recent(*at, now));
        if known.is_none_or(|(known, _)| events >= *known) {
            longest.insert(model.to_owned(), (events, now));
        }
    }

    /// Returns the number of events of the longest recent text of a model, or 0 if there is none.
    pub fn longest(&self, model: &str) -> u64 {
        let longest = self.lock();
        let known = longest.get(model);
        known
            .filter(|(_, at)| is_recent(*at, Instant::now()))
            .map_or(0, |(events, _)| *events)
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, (u64, Instant)>> {
        self.longest
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

fn is_recent(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) < LENGTH_WINDOW
}

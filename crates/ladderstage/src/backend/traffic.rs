//! Own requests in flight at a back end.

use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Debug, Clone, Default)]
pub(super) struct Traffic {
    /// Start time of each request in flight.
    started: BTreeMap<u64, Duration>,
}

impl Traffic {
    pub(super) fn start_request(&mut self, dispatch: u64, now: Duration) {
        self.started.insert(dispatch, now);
    }

    pub(super) fn finish_request(&mut self, dispatch: u64) {
        self.started.remove(&dispatch);
    }

    pub(super) fn in_flight(&self) -> u32 {
        u32::try_from(self.started.len()).unwrap_or(u32::MAX)
    }

    /// Returns the number of requests in flight that started at `time` or later.
    pub(super) fn started_since(&self, time: Duration) -> u32 {
        let count = self
            .started
            .values()
            .filter(|started| **started >= time)
            .count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Returns the start time of the longest-running request in flight.
    pub(super) fn oldest(&self) -> Option<Duration> {
        self.started.values().min().copied()
    }
}

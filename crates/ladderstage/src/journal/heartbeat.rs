//! Which writers a replica has heard from lately.

use std::collections::HashMap;
use std::time::Duration;

use ladderstage_wire::messages::OwnedLog;

use super::epoch::WriterEpoch;
use super::replica::LogState;

/// When each open log's writer was last heard. Times are since any fixed instant of the process.
#[derive(Debug, Clone, Default)]
pub struct HeartbeatTable {
    heard_at: HashMap<String, Duration>,
    looked_at: Option<Duration>,
}

impl HeartbeatTable {
    /// Records a heartbeat for one log; returns whether a higher epoch has taken that log here.
    /// Only the writer of the promised epoch counts as tending it.
    pub fn record(&mut self, owned: &OwnedLog, state: Option<&LogState>, now: Duration) -> bool {
        let Some(state) = state else {
            return false;
        };
        let epoch = WriterEpoch::from(&owned.epoch);
        if epoch < state.promised {
            return true;
        }
        if epoch == state.promised {
            self.record_activity(&owned.log, now);
        }
        false
    }

    /// Records that a writer of the log was heard through a seal, an install or an append.
    pub fn record_activity(&mut self, log: &str, now: Duration) {
        match self.heard_at.get_mut(log) {
            Some(heard_at) => *heard_at = now,
            None => {
                self.heard_at.insert(log.to_owned(), now);
            }
        }
    }

    /// The logs among `open` whose writer was silent for `timeout`. A log that is seen for the first time counts
    /// as heard now, so that after a restart writers have time to be heard; logs not in `open` are forgotten.
    ///
    /// A replica that did not look for longer than `timeout` was paused itself: it could hear nobody, so all count as heard now.
    /// Call several times per `timeout`.
    pub fn orphaned(
        &mut self,
        open: impl IntoIterator<Item = String>,
        now: Duration,
        timeout: Duration,
    ) -> Vec<String> {
        let open = open.into_iter().map(|log| (log, timeout));
        self.orphaned_by_timeout(open, now, timeout)
    }

    /// As [`HeartbeatTable::orphaned`], with a timeout of each log's own, `longest` at most.
    pub fn orphaned_by_timeout(
        &mut self,
        open: impl IntoIterator<Item = (String, Duration)>,
        now: Duration,
        longest: Duration,
    ) -> Vec<String> {
        let was_paused = self
            .looked_at
            .replace(now)
            .is_some_and(|looked_at| now.saturating_sub(looked_at) > longest);
        let mut known = std::mem::take(&mut self.heard_at);
        if was_paused {
            known.clear();
        }
        let mut orphaned = Vec::new();
        for (log, timeout) in open {
            let heard_at = known.remove(&log).unwrap_or(now);
            if now.saturating_sub(heard_at) >= timeout {
                orphaned.push(log.clone());
            }
            self.heard_at.insert(log, heard_at);
        }
        orphaned
    }
}

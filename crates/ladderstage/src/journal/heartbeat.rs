//! Detection of logs whose writer stopped sending heartbeats.

use std::collections::HashMap;
use std::time::Duration;

use ladderstage_wire::messages::OwnedLog;

use super::epoch::WriterEpoch;
use super::replica::LogState;

/// Time of the last activity of each open log's writer. Times are durations since a fixed
/// origin of the process; with [`RunningTime`](super::RunningTime), a standstill of this process
/// does not count as silence of the writers.
#[derive(Debug, Clone, Default)]
pub struct HeartbeatTable {
    last_heartbeat: HashMap<String, Duration>,
    last_check: Option<Duration>,
}

impl HeartbeatTable {
    /// Records a heartbeat for one log. Returns whether this replica has promised a higher epoch
    /// for it. Only a heartbeat of the promised epoch counts as activity.
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

    /// Records a seal, an install or an append by a writer of the log. Returns the time of the
    /// activity before.
    pub fn record_activity(&mut self, log: &str, now: Duration) -> Option<Duration> {
        match self.last_heartbeat.get_mut(log) {
            Some(last_heartbeat) => Some(std::mem::replace(last_heartbeat, now)),
            None => self.last_heartbeat.insert(log.to_owned(), now),
        }
    }

    /// Restores the time of the last activity, for an activity that was refused. Has no effect if
    /// there was a later one than that at `refused_at`.
    pub fn restore_activity(&mut self, log: &str, refused_at: Duration, before: Option<Duration>) {
        let Some(last_heartbeat) = self.last_heartbeat.get_mut(log) else {
            return;
        };
        match before {
            Some(before) if *last_heartbeat == refused_at => *last_heartbeat = before,
            _ => {}
        }
    }

    /// Forgets all activity, after this replica was paused and could not receive heartbeats: logs
    /// count as active when they are seen next.
    pub fn clear(&mut self) {
        self.last_heartbeat.clear();
    }

    /// Returns the time since the last activity of the log's writer; `None` if none is known.
    pub fn silence(&self, log: &str, now: Duration) -> Option<Duration> {
        let last_heartbeat = self.last_heartbeat.get(log)?;
        Some(now.saturating_sub(*last_heartbeat))
    }

    /// Returns the logs in `open` without activity for `timeout`. A log that is seen for the first
    /// time counts as active now, which gives writers time after a restart of the replica. Logs not
    /// in `open` are dropped.
    ///
    /// If the previous call is longer ago than `timeout`, this replica was itself paused and could
    /// not receive heartbeats: all logs then count as active now. Call several times per `timeout`.
    pub fn orphaned(
        &mut self,
        open: impl IntoIterator<Item = String>,
        now: Duration,
        timeout: Duration,
    ) -> Vec<String> {
        let open = open.into_iter().map(|log| (log, timeout));
        self.orphaned_by_timeout(open, now, timeout)
    }

    /// Like [`HeartbeatTable::orphaned`], with a timeout per log of at most `max_timeout`.
    pub fn orphaned_by_timeout(
        &mut self,
        open: impl IntoIterator<Item = (String, Duration)>,
        now: Duration,
        max_timeout: Duration,
    ) -> Vec<String> {
        let was_paused = self
            .last_check
            .replace(now)
            .is_some_and(|last_check| now.saturating_sub(last_check) > max_timeout);
        let mut known = std::mem::take(&mut self.last_heartbeat);
        if was_paused {
            known.clear();
        }
        let mut orphaned = Vec::new();
        for (log, timeout) in open {
            let last_heartbeat = known.remove(&log).unwrap_or(now);
            if now.saturating_sub(last_heartbeat) >= timeout {
                orphaned.push(log.clone());
            }
            self.last_heartbeat.insert(log, last_heartbeat);
        }
        orphaned
    }
}

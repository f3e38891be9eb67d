//! What givers of orders have learnt of loads, in a lasting record: a giver that knows nothing, as after a kill of all nodes, goes on
//! from it.
//!
//! Without it the limit of loads rose from two again, was at eight after 8 s, and went to 26 where the link bore ten, so that loads took
//! 2.6 s instead of 1.0 s: the steps of those 15 s found no instance with their weights (log of a day with a closing kill).

use std::sync::Arc;
use std::time::Duration;

use ladderstage_clock::Instant;
use serde::{Deserialize, Serialize};
use tokio::task::JoinSet;

use super::load_limit::LoadLimit;
use super::news::LearnedLoadLimit;
use crate::coordination::Coordination;

/// The record.
const LEARNT_KEY: &str = "ladderstage/orders/learnt";

/// Least time between two writes: each has its price, and the limit changes about every second while it rises.
const WRITE_PAUSE: Duration = Duration::from_secs(3);

/// Longest wait for the record: a giver without it begins as the first one does.
const READ_LIMIT: Duration = Duration::from_millis(500);

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct LearntRecord {
    /// Loads at once.
    limit: usize,
    /// What a load takes with few others beside it.
    usual_ms: u64,
    /// The limit is near what the link bears.
    is_near: bool,
}

impl LearntRecord {
    /// `None` before the first load.
    fn of(limit: &LoadLimit) -> Option<Self> {
        Some(Self {
            limit: limit.get(),
            usual_ms: limit.typical_load_time()?.as_millis() as u64,
            is_near: limit.is_near(),
        })
    }

    fn into_limit(self) -> LoadLimit {
        let typical_load_time = Duration::from_millis(self.usual_ms.max(1));
        LoadLimit::from_learned(self.limit, typical_load_time, self.is_near)
    }
}

/// What a new giver goes on from: its own knowledge or what it was told, else the record; `None` if there is neither.
pub async fn restore_load_limit(
    learnt: &LearnedLoadLimit,
    coordination: &dyn Coordination,
) -> Option<LoadLimit> {
    if let Some(limit) = learnt.get() {
        return Some(limit);
    }
    let reading = tokio::time::timeout(READ_LIMIT, coordination.get(LEARNT_KEY));
    let record = match reading.await {
        Ok(Ok(record)) => record?,
        Ok(Err(error)) => {
            log::warn!("event=learned_load_limit_read_failed cause=\"{error}\"");
            return None;
        }
        Err(_) => {
            log::warn!("event=learned_load_limit_read_failed cause=\"no answer in time\"");
            return None;
        }
    };
    match serde_json::from_slice::<LearntRecord>(&record.value) {
        Ok(record) => {
            log::info!(
                "event=learned_load_limit_read limit={} usual_ms={} near={}",
                record.limit,
                record.usual_ms,
                record.is_near
            );
            Some(record.into_limit())
        }
        Err(error) => {
            log::error!("event=learned_load_limit_invalid cause=\"{error}\"");
            None
        }
    }
}

/// Writes the record now and then; nothing waits for it.
#[derive(Debug, Default)]
pub struct LoadLimitWriter {
    written: Option<(LearntRecord, Instant)>,
    writes: JoinSet<()>,
}

impl LoadLimitWriter {
    /// Writes what is learnt if it has changed and the last write is some time ago.
    pub fn save(&mut self, limit: &LoadLimit, coordination: &Arc<dyn Coordination>) {
        while self.writes.try_join_next().is_some() {}
        let Some(record) = LearntRecord::of(limit) else {
            return;
        };
        let is_known = |(written, at): (LearntRecord, Instant)| {
            (written.limit, written.is_near) == (record.limit, record.is_near)
                || at.elapsed() < WRITE_PAUSE
        };
        if self.written.is_some_and(is_known) {
            return;
        }
        self.written = Some((record, Instant::now()));
        let value = serde_json::to_vec(&record).unwrap_or_default();
        let coordination = Arc::clone(coordination);
        self.writes.spawn(async move {
            if let Err(error) = coordination.put(LEARNT_KEY, value, None).await {
                log::warn!("event=learned_load_limit_write_failed cause=\"{error}\"");
            }
        });
    }
}

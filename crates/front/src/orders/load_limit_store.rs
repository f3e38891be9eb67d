//! Persists the learned load limit. A leader that has not learned a limit itself, as after a
//! restart of all nodes, then need not start from the minimum and overload the link in the search
//! for it.

use std::sync::Arc;
use std::time::Duration;

use ladderstage_clock::Instant;
use serde::{Deserialize, Serialize};
use tokio::task::JoinSet;

use super::load_limit::LoadLimit;
use super::weight_updates::LearnedLoadLimit;
use crate::coordination::Coordination;

/// Key of the stored limit.
const LOAD_LIMIT_KEY: &str = "ladderstage/orders/learnt";

/// Minimum interval between writes, as each is a charged call.
const MIN_WRITE_INTERVAL: Duration = Duration::from_secs(3);

/// Timeout of the read; without an answer a leader starts from the default limit.
const READ_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct LoadLimitRecord {
    /// Maximum number of concurrent loads.
    limit: usize,
    /// Typical load time in milliseconds with few other loads at the same time.
    usual_ms: u64,
    /// Whether a slowdown was observed, so that the limit no longer doubles.
    is_near: bool,
}

impl LoadLimitRecord {
    /// Returns `None` before the first load finished.
    fn of(limit: &LoadLimit) -> Option<Self> {
        Some(Self {
            limit: limit.get(),
            usual_ms: limit.typical_load_time()?.as_millis() as u64,
            is_near: limit.is_near_capacity(),
        })
    }

    fn into_limit(self) -> LoadLimit {
        let typical_load_time = Duration::from_millis(self.usual_ms.max(1));
        LoadLimit::from_learned(self.limit, typical_load_time, self.is_near)
    }
}

/// Returns the load limit that a new leader starts from: the one known to this node, else the
/// stored one; `None` if there is neither.
pub async fn restore_load_limit(
    known: &LearnedLoadLimit,
    coordination: &dyn Coordination,
) -> Option<LoadLimit> {
    if let Some(limit) = known.get() {
        return Some(limit);
    }
    let reading = tokio::time::timeout(READ_TIMEOUT, coordination.get(LOAD_LIMIT_KEY));
    let record = match reading.await {
        Ok(Ok(record)) => record?,
        Ok(Err(error)) => {
            log::warn!("event=learned_load_limit_read_failed cause=\"{error}\"");
            return None;
        }
        Err(_) => {
            log::warn!("event=learned_load_limit_read_failed cause=\"read timed out\"");
            return None;
        }
    };
    match serde_json::from_slice::<LoadLimitRecord>(&record.value) {
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

/// Writes the learned load limit to the store in the background.
#[derive(Debug, Default)]
pub struct LoadLimitWriter {
    written: Option<(LoadLimitRecord, Instant)>,
    writes: JoinSet<()>,
}

impl LoadLimitWriter {
    /// Writes the limit if it changed and the last write is long enough ago.
    pub fn save(&mut self, limit: &LoadLimit, coordination: &Arc<dyn Coordination>) {
        while self.writes.try_join_next().is_some() {}
        let Some(record) = LoadLimitRecord::of(limit) else {
            return;
        };
        let is_known = |(written, at): (LoadLimitRecord, Instant)| {
            (written.limit, written.is_near) == (record.limit, record.is_near)
                || at.elapsed() < MIN_WRITE_INTERVAL
        };
        if self.written.is_some_and(is_known) {
            return;
        }
        self.written = Some((record, Instant::now()));
        let value = serde_json::to_vec(&record).unwrap_or_default();
        let coordination = Arc::clone(coordination);
        self.writes.spawn(async move {
            if let Err(error) = coordination.put(LOAD_LIMIT_KEY, value, None).await {
                log::warn!("event=learned_load_limit_write_failed cause=\"{error}\"");
            }
        });
    }
}

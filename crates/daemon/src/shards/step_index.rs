//! Short-lived cache of the journal's descriptions of steps and their shards.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use ladderstage::ids::ShardKey;
use ladderstage_wire::messages::LogDescription;
use serde::Serialize;

use super::shard_log::fold;
use crate::journal::{Journal, JournalError};

/// Time for which a description is used before the journal is read again.
const CACHE_LIFETIME: Duration = Duration::from_secs(2);

/// Maximum number of cached steps; the cache is cleared when it is full.
const MAX_STEPS: usize = 1_024;

/// Maximum number of cached ends of finished shards; the cache is cleared when it is full.
const MAX_FINISHED: usize = 4_096;

/// Status of a shard according to the journal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ShardStatus {
    /// Index of the shard within its step.
    pub shard: u32,
    /// Node of the last known owner.
    pub owner: String,
    /// Number of entries in its log.
    pub entries: u64,
    /// Whether all samples of the shard are acknowledged.
    pub finished: bool,
}

/// Status of a step according to the journal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct StepStatus {
    /// Pool that generates the samples; empty while the first shard is not open.
    pub pool: String,
    /// Number of shards of the step; 0 while the first shard is not open.
    pub shard_count: u32,
    /// Shards that the journal knows.
    pub shards: Vec<ShardStatus>,
}

impl StepStatus {
    /// Returns whether the journal knows every shard of the step.
    pub fn has_all_shards(&self) -> bool {
        self.shard_count > 0 && self.shards.len() == self.shard_count as usize
    }
}

/// Cache of step descriptions. No lock is held while the journal is read.
#[derive(Debug)]
pub(super) struct StepIndex {
    journal: Journal,
    steps: Mutex<HashMap<(String, u64), Cached>>,
    /// Last acknowledged answer of each finished shard.
    finished: Mutex<HashMap<String, u64>>,
}

/// Meaning of a cursor's position in a finished shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FinishedPosition {
    /// The trainer has acknowledged all samples.
    Complete,
    /// The trainer has acknowledged a different answer.
    Superseded,
    /// The log does not show that the shard is finished.
    Unknown,
}

#[derive(Debug, Clone)]
struct Cached {
    status: Arc<StepStatus>,
    read_at: Instant,
}

impl StepIndex {
    pub(super) fn new(journal: Journal) -> Self {
        Self {
            journal,
            steps: Mutex::default(),
            finished: Mutex::default(),
        }
    }

    /// Returns the step; `None` if a majority of the replicas answered and knows none of its shards.
    pub(super) async fn find(
        &self,
        trainer: &str,
        step: u64,
    ) -> Result<Option<Arc<StepStatus>>, JournalError> {
        let key = (trainer.to_owned(), step);
        let cached = lock(&self.steps).get(&key).cloned();
        if let Some(cached) = cached
            && cached.read_at.elapsed() < CACHE_LIFETIME
        {
            return Ok(Some(cached.status));
        }
        let read_at = Instant::now();
        let Some(status) = self.read(trainer, step).await? else {
            return Ok(None);
        };
        let status = Arc::new(status);
        if !status.has_all_shards() {
            return Ok(Some(status));
        }
        let mut steps = lock(&self.steps);
        if steps.len() >= MAX_STEPS {
            steps.clear();
        }
        let cached = Cached {
            status: status.clone(),
            read_at,
        };
        steps.insert(key, cached);
        Ok(Some(status))
    }

    /// Removes a step after an owner was not found at the cached node.
    pub(super) fn invalidate(&self, trainer: &str, step: u64) {
        lock(&self.steps).remove(&(trainer.to_owned(), step));
    }

    /// Compares a cursor's position with the end of a finished shard.
    pub(super) async fn finished_position(
        &self,
        log: &str,
        after_answer: u64,
    ) -> Result<FinishedPosition, JournalError> {
        let known = lock(&self.finished).get(log).copied();
        let last = match known {
            Some(last) => last,
            None => match self.read_end(log).await? {
                LogEnd::Answer(last) => last,
                LogEnd::Retired => return Ok(FinishedPosition::Complete),
                LogEnd::Open => return Ok(FinishedPosition::Unknown),
            },
        };
        match after_answer == last {
            true => Ok(FinishedPosition::Complete),
            false => Ok(FinishedPosition::Superseded),
        }
    }

    async fn read_end(&self, log: &str) -> Result<LogEnd, JournalError> {
        let snapshot = self.journal.read_snapshot(log).await?.unwrap_or_default();
        if snapshot.retired {
            return Ok(LogEnd::Retired);
        }
        let state = fold(log, &snapshot.entries);
        if !state.is_complete() {
            return Ok(LogEnd::Open);
        }
        let mut finished = lock(&self.finished);
        if finished.len() >= MAX_FINISHED {
            finished.clear();
        }
        finished.insert(log.to_owned(), state.acknowledged());
        Ok(LogEnd::Answer(state.acknowledged()))
    }

    async fn read(&self, trainer: &str, step: u64) -> Result<Option<StepStatus>, JournalError> {
        let prefix = ShardKey::step_prefix(trainer, step);
        let descriptions = self.journal.describe(&prefix).await?;
        let mut shards: Vec<ShardStatus> =
            descriptions.into_iter().filter_map(shard_status).collect();
        shards.sort_by_key(|shard| shard.shard);
        if shards.is_empty() {
            return Ok(None);
        }
        let first = ShardKey {
            trainer: trainer.to_owned(),
            step,
            shard: 0,
        };
        let entries = self.journal.read(&first.log()).await?.unwrap_or_default();
        let state = fold(&first.log(), &entries);
        let (pool, shard_count) = match state.spec() {
            Some(spec) => (spec.pool.clone(), spec.shard_count),
            None => (String::new(), 0),
        };
        Ok(Some(StepStatus {
            pool,
            shard_count,
            shards,
        }))
    }
}

/// End of a log that is described as closed.
enum LogEnd {
    /// All samples are acknowledged, the last ones with this answer.
    Answer(u64),
    /// The log is retired: the shard finished long ago and only the first entry is kept.
    Retired,
    /// Not finished.
    Open,
}

/// Locks the mutex, ignoring poison: every update is a single step, so the map stays valid after a panic.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn shard_status(description: LogDescription) -> Option<ShardStatus> {
    let key = ShardKey::from_log(&description.log)?;
    Some(ShardStatus {
        shard: key.shard,
        owner: description.owner_node,
        entries: description.length,
        finished: description.closed,
    })
}

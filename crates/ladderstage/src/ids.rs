//! Names and numbers that identify things across processes.

use std::fmt;

/// Name of a daemon from its settings; unchanged by restarts.
pub type NodeName = String;

/// Random identifier of one process run; never 0.
pub type ProcessId = u64;

/// Revision of a bundle. The first is 1; 0 means none.
pub type Revision = u64;

/// Weight version of a model as reported by engines.
pub type WeightVersion = u64;

/// Maximum number of slots in one shard of a step.
pub const SLOTS_PER_SHARD: u32 = 128;

/// Identity of one shard of a trainer's step.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ShardKey {
    /// Trainer that submitted the step.
    pub trainer: String,
    /// Step number.
    pub step: u64,
    /// Index of the shard within the step, from 0.
    pub shard: u32,
}

impl ShardKey {
    /// Returns the name of the shard's log in the journal.
    pub fn log(&self) -> String {
        format!(
            "{}{}",
            Self::step_prefix(&self.trainer, self.step),
            self.shard
        )
    }

    /// Returns the name prefix shared by the logs of all shards of a step.
    pub fn step_prefix(trainer: &str, step: u64) -> String {
        format!("shard/{trainer}/{step}/")
    }

    /// Parses a log name; `None` if the log does not belong to a shard.
    pub fn from_log(log: &str) -> Option<Self> {
        let mut parts = log.strip_prefix("shard/")?.rsplitn(3, '/');
        let shard = parts.next()?.parse().ok()?;
        let step = parts.next()?.parse().ok()?;
        let trainer = parts.next()?.to_owned();
        Some(Self {
            trainer,
            step,
            shard,
        })
    }
}

impl fmt::Display for ShardKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}/{}", self.trainer, self.step, self.shard)
    }
}

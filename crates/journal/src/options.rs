//! Options of the journal and its replica set.

use std::time::Duration;

/// Selection of the disks that form the first replica set.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum InitialReplicas {
    /// The disks of the named nodes.
    Named(Vec<String>),
    /// This number of the recorded disks, spread over regions and zones. A set that has shrunk
    /// grows back to it.
    Count(usize),
}

impl InitialReplicas {
    /// Returns the number of replicas to which the set grows; 0 if it does not grow.
    pub fn target_count(&self) -> usize {
        match self {
            Self::Named(_) => 0,
            Self::Count(count) => *count,
        }
    }
}

/// Names and intervals of the journal on one node.
#[derive(Debug, Clone)]
pub struct JournalOptions {
    /// Name of this node; stays the same across restarts.
    pub node: String,
    /// Disks that form the first replica set; must be the same on every node.
    pub initial_replicas: InitialReplicas,
    /// Allows this node to create the first set; otherwise it only waits for one.
    pub may_bootstrap: bool,
    /// Prefix of the names of monitored logs: their writers send heartbeats, and silent writers are
    /// replaced.
    pub monitored_prefix: &'static str,
    /// Time between an owner's heartbeats to the replicas.
    pub owner_heartbeat_interval: Duration,
    /// Time without a heartbeat after which a log's owner is replaced.
    pub owner_timeout: Duration,
    /// Timeout of one round of calls to the replicas.
    pub round_timeout: Duration,
    /// Time between reads of the replica set's record.
    pub poll_interval: Duration,
    /// Upper bound of the poll interval while reads of the record fail.
    pub max_poll_interval: Duration,
    /// Time that a replica must be missing before another disk replaces it.
    pub replace_after: Duration,
}

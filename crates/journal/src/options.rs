//! Options of the journal and its replica set.

use std::time::Duration;

/// Selection of the first replica set from the candidates: the nodes whose disks are recorded as
/// available for replicas.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum InitialReplicas {
    /// The named nodes.
    Named(Vec<String>),
    /// This number of candidates, spread over regions and zones. A smaller set grows to this number
    /// again.
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

/// Options of the journal on one node.
#[derive(Debug, Clone)]
pub struct JournalOptions {
    /// Name of this node; stays the same across restarts.
    pub node: String,
    /// Selection of the first replica set; must be the same on every node.
    pub initial_replicas: InitialReplicas,
    /// Allows this node to create the first set; otherwise it only waits for one.
    pub may_bootstrap: bool,
    /// Prefix of the names of monitored logs: their writers send heartbeats, and silent writers are
    /// replaced.
    pub monitored_prefix: &'static str,
    /// Time between the heartbeats to the replicas by an owner: the node of a log's writer.
    pub owner_heartbeat_interval: Duration,
    /// Time without a heartbeat after which a log's owner is replaced.
    pub owner_timeout: Duration,
    /// Timeout of one round of calls to the replicas.
    pub round_timeout: Duration,
    /// Maximum size of the entries in one message to or from a replica, in bytes. Longer logs and entries
    /// are sent in parts.
    pub part_bytes: usize,
    /// Time between reads of the replica set's record.
    pub poll_interval: Duration,
    /// Upper bound of the poll interval while reads of the record fail.
    pub max_poll_interval: Duration,
    /// Time that a replica must be missing before another disk replaces it.
    pub replace_after: Duration,
}

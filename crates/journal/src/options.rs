//! What the journal and its replica set are started with.

use std::time::Duration;

/// Which disks form the first replica set.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum InitialReplicas {
    /// Those of the named nodes.
    Named(Vec<String>),
    /// The first so many that are recorded, by name. A set that is smaller later grows to this number.
    Count(usize),
}

impl InitialReplicas {
    /// Replicas that a set should have later on; 0: no more than it has.
    pub fn wanted(&self) -> usize {
        match self {
            Self::Named(_) => 0,
            Self::Count(count) => *count,
        }
    }
}

/// Names and intervals of the journal at one node.
#[derive(Debug, Clone)]
pub struct JournalOptions {
    /// Name of this node; stays the same over restarts.
    pub node: String,
    /// Disks that form the first replica set; the same at every node.
    pub initial_replicas: InitialReplicas,
    /// The first set may be made; else it is only looked for.
    pub may_bootstrap: bool,
    /// Logs whose names start with this are tended: their writers send heartbeats and are replaced when silent.
    pub monitored_prefix: &'static str,
    /// Between an owner's heartbeats to the replicas.
    pub owner_heartbeat_interval: Duration,
    /// After this long without a heartbeat a log's owner is replaced.
    pub owner_timeout: Duration,
    /// How long one round of calls to the replicas may take.
    pub round_timeout: Duration,
    /// Between looks at the replica set's record.
    pub poll_interval: Duration,
    /// Longest pause between looks while the record's service fails; an empty disk is out of the set until the next one.
    pub max_poll_interval: Duration,
    /// How long a replica must be missing before another disk takes its place.
    pub replace_after: Duration,
}

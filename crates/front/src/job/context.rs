//! Shared dependencies of the jobs at one node.

use std::sync::Arc;
use std::time::Duration;

use ladderstage_journal::Journal;
use ladderstage_journal::replica_set::ReplicaSets;

use super::confirmation::QuorumConfirmation;
use super::lengths::LongestTexts;
use super::trainer_steps::LatestSteps;
use crate::activity::Activity;
use crate::backend::BackendTable;
use crate::config::CurrentConfig;
use crate::dialect::SharedCodec;
use crate::memory::MemoryBudget;
use crate::metrics::Metrics;
use crate::nodes::Nodes;
use crate::orders::{FormerLeaders, LearnedLoadLimit};
use crate::roster::DiscoveryView;

/// Dependencies that all jobs of this node share.
pub struct JobContext {
    /// Journal that stores the jobs.
    pub journal: Journal,
    /// Replica sets of the journal.
    pub replica_sets: ReplicaSets,
    /// Other nodes.
    pub nodes: Nodes,
    /// Current configuration, with the routes.
    pub config: CurrentConfig,
    /// Known instances.
    pub backends: BackendTable,
    /// Revision of the discovery records that this node has seen.
    pub view: DiscoveryView,
    /// Codec for job requests and headers.
    pub codec: SharedCodec,
    /// Metrics of this front.
    pub metrics: Arc<Metrics>,
    /// Time for which a job can be read after it was submitted.
    pub retention: Duration,
    /// Maximum total size of the results that are cached for readers of other nodes' jobs, in bytes.
    pub result_cache_bytes: usize,
    /// Time of the last majority confirmation of this node's logs.
    pub confirmation: QuorumConfirmation,
    /// Longest recent text of each model.
    pub lengths: LongestTexts,
    /// Latest step of each trainer.
    pub steps: LatestSteps,
    /// Limit on concurrent weight loads, as learned so far.
    pub learned_load_limit: LearnedLoadLimit,
    /// Recent orders of former order leaders.
    pub former_leaders: FormerLeaders,
    /// Memory for requests and jobs.
    pub memory: MemoryBudget,
    /// Counts the jobs that run at this node.
    pub activity: Activity,
}

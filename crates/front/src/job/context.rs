//! What the jobs of this node work with.

use std::sync::Arc;
use std::time::Duration;

use ladderstage_journal::Journal;
use ladderstage_journal::replica_set::ReplicaSets;

use super::confirmation::QuorumConfirmation;
use super::lengths::TextLengths;
use super::trainer_steps::LatestSteps;
use crate::activity::Activity;
use crate::backend::BackendTable;
use crate::config::CurrentConfig;
use crate::dialect::SharedCodec;
use crate::metrics::Metrics;
use crate::nodes::Nodes;
use crate::orders::{FormerLeaders, LearnedLoadLimit};
use crate::roster::DiscoveryView;
use crate::suspects::Suspects;

/// What jobs work with.
pub struct JobContext {
    /// Where they are kept.
    pub journal: Journal,
    /// Which nodes keep them.
    pub replica_sets: ReplicaSets,
    /// The other nodes.
    pub nodes: Nodes,
    /// Routes.
    pub config: CurrentConfig,
    /// Instances.
    pub backends: BackendTable,
    /// Whether their records are followed here.
    pub view: DiscoveryView,
    /// Names.
    pub codec: SharedCodec,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// How long a job can be read after it was handed in.
    pub retention: Duration,
    /// Whether the replicas still know this node as the owner of its jobs.
    pub confirmation: QuorumConfirmation,
    /// How long texts are.
    pub lengths: TextLengths,
    /// The newest steps of trainers.
    pub steps: LatestSteps,
    /// What givers of orders have learnt of loads.
    pub learned_load_limit: LearnedLoadLimit,
    /// The giver of orders that told its end last.
    pub former_leaders: FormerLeaders,
    /// Counts the jobs that run at this node.
    pub activity: Activity,
    /// Requests under which instances end.
    pub suspects: Suspects,
}

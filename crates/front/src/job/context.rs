//! Dependencies that all jobs of this node share.

use std::sync::Arc;
use std::time::Duration;

use ladderstage_journal::Journal;
use ladderstage_journal::replica_set::ReplicaSets;

use super::confirmation::Confirmation;
use super::lengths::TextLengths;
use super::trainer_steps::NewestSteps;
use crate::activity::Activity;
use crate::backend::BackendTable;
use crate::config::ConfigInForce;
use crate::dialect::SharedCodec;
use crate::metrics::Metrics;
use crate::nodes::Nodes;
use crate::orders::{EndedGivers, LearntLoads};
use crate::roster::DirectView;
use crate::suspects::Suspects;

/// Dependencies that all jobs of this node share.
pub struct JobContext {
    /// Journal that stores the jobs.
    pub journal: Journal,
    /// Replica sets of the journal.
    pub replica_sets: ReplicaSets,
    /// Other nodes.
    pub nodes: Nodes,
    /// Current configuration, with the routes.
    pub config: ConfigInForce,
    /// Table of instances.
    pub backends: BackendTable,
    /// State of this node's direct view of the instances' records.
    pub view: DirectView,
    /// Encoding of job requests and names of headers.
    pub codec: SharedCodec,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// Time for which a job can be read after it was submitted.
    pub retention: Duration,
    /// Time of the last majority confirmation of this node's logs.
    pub confirmation: Confirmation,
    /// Recent text lengths per model.
    pub lengths: TextLengths,
    /// Latest step of each trainer.
    pub steps: NewestSteps,
    /// Load times and load limits that order leaders have learned.
    pub learnt_loads: LearntLoads,
    /// Order leader that last announced its end.
    pub ended_givers: EndedGivers,
    /// Counts the jobs that run at this node.
    pub activity: Activity,
    /// Requests that are suspected of crashing instances.
    pub suspects: Suspects,
}

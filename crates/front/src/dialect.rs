//! The names under which clients and instances exchange what the programs decide on.
//!
//! The decisions are the same whatever the names are; an adapter of an outside system supplies its own.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderName, Method};
use ladderstage_wire::messages::{JobResults, JobSpec};

/// Header names.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Id of one client attempt.
    pub attempt_id: HeaderName,
    /// Milliseconds that the sender will wait.
    pub deadline_ms: HeaderName,
    /// Signature of the instance that answered.
    pub response_signature: HeaderName,
    /// Id of the only instance that may run the request.
    pub expect_instance: HeaderName,
    /// Name of the tenant that a request is for.
    pub tenant: HeaderName,
    /// Id of the answering instance.
    pub instance_id: HeaderName,
    /// Rank at the instance, 0 first.
    pub request_priority: HeaderName,
    /// Weight version that the instance must have.
    pub expect_version: HeaderName,
    /// Requests running, waiting, and slots.
    pub instance_load: HeaderName,
    /// Says that the instance did not run the request.
    pub not_executed: HeaderName,
    /// Weight version of what follows.
    pub weight_version: HeaderName,
    /// Id of the last event that was received.
    pub last_event_id: HeaderName,
    /// How long a read may be held.
    pub wait_ms: HeaderName,
}

/// A call that concerns one batch job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobCall {
    /// Results from a position on.
    Read {
        /// The job.
        job: String,
        /// First position.
        after: u64,
    },
    /// Body of one item.
    Body {
        /// The job.
        job: String,
        /// The item.
        item: String,
    },
    /// End of the job.
    End {
        /// The job.
        job: String,
    },
}

impl JobCall {
    /// The call with another name of its job.
    #[must_use]
    pub fn map_job(mut self, name: impl FnOnce(String) -> String) -> Self {
        match &mut self {
            Self::Read { job, .. } | Self::Body { job, .. } | Self::End { job } => {
                *job = name(std::mem::take(job));
            }
        }
        self
    }
}

/// What an instance tells of itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct InstanceReport {
    /// Weight versions by model.
    pub versions: Vec<(String, u64)>,
    /// An order is under way.
    pub busy: bool,
    /// Orders taken since its start.
    pub order_sequence: u64,
    /// When it started, in milliseconds since the epoch by its own clock; 0: it does not tell.
    pub started_unix_ms: u64,
}

/// An order to change the weight version of a model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionOrder {
    /// Model to change.
    pub model: String,
    /// Version to load.
    pub version: u64,
    /// Runs go on under the new version; else they end first.
    pub keeps_runs: bool,
    /// Name of the giver.
    pub holder: String,
    /// Fencing token of the giver.
    pub fence: u64,
    /// Orders that the instance has taken so far.
    pub expected_sequence: u64,
}

/// A call to an instance, ready to be sent.
#[derive(Debug, Clone)]
pub struct InstanceCall {
    /// Method.
    pub method: Method,
    /// Path.
    pub path: &'static str,
    /// Body.
    pub body: Bytes,
}

/// Translates calls and bodies.
pub trait Codec: Send + Sync + 'static {
    /// Header names.
    fn headers(&self) -> &HeaderNames;

    /// The batch-job call that method, path and query name; `None` if they name none.
    fn job_call(&self, method: &Method, path: &str, query: Option<&str>) -> Option<JobCall>;

    /// Reads a batch job that is handed in.
    ///
    /// # Errors
    /// What is wrong with the body.
    fn read_job(&self, job: &str, host: &str, path: &str, body: &[u8]) -> Result<JobSpec, String>;

    /// Writes results; `after` is the position of the first.
    fn write_results(&self, results: &JobResults, after: u64) -> Bytes;

    /// The call that asks an instance for its report.
    fn report_call(&self) -> InstanceCall;

    /// Reads such a report.
    ///
    /// # Errors
    /// What is wrong with the body.
    fn read_report(&self, body: &[u8]) -> Result<InstanceReport, String>;

    /// The call that gives an order.
    fn order_call(&self, order: &VersionOrder) -> InstanceCall;
}

/// A shared codec.
pub type SharedCodec = Arc<dyn Codec>;

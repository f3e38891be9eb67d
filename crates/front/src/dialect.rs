//! Names and encodings of the messages exchanged with clients and instances.
//!
//! The behaviour does not depend on them; the adapter of each platform supplies its own.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderName, Method};
use ladderstage_wire::messages::{JobResults, JobSpec};

/// Names of the HTTP headers.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Id of one client attempt.
    pub attempt_id: HeaderName,
    /// Remaining time of the sender in milliseconds.
    pub deadline_ms: HeaderName,
    /// Signature of the responding instance.
    pub response_signature: HeaderName,
    /// Id of the only instance that may run the request.
    pub expect_instance: HeaderName,
    /// Name of the request's tenant.
    pub tenant: HeaderName,
    /// Id of the responding instance.
    pub instance_id: HeaderName,
    /// Priority of the request at the instance, 0 highest.
    pub request_priority: HeaderName,
    /// Weight version that the instance must have.
    pub expect_version: HeaderName,
    /// Numbers of running requests, waiting requests and slots.
    pub instance_load: HeaderName,
    /// Present if the instance did not run the request.
    pub not_executed: HeaderName,
    /// Weight version of the following events.
    pub weight_version: HeaderName,
    /// Id of the last event that the client received.
    pub last_event_id: HeaderName,
    /// Maximum time that a read may wait for results, in milliseconds.
    pub wait_ms: HeaderName,
}

/// A call about one batch job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobCall {
    /// Reads results, starting at a position.
    Read {
        /// Id of the job.
        job: String,
        /// Position of the first result.
        after: u64,
    },
    /// Reads the body of an item.
    Body {
        /// Id of the job.
        job: String,
        /// Id of the item.
        item: String,
    },
    /// Ends the job.
    End {
        /// Id of the job.
        job: String,
    },
}

impl JobCall {
    /// Returns the call with the job id replaced by `name`.
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

/// Report of an instance about itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct InstanceReport {
    /// Weight versions by model.
    pub versions: Vec<(String, u64)>,
    /// True while the instance executes an order.
    pub busy: bool,
    /// Number of orders accepted since its start.
    pub order_sequence: u64,
    /// Start in milliseconds since the epoch by its own clock; 0 if not reported.
    pub started_unix_ms: u64,
}

/// An order to change the weight version of a model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionOrder {
    /// Model to change.
    pub model: String,
    /// Version to load.
    pub version: u64,
    /// True if runs continue with the new version; otherwise they finish first.
    pub keeps_runs: bool,
    /// Name of the order leader, the front that issues orders.
    pub holder: String,
    /// Fencing token of the order leader.
    pub fence: u64,
    /// Number of orders that the instance must have accepted before.
    pub expected_sequence: u64,
}

/// A call to one of an instance's own endpoints.
#[derive(Debug, Clone)]
pub struct InstanceCall {
    /// HTTP method.
    pub method: Method,
    /// Path without a query.
    pub path: &'static str,
    /// Encoded body.
    pub body: Bytes,
}

/// Encodes and decodes calls and bodies.
pub trait Codec: Send + Sync + 'static {
    /// Returns the header names.
    fn headers(&self) -> &HeaderNames;

    /// Parses a batch-job call; `None` if method, path and query do not form one.
    fn job_call(&self, method: &Method, path: &str, query: Option<&str>) -> Option<JobCall>;

    /// Parses the body of a submitted batch job.
    ///
    /// # Errors
    /// Returns the reason if the body is malformed.
    fn read_job(&self, job: &str, host: &str, path: &str, body: &[u8]) -> Result<JobSpec, String>;

    /// Encodes results; `after` is the position of the first.
    fn write_results(&self, results: &JobResults, after: u64) -> Bytes;

    /// Returns the call that requests an instance's report.
    fn report_call(&self) -> InstanceCall;

    /// Parses the body of a report.
    ///
    /// # Errors
    /// Returns the reason if the body is malformed.
    fn read_report(&self, body: &[u8]) -> Result<InstanceReport, String>;

    /// Returns the call that sends an order.
    fn order_call(&self, order: &VersionOrder) -> InstanceCall;
}

/// Reference-counted codec.
pub type SharedCodec = Arc<dyn Codec>;

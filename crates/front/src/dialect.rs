//! Names and encodings of the messages exchanged with clients and instances.
//!
//! The behaviour does not depend on them; the adapter of each platform supplies its own.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderName, Method};
use ladderstage_wire::messages::{JobItem, JobResults, JobSpec};

use crate::memory::{BudgetExhausted, Reservation};

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
    /// Returns the job that the call is about.
    pub fn job(&self) -> &str {
        match self {
            Self::Read { job, .. } | Self::Body { job, .. } | Self::End { job } => job,
        }
    }

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

/// Body of a submitted batch job, and where it was submitted.
#[derive(Debug, Clone, Copy)]
pub struct JobBody<'a> {
    /// Key of the job.
    pub job: &'a str,
    /// Host of the submission.
    pub host: &'a str,
    /// Path of the submission.
    pub path: &'a str,
    /// Body as received.
    pub body: &'a [u8],
}

/// Error of parsing a submitted batch job.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ReadJobError {
    /// The body does not describe a job.
    #[error("{0}")]
    Malformed(String),
    /// The memory for the items is not available.
    #[error(transparent)]
    NoMemory(#[from] BudgetExhausted),
}

/// Memory of an item apart from its texts: its fields, its place in the index and the state of its
/// runs, in bytes.
pub const ITEM_BYTES: usize = 640;

/// Memory of a header of an item apart from its texts, in bytes.
pub const ITEM_HEADER_BYTES: usize = 128;

/// Returns the memory that an item of a job occupies, in bytes.
pub fn item_bytes(item: &JobItem) -> usize {
    let headers = item.headers.iter();
    let headers: usize = headers
        .map(|header| ITEM_HEADER_BYTES + header.name.len() + header.value.len())
        .sum();
    let reward_call = item.reward_call.as_ref().map_or(0, |call| {
        call.id.len() + call.host.len() + call.path.len() + call.body.len()
    });
    // The index holds a copy of the id.
    let texts = 2 * item.id.len() + item.path.len() + item.group.len();
    ITEM_BYTES + headers + texts + item.body.len() + reward_call
}

/// Encodes and decodes calls and bodies.
pub trait Codec: Send + Sync + 'static {
    /// Returns the header names.
    fn headers(&self) -> &HeaderNames;

    /// Parses a batch-job call; `None` if method, path and query do not form one.
    fn job_call(&self, method: &Method, path: &str, query: Option<&str>) -> Option<JobCall>;

    /// Parses the body of a submitted batch job. Reserves [`item_bytes`] of each item.
    ///
    /// # Errors
    /// Fails if the body is malformed or the memory for its items is not available.
    fn read_job(
        &self,
        submission: &JobBody<'_>,
        memory: &mut Reservation,
    ) -> Result<JobSpec, ReadJobError>;

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

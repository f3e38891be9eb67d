//! A job that is to be accepted, with the entry of the log for its acceptance.

use std::sync::{Arc, Mutex};

use ladderstage_wire::MessageWrite;
use ladderstage_wire::messages::{JobSpec, LogEntry};

use super::job_memory::JobMemory;
use super::lock::lock;
use super::state::encode_accepted;

/// Size from which a job is parsed and encoded on another thread, in bytes. Each megabyte takes tens of
/// milliseconds on a slow machine.
pub const LARGE_JOB_BYTES: usize = 1024 * 1024;

/// A job that is to be accepted.
#[derive(Clone)]
pub(super) struct NewJob {
    pub spec: Arc<JobSpec>,
    /// Entry of the log that holds the specification, until an owner queues it.
    pub entry: Arc<Mutex<Option<LogEntry>>>,
    /// Memory of the items and of the entry.
    pub memory: JobMemory,
}

impl NewJob {
    /// Encodes the entry of a job; that of a large job beside the other tasks of this thread.
    pub async fn new(spec: JobSpec, memory: JobMemory) -> Self {
        let spec = Arc::new(spec);
        let entry = if spec.get_size() < LARGE_JOB_BYTES {
            Some(encode_accepted(&spec))
        } else {
            let encoded = Arc::clone(&spec);
            let encoding = tokio::task::spawn_blocking(move || encode_accepted(&encoded));
            // Encoded again by its owner if the thread has failed.
            encoding.await.ok()
        };
        if let Some(entry) = &entry {
            memory.set_log_bytes(&spec, entry.payload.len());
        }
        Self {
            spec,
            entry: Arc::new(Mutex::new(entry)),
            memory,
        }
    }

    /// Takes the entry, or encodes it again if an earlier owner has taken it.
    pub fn take_entry(&self) -> LogEntry {
        let entry = lock(&self.entry).take();
        entry.unwrap_or_else(|| encode_accepted(&self.spec))
    }
}

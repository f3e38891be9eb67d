//! Replays the log of a job that this node has taken over.
//!
//! Long logs take seconds to decompress on a slow machine. Heartbeats and leases of this node must go
//! on meanwhile, since other nodes take its jobs over otherwise.

use ladderstage_wire::DecodeError;
use ladderstage_wire::messages::LogEntry;

use super::digest::LogDigest;
use super::state::JobState;

/// Size of the entries after which other tasks run, in bytes. Takes some milliseconds on a slow
/// machine.
const SLICE_BYTES: usize = 64 * 1024;

/// Content of a job's log.
#[derive(Debug)]
pub struct ReplayedLog {
    /// State after all entries.
    pub state: JobState,
    /// Digest of all entries.
    pub digest: LogDigest,
}

/// Replays all entries of a log. Lets other tasks run after every 64 KiB.
///
/// # Errors
/// Fails if an entry cannot be decoded.
pub async fn replay_log(entries: &[LogEntry]) -> Result<ReplayedLog, DecodeError> {
    let mut state = JobState::default();
    let mut digest = LogDigest::default();
    let mut pauses = SlicePauses::default();
    for entry in entries {
        state.apply(entry)?;
        digest.extend(std::slice::from_ref(entry));
        pauses.after(entry).await;
    }
    Ok(ReplayedLog { state, digest })
}

/// Returns the digest of a complete log, like [`LogDigest::of`]. Lets other tasks run after every 64 KiB.
pub(super) async fn digest_log(entries: &[LogEntry]) -> LogDigest {
    let mut digest = LogDigest::default();
    let mut pauses = SlicePauses::default();
    for entry in entries {
        digest.extend(std::slice::from_ref(entry));
        pauses.after(entry).await;
    }
    digest
}

/// Yields to other tasks between the slices of a log.
#[derive(Debug, Default)]
struct SlicePauses {
    slice_bytes: usize,
}

impl SlicePauses {
    async fn after(&mut self, entry: &LogEntry) {
        self.slice_bytes += entry.payload.len();
        if self.slice_bytes >= SLICE_BYTES {
            self.slice_bytes = 0;
            tokio::task::yield_now().await;
        }
    }
}

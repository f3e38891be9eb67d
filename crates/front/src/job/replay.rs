//! Replays the log of a job that this node has taken over.
//!
//! Long logs take seconds to decompress on a slow machine. Heartbeats and leases of this node must go
//! on meanwhile, since other nodes take its jobs over otherwise.

use ladderstage_journal::LogWriter;
use ladderstage_wire::DecodeError;
use ladderstage_wire::messages::LogEntry;

use super::digest::LogDigest;
use super::state::JobState;

/// Size of the entries after which other tasks run, in bytes. Takes some milliseconds on a slow
/// machine.
const SLICE_BYTES: usize = 64 * 1024;

/// Content of a job's log.
#[derive(Debug, Default)]
pub struct ReplayedLog {
    /// State after all entries.
    pub state: JobState,
    /// Digest of all entries.
    pub digest: LogDigest,
    /// Total size of the entries, in bytes.
    pub bytes: usize,
}

impl ReplayedLog {
    fn apply(&mut self, entry: &LogEntry) -> Result<(), DecodeError> {
        self.state.apply(entry)?;
        self.digest.extend(std::slice::from_ref(entry));
        self.bytes += entry.payload.len();
        Ok(())
    }
}

/// Replays all entries of a log. Lets other tasks run after every 64 KiB.
///
/// # Errors
/// Fails if an entry cannot be decoded.
pub async fn replay_log(entries: &[LogEntry]) -> Result<ReplayedLog, DecodeError> {
    let mut replayed = ReplayedLog::default();
    let mut pauses = SlicePauses::default();
    for entry in entries {
        replayed.apply(entry)?;
        pauses.after(entry.payload.len()).await;
    }
    Ok(replayed)
}

/// Replays the log of a writer like [`replay_log`], without a copy of it.
pub(super) async fn replay_writer(writer: &LogWriter) -> Result<ReplayedLog, DecodeError> {
    let mut replayed = ReplayedLog::default();
    let mut pauses = SlicePauses::default();
    for index in 0..writer.length() {
        let before = replayed.bytes;
        let applied = writer.with_entry(index, |entry| replayed.apply(entry));
        applied.unwrap_or(Ok(()))?;
        pauses.after(replayed.bytes - before).await;
    }
    Ok(replayed)
}

/// Returns the digest of a writer's log, like [`LogDigest::of`]. Lets other tasks run after every 64 KiB.
pub(super) async fn digest_writer(writer: &LogWriter) -> LogDigest {
    let mut digest = LogDigest::default();
    let mut pauses = SlicePauses::default();
    for index in 0..writer.length() {
        let read = writer.with_entry(index, |entry| {
            digest.extend(std::slice::from_ref(entry));
            entry.payload.len()
        });
        pauses.after(read.unwrap_or(0)).await;
    }
    digest
}

/// Yields to other tasks between the slices of a log.
#[derive(Debug, Default)]
struct SlicePauses {
    slice_bytes: usize,
}

impl SlicePauses {
    async fn after(&mut self, bytes: usize) {
        self.slice_bytes += bytes;
        if self.slice_bytes >= SLICE_BYTES {
            self.slice_bytes = 0;
            tokio::task::yield_now().await;
        }
    }
}

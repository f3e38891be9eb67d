//! Queue of entries for the next append to a job's log.

use ladderstage_wire::messages::mod_JobEntry::OneOfkind as EntryKind;
use ladderstage_wire::messages::{JobEnded, JobProgress, JobResult, LogEntry};

use super::state::encode_entry;

/// Ordered queue of log entries. Entries after the end of the job are dropped, because a result
/// without its progress would be incomplete.
#[derive(Debug, Clone, Default)]
pub struct EntryQueue {
    entries: Vec<LogEntry>,
    has_end: bool,
}

impl EntryQueue {
    /// Queues the entry for the acceptance of the job.
    pub fn push_accepted(&mut self, entry: LogEntry) {
        self.entries.push(entry);
    }

    /// Queues partial text of an item.
    pub fn push_progress(&mut self, progress: JobProgress) {
        if !self.has_end {
            self.entries
                .push(encode_entry(EntryKind::progress(progress)));
        }
    }

    /// Queues an item's result, which must follow its progress.
    pub fn push_result(&mut self, result: JobResult) {
        if !self.has_end {
            self.entries.push(encode_entry(EntryKind::result(result)));
        }
    }

    /// Queues the end of the job; returns `false` if it was queued before.
    pub fn push_end(&mut self) -> bool {
        let is_new = !std::mem::replace(&mut self.has_end, true);
        if is_new {
            self.entries
                .push(encode_entry(EntryKind::ended(JobEnded {})));
        }
        is_new
    }

    /// Returns whether the end was queued.
    pub fn has_end(&self) -> bool {
        self.has_end
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Removes and returns all queued entries for one append.
    pub fn drain(&mut self) -> Vec<LogEntry> {
        std::mem::take(&mut self.entries)
    }

    /// Returns the entries of an append that had no effect to the front of the queue.
    pub fn requeue(&mut self, mut entries: Vec<LogEntry>) {
        entries.append(&mut self.entries);
        self.entries = entries;
    }
}

//! Entries that wait for the next append to a job's log.

use ladderstage_wire::messages::mod_JobEntry::OneOfkind as EntryKind;
use ladderstage_wire::messages::{JobEnded, JobProgress, JobResult, JobSpec, LogEntry};

use super::state::encode_entry;

/// The entries in order. Nothing follows the end: progress that arrives later is not kept, so a result that follows it would
/// lack a part of its text.
#[derive(Debug, Clone, Default)]
pub struct EntryQueue {
    entries: Vec<LogEntry>,
    has_end: bool,
}

impl EntryQueue {
    /// The job as it was handed in.
    pub fn push_accepted(&mut self, spec: JobSpec) {
        self.entries.push(encode_entry(EntryKind::accepted(spec)));
    }

    /// Text of an item that is to be kept.
    pub fn push_progress(&mut self, progress: JobProgress) {
        if !self.has_end {
            self.entries
                .push(encode_entry(EntryKind::progress(progress)));
        }
    }

    /// An item's result; its progress was put in before.
    pub fn push_result(&mut self, result: JobResult) {
        if !self.has_end {
            self.entries.push(encode_entry(EntryKind::result(result)));
        }
    }

    /// The end of the job; `false` if it was put in before.
    pub fn push_end(&mut self) -> bool {
        let is_new = !std::mem::replace(&mut self.has_end, true);
        if is_new {
            self.entries
                .push(encode_entry(EntryKind::ended(JobEnded {})));
        }
        is_new
    }

    /// Whether the end was put in.
    pub fn has_end(&self) -> bool {
        self.has_end
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// All that waits, for one append.
    pub fn drain(&mut self) -> Vec<LogEntry> {
        std::mem::take(&mut self.entries)
    }

    /// Puts the entries of an append that has to be made again before all others.
    pub fn requeue(&mut self, mut entries: Vec<LogEntry>) {
        entries.append(&mut self.entries);
        self.entries = entries;
    }
}

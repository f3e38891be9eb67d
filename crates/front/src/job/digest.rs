//! Digest of a job's log, compared with the log's content after a takeover.

use std::hash::{DefaultHasher, Hash, Hasher};

use ladderstage_wire::messages::LogEntry;

/// Number and chained hash of the entries of a log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LogDigest {
    entries: usize,
    hash: u64,
}

impl LogDigest {
    /// Returns the digest of a complete log.
    pub fn of(entries: &[LogEntry]) -> Self {
        let mut digest = Self::default();
        digest.extend(entries);
        digest
    }

    /// Adds the entries that follow in the log.
    pub fn extend(&mut self, entries: &[LogEntry]) {
        for entry in entries {
            let mut hasher = DefaultHasher::new();
            (self.hash, &entry.payload).hash(&mut hasher);
            self.hash = hasher.finish();
        }
        self.entries += entries.len();
    }

    /// Compares the digest of a log that was read back with this one, given that the outcome of
    /// appending `pending` is unknown.
    pub fn compare(&self, found: Self, pending: &[LogEntry]) -> FoundLog {
        if found == *self {
            return FoundLog::WithoutAppend;
        }
        let mut appended = *self;
        appended.extend(pending);
        if found == appended {
            return FoundLog::WithAppend;
        }
        FoundLog::Other
    }
}

/// Content of a log that was taken over again, compared with its owner's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FoundLog {
    /// The append with unknown outcome had no effect.
    WithoutAppend,
    /// The append with unknown outcome was committed.
    WithAppend,
    /// Another owner has written to the log.
    Other,
}

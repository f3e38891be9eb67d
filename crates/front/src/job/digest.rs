//! What an owner knows to be in its job's log, for comparison with what it finds there.

use std::hash::{DefaultHasher, Hash, Hasher};

use ladderstage_wire::messages::LogEntry;

/// Number and hash of the entries of a log, in order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LogDigest {
    entries: usize,
    hash: u64,
}

impl LogDigest {
    /// Digest of a whole log.
    pub fn of(entries: &[LogEntry]) -> Self {
        let mut digest = Self::default();
        digest.extend(entries);
        digest
    }

    /// Takes in entries that follow.
    pub fn extend(&mut self, entries: &[LogEntry]) {
        for entry in entries {
            let mut hasher = DefaultHasher::new();
            (self.hash, &entry.payload).hash(&mut hasher);
            self.hash = hasher.finish();
        }
        self.entries += entries.len();
    }

    /// What a log that was found is, if an append of `pending` to the log of this digest is in doubt.
    pub fn compare(&self, found: &[LogEntry], pending: &[LogEntry]) -> FoundLog {
        let found = Self::of(found);
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

/// A log that was taken again, against what its owner knew.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FoundLog {
    /// The append in doubt has no effect.
    WithoutAppend,
    /// The append in doubt was carried out.
    WithAppend,
    /// Another owner has written to it.
    Other,
}

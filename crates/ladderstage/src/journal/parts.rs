//! Parts of entries, in which logs and entries travel that are too long for one message.
//!
//! An index of one epoch never has two contents, so parts of the same epoch can be combined however
//! they were split.

use ladderstage_wire::messages::{EntryPart, LogEntry};

/// Default maximum size of the parts in one message, in bytes. A quarter of the frame limit, so that
/// heartbeats on the same connection do not wait long behind a message.
pub const DEFAULT_PART_BYTES: usize = 4 * 1024 * 1024;

/// Size of a part without its payload, in bytes; limits the number of empty entries in a message.
const PART_OVERHEAD_BYTES: usize = 32;

/// Position in a log: an entry and a byte of its payload.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct LogPosition {
    /// Index of the entry.
    pub index: u64,
    /// Number of bytes of the entry's payload before the position.
    pub offset: u64,
}

impl LogPosition {
    /// Returns the position at the start of an entry.
    pub fn at(index: u64) -> Self {
        Self { index, offset: 0 }
    }

    /// Returns the position of the first byte of `part`.
    pub fn start_of(part: &EntryPart) -> Self {
        Self {
            index: part.index,
            offset: part.offset,
        }
    }

    /// Returns the position after `part`.
    pub fn end_of(part: &EntryPart) -> Self {
        if part.ends_entry {
            return Self::at(part.index.saturating_add(1));
        }
        Self {
            index: part.index,
            offset: part.offset.saturating_add(part.payload.len() as u64),
        }
    }
}

/// Splits consecutive entries into the parts of one message.
#[derive(Debug)]
pub struct PartSplitter {
    position: LogPosition,
    free_bytes: usize,
    parts: Vec<EntryPart>,
}

impl PartSplitter {
    /// Starts at `position`, for parts of at most `max_bytes` in total. At least one byte is taken, so
    /// that repeated calls reach the end of the log.
    pub fn new(position: LogPosition, max_bytes: usize) -> Self {
        Self {
            position,
            free_bytes: max_bytes.max(1),
            parts: Vec::new(),
        }
    }

    /// Adds as much as fits of the entry at the position, whose complete payload is `payload`. Returns
    /// whether all of it was added and the next entry may fit.
    pub fn push(&mut self, payload: &[u8]) -> bool {
        if self.free_bytes == 0 {
            return false;
        }
        let LogPosition { index, offset } = self.position;
        let start = usize::try_from(offset).unwrap_or(usize::MAX);
        let rest = payload.get(start..).unwrap_or_default();
        let taken = rest.len().min(self.free_bytes);
        let part = EntryPart {
            index,
            offset,
            payload: rest[..taken].to_vec(),
            ends_entry: taken == rest.len(),
        };
        let used = taken + PART_OVERHEAD_BYTES;
        self.free_bytes = self.free_bytes.saturating_sub(used);
        self.position = LogPosition::end_of(&part);
        self.parts.push(part);
        self.free_bytes > 0
    }

    /// Returns the parts.
    pub fn into_parts(self) -> Vec<EntryPart> {
        self.parts
    }
}

/// Splits the entries from `position` to `end` into the parts of one message.
pub fn split(
    entries: &[LogEntry],
    position: LogPosition,
    end: u64,
    max_bytes: usize,
) -> Vec<EntryPart> {
    let mut splitter = PartSplitter::new(position, max_bytes);
    for entry in &entries[position.index as usize..end as usize] {
        if !splitter.push(&entry.payload) {
            break;
        }
    }
    splitter.into_parts()
}

/// Parts are missing before the given one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("parts are missing between {expected:?} and {found:?}")]
pub struct MissingParts {
    /// Position at which the next part must begin.
    pub expected: LogPosition,
    /// Position at which it begins.
    pub found: LogPosition,
}

/// Combines parts, in the order of their positions, to entries. Parts may overlap.
#[derive(Debug)]
pub struct PartAssembler {
    position: LogPosition,
    payload: Vec<u8>,
}

impl PartAssembler {
    /// Starts with the entry at `index`.
    pub fn new(index: u64) -> Self {
        Self {
            position: LogPosition::at(index),
            payload: Vec::new(),
        }
    }

    /// Returns the position at which the next part must begin.
    pub fn position(&self) -> LogPosition {
        self.position
    }

    /// Adds a part; returns the entry that it completes.
    ///
    /// # Errors
    ///
    /// If the part begins after the position.
    pub fn push(&mut self, part: &EntryPart) -> Result<Option<LogEntry>, MissingParts> {
        let found = LogPosition::start_of(part);
        if found > self.position {
            let expected = self.position;
            return Err(MissingParts { expected, found });
        }
        let end = LogPosition::end_of(part);
        if end <= self.position {
            return Ok(None);
        }
        let known = (self.position.offset - part.offset) as usize;
        let added = part.payload.get(known..).unwrap_or_default();
        self.payload.extend_from_slice(added);
        self.position = end;
        let is_complete = part.ends_entry;
        Ok(is_complete.then(|| LogEntry {
            payload: std::mem::take(&mut self.payload),
        }))
    }
}

//! Parts of entries that are staged beside their log, and the writes that add them to it.

use std::ops::Range;

use ladderstage::journal::WriterEpoch;
use ladderstage::journal::parts::{MissingParts, PartAssembler};
use ladderstage_wire::messages::{EntryPart, Epoch, LogEntry};
use redb::{ReadableTable, Table};

use crate::tables::PartKey;

/// Staged parts of all logs, in one transaction.
pub(crate) type PartTable<'a> = Table<'a, PartKey<'static>, (bool, &'static [u8])>;

/// Entries that a write brings: those in its message, or staged ones.
pub(crate) struct WrittenEntries<'a> {
    /// Entries in the message.
    pub sent: &'a [LogEntry],
    /// Staged entries that take their place.
    staged: Option<StagedEntries>,
}

impl<'a> WrittenEntries<'a> {
    /// A write without entries.
    pub const NONE: Self = Self {
        sent: &[],
        staged: None,
    };

    /// Creates the entries of a message that adds `staged_length` staged entries of the writer `epoch`
    /// from index `first` on, or else those in `sent`.
    pub fn new(
        sent: &'a [LogEntry],
        first: u64,
        staged_length: u64,
        epoch: &Option<Epoch>,
    ) -> Self {
        let staged = StagedEntries {
            epoch: WriterEpoch::from(epoch),
            range: first..first.saturating_add(staged_length),
        };
        Self {
            sent,
            staged: (staged_length > 0).then_some(staged),
        }
    }

    /// Returns the staged entries without those before index `first`; `None` if the message has the
    /// entries.
    pub fn staged_from(&self, first: u64) -> Option<StagedEntries> {
        let staged = self.staged.as_ref()?;
        Some(StagedEntries {
            epoch: staged.epoch,
            range: first..staged.range.end,
        })
    }
}

/// Staged entries of one writer.
#[derive(Debug, Clone)]
pub(crate) struct StagedEntries {
    /// Epoch of the writer.
    pub epoch: WriterEpoch,
    /// Indexes of the entries.
    pub range: Range<u64>,
}

/// Stores parts; those that are stored already are overwritten by the same bytes.
pub(crate) fn insert(
    table: &mut PartTable<'_>,
    log: &str,
    epoch: WriterEpoch,
    parts: &[EntryPart],
) -> Result<(), redb::Error> {
    for part in parts {
        let key = (log, epoch.round, epoch.owner, part.index, part.offset);
        table.insert(key, (part.ends_entry, part.payload.as_slice()))?;
    }
    Ok(())
}

/// Removes the parts of a log that writers up to `epoch` have written.
pub(crate) fn remove_up_to(
    table: &mut PartTable<'_>,
    log: &str,
    epoch: WriterEpoch,
) -> Result<(), redb::Error> {
    let last = (log, epoch.round, epoch.owner, u64::MAX, u64::MAX);
    table.retain_in((log, 0, 0, 0, 0)..=last, |_, _| false)?;
    Ok(())
}

/// Removes all parts of a log.
pub(crate) fn remove_all(table: &mut PartTable<'_>, log: &str) -> Result<(), redb::Error> {
    let last_epoch = WriterEpoch {
        round: u64::MAX,
        owner: u64::MAX,
    };
    remove_up_to(table, log, last_epoch)
}

/// Returns whether all of `staged` is in the table.
pub(crate) fn is_complete(
    table: &PartTable<'_>,
    log: &str,
    staged: &StagedEntries,
) -> Result<bool, redb::Error> {
    for_each(table, log, staged, |_, _| Ok(()))
}

/// Passes each entry of `staged`, with its index, to `consume` until one is incomplete. Returns whether
/// all of them were passed. One entry is in memory at a time.
pub(crate) fn for_each(
    table: &PartTable<'_>,
    log: &str,
    staged: &StagedEntries,
    mut consume: impl FnMut(u64, LogEntry) -> Result<(), redb::Error>,
) -> Result<bool, redb::Error> {
    let WriterEpoch { round, owner } = staged.epoch;
    let Range { start, end } = staged.range;
    let mut assembler = PartAssembler::new(start);
    for row in table.range((log, round, owner, start, 0)..(log, round, owner, end, 0))? {
        let (key, row) = row?;
        let (_, _, _, index, offset) = key.value();
        let (ends_entry, payload) = row.value();
        let part = EntryPart {
            index,
            offset,
            payload: payload.to_vec(),
            ends_entry,
        };
        match assembler.push(&part) {
            Ok(Some(entry)) => consume(index, entry)?,
            Ok(None) => {}
            Err(MissingParts { .. }) => return Ok(false),
        }
    }
    Ok(assembler.position().index >= end)
}

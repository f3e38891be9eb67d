//! Staged parts of entries, which are no part of their log until a write names them.

use std::ops::Range;

use ladderstage::journal::WriterEpoch;
use ladderstage::journal::parts::{MissingParts, PartAssembler};
use ladderstage_wire::messages::{EntryPart, LogEntry};
use redb::{ReadableTable, Table};

use crate::tables::StagedKey;

/// Staged parts of all logs, in one transaction.
pub(crate) type StagedTable<'a> = Table<'a, StagedKey<'static>, (bool, &'static [u8])>;

/// Staged entries that a write adds to a log.
#[derive(Debug, Clone)]
pub(crate) struct StagedEntries {
    /// Epoch of the entries' writer.
    pub epoch: WriterEpoch,
    /// Indexes of the entries.
    pub range: Range<u64>,
}

/// Stores parts; those that are stored already are overwritten by the same bytes.
pub(crate) fn insert(
    table: &mut StagedTable<'_>,
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
    table: &mut StagedTable<'_>,
    log: &str,
    epoch: WriterEpoch,
) -> Result<(), redb::Error> {
    let last = (log, epoch.round, epoch.owner, u64::MAX, u64::MAX);
    table.retain_in((log, 0, 0, 0, 0)..=last, |_, _| false)?;
    Ok(())
}

/// Removes all parts of a log.
pub(crate) fn remove_all(table: &mut StagedTable<'_>, log: &str) -> Result<(), redb::Error> {
    let last_epoch = WriterEpoch {
        round: u64::MAX,
        owner: u64::MAX,
    };
    remove_up_to(table, log, last_epoch)
}

/// Returns whether all of `staged` is in the table.
pub(crate) fn is_complete(
    table: &StagedTable<'_>,
    log: &str,
    staged: &StagedEntries,
) -> Result<bool, redb::Error> {
    for_each(table, log, staged, |_, _| Ok(()))
}

/// Passes each entry of `staged`, with its index, to `consume` until one is incomplete. Returns whether
/// all of them were passed. One entry is in memory at a time.
pub(crate) fn for_each(
    table: &StagedTable<'_>,
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

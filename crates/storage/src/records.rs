//! Conversion between table rows and records.

use ladderstage::journal::WriterEpoch;
use ladderstage::journal::replica::LogState;
use redb::{ReadableTable, Table};

use crate::tables::LogRow;

const CLOSED: u8 = 1;
const RETIRED: u8 = 2;

/// State of a log with the time of its last change.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct LogRecord {
    pub state: LogState,
    /// Time of the last change in milliseconds on the store's clock, which runs only while the
    /// store is open.
    pub changed_at_ms: u64,
}

impl LogRecord {
    pub fn to_row(&self) -> LogRow<'_> {
        let state = &self.state;
        let closed = if state.closed { CLOSED } else { 0 };
        let retired = if state.retired { RETIRED } else { 0 };
        (
            state.promised.round,
            state.promised.owner,
            state.log_epoch.round,
            state.log_epoch.owner,
            &state.owner_node,
            state.length,
            closed | retired,
            self.changed_at_ms,
        )
    }

    pub fn from_row(row: LogRow<'_>) -> Self {
        let (promised_round, promised_owner, round, owner, node, length, flags, changed_at_ms) =
            row;
        let state = LogState {
            promised: WriterEpoch {
                round: promised_round,
                owner: promised_owner,
            },
            log_epoch: WriterEpoch { round, owner },
            owner_node: node.to_owned(),
            length,
            closed: flags & CLOSED != 0,
            retired: flags & RETIRED != 0,
        };
        Self {
            state,
            changed_at_ms,
        }
    }
}

/// Reads a number from the meta table; `None` if it is missing or not 8 bytes long.
pub(crate) fn read_number<T>(table: &T, key: &str) -> Result<Option<u64>, redb::StorageError>
where
    T: ReadableTable<&'static str, &'static [u8]>,
{
    let value = table.get(key)?;
    Ok(value.and_then(|value| value.value().try_into().ok().map(u64::from_be_bytes)))
}

/// Writes a number to the meta table.
pub(crate) fn write_number(
    table: &mut Table<'_, &'static str, &'static [u8]>,
    key: &str,
    number: u64,
) -> Result<(), redb::StorageError> {
    table.insert(key, number.to_be_bytes().as_slice())?;
    Ok(())
}

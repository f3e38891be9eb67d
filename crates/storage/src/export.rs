//! Reads complete logs, for readers and for new replicas.

use ladderstage_wire::messages::{ExportLogsReply, ExportedLog, LogEntry};
use redb::{Database, ReadableDatabase};

use crate::batch::read_entries;
use crate::records::LogRecord;
use crate::tables::{ENTRIES, LOGS};

/// Size of the entries in bytes at which a page of an export ends.
const EXPORT_BYTES: usize = 4 * 1024 * 1024;

/// Returns the total size of the payloads, in bytes.
pub(crate) fn payload_bytes(entries: &[LogEntry]) -> usize {
    entries.iter().map(|entry| entry.payload.len()).sum()
}

/// Reads a log; `None` if it does not exist.
pub(crate) fn export(
    transaction: &redb::ReadTransaction,
    log: &str,
) -> Result<Option<ExportedLog>, redb::Error> {
    let logs = transaction.open_table(LOGS)?;
    let Some(row) = logs.get(log)? else {
        return Ok(None);
    };
    let state = LogRecord::from_row(row.value()).state;
    let entries = read_entries(&transaction.open_table(ENTRIES)?, log)?;
    Ok(Some(ExportedLog {
        log: log.to_owned(),
        promised: state.promised.to_wire(),
        log_epoch: state.log_epoch.to_wire(),
        owner_node: state.owner_node,
        closed: state.closed,
        entries,
        retired: state.retired,
        length: state.length,
    }))
}

/// Reads the logs whose names follow `after`, up to `limit` logs or [`EXPORT_BYTES`].
pub(crate) fn export_page(
    database: &Database,
    after: &str,
    limit: usize,
) -> Result<ExportLogsReply, redb::Error> {
    let transaction = database.begin_read()?;
    let logs = transaction.open_table(LOGS)?;
    let mut page = ExportLogsReply::default();
    let mut size = 0;
    for row in logs.range(after..)? {
        let log = row?.0.value().to_owned();
        if log == after && !after.is_empty() {
            continue;
        }
        if page.logs.len() >= limit || size >= EXPORT_BYTES {
            page.more = true;
            break;
        }
        if let Some(exported) = export(&transaction, &log)? {
            size += payload_bytes(&exported.entries);
            page.logs.push(exported);
        }
    }
    Ok(page)
}

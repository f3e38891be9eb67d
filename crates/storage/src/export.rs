//! Reads logs, complete or in parts, for readers and for new replicas.

use ladderstage::journal::parts::{LogPosition, PartSplitter};
use ladderstage::journal::replica::LogState;
use ladderstage_wire::messages::{ExportLogsReply, ExportedLog, LogEntry, ReadLog, ReadLogReply};
use redb::{Database, ReadableDatabase, ReadableTable};

use crate::batch::read_entries;
use crate::records::LogRecord;
use crate::tables::{ENTRIES, LOGS};

/// Size of the entries in bytes at which a page of an export ends. A single larger log is still
/// exported, unless the request limits the size of logs.
const EXPORT_BYTES: usize = 4 * 1024 * 1024;

/// Returns the total size of the payloads, in bytes.
pub(crate) fn payload_bytes(entries: &[LogEntry]) -> usize {
    entries.iter().map(|entry| entry.payload.len()).sum()
}

/// Reads a log as `request` asks: complete, or the parts of it from a position on.
pub(crate) fn read_log(
    database: &Database,
    replica_id: u64,
    request: &ReadLog,
) -> Result<ReadLogReply, redb::Error> {
    let transaction = database.begin_read()?;
    let mut reply = ReadLogReply {
        replica_id,
        ..ReadLogReply::default()
    };
    let logs = transaction.open_table(LOGS)?;
    let Some(row) = logs.get(request.log.as_str())? else {
        return Ok(reply);
    };
    let state = LogRecord::from_row(row.value()).state;
    let entries = transaction.open_table(ENTRIES)?;
    reply.found = !state.log_epoch.is_none();
    reply.promised = state.promised.to_wire();
    reply.log_epoch = state.log_epoch.to_wire();
    reply.retired = state.retired;
    if request.max_bytes == 0 {
        reply.entries = read_entries(&entries, &request.log)?;
        return Ok(reply);
    }
    reply.length = stored_length(&state);
    let position = LogPosition {
        index: request.first_index,
        offset: request.first_offset,
    };
    let max_bytes = usize::try_from(request.max_bytes).unwrap_or(usize::MAX);
    let mut splitter = PartSplitter::new(position, max_bytes);
    for row in entries.range(rows_from(&request.log, position.index))? {
        if !splitter.push(row?.1.value()) {
            break;
        }
    }
    reply.parts = splitter.into_parts();
    Ok(reply)
}

/// Returns the number of entries that are still stored.
fn stored_length(state: &LogState) -> u64 {
    match state.retired {
        true => state.length.min(1),
        false => state.length,
    }
}

/// Returns the keys of the entries of a log from `index` on.
fn rows_from(log: &str, index: u64) -> std::ops::RangeInclusive<(&str, u64)> {
    (log, index)..=(log, u64::MAX)
}

/// Reads the logs whose names follow `after`, up to `limit` logs or [`EXPORT_BYTES`]. With
/// `max_log_bytes` above 0, larger logs are exported without their entries and marked as long.
pub(crate) fn export_page(
    database: &Database,
    after: &str,
    limit: usize,
    max_log_bytes: usize,
) -> Result<ExportLogsReply, redb::Error> {
    let transaction = database.begin_read()?;
    let logs = transaction.open_table(LOGS)?;
    let entries = transaction.open_table(ENTRIES)?;
    let mut page = ExportLogsReply::default();
    let mut size = 0;
    for row in logs.range(after..)? {
        let (log, row) = row?;
        let log = log.value();
        if log == after && !after.is_empty() {
            continue;
        }
        let mut exported = describe(log, LogRecord::from_row(row.value()).state);
        exported.is_long = max_log_bytes > 0 && !fits(&entries, log, max_log_bytes)?;
        if !exported.is_long {
            exported.entries = read_entries(&entries, log)?;
        }
        let log_size = payload_bytes(&exported.entries);
        let is_full = size + log_size > EXPORT_BYTES && !page.logs.is_empty();
        if page.logs.len() >= limit || is_full {
            page.more = true;
            break;
        }
        size += log_size;
        page.logs.push(exported);
    }
    Ok(page)
}

/// Returns the exported form of a log, without its entries.
fn describe(log: &str, state: LogState) -> ExportedLog {
    ExportedLog {
        log: log.to_owned(),
        promised: state.promised.to_wire(),
        log_epoch: state.log_epoch.to_wire(),
        owner_node: state.owner_node,
        closed: state.closed,
        retired: state.retired,
        length: state.length,
        ..ExportedLog::default()
    }
}

/// Returns whether the entries of a log have at most `max_bytes` in total.
fn fits<T>(entries: &T, log: &str, max_bytes: usize) -> Result<bool, redb::Error>
where
    T: ReadableTable<(&'static str, u64), &'static [u8]>,
{
    let mut size = 0;
    for row in entries.range(rows_from(log, 0))? {
        size += row?.1.value().len();
        if size > max_bytes {
            return Ok(false);
        }
    }
    Ok(true)
}

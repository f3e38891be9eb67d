//! Reads logs, complete or in parts, for readers and for new replicas.

use std::collections::HashMap;

use ladderstage::journal::parts::{LogPosition, PartSplitter};
use ladderstage::journal::replica::{self, LogState};
use ladderstage_wire::messages::{
    ExportLogsReply, ExportedLog, KnownLog, LogEntry, ReadLog, ReadLogReply,
};
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

/// Limits of a page of an export.
pub(crate) struct ExportLimits<'a> {
    /// Maximum number of logs.
    pub logs: usize,
    /// Size of the entries in bytes above which a log is exported without them; 0 for no limit.
    pub log_bytes: usize,
    /// Logs that the receiving replica has. Entries are read only of newer versions.
    pub known: &'a [KnownLog],
}

/// Reads the logs whose names follow `after`, up to [`EXPORT_BYTES`]. Logs that are exported without
/// their entries because of their size are marked as long.
pub(crate) fn export_page(
    database: &Database,
    after: &str,
    limits: &ExportLimits<'_>,
) -> Result<ExportLogsReply, redb::Error> {
    let known = limits.known.iter();
    let known: HashMap<&str, &KnownLog> = known.map(|known| (known.log.as_str(), known)).collect();
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
        if page.logs.len() >= limits.logs {
            page.more = true;
            break;
        }
        let state = LogRecord::from_row(row.value()).state;
        let stored_length = stored_length(&state);
        let mut exported = describe(log, state);
        if let Some(known) = known.get(log) {
            replica::omit_known(&mut exported, known);
        }
        // Each entry counts as at least one byte, so that a list of all logs reads no entries.
        let is_longer = limits.log_bytes > 0 && stored_length > limits.log_bytes as u64;
        if exported.is_long && !is_longer {
            let max_page_bytes = match page.logs.is_empty() {
                true => usize::MAX,
                false => EXPORT_BYTES.saturating_sub(size),
            };
            match read_up_to(&entries, log, limits.log_bytes, max_page_bytes)? {
                EntriesRead::All(entries) => {
                    size += payload_bytes(&entries);
                    exported.entries = entries;
                    exported.is_long = false;
                }
                EntriesRead::LongLog => {}
                EntriesRead::PageFull => {
                    page.more = true;
                    break;
                }
            }
        }
        page.logs.push(exported);
    }
    Ok(page)
}

/// Returns the exported form of a log, marked as long because its entries have not been read.
fn describe(log: &str, state: LogState) -> ExportedLog {
    ExportedLog {
        log: log.to_owned(),
        promised: state.promised.to_wire(),
        log_epoch: state.log_epoch.to_wire(),
        owner_node: state.owner_node,
        closed: state.closed,
        retired: state.retired,
        length: state.length,
        is_long: true,
        ..ExportedLog::default()
    }
}

/// Entries of a log, or the limit that they exceed.
enum EntriesRead {
    All(Vec<LogEntry>),
    LongLog,
    PageFull,
}

/// Reads the entries of a log unless they have more than `max_log_bytes`, where 0 stands for no
/// limit, or more than `max_page_bytes`.
fn read_up_to<T>(
    entries: &T,
    log: &str,
    max_log_bytes: usize,
    max_page_bytes: usize,
) -> Result<EntriesRead, redb::Error>
where
    T: ReadableTable<(&'static str, u64), &'static [u8]>,
{
    let mut read = Vec::new();
    let mut size = 0;
    for row in entries.range(rows_from(log, 0))? {
        let (_, payload) = row?;
        let payload = payload.value();
        size += payload.len();
        if max_log_bytes > 0 && size > max_log_bytes {
            return Ok(EntriesRead::LongLog);
        }
        if size > max_page_bytes {
            return Ok(EntriesRead::PageFull);
        }
        read.push(LogEntry {
            payload: payload.to_vec(),
        });
    }
    Ok(EntriesRead::All(read))
}

//! Table definitions of the database.

use redb::TableDefinition;

/// Single values by name.
pub(crate) const META: TableDefinition<'static, &str, &[u8]> = TableDefinition::new("meta");

/// State of each log by name; see [`crate::records::LogRecord`] for the fields.
pub(crate) const LOGS: TableDefinition<'static, &str, LogRow<'static>> =
    TableDefinition::new("logs");

/// Payloads of entries by log name and index.
pub(crate) const ENTRIES: TableDefinition<'static, (&str, u64), &[u8]> =
    TableDefinition::new("entries");

/// Staged parts of entries by log name, round and owner of their writer's epoch, index of the entry and
/// offset in its payload. A row has the payload of the part and whether it ends the entry.
pub(crate) const STAGED: TableDefinition<'static, PartKey<'static>, (bool, &[u8])> =
    TableDefinition::new("staged");

/// Key in [`STAGED`].
pub(crate) type PartKey<'a> = (&'a str, u64, u64, u64, u64);

/// Row of a log: promised round and owner, log round and owner, owner's node, length, flags, and
/// the time of the last change in milliseconds on the store's clock.
pub(crate) type LogRow<'a> = (u64, u64, u64, u64, &'a str, u64, u8, u64);

/// Keys in [`META`].
pub(crate) mod keys {
    pub const REPLICA_ID: &str = "replica-id";
    pub const SEQUENCE: &str = "sequence";
    pub const CLOCK_MS: &str = "clock-ms";
    pub const REPLICA_SET: &str = "replica-set";
    pub const BUNDLE: &str = "bundle";
    pub const BUNDLE_REVISION: &str = "bundle-revision";
}

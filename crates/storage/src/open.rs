//! Creates and opens data folders.

use std::collections::BTreeMap;
use std::fs;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};

use ladderstage_wire::messages::ReplicaSet;
use redb::{Database, ReadableDatabase, ReadableTable};

use crate::OpenError;
use crate::records::{LogRecord, read_number, write_number};
use crate::tables::{ENTRIES, LOGS, META, STAGED, keys};
use crate::watermark::{Slot, Watermark};

const DATABASE_FILE: &str = "journal.redb";
const NEW_DATABASE_FILE: &str = "journal.redb.new";
const WATERMARK_FILE: &str = "journal.commits";

/// Limits and retention rules of a data folder. Retention times count only while the folder is open.
#[derive(Debug, Clone)]
pub struct StorageOptions {
    /// Size of the database's page cache in bytes.
    pub cache_bytes: usize,
    /// Maximum number of requests that wait for the commit thread.
    pub queue_length: usize,
    /// Maximum size of the entries in waiting requests, in bytes.
    pub queue_bytes: usize,
    /// Time after its last change at which a closed log loses all entries but the first.
    pub closed_retention: Duration,
    /// Time after its last change at which a claim is deleted.
    pub claim_retention: Duration,
    /// Rules for closed logs that are deleted; they take precedence over `closed_retention`.
    pub drop_rules: Vec<DropRule>,
    /// Failures injected by tests.
    pub faults: StorageFaults,
}

/// Rule by which closed logs are deleted.
#[derive(Debug, Clone)]
pub struct DropRule {
    /// Prefix of the logs' names.
    pub prefix: String,
    /// Time after its last change at which a closed log is deleted.
    pub after: Duration,
}

/// Fault injection for tests: makes commits fail like writes to a failed disk. Cheap to clone;
/// clones share the count.
#[derive(Debug, Clone, Default)]
pub struct StorageFaults {
    commits: Arc<AtomicU32>,
}

impl StorageFaults {
    /// Makes the next `count` commits fail.
    pub fn fail_commits(&self, count: u32) {
        self.commits.store(count, Ordering::Relaxed);
    }

    /// Returns an error if a failure is pending, and counts it.
    pub(crate) fn check(&self) -> Result<(), redb::Error> {
        let decrement = |count: u32| count.checked_sub(1);
        match self
            .commits
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, decrement)
        {
            Ok(_) => Err(redb::Error::Io(std::io::Error::other("injected failure"))),
            Err(_) => Ok(()),
        }
    }
}

impl Default for StorageOptions {
    fn default() -> Self {
        Self {
            cache_bytes: 32 * 1024 * 1024,
            queue_length: 1024,
            queue_bytes: 64 * 1024 * 1024,
            closed_retention: Duration::from_secs(24 * 3600),
            claim_retention: Duration::from_secs(24 * 3600),
            drop_rules: Vec::new(),
            faults: StorageFaults::default(),
        }
    }
}

/// Opened and checked data folder.
pub(crate) struct OpenedFolder {
    pub database: Database,
    pub watermark: Watermark,
    pub content: Content,
}

/// Part of a data folder's content that is kept in memory.
#[derive(Debug, Default)]
pub(crate) struct Content {
    pub replica_id: u64,
    /// Number of the last commit.
    pub commit_number: u64,
    /// Value of the store's clock at the last sweep, in milliseconds.
    pub clock_ms: u64,
    pub replica_set: Option<ReplicaSet>,
    /// Revision of the stored bundle; 0 if there is none.
    pub bundle_revision: u64,
    pub logs: BTreeMap<String, LogRecord>,
    /// Time at which parts of each log were last staged, in milliseconds on the store's clock.
    pub staged_at: BTreeMap<String, u64>,
}

/// Opens the folder. If it contains no journal yet, creates one with a random replica id.
pub(crate) fn open_folder(
    folder: &Path,
    options: &StorageOptions,
) -> Result<OpenedFolder, OpenError> {
    fs::create_dir_all(folder).map_err(|source| io_error(folder, source))?;
    let database_path = folder.join(DATABASE_FILE);
    let watermark_path = folder.join(WATERMARK_FILE);
    if !exists(&database_path)? {
        check_database_was_not_lost(&database_path, &watermark_path)?;
        create(folder, options)?;
    }
    if !exists(&watermark_path)? {
        return Err(OpenError::Missing {
            path: watermark_path,
            companion: database_path,
        });
    }
    let (watermark, mark) =
        Watermark::open(&watermark_path).map_err(|source| io_error(&watermark_path, source))?;
    let mark = mark.ok_or_else(|| damaged(&watermark_path, "no intact slot"))?;
    let (database, content) = open_database(&database_path, options)?;
    check_content(&database_path, &content, mark)?;
    Ok(OpenedFolder {
        database,
        watermark,
        content,
    })
}

/// Returns an error if the watermark shows that a missing database existed. A watermark at commit 0
/// without a database remains if the process stops while it creates the folder.
fn check_database_was_not_lost(database: &Path, watermark: &Path) -> Result<(), OpenError> {
    if !exists(watermark)? {
        return Ok(());
    }
    let (_, mark) = Watermark::open(watermark).map_err(|source| io_error(watermark, source))?;
    match mark {
        Some(mark) if mark.commit_number > 0 => Err(OpenError::Missing {
            path: database.to_owned(),
            companion: watermark.to_owned(),
        }),
        _ => Ok(()),
    }
}

/// Creates the files. The database is renamed to its final name last, so that a folder with a
/// database is complete.
fn create(folder: &Path, options: &StorageOptions) -> Result<(), OpenError> {
    let new_path = folder.join(NEW_DATABASE_FILE);
    if exists(&new_path)? {
        fs::remove_file(&new_path).map_err(|source| io_error(&new_path, source))?;
    }
    let replica_id = rand::random_range(1..=u64::MAX);
    write_empty_database(&new_path, options, replica_id)
        .map_err(|error| damaged(&new_path, error))?;
    let watermark_path = folder.join(WATERMARK_FILE);
    Watermark::create(&watermark_path, replica_id)
        .map_err(|source| io_error(&watermark_path, source))?;
    let path = folder.join(DATABASE_FILE);
    fs::rename(&new_path, &path).map_err(|source| io_error(&path, source))?;
    let folder_handle = fs::File::open(folder).map_err(|source| io_error(folder, source))?;
    folder_handle
        .sync_all()
        .map_err(|source| io_error(folder, source))?;
    log::info!("event=data_folder_created replica_id={replica_id}");
    Ok(())
}

fn write_empty_database(
    path: &Path,
    options: &StorageOptions,
    replica_id: u64,
) -> Result<(), redb::Error> {
    let database = Database::builder()
        .set_cache_size(options.cache_bytes)
        .create(path)?;
    let transaction = database.begin_write()?;
    {
        transaction.open_table(LOGS)?;
        transaction.open_table(ENTRIES)?;
        let mut meta = transaction.open_table(META)?;
        write_number(&mut meta, keys::REPLICA_ID, replica_id)?;
        write_number(&mut meta, keys::SEQUENCE, 0)?;
    }
    transaction.commit()?;
    Ok(())
}

/// Opens the database and checks its integrity. Damaged pages can make the database library panic;
/// such a panic is returned as an error.
fn open_database(path: &Path, options: &StorageOptions) -> Result<(Database, Content), OpenError> {
    let started = Instant::now();
    let opened = catch_unwind(AssertUnwindSafe(|| {
        // A file that was not closed is repaired while it is opened, which verifies all checksums.
        // The integrity check would do that a second time and double the time of a restart after a
        // power loss.
        let is_repaired = Arc::new(AtomicBool::new(false));
        let repaired = Arc::clone(&is_repaired);
        let mut database = Database::builder()
            .set_cache_size(options.cache_bytes)
            .set_repair_callback(move |_| repaired.store(true, Ordering::Relaxed))
            .open(path)?;
        let is_checked = is_repaired.load(Ordering::Relaxed);
        if !is_checked && !database.check_integrity()? {
            log::warn!("event=database_repaired file={}", path.display());
        }
        let content = read_content(&database)?;
        discard_staged(&database)?;
        log::info!(
            "event=database_opened was_closed={} logs={} elapsed_ms={}",
            !is_checked,
            content.logs.len(),
            started.elapsed().as_millis()
        );
        Ok::<_, redb::Error>((database, content))
    }));
    match opened {
        Ok(Ok(opened)) => Ok(opened),
        Ok(Err(redb::Error::DatabaseAlreadyOpen)) => Err(OpenError::InUse {
            path: path.to_owned(),
        }),
        Ok(Err(error)) => Err(damaged(path, error)),
        Err(_) => Err(damaged(path, "the database library panicked")),
    }
}

/// Removes the staged parts of entries. Their writers send them again.
fn discard_staged(database: &Database) -> Result<(), redb::Error> {
    let transaction = database.begin_write()?;
    if transaction.delete_table(STAGED)? {
        transaction.commit()?;
    } else {
        transaction.abort()?;
    }
    Ok(())
}

fn read_content(database: &Database) -> Result<Content, redb::Error> {
    let transaction = database.begin_read()?;
    let meta = transaction.open_table(META)?;
    let number = |key| read_number(&meta, key);
    let mut content = Content {
        replica_id: number(keys::REPLICA_ID)?.unwrap_or(0),
        commit_number: number(keys::SEQUENCE)?.unwrap_or(0),
        clock_ms: number(keys::CLOCK_MS)?.unwrap_or(0),
        bundle_revision: number(keys::BUNDLE_REVISION)?.unwrap_or(0),
        ..Content::default()
    };
    if let Some(bytes) = meta.get(keys::REPLICA_SET)? {
        let set = ladderstage_wire::decode(bytes.value())
            .map_err(|error| redb::Error::Corrupted(error.to_string()))?;
        content.replica_set = Some(set);
    }
    transaction.open_table(ENTRIES)?;
    for row in transaction.open_table(LOGS)?.iter()? {
        let (log, row) = row?;
        let record = LogRecord::from_row(row.value());
        content.logs.insert(log.value().to_owned(), record);
    }
    Ok(content)
}

/// Checks the database against the watermark: same replica id, and no acknowledged commit is
/// missing.
fn check_content(path: &Path, content: &Content, mark: Slot) -> Result<(), OpenError> {
    if content.replica_id == 0 || content.replica_id != mark.replica_id {
        let cause = format!(
            "replica id {} does not match the watermark's {}",
            content.replica_id, mark.replica_id
        );
        return Err(damaged(path, cause));
    }
    if content.commit_number < mark.commit_number {
        return Err(OpenError::LostCommits {
            path: path.to_owned(),
            acknowledged: mark.commit_number,
            found: content.commit_number,
        });
    }
    Ok(())
}

fn exists(path: &Path) -> Result<bool, OpenError> {
    path.try_exists().map_err(|source| io_error(path, source))
}

fn io_error(path: &Path, source: std::io::Error) -> OpenError {
    OpenError::Io {
        path: path.to_owned(),
        source,
    }
}

fn damaged(path: &Path, cause: impl ToString) -> OpenError {
    OpenError::Damaged {
        path: PathBuf::from(path),
        cause: cause.to_string(),
    }
}

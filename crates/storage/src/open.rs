//! Making and opening a data folder.

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
use crate::tables::{ENTRIES, LOGS, META, keys};
use crate::watermark::{Mark, Watermark};

const DATABASE_FILE: &str = "journal.redb";
const NEW_DATABASE_FILE: &str = "journal.redb.new";
const WATERMARK_FILE: &str = "journal.commits";

/// Limits of a store.
#[derive(Debug, Clone)]
pub struct StorageOptions {
    /// Memory in bytes for the database's page cache.
    pub cache_bytes: usize,
    /// Most requests that wait for the commit thread.
    pub queue_length: usize,
    /// Most bytes of entries in waiting requests.
    pub queue_bytes: usize,
    /// How long a closed log keeps its entries, counted while the store is open.
    pub closed_retention: Duration,
    /// How long a claim is kept after its last change, counted while the store is open.
    pub claim_retention: Duration,
    /// Closed logs that are dropped whole, before the rule for other closed logs.
    pub drop_rules: Vec<DropRule>,
    /// Failures that tests ask for.
    pub faults: StorageFaults,
}

/// Which closed logs are dropped, and when.
#[derive(Debug, Clone)]
pub struct DropRule {
    /// Start of the logs' names.
    pub prefix: String,
    /// How long they are kept after their last change, counted while the store is open.
    pub after: Duration,
}

/// Makes commits fail as a disk that refuses writes does. Cheap to clone; clones share the count.
#[derive(Debug, Clone, Default)]
pub struct StorageFaults {
    commits: Arc<AtomicU32>,
}

impl StorageFaults {
    /// The next `count` commits fail.
    pub fn fail_commits(&self, count: u32) {
        self.commits.store(count, Ordering::Relaxed);
    }

    /// Fails if a failure was asked for.
    pub(crate) fn check(&self) -> Result<(), redb::Error> {
        let take = |count: u32| count.checked_sub(1);
        match self
            .commits
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take)
        {
            Ok(_) => Err(redb::Error::Io(std::io::Error::other("asked to fail"))),
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

/// A checked data folder.
pub(crate) struct OpenedFolder {
    pub database: Database,
    pub watermark: Watermark,
    pub content: Content,
}

/// What is kept in memory of a data folder.
#[derive(Debug, Default)]
pub(crate) struct Content {
    pub replica_id: u64,
    pub sequence: u64,
    pub clock_ms: u64,
    pub replica_set: Option<ReplicaSet>,
    /// Revision of the stored bundle; 0: none.
    pub bundle_revision: u64,
    pub logs: BTreeMap<String, LogRecord>,
}

/// Opens the folder; one that holds no journal yet gets a new one with a random replica id.
pub(crate) fn open_folder(
    folder: &Path,
    options: &StorageOptions,
) -> Result<OpenedFolder, OpenError> {
    fs::create_dir_all(folder).map_err(|source| io_error(folder, source))?;
    let database_path = folder.join(DATABASE_FILE);
    let watermark_path = folder.join(WATERMARK_FILE);
    if !exists(&database_path)? {
        refuse_if_database_was_lost(&database_path, &watermark_path)?;
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
    let mark = mark.ok_or_else(|| damaged(&watermark_path, "no whole record"))?;
    let (database, content) = open_database(&database_path, options)?;
    compare(&database_path, &content, mark)?;
    Ok(OpenedFolder {
        database,
        watermark,
        content,
    })
}

/// A watermark at commit 0 without a database is left by a stop while the folder was being made.
fn refuse_if_database_was_lost(database: &Path, watermark: &Path) -> Result<(), OpenError> {
    if !exists(watermark)? {
        return Ok(());
    }
    let (_, mark) = Watermark::open(watermark).map_err(|source| io_error(watermark, source))?;
    match mark {
        Some(mark) if mark.sequence > 0 => Err(OpenError::Missing {
            path: database.to_owned(),
            companion: watermark.to_owned(),
        }),
        _ => Ok(()),
    }
}

/// The database gets its name last, so a folder with one is complete.
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

/// Damaged pages can make the database library panic; that is reported like its errors.
fn open_database(path: &Path, options: &StorageOptions) -> Result<(Database, Content), OpenError> {
    let started = Instant::now();
    let opened = catch_unwind(AssertUnwindSafe(|| {
        // A file that was not closed is repaired as it is opened, which reads all of it and compares all checksums. Doing that a second
        // time would double the time from a loss of power to service, about a second on a weak machine after half a minute of work.
        let is_repaired = Arc::new(AtomicBool::new(false));
        let noted = Arc::clone(&is_repaired);
        let mut database = Database::builder()
            .set_cache_size(options.cache_bytes)
            .set_repair_callback(move |_| noted.store(true, Ordering::Relaxed))
            .open(path)?;
        let is_checked = is_repaired.load(Ordering::Relaxed);
        if !is_checked && !database.check_integrity()? {
            log::warn!("event=database_repaired file={}", path.display());
        }
        let content = read_content(&database)?;
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
        Err(_) => Err(damaged(path, "the database library gave up on its content")),
    }
}

fn read_content(database: &Database) -> Result<Content, redb::Error> {
    let transaction = database.begin_read()?;
    let meta = transaction.open_table(META)?;
    let number = |key| read_number(&meta, key);
    let mut content = Content {
        replica_id: number(keys::REPLICA_ID)?.unwrap_or(0),
        sequence: number(keys::SEQUENCE)?.unwrap_or(0),
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

fn compare(path: &Path, content: &Content, mark: Mark) -> Result<(), OpenError> {
    if content.replica_id == 0 || content.replica_id != mark.replica_id {
        let cause = format!(
            "replica id {} does not match the watermark's {}",
            content.replica_id, mark.replica_id
        );
        return Err(damaged(path, cause));
    }
    if content.sequence < mark.sequence {
        return Err(OpenError::LostCommits {
            path: path.to_owned(),
            answered: mark.sequence,
            found: content.sequence,
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

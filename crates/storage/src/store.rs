//! The handle of an open data folder.

use std::path::Path;
use std::sync::{Arc, Mutex, RwLock, RwLockReadGuard};
use std::thread::JoinHandle;
use std::time::Instant;

use ladderstage::ids::ProcessId;
use ladderstage::journal::replica::LogState;
use ladderstage_wire::messages::{
    Append, DescribeLogsReply, ExportLogsReply, ExportedLog, Install, KnownLog, ReadLog,
    ReadLogReply, ReplicaSet, Seal, SealReply, StageEntries, WriteReply,
};
use redb::{Database, ReadableDatabase};
use tokio::sync::{Semaphore, mpsc, oneshot};

use crate::committer::{Answer, Command, Committer, Queued, Shared};
use crate::export::{ExportLimits, export_page, payload_bytes, read_log};
use crate::open::{Content, StorageOptions, open_folder};
use crate::records::LogRecord;
use crate::retention::SweepReport;
use crate::tables::{META, keys};
use crate::{OpenError, StorageError};

/// Number of queued bytes for which one permit is acquired.
const BYTES_PER_PERMIT: usize = 1024;

/// A log that should have an active writer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OpenLog {
    /// Name of the log.
    pub log: String,
    /// Process of the promised epoch's writer.
    pub owner: ProcessId,
    /// Node of that process.
    pub owner_node: String,
}

/// Stored bundle.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredBundle {
    /// Revision of the bundle.
    pub revision: u64,
    /// Bytes as passed to [`Storage::put_bundle`].
    pub bytes: Vec<u8>,
}

/// Handle of a replica's data folder. Cheap to clone; the folder is closed when the last handle is
/// dropped.
#[derive(Clone)]
pub struct Storage {
    inner: Arc<Inner>,
}

impl std::fmt::Debug for Storage {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "Storage({})", self.inner.replica_id)
    }
}

struct Inner {
    replica_id: u64,
    shared: Arc<Shared>,
    queue_bytes: Arc<Semaphore>,
    queue: Option<mpsc::Sender<Queued>>,
    thread: Option<JoinHandle<()>>,
}

impl Drop for Inner {
    fn drop(&mut self) {
        self.queue = None;
        if let Some(thread) = self.thread.take() {
            // After a panic of the thread all requests failed, so it needs no further report.
            let _ = thread.join();
        }
    }
}

impl Storage {
    /// Opens and checks `folder`; creates it if it does not exist or is empty. Blocks the thread.
    ///
    /// # Errors
    ///
    /// If the folder cannot be opened, is damaged, or has lost acknowledged commits.
    pub fn open(folder: &Path, options: StorageOptions) -> Result<Self, OpenError> {
        let opened = open_folder(folder, &options)?;
        let database = Arc::new(opened.database);
        let replica_id = opened.content.replica_id;
        let clock_base_ms = opened.content.clock_ms;
        let (sender, receiver) = mpsc::channel(options.queue_length);
        let queue_bytes = Arc::new(Semaphore::new(options.queue_bytes / BYTES_PER_PERMIT));
        let shared = Arc::new(Shared {
            content: RwLock::new(opened.content),
            database: RwLock::new(Some(database)),
            failure: Mutex::new(None),
            options,
        });
        let committer = Committer {
            folder: folder.to_owned(),
            replica_id,
            watermark: opened.watermark,
            shared: Arc::clone(&shared),
            clock_base_ms,
            opened_at: Instant::now(),
        };
        let thread = std::thread::Builder::new()
            .name("journal-commit".to_owned())
            .spawn(move || committer.run(receiver))
            .map_err(|source| OpenError::Io {
                path: folder.to_owned(),
                source,
            })?;
        let inner = Inner {
            replica_id,
            shared,
            queue_bytes,
            queue: Some(sender),
            thread: Some(thread),
        };
        Ok(Self {
            inner: Arc::new(inner),
        })
    }

    /// Returns the replica id, which was chosen at random when the folder was created.
    pub fn replica_id(&self) -> u64 {
        self.inner.replica_id
    }

    /// Seals a log; durable on return.
    pub async fn seal(&self, request: Seal) -> Result<SealReply, StorageError> {
        self.submit(0, |answer| Command::Seal(request, answer))
            .await
    }

    /// Installs a log; durable on return.
    pub async fn install(&self, request: Install) -> Result<WriteReply, StorageError> {
        let size = payload_bytes(&request.entries);
        self.submit(size, |answer| Command::Install(request, answer))
            .await
    }

    /// Appends to a log; durable on return.
    pub async fn append(&self, request: Append) -> Result<WriteReply, StorageError> {
        let size = payload_bytes(&request.entries);
        self.submit(size, |answer| Command::Append(request, answer))
            .await
    }

    /// Stores parts of entries, which a later write adds to the log; durable on return.
    pub async fn stage(&self, request: StageEntries) -> Result<WriteReply, StorageError> {
        let size = request.parts.iter().map(|part| part.payload.len()).sum();
        self.submit(size, |answer| Command::Stage(request, answer))
            .await
    }

    /// Stores logs copied from other replicas under replica set `version`; durable on return.
    pub async fn import_logs(
        &self,
        version: u64,
        logs: Vec<ExportedLog>,
    ) -> Result<(), StorageError> {
        let size = logs.iter().map(|log| payload_bytes(&log.entries)).sum();
        self.submit(size, |answer| Command::Import(version, logs, answer))
            .await
    }

    /// Stores the bundle if it is newer than the stored one; durable on return.
    pub async fn put_bundle(&self, revision: u64, bytes: Vec<u8>) -> Result<(), StorageError> {
        let size = bytes.len();
        let bundle = StoredBundle { revision, bytes };
        self.submit(size, |answer| Command::PutBundle(bundle, answer))
            .await
    }

    /// Stores the replica set if it is newer than the stored one; durable on return. Requests under
    /// older sets are then refused.
    pub async fn put_replica_set(&self, set: ReplicaSet) -> Result<(), StorageError> {
        self.submit(0, |answer| Command::PutReplicaSet(set, answer))
            .await
    }

    /// Retires or deletes some of the logs whose retention has passed. To be called about once per
    /// minute.
    pub async fn sweep(&self) -> Result<SweepReport, StorageError> {
        self.submit(0, Command::Sweep).await
    }

    /// Returns the cause of the current failure; `None` while the disk works.
    pub fn failure(&self) -> Option<String> {
        self.inner.shared.failure()
    }

    /// Reads the stored bundle.
    pub async fn get_bundle(&self) -> Result<Option<StoredBundle>, StorageError> {
        self.read(|database| {
            let transaction = database.begin_read()?;
            let meta = transaction.open_table(META)?;
            let revision = crate::records::read_number(&meta, keys::BUNDLE_REVISION)?;
            let bytes = meta.get(keys::BUNDLE)?;
            Ok(revision.zip(bytes).map(|(revision, bytes)| StoredBundle {
                revision,
                bytes: bytes.value().to_vec(),
            }))
        })
        .await
    }

    /// Returns the revision of the stored bundle; 0 if there is none.
    pub fn bundle_revision(&self) -> u64 {
        self.content().bundle_revision
    }

    /// Returns the stored replica set.
    pub fn replica_set(&self) -> Option<ReplicaSet> {
        self.content().replica_set.clone()
    }

    /// Returns the durable state of a log.
    pub fn log_state(&self, log: &str) -> Option<LogState> {
        let content = self.content();
        content.logs.get(log).map(|record| record.state.clone())
    }

    /// Returns the names of logs that start with `prefix` and should have a writer.
    pub fn open_logs(&self, prefix: &str) -> Vec<String> {
        let content = self.content();
        logs_with_prefix(&content, prefix)
            .filter(|(_, record)| record.state.needs_owner())
            .map(|(log, _)| log.clone())
            .collect()
    }

    /// Like [`Storage::open_logs`], but with the owner of each log.
    pub fn open_logs_with_owners(&self, prefix: &str) -> Vec<OpenLog> {
        let content = self.content();
        logs_with_prefix(&content, prefix)
            .filter(|(_, record)| record.state.needs_owner())
            .map(|(log, record)| OpenLog {
                log: log.clone(),
                owner: record.state.promised.owner,
                owner_node: record.state.owner_node.clone(),
            })
            .collect()
    }

    /// Describes the logs whose names start with `prefix`.
    pub fn describe_logs(&self, prefix: &str) -> DescribeLogsReply {
        let content = self.content();
        let logs = logs_with_prefix(&content, prefix)
            .map(|(log, record)| record.state.describe(log))
            .collect();
        DescribeLogsReply {
            replica_id: self.replica_id(),
            logs,
        }
    }

    /// Reads a log as of the last commit.
    pub async fn read_log(&self, log: &str) -> Result<ReadLogReply, StorageError> {
        self.read_log_parts(ReadLog {
            log: log.to_owned(),
            ..ReadLog::default()
        })
        .await
    }

    /// Reads a log or parts of it, as requested, as of the last commit.
    pub async fn read_log_parts(&self, request: ReadLog) -> Result<ReadLogReply, StorageError> {
        let replica_id = self.replica_id();
        self.read(move |database| read_log(database, replica_id, &request))
            .await
    }

    /// Reads at most `limit` logs whose names follow `after`, as of the last commit. With
    /// `max_log_bytes` above 0, logs with more bytes of entries are marked as long and have none.
    pub async fn export_logs(
        &self,
        after: &str,
        limit: usize,
        max_log_bytes: usize,
    ) -> Result<ExportLogsReply, StorageError> {
        self.export_unknown_logs(after, limit, max_log_bytes, Vec::new())
            .await
    }

    /// As [`Storage::export_logs`], but without the entries of logs that are not newer than in `known`.
    pub async fn export_unknown_logs(
        &self,
        after: &str,
        limit: usize,
        max_log_bytes: usize,
        known: Vec<KnownLog>,
    ) -> Result<ExportLogsReply, StorageError> {
        let after = after.to_owned();
        self.read(move |database| {
            let limits = ExportLimits {
                logs: limit,
                log_bytes: max_log_bytes,
                known: &known,
            };
            export_page(database, &after, &limits)
        })
        .await
    }

    fn content(&self) -> RwLockReadGuard<'_, Content> {
        let content = self.inner.shared.content.read();
        content.unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Queues a request whose entries have `size` bytes, and waits for its response.
    async fn submit<T>(
        &self,
        size: usize,
        command: impl FnOnce(Answer<T>) -> Command,
    ) -> Result<T, StorageError> {
        let failed = || self.inner.shared.failed();
        let limit = self.inner.shared.options.queue_bytes / BYTES_PER_PERMIT;
        let permits = (1 + size / BYTES_PER_PERMIT).min(limit) as u32;
        let queue_bytes = Arc::clone(&self.inner.queue_bytes);
        let permit = queue_bytes
            .acquire_many_owned(permits)
            .await
            .map_err(|_| failed())?;
        let (answer, receiver) = oneshot::channel();
        let queued = Queued {
            command: command(answer),
            permit,
        };
        let queue = self.inner.queue.as_ref().ok_or_else(failed)?;
        queue.send(queued).await.map_err(|_| failed())?;
        receiver.await.map_err(|_| failed())?
    }

    async fn read<T: Send + 'static>(
        &self,
        read: impl FnOnce(&Database) -> Result<T, redb::Error> + Send + 'static,
    ) -> Result<T, StorageError> {
        let database = self.inner.shared.database()?;
        let result = tokio::task::spawn_blocking(move || read(&database)).await;
        match result {
            Ok(result) => result.map_err(|error| StorageError::Failed(error.to_string())),
            Err(error) => Err(StorageError::Failed(error.to_string())),
        }
    }
}

fn logs_with_prefix<'a>(
    content: &'a Content,
    prefix: &'a str,
) -> impl Iterator<Item = (&'a String, &'a LogRecord)> {
    content
        .logs
        .range(prefix.to_owned()..)
        .take_while(move |(log, _)| log.starts_with(prefix))
}

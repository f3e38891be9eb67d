//! The commit thread: commits waiting requests in one transaction, then sends their responses.

use std::path::PathBuf;
use std::sync::{Arc, Mutex, RwLock};
use std::time::{Duration, Instant};

use ladderstage_wire::messages::{
    Append, ExportedLog, Install, ReplicaSet, Seal, SealReply, StageEntries, WriteReply,
};
use redb::Database;
use tokio::sync::{OwnedSemaphorePermit, mpsc, oneshot};

use crate::StorageError;
use crate::batch::{Applied, Batch, Staged};
use crate::open::{Content, StorageOptions, open_folder};
use crate::retention::{self, SweepReport};
use crate::store::StoredBundle;
use crate::watermark::Watermark;

/// Maximum number of requests in one commit.
const REQUESTS_PER_COMMIT: usize = 256;

/// Sender of the response to one request. It is dropped without a response if the disk fails; the
/// caller then receives the error of [`Shared::failed`].
pub(crate) type Answer<T> = oneshot::Sender<Result<T, StorageError>>;

/// Request to the commit thread.
pub(crate) enum Command {
    Seal(Seal, Answer<SealReply>),
    Install(Install, Answer<WriteReply>),
    Append(Append, Answer<WriteReply>),
    Stage(StageEntries, Answer<WriteReply>),
    Import(u64, Vec<ExportedLog>, Answer<()>),
    PutBundle(StoredBundle, Answer<()>),
    PutReplicaSet(ReplicaSet, Answer<()>),
    Sweep(Answer<SweepReport>),
}

/// Queued request with its permit for bytes in the queue, which is released after the commit.
pub(crate) struct Queued {
    pub command: Command,
    pub permit: OwnedSemaphorePermit,
}

/// Pause before a failed folder is reopened.
const REOPEN_PAUSE: Duration = Duration::from_millis(250);

/// Poll interval while readers still hold a database that is being closed.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// State shared by the commit thread and the handles.
#[derive(Debug)]
pub(crate) struct Shared {
    pub content: RwLock<Content>,
    /// Open database; `None` from a failure until the folder is reopened.
    pub database: RwLock<Option<Arc<Database>>>,
    /// Cause of the current failure.
    pub failure: Mutex<Option<String>>,
    pub options: StorageOptions,
}

impl Shared {
    /// Returns the error for requests during a failure.
    pub fn failed(&self) -> StorageError {
        StorageError::Failed(
            self.failure()
                .unwrap_or_else(|| "no cause is recorded".to_owned()),
        )
    }

    /// Returns the cause of the current failure; `None` while the disk works.
    pub fn failure(&self) -> Option<String> {
        let failure = self.failure.lock();
        failure
            .unwrap_or_else(|poisoned| poisoned.into_inner())
            .clone()
    }

    /// Returns the open database, or the error of the current failure.
    pub fn database(&self) -> Result<Arc<Database>, StorageError> {
        let database = self.database.read();
        let database = database
            .unwrap_or_else(|poisoned| poisoned.into_inner())
            .clone();
        database.ok_or_else(|| self.failed())
    }

    fn set_failure(&self, failure: Option<String>) {
        let guard = self.failure.lock();
        *guard.unwrap_or_else(|poisoned| poisoned.into_inner()) = failure;
    }

    fn set_database(&self, database: Option<Arc<Database>>) -> Option<Arc<Database>> {
        let guard = self.database.write();
        let mut guard = guard.unwrap_or_else(|poisoned| poisoned.into_inner());
        std::mem::replace(&mut *guard, database)
    }
}

/// Sends a response after the commit.
type DeferredResponse = Box<dyn FnOnce() + Send>;

/// State of the commit thread.
pub(crate) struct Committer {
    pub folder: PathBuf,
    pub replica_id: u64,
    pub watermark: Watermark,
    pub shared: Arc<Shared>,
    /// Value of the store's clock when it was opened, in milliseconds.
    pub clock_base_ms: u64,
    pub opened_at: Instant,
}

impl Committer {
    /// Runs until all handles are dropped. After a failure it retries to reopen the folder.
    pub fn run(mut self, mut queue: mpsc::Receiver<Queued>) {
        while let Some(first) = queue.blocking_recv() {
            let mut requests = vec![first];
            while requests.len() < REQUESTS_PER_COMMIT {
                let Ok(next) = queue.try_recv() else { break };
                requests.push(next);
            }
            let mut requests = requests.into_iter();
            let mut answers = Vec::new();
            if let Err(error) = self.commit(&mut requests, &mut answers) {
                log::error!("event=storage_failed cause=\"{error}\"");
                // Set before the remaining requests and answers are dropped, which wakes the callers that
                // read it.
                self.shared.set_failure(Some(error.to_string()));
                drop((requests, answers));
                if !self.reopen(&mut queue) {
                    return;
                }
            }
        }
    }

    /// Closes the database and retries to open it; requests are refused meanwhile. Returns false
    /// if all handles were dropped or the folder now belongs to another replica.
    fn reopen(&mut self, queue: &mut mpsc::Receiver<Queued>) -> bool {
        if let Some(database) = self.shared.set_database(None) {
            close(database);
        }
        loop {
            std::thread::sleep(REOPEN_PAUSE);
            while queue.try_recv().is_ok() {}
            if queue.is_closed() {
                return false;
            }
            let opened = match open_folder(&self.folder, &self.shared.options) {
                Ok(opened) => opened,
                Err(error) => {
                    log::error!("event=storage_reopen_failed cause=\"{error}\"");
                    self.shared.set_failure(Some(error.to_string()));
                    continue;
                }
            };
            if opened.content.replica_id != self.replica_id {
                log::error!(
                    "event=storage_replaced replica_id={}",
                    opened.content.replica_id
                );
                self.shared.set_failure(Some(
                    "the data folder belongs to another replica".to_owned(),
                ));
                return false;
            }
            self.watermark = opened.watermark;
            self.shared.set_database(Some(Arc::new(opened.database)));
            let content = self.shared.content.write();
            *content.unwrap_or_else(|poisoned| poisoned.into_inner()) = opened.content;
            self.shared.set_failure(None);
            log::info!("event=storage_reopened replica_id={}", self.replica_id);
            return true;
        }
    }

    /// Applies the requests in one transaction, commits it, and sends the responses.
    fn commit(
        &self,
        requests: &mut std::vec::IntoIter<Queued>,
        answers: &mut Vec<DeferredResponse>,
    ) -> Result<(), redb::Error> {
        let mut permits = Vec::with_capacity(requests.len());
        self.shared.options.faults.check()?;
        let database = self.shared.database().map_err(to_redb_error)?;
        let transaction = database.begin_write()?;
        let (staged, commit_number) = {
            let content = self
                .shared
                .content
                .read()
                .unwrap_or_else(|e| e.into_inner());
            let commit_number = content.commit_number + 1;
            let mut batch = Batch::new(&transaction, &content, self.now_ms())?;
            for request in requests {
                permits.push(request.permit);
                answers.push(self.apply(&mut batch, &content, request.command)?);
            }
            (batch.finish(commit_number)?, commit_number)
        };
        if staged.changed {
            transaction.commit()?;
            self.watermark.record(commit_number)?;
            self.publish(staged, commit_number);
        } else {
            transaction.abort()?;
        }
        answers.drain(..).for_each(|answer| answer());
        Ok(())
    }

    fn apply(
        &self,
        batch: &mut Batch<'_>,
        content: &Content,
        command: Command,
    ) -> Result<DeferredResponse, redb::Error> {
        match command {
            Command::Seal(request, answer) => defer_response(answer, batch.seal(&request)),
            Command::Install(request, answer) => defer_response(answer, batch.install(&request)),
            Command::Append(request, answer) => defer_response(answer, batch.append(&request)),
            Command::Stage(request, answer) => defer_response(answer, batch.stage(&request)),
            Command::Import(version, logs, answer) => {
                defer_response(answer, batch.import(version, &logs))
            }
            Command::PutBundle(bundle, answer) => defer_response(answer, batch.put_bundle(&bundle)),
            Command::PutReplicaSet(set, answer) => {
                defer_response(answer, batch.put_replica_set(&set))
            }
            Command::Sweep(answer) => {
                let options = &self.shared.options;
                let expired =
                    retention::expired(&content.logs, &content.staged_at, options, self.now_ms());
                defer_response(answer, batch.sweep(&expired))
            }
        }
    }

    fn publish(&self, staged: Staged, commit_number: u64) {
        let mut content = self
            .shared
            .content
            .write()
            .unwrap_or_else(|e| e.into_inner());
        content.commit_number = commit_number;
        if staged.replica_set.is_some() {
            content.replica_set = staged.replica_set;
        }
        if let Some(revision) = staged.bundle_revision {
            content.bundle_revision = revision;
        }
        for (log, at_ms) in staged.part_changes {
            match at_ms {
                Some(at_ms) => content.staged_at.insert(log, at_ms),
                None => content.staged_at.remove(&log),
            };
        }
        for (log, record) in staged.logs {
            match record {
                Some(record) => content.logs.insert(log, record),
                None => content.logs.remove(&log),
            };
        }
    }

    fn now_ms(&self) -> u64 {
        self.clock_base_ms + self.opened_at.elapsed().as_millis() as u64
    }
}

/// Closes the database after all readers have released it.
fn close(database: Arc<Database>) {
    let mut database = database;
    loop {
        match Arc::try_unwrap(database) {
            Ok(database) => return drop(database),
            Err(shared) => database = shared,
        }
        std::thread::sleep(CLOSE_POLL_INTERVAL);
    }
}

fn to_redb_error(error: StorageError) -> redb::Error {
    redb::Error::Io(std::io::Error::other(error.to_string()))
}

fn defer_response<T: Send + 'static>(
    answer: Answer<T>,
    applied: Applied<T>,
) -> Result<DeferredResponse, redb::Error> {
    let result = applied?;
    // The send fails if the caller has stopped waiting.
    Ok(Box::new(move || drop(answer.send(result))))
}

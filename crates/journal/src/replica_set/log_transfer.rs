//! Transfer of logs from several replicas at once: pages are fetched while earlier ones are imported.
//!
//! Pages are imported in the order of their logs, in which the database stores them with the fewest
//! writes. At most one page for each replica and one more are held in memory.

use futures_util::StreamExt;
use futures_util::future::join;
use futures_util::stream;
use ladderstage_storage::StorageError;
use ladderstage_wire::messages::ReplicaSet;
use tokio::sync::mpsc;

use super::copy::{LogCopier, ReplicaError};
use super::copy_plan::WantedLogs;
use super::copy_source::{FetchedPage, Received, SourceReplica};
use super::source_load::SourceLoad;

/// Transfer from the replicas of one copy, which are named by their index.
pub(super) struct LogTransfer<'a> {
    copier: &'a LogCopier,
    set: &'a ReplicaSet,
    sources: &'a [SourceReplica],
    wanted: &'a [WantedLogs],
    load: SourceLoad,
}

/// Result of the transfer from one replica.
#[derive(Default)]
pub(super) struct TransferOutcome {
    pub received: Received,
    /// Error after which the replica was not used any more.
    pub error: Option<ReplicaError>,
}

/// Answer of a replica to the request for the first page of some logs.
struct Answer<'a> {
    wanted: &'a WantedLogs,
    /// Index of the replica.
    source: usize,
    page: Result<FetchedPage, ReplicaError>,
}

impl<'a> LogTransfer<'a> {
    pub fn new(
        copier: &'a LogCopier,
        set: &'a ReplicaSet,
        sources: &'a [SourceReplica],
        wanted: &'a [WantedLogs],
    ) -> Self {
        Self {
            copier,
            set,
            sources,
            wanted,
            load: SourceLoad::new(sources.len()),
        }
    }

    /// Transfers the wanted logs, apart from those whose replicas have failed. Returns the outcome for
    /// each replica.
    ///
    /// # Errors
    ///
    /// If this node's storage fails.
    pub async fn run(&self) -> Result<Vec<TransferOutcome>, StorageError> {
        let (fetched, to_import) = mpsc::channel(1);
        let fetching = self.fetch_all(fetched);
        let ((), outcomes) = join(fetching, self.import_all(to_import)).await;
        outcomes
    }

    async fn fetch_all(&self, fetched: mpsc::Sender<Answer<'a>>) {
        let fetches = (0..self.wanted.len()).map(|index| self.fetch(index));
        let mut answers = stream::iter(fetches).buffered(self.sources.len().max(1));
        while let Some(answer) = answers.next().await {
            let Some(answer) = answer else { continue };
            if fetched.send(answer).await.is_err() {
                // The import has failed.
                return;
            }
        }
    }

    async fn fetch(&self, index: usize) -> Option<Answer<'a>> {
        let wanted = &self.wanted[index];
        let source = self.load.begin(&wanted.holders)?;
        let fetching = self
            .copier
            .fetch_wanted(self.set, wanted, &self.sources[source]);
        let page = fetching.await;
        self.load.end(source, page.is_ok());
        Some(Answer {
            wanted,
            source,
            page,
        })
    }

    async fn import_all(
        &self,
        mut to_import: mpsc::Receiver<Answer<'a>>,
    ) -> Result<Vec<TransferOutcome>, StorageError> {
        let outcomes = self.sources.iter().map(|_| TransferOutcome::default());
        let mut outcomes: Vec<_> = outcomes.collect();
        while let Some(answer) = to_import.recv().await {
            let source = answer.source;
            match self.import(answer).await {
                Ok(received) => outcomes[source].received.add(&received),
                Err(ReplicaError::Storage(error)) => return Err(error),
                Err(error) => {
                    self.load.fail(source);
                    outcomes[source].error = Some(error);
                }
            }
        }
        Ok(outcomes)
    }

    async fn import(&self, answer: Answer<'a>) -> Result<Received, ReplicaError> {
        let source = &self.sources[answer.source];
        let importing = self
            .copier
            .import_wanted(self.set, answer.wanted, answer.page?, source);
        importing.await
    }
}

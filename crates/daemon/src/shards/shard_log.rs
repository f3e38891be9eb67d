//! Log of a shard, together with the state folded from its committed entries.

use ladderstage::shard::ShardState;
use ladderstage_wire::messages::{LogEntry, ShardEntry};
use ladderstage_wire::{decode, encode};

use crate::journal::{Journal, JournalError, LogWriter};

/// Error of a commit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(super) enum CommitError {
    /// Another owner has taken the log over.
    #[error("fenced")]
    Fenced,
    /// No quorum answered. The append must be repeated before any other one.
    #[error("outcome unknown")]
    OutcomeUnknown,
    /// The replica set of the journal changed; the log must be taken over again.
    #[error("taken over under an older replica set")]
    StaleReplicaSet,
}

/// Log of an owned shard.
#[derive(Debug)]
pub(super) struct ShardLog {
    /// `None` while the log is being taken over again.
    writer: Option<LogWriter>,
    state: ShardState,
    unresolved: Option<Batch>,
    closed: bool,
}

#[derive(Debug)]
struct Batch {
    entries: Vec<ShardEntry>,
    closes: bool,
}

impl ShardLog {
    /// Fences earlier owners and folds the entries that they committed.
    pub(super) async fn take_over(journal: &Journal, log: &str) -> Result<Self, JournalError> {
        let (writer, entries) = journal.take_over(log).await?;
        Ok(Self {
            writer: Some(writer),
            state: fold(log, &entries),
            unresolved: None,
            closed: false,
        })
    }

    /// Takes the log over again after a change of the replica set.
    ///
    /// An append with an unknown outcome may or may not be in the log: the caller must decide again on the new state.
    pub(super) async fn retake(
        &mut self,
        journal: &Journal,
        log: &str,
    ) -> Result<(), JournalError> {
        // Drops the old writer first, so that heartbeats do not report it as fenced by the new epoch.
        self.writer = None;
        *self = Self::take_over(journal, log).await?;
        Ok(())
    }

    /// Returns the state after all committed entries. Decisions on it need a successful
    /// [`retry_unknown_append`](Self::retry_unknown_append) first.
    pub(super) fn state(&self) -> &ShardState {
        &self.state
    }

    pub(super) fn is_closed(&self) -> bool {
        self.closed
    }

    /// Repeats the append whose outcome is unknown, if any, with the same entries at the same index.
    pub(super) async fn retry_unknown_append(&mut self) -> Result<(), CommitError> {
        if self.writer.is_none() {
            return Err(CommitError::StaleReplicaSet);
        }
        match self.unresolved.take() {
            Some(batch) => self.append(batch).await,
            None => Ok(()),
        }
    }

    /// Commits entries that follow from the present state, and applies them.
    pub(super) async fn commit(
        &mut self,
        entries: Vec<ShardEntry>,
        closes: bool,
    ) -> Result<(), CommitError> {
        if self.unresolved.is_some() {
            return Err(CommitError::OutcomeUnknown);
        }
        if entries.is_empty() && !closes {
            return Ok(());
        }
        self.append(Batch { entries, closes }).await
    }

    /// Checks with a quorum that this is still the only writer of the log, for replies that need no commit.
    pub(super) async fn confirm_ownership(&self) -> Result<(), CommitError> {
        let Some(writer) = &self.writer else {
            return Err(CommitError::StaleReplicaSet);
        };
        match writer.confirm_ownership().await {
            Ok(()) => Ok(()),
            Err(JournalError::Fenced) => Err(CommitError::Fenced),
            Err(JournalError::StaleReplicaSet) => Err(CommitError::StaleReplicaSet),
            Err(error) => {
                ::log::warn!("event=ownership_unconfirmed error=\"{error}\"");
                Err(CommitError::OutcomeUnknown)
            }
        }
    }

    async fn append(&mut self, batch: Batch) -> Result<(), CommitError> {
        let Some(writer) = &mut self.writer else {
            return Err(CommitError::StaleReplicaSet);
        };
        let encoded = batch.entries.iter().map(to_log_entry).collect();
        match writer.append(encoded, batch.closes).await {
            Ok(()) => {
                for entry in &batch.entries {
                    self.state.apply(entry);
                }
                self.closed |= batch.closes;
                Ok(())
            }
            Err(JournalError::Fenced) => Err(CommitError::Fenced),
            Err(JournalError::StaleReplicaSet) => Err(CommitError::StaleReplicaSet),
            Err(error) => {
                ::log::warn!("event=append_in_doubt error=\"{error}\"");
                self.unresolved = Some(batch);
                Err(CommitError::OutcomeUnknown)
            }
        }
    }
}

/// Folds raw entries. Entries that cannot be decoded are logged and skipped, as by every other reader.
pub(super) fn fold(log: &str, entries: &[LogEntry]) -> ShardState {
    let mut state = ShardState::default();
    for (index, entry) in entries.iter().enumerate() {
        match decode::<ShardEntry>(&entry.payload) {
            Ok(entry) => {
                state.apply(&entry);
            }
            Err(error) => {
                ::log::error!("event=malformed_entry log={log} index={index} error=\"{error}\"");
            }
        }
    }
    state
}

fn to_log_entry(entry: &ShardEntry) -> LogEntry {
    LogEntry {
        payload: encode(entry),
    }
}

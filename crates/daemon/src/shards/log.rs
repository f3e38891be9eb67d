//! A shard's log with its fold: the state never runs ahead of what is committed.

use ladderstage::shard::ShardState;
use ladderstage_wire::messages::{LogEntry, ShardEntry};
use ladderstage_wire::{decode, encode};

use crate::journal::{Journal, JournalError, LogWriter};

/// Why entries were not committed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(super) enum CommitError {
    /// Another owner has taken the log.
    #[error("fenced")]
    Fenced,
    /// No quorum: the entries stay in doubt, and nothing else is appended before they are settled.
    #[error("in doubt")]
    InDoubt,
    /// The journal's replica set was changed: the log must be taken over again.
    #[error("taken under an older replica set")]
    StaleReplicaSet,
}

/// The log of an owned shard.
#[derive(Debug)]
pub(super) struct ShardLog {
    /// Gone between two take-overs.
    writer: Option<LogWriter>,
    state: ShardState,
    in_doubt: Option<Batch>,
    closed: bool,
}

#[derive(Debug)]
struct Batch {
    entries: Vec<ShardEntry>,
    closes: bool,
}

impl ShardLog {
    /// Fences earlier owners and folds what they committed.
    pub(super) async fn take_over(journal: &Journal, log: &str) -> Result<Self, JournalError> {
        let (writer, entries) = journal.take_over(log).await?;
        Ok(Self {
            writer: Some(writer),
            state: fold(log, &entries),
            in_doubt: None,
            closed: false,
        })
    }

    /// Takes the log over again after a change of the replica set. What was in doubt is found in the log or not;
    /// the caller decides anew on what it finds.
    pub(super) async fn take_over_again(
        &mut self,
        journal: &Journal,
        log: &str,
    ) -> Result<(), JournalError> {
        // The heartbeat must not hear of the new epoch on behalf of the old writer.
        self.writer = None;
        *self = Self::take_over(journal, log).await?;
        Ok(())
    }

    /// State after all committed entries. Decide on it only once [`settle`](Self::settle) succeeded.
    pub(super) fn state(&self) -> &ShardState {
        &self.state
    }

    pub(super) fn is_closed(&self) -> bool {
        self.closed
    }

    /// Repeats the append that ended without a quorum, if there is one: the same entries at the same place.
    pub(super) async fn settle(&mut self) -> Result<(), CommitError> {
        if self.writer.is_none() {
            return Err(CommitError::StaleReplicaSet);
        }
        match self.in_doubt.take() {
            Some(batch) => self.append(batch).await,
            None => Ok(()),
        }
    }

    /// Commits entries that were decided on the present state, and applies them.
    pub(super) async fn commit(
        &mut self,
        entries: Vec<ShardEntry>,
        closes: bool,
    ) -> Result<(), CommitError> {
        if self.in_doubt.is_some() {
            return Err(CommitError::InDoubt);
        }
        if entries.is_empty() && !closes {
            return Ok(());
        }
        self.append(Batch { entries, closes }).await
    }

    /// Makes sure that this is still the log's only writer, for a reply that needs no commit.
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
                Err(CommitError::InDoubt)
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
                self.in_doubt = Some(batch);
                Err(CommitError::InDoubt)
            }
        }
    }
}

/// Folds raw entries; one that cannot be read is logged and left out, as it is for every other reader.
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

//! A takeover of a log in several attempts.

use ladderstage::journal::WriterEpoch;
use ladderstage_wire::messages::LogEntry;

use super::{Journal, JournalError, LogWriter, SEAL_ATTEMPTS};

/// Takeover of a log whose attempts are repeated while too few replicas answer, by a caller that
/// appends to an empty log at once.
///
/// All attempts ask for promises of one epoch until the log is sealed. A replica whose promise came
/// too late for one attempt answers the next one without another write. An empty log is installed
/// with the entries of the first append, which saves a round of writes; until that append has
/// returned `Ok`, a later writer may still find entries of an unfinished append before it.
#[derive(Debug)]
pub struct TakeOver {
    journal: Journal,
    log: String,
    last: WriterEpoch,
    /// Epoch for which replicas were asked and no writer exists yet.
    epoch: Option<WriterEpoch>,
}

impl TakeOver {
    pub(super) fn new(journal: Journal, log: &str, last: WriterEpoch) -> Self {
        journal.observe(last);
        Self {
            journal,
            log: log.to_owned(),
            last,
            epoch: None,
        }
    }

    /// Tries to take the log over. After `NoQuorum` the attempt may be repeated, with jitter.
    ///
    /// # Errors
    ///
    /// As for [`Journal::take_over_from`].
    pub async fn attempt(&mut self) -> Result<(LogWriter, Vec<LogEntry>), JournalError> {
        let writer = self.attempt_writer().await?;
        let entries = writer.entries();
        Ok((writer, entries))
    }

    /// As [`TakeOver::attempt`], without a copy of the entries.
    ///
    /// # Errors
    ///
    /// As for [`TakeOver::attempt`].
    pub async fn attempt_writer(&mut self) -> Result<LogWriter, JournalError> {
        let journal = self.journal.clone();
        for _ in 0..SEAL_ATTEMPTS {
            let set = journal.inner.calls.replica_set()?;
            let epoch = match self.epoch {
                Some(epoch) => epoch,
                None => journal.next_epoch()?,
            };
            self.epoch = Some(epoch);
            let sealed = journal.seal(&self.log, &set, epoch, Some(self.last)).await;
            if !matches!(sealed, Err(JournalError::NoQuorum(_))) {
                // A second writer must not use the epoch of the first one.
                self.epoch = None;
            }
            let Some(sealed) = sealed? else {
                continue;
            };
            let _take_over = journal.inner.registry.insert_take_over(&self.log, epoch);
            let writer = journal
                .writer_of(&self.log, &set, sealed, &mut |_| true)
                .await?;
            if !writer.entries().is_empty() {
                writer.install().await?;
            }
            writer.start_heartbeats();
            return Ok(writer);
        }
        Err(JournalError::Fenced)
    }
}

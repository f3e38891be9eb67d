//! One transaction of the commit thread, which applies many requests to the same tables.

use std::collections::BTreeMap;

use ladderstage::journal::WriterEpoch;
use ladderstage::journal::replica::{self, Decision, EntryChange, LogState};
use ladderstage::journal::replica_set::{self, SetRefusal};
use ladderstage_wire::messages::mod_WriteReply::Outcome;
use ladderstage_wire::messages::{
    Append, ExportedLog, Install, LogEntry, ReplicaSet, Seal, SealReply, StageEntries, WriteReply,
};
use redb::{ReadableTable, Table, WriteTransaction};

use crate::StorageError;
use crate::open::Content;
use crate::parts::{self, PartTable, StagedEntries, WrittenEntries};
use crate::records::{LogRecord, write_number};
use crate::retention::{Expired, SweepReport};
use crate::store::StoredBundle;
use crate::tables::{ENTRIES, LOGS, LogRow, META, STAGED, keys};

/// Result of one request in a batch. Outer error: the disk failed, and with it the complete batch.
/// Inner error: only this request is refused.
pub(crate) type Applied<T> = Result<Result<T, StorageError>, redb::Error>;

/// Changes to the in-memory content that are published after the commit.
#[derive(Debug, Default)]
pub(crate) struct Staged {
    /// Changed logs by name; `None` if the log was deleted.
    pub logs: BTreeMap<String, Option<LogRecord>>,
    /// Logs of which parts were staged, with the time; `None` if the parts were removed as outdated.
    pub part_changes: BTreeMap<String, Option<u64>>,
    pub replica_set: Option<ReplicaSet>,
    pub bundle_revision: Option<u64>,
    /// True if the transaction has anything to commit.
    pub changed: bool,
}

/// Tables of one transaction with the changes made so far.
pub(crate) struct Batch<'a> {
    content: &'a Content,
    now_ms: u64,
    meta: Table<'a, &'static str, &'static [u8]>,
    logs: Table<'a, &'static str, LogRow<'static>>,
    entries: Table<'a, (&'static str, u64), &'static [u8]>,
    /// Parts of entries that are no part of their log yet.
    parts: PartTable<'a>,
    pub staged: Staged,
}

impl<'a> Batch<'a> {
    pub fn new(
        transaction: &'a WriteTransaction,
        content: &'a Content,
        now_ms: u64,
    ) -> Result<Self, redb::Error> {
        Ok(Self {
            content,
            now_ms,
            meta: transaction.open_table(META)?,
            logs: transaction.open_table(LOGS)?,
            entries: transaction.open_table(ENTRIES)?,
            parts: transaction.open_table(STAGED)?,
            staged: Staged::default(),
        })
    }

    /// Records the number of the commit and returns the changes to publish after it.
    pub fn finish(mut self, commit_number: u64) -> Result<Staged, redb::Error> {
        if self.staged.changed {
            write_number(&mut self.meta, keys::SEQUENCE, commit_number)?;
        }
        Ok(self.staged)
    }

    pub fn seal(&mut self, request: &Seal) -> Applied<SealReply> {
        if let Err(refusal) = self.check_version(request.replica_set_version) {
            return Ok(Err(refusal));
        }
        let before = self.state(&request.log);
        let decision = replica::seal(&before, request);
        self.store(&request.log, &before, &decision, &WrittenEntries::NONE)?;
        let accepted = decision.outcome == Outcome::STORED;
        let entries = if accepted && !request.without_entries {
            self.read_entries(&request.log)?
        } else {
            Vec::new()
        };
        Ok(Ok(SealReply {
            replica_id: self.content.replica_id,
            accepted,
            promised: decision.state.promised.to_wire(),
            log_epoch: decision.state.log_epoch.to_wire(),
            entries,
            retired: decision.state.retired,
            length: decision.state.length,
        }))
    }

    pub fn install(&mut self, request: &Install) -> Applied<WriteReply> {
        if let Err(refusal) = self.check_version(request.replica_set_version) {
            return Ok(Err(refusal));
        }
        let before = self.state(&request.log);
        let decision = replica::install(&before, request);
        let written = WrittenEntries::new(
            &request.entries,
            request.kept_length,
            request.staged_length,
            &request.epoch,
        );
        let decision = self.store(&request.log, &before, &decision, &written)?;
        Ok(Ok(decision.write_reply(self.content.replica_id)))
    }

    pub fn append(&mut self, request: &Append) -> Applied<WriteReply> {
        if let Err(refusal) = self.check_version(request.replica_set_version) {
            return Ok(Err(refusal));
        }
        let before = self.state(&request.log);
        let decision = replica::append(&before, request);
        let written = WrittenEntries::new(
            &request.entries,
            request.first_index,
            request.staged_length,
            &request.epoch,
        );
        let decision = self.store(&request.log, &before, &decision, &written)?;
        Ok(Ok(decision.write_reply(self.content.replica_id)))
    }

    /// Stores parts of entries, which a later write adds to the log.
    pub fn stage(&mut self, request: &StageEntries) -> Applied<WriteReply> {
        if let Err(refusal) = self.check_version(request.replica_set_version) {
            return Ok(Err(refusal));
        }
        let epoch = WriterEpoch::from(&request.epoch);
        parts::insert(&mut self.parts, &request.log, epoch, &request.parts)?;
        let log = request.log.clone();
        self.staged.part_changes.insert(log, Some(self.now_ms));
        self.staged.changed = true;
        let state = self.state(&request.log);
        Ok(Ok(WriteReply {
            replica_id: self.content.replica_id,
            outcome: Outcome::STORED,
            promised: state.promised.to_wire(),
            length: state.length,
        }))
    }

    /// Stores logs copied from other replicas.
    pub fn import(&mut self, version: u64, logs: &[ExportedLog]) -> Applied<()> {
        if let Err(refusal) = self.check_version(version) {
            return Ok(Err(refusal));
        }
        for exported in logs {
            let before = self.state(&exported.log);
            let decision = replica::import(&before, exported);
            let written = WrittenEntries::new(
                &exported.entries,
                0,
                exported.staged_length,
                &exported.log_epoch,
            );
            let decision = self.store(&exported.log, &before, &decision, &written)?;
            if decision.outcome != Outcome::STORED {
                return Ok(Err(StorageError::PartsMissing {
                    log: exported.log.clone(),
                }));
            }
        }
        Ok(Ok(()))
    }

    /// Stores the bundle if it is newer than the stored one.
    pub fn put_bundle(&mut self, bundle: &StoredBundle) -> Applied<()> {
        let staged = self.staged.bundle_revision;
        let stored = staged.unwrap_or(self.content.bundle_revision);
        if bundle.revision > stored {
            write_number(&mut self.meta, keys::BUNDLE_REVISION, bundle.revision)?;
            self.meta.insert(keys::BUNDLE, bundle.bytes.as_slice())?;
            self.staged.bundle_revision = Some(bundle.revision);
            self.staged.changed = true;
        }
        Ok(Ok(()))
    }

    /// Stores the replica set if it is newer than the stored one; requests under older sets are
    /// then refused.
    pub fn put_replica_set(&mut self, set: &ReplicaSet) -> Applied<()> {
        let known = self.replica_set().map_or(0, |set| set.version);
        if set.version > known {
            let bytes = ladderstage_wire::encode(set);
            self.meta.insert(keys::REPLICA_SET, bytes.as_slice())?;
            self.staged.replica_set = Some(set.clone());
            self.staged.changed = true;
        }
        Ok(Ok(()))
    }

    /// Retires and deletes the expired logs, and records the store's clock.
    pub fn sweep(&mut self, expired: &Expired) -> Applied<SweepReport> {
        write_number(&mut self.meta, keys::CLOCK_MS, self.now_ms)?;
        self.staged.changed = true;
        let mut report = SweepReport::default();
        for log in &expired.to_retire {
            report.retired += usize::from(self.retire(log)?);
        }
        for log in &expired.to_delete {
            report.dropped += usize::from(self.delete_log(log)?);
        }
        for log in &expired.to_unstage {
            parts::remove_all(&mut self.parts, log)?;
            self.staged.part_changes.insert(log.clone(), None);
        }
        Ok(Ok(report))
    }

    /// Deletes a log, unless a writer has changed it in the same batch. Returns whether it was
    /// deleted.
    fn delete_log(&mut self, log: &str) -> Result<bool, redb::Error> {
        if self.staged.logs.contains_key(log) {
            return Ok(false);
        }
        self.remove_entries(log, 0)?;
        parts::remove_all(&mut self.parts, log)?;
        self.logs.remove(log)?;
        self.staged.logs.insert(log.to_owned(), None);
        Ok(true)
    }

    /// Deletes all entries but the first, unless a writer has changed the log in the same batch.
    /// Returns whether the log was retired.
    fn retire(&mut self, log: &str) -> Result<bool, redb::Error> {
        if self.staged.logs.contains_key(log) {
            return Ok(false);
        }
        let mut state = self.state(log);
        self.remove_entries(log, 1)?;
        parts::remove_all(&mut self.parts, log)?;
        state.retired = true;
        self.put_state(log, state)?;
        Ok(true)
    }

    /// Checks that a request under replica set version `asked` is accepted.
    fn check_version(&self, asked: u64) -> Result<(), StorageError> {
        let accepted = replica_set::accepts(self.replica_set(), self.content.replica_id, asked);
        accepted.map_err(|refusal| match refusal {
            SetRefusal::Unknown => StorageError::NoReplicaSet,
            SetRefusal::Stale { known } => StorageError::StaleReplicaSet { asked, known },
            SetRefusal::NotAMember { known } => StorageError::NotAReplica { version: known },
        })
    }

    fn replica_set(&self) -> Option<&ReplicaSet> {
        let staged = self.staged.replica_set.as_ref();
        staged.or(self.content.replica_set.as_ref())
    }

    fn state(&self, log: &str) -> LogState {
        let record = match self.staged.logs.get(log) {
            Some(staged) => staged.as_ref(),
            None => self.content.logs.get(log),
        };
        record
            .map(|record| record.state.clone())
            .unwrap_or_default()
    }

    /// Stores the effect of a decision. If staged entries that it needs are missing, stores nothing and
    /// returns `NEEDS_INSTALL`.
    fn store(
        &mut self,
        log: &str,
        before: &LogState,
        decision: &Decision,
        written: &WrittenEntries<'_>,
    ) -> Result<Decision, redb::Error> {
        if decision.changes_nothing(before) {
            return Ok(decision.clone());
        }
        if let Some(first) = decision.entries.first_added(before.length) {
            let staged = written.staged_from(first);
            if let Some(staged) = &staged
                && !parts::is_complete(&self.parts, log, staged)?
            {
                return Ok(replica::missing_entries(before));
            }
            self.change_entries(log, first, decision.entries, written.sent, staged)?;
            if !matches!(decision.entries, EntryChange::Extend { .. }) {
                parts::remove_up_to(&mut self.parts, log, decision.state.log_epoch)?;
            }
        }
        self.put_state(log, decision.state.clone())?;
        Ok(decision.clone())
    }

    /// Applies a change that adds entries from index `first` on.
    fn change_entries(
        &mut self,
        log: &str,
        first: u64,
        change: EntryChange,
        sent: &[LogEntry],
        staged: Option<StagedEntries>,
    ) -> Result<(), redb::Error> {
        let skip = match change {
            EntryChange::Extend { skip } => skip,
            EntryChange::Keep | EntryChange::Replace | EntryChange::ReplaceFrom { .. } => {
                self.remove_entries(log, first)?;
                0
            }
        };
        let Some(staged) = staged else {
            return self.insert_entries(log, first, &sent[skip..]);
        };
        let entries = &mut self.entries;
        parts::for_each(&self.parts, log, &staged, |index, entry| {
            entries.insert((log, index), entry.payload.as_slice())?;
            Ok(())
        })?;
        parts::remove_up_to(&mut self.parts, log, staged.epoch)
    }

    fn put_state(&mut self, log: &str, state: LogState) -> Result<(), redb::Error> {
        let record = LogRecord {
            state,
            changed_at_ms: self.now_ms,
        };
        self.logs.insert(log, record.to_row())?;
        self.staged.logs.insert(log.to_owned(), Some(record));
        self.staged.changed = true;
        Ok(())
    }

    fn insert_entries(
        &mut self,
        log: &str,
        first_index: u64,
        entries: &[LogEntry],
    ) -> Result<(), redb::Error> {
        for (index, entry) in (first_index..).zip(entries) {
            self.entries
                .insert((log, index), entry.payload.as_slice())?;
        }
        Ok(())
    }

    fn remove_entries(&mut self, log: &str, first_index: u64) -> Result<(), redb::Error> {
        let range = (log, first_index)..=(log, u64::MAX);
        self.entries.retain_in(range, |_, _| false)?;
        Ok(())
    }

    fn read_entries(&self, log: &str) -> Result<Vec<LogEntry>, redb::Error> {
        read_entries(&self.entries, log)
    }
}

/// Reads all stored entries of a log.
pub(crate) fn read_entries<T>(table: &T, log: &str) -> Result<Vec<LogEntry>, redb::Error>
where
    T: ReadableTable<(&'static str, u64), &'static [u8]>,
{
    let mut entries = Vec::new();
    for row in table.range((log, 0)..=(log, u64::MAX))? {
        let (_, payload) = row?;
        entries.push(LogEntry {
            payload: payload.value().to_vec(),
        });
    }
    Ok(entries)
}

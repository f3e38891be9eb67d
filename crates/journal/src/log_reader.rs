//! Reads one log from one replica, in parts of limited size.

use std::time::Duration;

use ladderstage::journal::WriterEpoch;
use ladderstage::journal::parts::PartAssembler;
use ladderstage_wire::messages::mod_Request::OneOfkind as RequestKind;
use ladderstage_wire::messages::mod_Response::OneOfkind as ResponseKind;
use ladderstage_wire::messages::{EntryPart, LogEntry, ReadLog, ReadLogReply, ReplicaMember};

use super::calls::{ReplicaCalls, ReplicaFailure, describe_failure};

/// Timeout for reading one part of a log.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Collects the answers of one replica to reads of one log.
#[derive(Debug)]
pub(crate) struct LogParts {
    first: ReadLogReply,
    assembler: PartAssembler,
    entries: Vec<LogEntry>,
}

/// The answers of a replica do not belong to one version of the log.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("the log was changed or its answer is incomplete")]
pub(crate) struct LogChanged;

impl LogParts {
    /// Starts with the answer to [`first_request`], which has the complete log if the replica runs an
    /// earlier version.
    ///
    /// # Errors
    ///
    /// If the parts in the answer are not consecutive.
    pub fn new(mut first: ReadLogReply) -> Result<Self, LogChanged> {
        let parts = std::mem::take(&mut first.parts);
        let mut log = Self {
            entries: std::mem::take(&mut first.entries),
            assembler: PartAssembler::new(0),
            first,
        };
        log.push(&parts)?;
        Ok(log)
    }

    /// Returns the request for the next parts; `None` if the log is complete.
    pub fn next_request(&self, log: &str, part_bytes: usize) -> Option<ReadLog> {
        let position = self.assembler.position();
        (position.index < self.first.length).then(|| ReadLog {
            first_index: position.index,
            first_offset: position.offset,
            ..first_request(log, part_bytes)
        })
    }

    /// Adds an answer to [`LogParts::next_request`].
    ///
    /// # Errors
    ///
    /// If it is of another disk or of another version of the log, or has no further parts.
    pub fn add(&mut self, reply: &ReadLogReply) -> Result<(), LogChanged> {
        // Entries that the same writer has appended meanwhile are left out.
        let is_same_log = reply.replica_id == self.first.replica_id
            && WriterEpoch::from(&reply.log_epoch) == WriterEpoch::from(&self.first.log_epoch)
            && reply.retired == self.first.retired;
        if !is_same_log {
            return Err(LogChanged);
        }
        let position = self.assembler.position();
        self.push(&reply.parts)?;
        match self.assembler.position() > position {
            true => Ok(()),
            false => Err(LogChanged),
        }
    }

    /// Returns the entries, once [`LogParts::next_request`] returns `None`.
    pub fn into_entries(mut self) -> Vec<LogEntry> {
        if self.first.length > 0 {
            self.entries.truncate(self.first.length as usize);
        }
        self.entries
    }

    fn push(&mut self, parts: &[EntryPart]) -> Result<(), LogChanged> {
        for part in parts {
            let completed = self.assembler.push(part).map_err(|_| LogChanged)?;
            self.entries.extend(completed);
        }
        Ok(())
    }
}

/// Returns the size of the entries in an answer, in bytes.
pub(crate) fn reply_bytes(reply: &ReadLogReply) -> usize {
    let parts = reply.parts.iter().map(|part| part.payload.len());
    let entries = reply.entries.iter().map(|entry| entry.payload.len());
    parts.chain(entries).sum()
}

/// Returns the request for the first parts of a log.
pub(crate) fn first_request(log: &str, part_bytes: usize) -> ReadLog {
    ReadLog {
        log: log.to_owned(),
        max_bytes: part_bytes as u64,
        ..ReadLog::default()
    }
}

/// Error of reading a log from one replica.
#[derive(Debug)]
pub(crate) enum ReadError {
    /// The call failed.
    Call(ReplicaFailure),
    /// The answer is of another kind, or not the expected version of the log.
    Changed(LogChanged),
    /// The caller has no memory for the next part.
    NotAdmitted,
}

impl From<LogChanged> for ReadError {
    fn from(changed: LogChanged) -> Self {
        Self::Changed(changed)
    }
}

impl ReadError {
    /// Formats the error of a read from `member`.
    pub fn describe(&self, member: &ReplicaMember) -> String {
        match self {
            Self::Call(failure) => describe_failure(member, failure),
            Self::Changed(changed) => format!("{}: {changed}", member.node),
            Self::NotAdmitted => format!("{}: no memory for the log", member.node),
        }
    }
}

impl ReplicaCalls {
    /// Reads parts of a log from one replica.
    pub async fn read_parts(
        &self,
        member: &ReplicaMember,
        request: ReadLog,
    ) -> Result<ReadLogReply, ReadError> {
        let request = RequestKind::read_log(request);
        match self.call_within(member, request, READ_TIMEOUT).await {
            Ok(ResponseKind::read_log(reply)) => Ok(reply),
            Ok(_) => Err(LogChanged.into()),
            Err(failure) => Err(ReadError::Call(failure)),
        }
    }

    /// Reads the parts of a log that follow those in `parts` from one replica. `check` checks each answer.
    pub async fn read_rest(
        &self,
        member: &ReplicaMember,
        log: &str,
        mut parts: LogParts,
        mut check: impl FnMut(&ReadLogReply) -> Result<(), ReadError>,
    ) -> Result<Vec<LogEntry>, ReadError> {
        while let Some(request) = parts.next_request(log, self.part_bytes) {
            let reply = self.read_parts(member, request).await?;
            check(&reply)?;
            parts.add(&reply)?;
        }
        Ok(parts.into_entries())
    }
}

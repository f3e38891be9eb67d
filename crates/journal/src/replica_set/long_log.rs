//! Copy of a log that is too long for one message: its parts are staged at the receiving replica, which
//! then adds them to the log at once. A replica that held a part of a newer log in place of a complete
//! older one could lose committed entries.

use ladderstage::journal::WriterEpoch;
use ladderstage::journal::parts::LogPosition;
use ladderstage_wire::messages::{ExportedLog, ReadLog, ReadLogReply, StageEntries};

use crate::log_reader::{LogChanged, first_request};

/// Progress of the copy of one log.
#[derive(Debug)]
pub(super) struct LongLog {
    log: ExportedLog,
    /// Replica id of the source.
    source: u64,
    position: LogPosition,
    /// Number of entries that the source stores.
    length: u64,
}

impl LongLog {
    /// Starts the copy of a log that the replica `source` has exported without entries.
    pub fn new(log: ExportedLog, source: u64) -> Self {
        let length = match log.retired {
            true => log.length.min(1),
            false => log.length,
        };
        Self {
            log,
            source,
            position: LogPosition::default(),
            length,
        }
    }

    /// Returns the request to the source for the next parts; `None` once all are staged.
    pub fn next_request(&self, part_bytes: usize) -> Option<ReadLog> {
        (self.position.index < self.length).then(|| ReadLog {
            first_index: self.position.index,
            first_offset: self.position.offset,
            ..first_request(&self.log.log, part_bytes)
        })
    }

    /// Returns the request that stages the answer at a replica of set `version`.
    ///
    /// # Errors
    ///
    /// If the source has another disk or another version of the log than the exported one, or sends
    /// other parts than requested.
    pub fn stage(&mut self, reply: ReadLogReply, version: u64) -> Result<StageEntries, LogChanged> {
        let is_same_log = reply.replica_id == self.source
            && WriterEpoch::from(&reply.log_epoch) == WriterEpoch::from(&self.log.log_epoch)
            && reply.retired == self.log.retired;
        let (Some(first), Some(last)) = (reply.parts.first(), reply.parts.last()) else {
            return Err(LogChanged);
        };
        if !is_same_log || LogPosition::start_of(first) != self.position {
            return Err(LogChanged);
        }
        self.position = LogPosition::end_of(last);
        Ok(StageEntries {
            replica_set_version: version,
            log: self.log.log.clone(),
            epoch: reply.log_epoch,
            parts: reply.parts,
        })
    }

    /// Returns the log in the form in which a replica with all parts imports it.
    pub fn into_import(self) -> ExportedLog {
        ExportedLog {
            is_long: false,
            staged_length: self.length,
            ..self.log
        }
    }
}

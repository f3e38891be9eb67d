//! Rules by which a replica answers writers.
//!
//! Each function maps a log's state and a message to the changes to store and the answer. The
//! caller sends the answer only after the changes are durable.

use ladderstage_wire::messages::mod_WriteReply::Outcome;
use ladderstage_wire::messages::{
    Append, Epoch, ExportedLog, Install, KnownLog, LogDescription, LogEntry, Seal, WriteReply,
};

use super::epoch::WriterEpoch;
use super::quorum::ReplicaId;

/// State of one log at a replica, without its entries.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LogState {
    /// Promised epoch; lower epochs are refused.
    pub promised: WriterEpoch,
    /// Epoch of the writer that installed the log; the default if none did. Never above `promised`.
    pub log_epoch: WriterEpoch,
    /// Node of the promised epoch's writer.
    pub owner_node: String,
    /// Number of entries, including those no longer stored.
    pub length: u64,
    /// Whether the writer has finished the log.
    pub closed: bool,
    /// Whether only the first entry is still stored.
    pub retired: bool,
}

/// Version of a log's content. A copy with a higher version supersedes one with a lower version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ContentVersion {
    /// Epoch of the writer that installed the log.
    pub log_epoch: WriterEpoch,
    /// Whether only the first entry is still stored.
    pub retired: bool,
    /// Number of entries, including those no longer stored.
    pub length: u64,
}

impl ContentVersion {
    /// Converts to the wire form that names this version of a log as known.
    pub fn to_known(self, log: &str) -> KnownLog {
        KnownLog {
            log: log.to_owned(),
            log_epoch: self.log_epoch.to_wire(),
            length: self.length,
            retired: self.retired,
        }
    }
}

impl From<&ExportedLog> for ContentVersion {
    fn from(exported: &ExportedLog) -> Self {
        Self {
            log_epoch: WriterEpoch::from(&exported.log_epoch),
            retired: exported.retired,
            length: exported.length,
        }
    }
}

impl From<&KnownLog> for ContentVersion {
    fn from(known: &KnownLog) -> Self {
        Self {
            log_epoch: WriterEpoch::from(&known.log_epoch),
            retired: known.retired,
            length: known.length,
        }
    }
}

/// Change to the stored entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryChange {
    /// Leave the entries unchanged.
    Keep,
    /// Replace all entries with those of the message.
    Replace,
    /// Replace the entries from position `kept` on with those of the message.
    ReplaceFrom {
        /// Number of stored entries that stay.
        kept: u64,
    },
    /// Append the message's entries from position `skip` on.
    Extend {
        /// Number of the message's entries that are already stored.
        skip: usize,
    },
}

impl EntryChange {
    /// Returns the index of the first entry that is added to a log of `length` entries; `None` if the
    /// change adds none.
    pub fn first_added(self, length: u64) -> Option<u64> {
        match self {
            Self::Keep => None,
            Self::Replace => Some(0),
            Self::ReplaceFrom { kept } => Some(kept),
            Self::Extend { .. } => Some(length),
        }
    }
}

/// A replica's decision about one message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decision {
    /// Answer to send once `state` and `entries` are durable.
    pub outcome: Outcome,
    /// New state of the log.
    pub state: LogState,
    /// Change to the stored entries.
    pub entries: EntryChange,
}

impl Decision {
    /// Returns whether the decision requires no write, given the state `before` it.
    pub fn changes_nothing(&self, before: &LogState) -> bool {
        self.entries == EntryChange::Keep && self.state == *before
    }

    /// Returns the answer to an install or an append.
    pub fn write_reply(&self, replica_id: ReplicaId) -> WriteReply {
        WriteReply {
            replica_id,
            outcome: self.outcome,
            promised: self.state.promised.to_wire(),
            length: self.state.length,
        }
    }
}

impl LogState {
    /// Returns whether the log should have an active writer.
    pub fn needs_owner(&self) -> bool {
        self.length > 0 && !self.closed && !self.retired
    }

    /// Returns the version of the log's content.
    pub fn content_version(&self) -> ContentVersion {
        ContentVersion {
            log_epoch: self.log_epoch,
            retired: self.retired,
            length: self.length,
        }
    }

    /// Returns the description of the log for operators and new owners.
    pub fn describe(&self, log: &str) -> LogDescription {
        LogDescription {
            log: log.to_owned(),
            promised: self.promised.to_wire(),
            owner_node: self.owner_node.clone(),
            length: self.length,
            closed: self.closed,
            owner_silence_ms: 0,
        }
    }
}

/// Promises to refuse epochs below the message's epoch, unless a higher one has been promised. A
/// conditional message is also refused if another writer has been promised an epoch above the last
/// one that the sender knew.
pub fn seal(state: &LogState, request: &Seal) -> Decision {
    let epoch = WriterEpoch::from(&request.epoch);
    let is_superseded =
        |last: &Epoch| state.promised > WriterEpoch::from(last) && state.promised != epoch;
    if epoch < state.promised
        || epoch.is_none()
        || request.last_promised.as_ref().is_some_and(is_superseded)
    {
        return unchanged(state, Outcome::FENCED);
    }
    let mut state = state.clone();
    state.promised = epoch;
    state.owner_node = request.owner_node.clone();
    Decision {
        outcome: Outcome::STORED,
        state,
        entries: EntryChange::Keep,
    }
}

/// Replaces the log, or the part of it after entries that the replica already holds. If the epoch
/// has installed the log before, an install that would not make it longer changes nothing: it is
/// delayed or duplicated, and entries appended since may be committed.
pub fn install(state: &LogState, request: &Install) -> Decision {
    let epoch = WriterEpoch::from(&request.epoch);
    if epoch < state.promised || epoch.is_none() {
        return unchanged(state, Outcome::FENCED);
    }
    let kept = request.kept_length;
    let length = kept.saturating_add(added_length(request.staged_length, &request.entries));
    if state.log_epoch == epoch && state.length >= length {
        return unchanged(state, Outcome::STORED);
    }
    if kept > 0 && !holds(state, request, epoch) {
        return unchanged(state, Outcome::NEEDS_INSTALL);
    }
    let entries = match kept {
        0 => EntryChange::Replace,
        kept => EntryChange::ReplaceFrom { kept },
    };
    Decision {
        outcome: Outcome::STORED,
        state: LogState {
            promised: epoch,
            log_epoch: epoch,
            owner_node: request.owner_node.clone(),
            length,
            closed: false,
            retired: false,
        },
        entries,
    }
}

/// Returns whether the replica holds the entries that an install leaves out. Two logs of one epoch
/// are prefixes of what that epoch's only writer wrote, so comparing epoch and length suffices.
fn holds(state: &LogState, request: &Install, epoch: WriterEpoch) -> bool {
    let kept_epoch = WriterEpoch::from(&request.kept_epoch);
    let is_same_log = state.log_epoch == kept_epoch || state.log_epoch == epoch;
    is_same_log && state.length >= request.kept_length && !state.retired
}

/// Appends to a log that was installed under the same epoch. Entries that are already stored are
/// acknowledged again.
pub fn append(state: &LogState, request: &Append) -> Decision {
    let epoch = WriterEpoch::from(&request.epoch);
    if epoch < state.promised || epoch.is_none() {
        return unchanged(state, Outcome::FENCED);
    }
    if state.log_epoch != epoch || state.retired || request.first_index > state.length {
        return unchanged(state, Outcome::NEEDS_INSTALL);
    }
    let added = added_length(request.staged_length, &request.entries);
    let end = request.first_index.saturating_add(added);
    let mut after = state.clone();
    after.length = state.length.max(end);
    after.closed = state.closed || request.closes;
    let entries = if end > state.length {
        EntryChange::Extend {
            skip: (state.length - request.first_index) as usize,
        }
    } else {
        EntryChange::Keep
    };
    Decision {
        outcome: Outcome::STORED,
        state: after,
        entries,
    }
}

/// Returns the number of entries that a write brings. Staged entries take the place of sent ones.
pub fn added_length(staged_length: u64, sent: &[LogEntry]) -> u64 {
    match staged_length {
        0 => sent.len() as u64,
        staged_length => staged_length,
    }
}

/// Returns the decision for a write whose staged entries are not all present: the writer has to send
/// the log again.
pub fn missing_entries(state: &LogState) -> Decision {
    unchanged(state, Outcome::NEEDS_INSTALL)
}

/// Returns the decision to answer `outcome` and store nothing.
fn unchanged(state: &LogState, outcome: Outcome) -> Decision {
    Decision {
        outcome,
        state: state.clone(),
        entries: EntryChange::Keep,
    }
}

/// Removes the entries from a copy if the log `known` to the receiving replica is at least as new.
pub fn omit_known(exported: &mut ExportedLog, known: &KnownLog) {
    if ContentVersion::from(&*exported) <= ContentVersion::from(known) {
        exported.entries.clear();
        exported.is_long = false;
    }
}

/// Imports a log copied from another replica. The promise never decreases; an older copy changes
/// nothing else.
pub fn import(state: &LogState, exported: &ExportedLog) -> Decision {
    let log_epoch = WriterEpoch::from(&exported.log_epoch);
    let promised = WriterEpoch::from(&exported.promised).max(log_epoch);
    // The source omits the entries if this replica has reported a log at least as new. That log is
    // then kept, because the state of a replica never becomes older than reported.
    let stored_length = added_length(exported.staged_length, &exported.entries);
    let is_complete = !exported.is_long && (exported.retired || stored_length == exported.length);
    let is_newer = is_complete && ContentVersion::from(exported) > state.content_version();
    let mut after = state.clone();
    if promised > state.promised {
        after.promised = promised;
        after.owner_node = exported.owner_node.clone();
    }
    if is_newer {
        after.log_epoch = log_epoch;
        after.length = exported.length;
        after.closed = exported.closed;
        after.retired = exported.retired;
    }
    Decision {
        outcome: Outcome::STORED,
        state: after,
        entries: if is_newer {
            EntryChange::Replace
        } else {
            EntryChange::Keep
        },
    }
}

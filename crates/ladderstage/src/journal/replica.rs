//! The rules by which a replica answers writers.
//!
//! Each function looks at a log's state and a message and says what to store and what to answer. The caller
//! stores first and answers only once that is durable.

use ladderstage_wire::messages::mod_WriteReply::Outcome;
use ladderstage_wire::messages::{
    Append, ExportedLog, Install, KnownLog, LogDescription, Seal, WriteReply,
};

use super::epoch::WriterEpoch;
use super::quorum::ReplicaId;

/// What a replica keeps of one log besides its entries.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LogState {
    /// Lower epochs are refused.
    pub promised: WriterEpoch,
    /// Epoch whose writer installed the log; none if no writer did. Never above `promised`.
    pub log_epoch: WriterEpoch,
    /// Node of the promised epoch's writer.
    pub owner_node: String,
    /// Number of entries, also of those no longer kept.
    pub length: u64,
    /// The writer finished the log.
    pub closed: bool,
    /// Only the first entry is kept.
    pub retired: bool,
}

/// How stored entries change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryChange {
    /// They stay as they are.
    Keep,
    /// The message's entries take the place of all.
    Replace,
    /// The message's entries take the place of those from position `kept` on.
    ReplaceFrom {
        /// How many of the stored entries stay.
        kept: u64,
    },
    /// The message's entries from position `skip` on follow the stored ones.
    Extend {
        /// How many of the message's entries are already stored.
        skip: usize,
    },
}

/// A replica's decision about one message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decision {
    /// What to answer once `state` and `entries` are durable.
    pub outcome: Outcome,
    /// The log's state from now on.
    pub state: LogState,
    /// How the entries change.
    pub entries: EntryChange,
}

impl Decision {
    /// Whether nothing is to be stored.
    pub fn changes_nothing(&self, before: &LogState) -> bool {
        self.entries == EntryChange::Keep && self.state == *before
    }

    /// The answer to an install or an append.
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
    /// Whether a writer should be tending the log.
    pub fn needs_owner(&self) -> bool {
        self.length > 0 && !self.closed && !self.retired
    }

    /// What operators and new owners are told of the log.
    pub fn describe(&self, log: &str) -> LogDescription {
        LogDescription {
            log: log.to_owned(),
            promised: self.promised.to_wire(),
            owner_node: self.owner_node.clone(),
            length: self.length,
            closed: self.closed,
        }
    }
}

/// Promises to refuse epochs below the message's, unless a higher one was promised.
pub fn seal(state: &LogState, request: &Seal) -> Decision {
    let epoch = WriterEpoch::from(&request.epoch);
    if epoch < state.promised || epoch.is_none() {
        return refuse(state, Outcome::FENCED);
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

/// Replaces the log, or the part of it that follows entries which the replica holds already. Under the epoch it was already
/// installed by, a log never gets shorter: such a message was delayed or doubled, and entries appended since may be committed.
pub fn install(state: &LogState, request: &Install) -> Decision {
    let epoch = WriterEpoch::from(&request.epoch);
    if epoch < state.promised || epoch.is_none() {
        return refuse(state, Outcome::FENCED);
    }
    let kept = request.kept_length;
    let length = kept.saturating_add(request.entries.len() as u64);
    if state.log_epoch == epoch && state.length >= length {
        return refuse(state, Outcome::STORED);
    }
    if kept > 0 && !holds(state, request, epoch) {
        return refuse(state, Outcome::NEEDS_INSTALL);
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

/// Whether the replica holds the entries that an install leaves out. Two logs of one epoch are prefixes of what that epoch's
/// only writer wrote, so epoch and length decide.
fn holds(state: &LogState, request: &Install, epoch: WriterEpoch) -> bool {
    let kept_epoch = WriterEpoch::from(&request.kept_epoch);
    let is_same_log = state.log_epoch == kept_epoch || state.log_epoch == epoch;
    is_same_log && state.length >= request.kept_length && !state.retired
}

/// Appends to a log that was installed under this very epoch. Entries that are already there are acknowledged again.
pub fn append(state: &LogState, request: &Append) -> Decision {
    let epoch = WriterEpoch::from(&request.epoch);
    if epoch < state.promised || epoch.is_none() {
        return refuse(state, Outcome::FENCED);
    }
    if state.log_epoch != epoch || state.retired || request.first_index > state.length {
        return refuse(state, Outcome::NEEDS_INSTALL);
    }
    let end = request
        .first_index
        .saturating_add(request.entries.len() as u64);
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

fn refuse(state: &LogState, outcome: Outcome) -> Decision {
    Decision {
        outcome,
        state: state.clone(),
        entries: EntryChange::Keep,
    }
}

/// Whether a copy of a log takes the place of one of epoch `log_epoch` with `length` entries.
fn is_newer(exported: &ExportedLog, log_epoch: WriterEpoch, retired: bool, length: u64) -> bool {
    let exported_epoch = WriterEpoch::from(&exported.log_epoch);
    (exported_epoch, exported.retired, exported.length) > (log_epoch, retired, length)
}

/// Leaves the entries out of a copy for a replica that holds the log as `known`, which is as new.
pub fn omit_known(exported: &mut ExportedLog, known: &KnownLog) {
    let log_epoch = WriterEpoch::from(&known.log_epoch);
    if !is_newer(exported, log_epoch, known.retired, known.length) {
        exported.entries.clear();
    }
}

/// Takes in a log that was copied from another replica. Promises only rise, and an older copy changes nothing else.
pub fn import(state: &LogState, exported: &ExportedLog) -> Decision {
    let log_epoch = WriterEpoch::from(&exported.log_epoch);
    let promised = WriterEpoch::from(&exported.promised).max(log_epoch);
    // Entries are left out where this replica said that it is as new: it never holds an older state than it told.
    let is_whole = exported.retired || exported.entries.len() as u64 == exported.length;
    let is_newer = is_whole && is_newer(exported, state.log_epoch, state.retired, state.length);
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

//! A writer's view of one replica.

use ladderstage_wire::messages::StageEntries;

use super::parts::LogPosition;

/// The writer's view of one replica.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct ReplicaProgress {
    /// Number of entries held under the writer's epoch; `None` if the log must be installed first.
    pub held: Option<u64>,
    /// Number of entries of the adopted log that the replica holds or is assumed to hold; an
    /// install leaves them out.
    pub kept: u64,
    /// Entries of the next write that are being staged.
    pub staging: Option<Staging>,
    /// Whether the replica runs an earlier version, which takes no parts.
    pub refuses_parts: bool,
    pub closed: bool,
    pub fenced: bool,
}

/// Entries that are staged at a replica for one write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Staging {
    pub first: u64,
    pub end: u64,
    /// Position of the first byte that the replica has not confirmed.
    pub next: LogPosition,
}

impl Staging {
    /// Starts with the entries from index `first` up to `end`.
    pub fn new(first: u64, end: u64) -> Self {
        Self {
            first,
            end,
            next: LogPosition::at(first),
        }
    }

    /// Returns whether the replica has confirmed all parts.
    pub fn is_complete(&self) -> bool {
        self.next >= LogPosition::at(self.end)
    }
}

impl ReplicaProgress {
    /// Applies the confirmation of staged parts; `length` is the number of entries of the complete
    /// log. Confirmations that do not continue the staging are ignored.
    pub fn on_staged(&mut self, stage: &StageEntries, length: u64) {
        let (Some(start), Some(end)) = (stage.parts.first(), stage.parts.last()) else {
            return;
        };
        let first = self.held.unwrap_or(self.kept);
        let mut staging = self.staging.unwrap_or_else(|| Staging::new(first, length));
        if staging.first == first && staging.next == LogPosition::start_of(start) {
            staging.next = LogPosition::end_of(end);
            self.staging = Some(staging);
        }
    }
}

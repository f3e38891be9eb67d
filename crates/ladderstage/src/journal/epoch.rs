//! Epochs of log writers.

use ladderstage_wire::messages::Epoch;

use crate::ids::ProcessId;

/// Epoch of a writer, ordered by round, then by owner. The default is below every writer's epoch.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WriterEpoch {
    /// Raised by each new writer of a log.
    pub round: u64,
    /// Process of the writer.
    pub owner: ProcessId,
}

impl WriterEpoch {
    /// Returns whether this is the default epoch, which no writer has.
    pub fn is_none(self) -> bool {
        self == Self::default()
    }

    /// Converts to the wire form.
    pub fn to_wire(self) -> Option<Epoch> {
        Some(Epoch {
            round: self.round,
            owner: self.owner,
        })
    }
}

impl From<&Epoch> for WriterEpoch {
    fn from(epoch: &Epoch) -> Self {
        Self {
            round: epoch.round,
            owner: epoch.owner,
        }
    }
}

impl From<&Option<Epoch>> for WriterEpoch {
    fn from(epoch: &Option<Epoch>) -> Self {
        epoch.as_ref().map(Self::from).unwrap_or_default()
    }
}

/// Generates the epochs of one process. All generated epochs differ because each has its own round,
/// even when several writers of the process seal the same log.
#[derive(Debug, Clone)]
pub struct EpochSource {
    owner: ProcessId,
    highest_round: u64,
}

impl EpochSource {
    /// Creates the source of the process `owner`.
    pub fn new(owner: ProcessId) -> Self {
        Self {
            owner,
            highest_round: 0,
        }
    }

    /// Raises the next epoch above `epoch`, which a replica has promised.
    pub fn observe(&mut self, epoch: WriterEpoch) {
        self.highest_round = self.highest_round.max(epoch.round);
    }

    /// Returns an epoch above all generated and observed ones; `None` once the rounds are used up.
    pub fn next_epoch(&mut self) -> Option<WriterEpoch> {
        self.highest_round = self.highest_round.checked_add(1)?;
        Some(WriterEpoch {
            round: self.highest_round,
            owner: self.owner,
        })
    }
}

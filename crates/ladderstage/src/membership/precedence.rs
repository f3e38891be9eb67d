//! Precedence between entries of one node.

use ladderstage_wire::messages::{Member, MemberState};

use crate::ids::ProcessId;

/// Lifecycle phase of a process; never moves backwards.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Accepts work if reachable.
    Running,
    /// Planned stop in progress.
    Leaving,
    /// Planned stop finished.
    Left,
}

/// Rank of an entry among those of its node; the greatest one wins.
///
/// 1. The later process: by start time, then by process id.
/// 2. Within one process, the later phase: leaving and left are permanent, whatever the
///    incarnation.
/// 3. Within one phase, the higher incarnation, which only the member itself raises.
/// 4. Within one incarnation, dead over suspect over alive.
///
/// The order is total, and taking the greater of two entries is commutative, associative and
/// idempotent. Members that have received the same entries therefore agree, regardless of order and
/// repetition.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Precedence {
    started_unix_ms: u64,
    process: ProcessId,
    phase: Phase,
    incarnation: u64,
    suspicion_level: u8,
}

impl Precedence {
    /// Returns the rank of an entry.
    pub fn of(member: &Member) -> Self {
        let (phase, suspicion_level) = match member.state {
            MemberState::ALIVE => (Phase::Running, 0),
            MemberState::SUSPECT => (Phase::Running, 1),
            MemberState::DEAD => (Phase::Running, 2),
            MemberState::LEAVING => (Phase::Leaving, 0),
            MemberState::LEFT => (Phase::Left, 0),
        };
        Self {
            started_unix_ms: member.started_unix_ms,
            process: member.process,
            phase,
            incarnation: member.incarnation,
            suspicion_level,
        }
    }

    /// Returns the lifecycle phase of the process.
    pub fn phase(&self) -> Phase {
        self.phase
    }
}

/// Returns whether `new` replaces `known`, an entry of the same node.
pub(super) fn supersedes(new: &Member, known: &Member) -> bool {
    Precedence::of(new) > Precedence::of(known)
}

/// Returns whether `new` belongs to a later process than `known`.
pub(super) fn is_later_process(new: &Member, known: &Member) -> bool {
    let new = (new.started_unix_ms, new.process);
    new > (known.started_unix_ms, known.process)
}

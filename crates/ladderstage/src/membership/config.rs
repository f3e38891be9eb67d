//! Intervals and bounds.

use std::time::Duration;

/// Members that probe a member on behalf of one that it did not answer.
pub const INDIRECT_PROBES: usize = 3;

/// Entries that one probe or answer carries, the sender's own included.
pub const UPDATES_PER_MESSAGE: usize = 8;

/// Each update is sent this many times the logarithm of the number of members.
pub const RETRANSMIT_FACTOR: u32 = 3;

/// Between exchanges of the full state with a random member.
pub const SYNC_INTERVAL: Duration = Duration::from_secs(30);

/// Between exchanges of the full state while few members are known.
pub const JOIN_INTERVAL: Duration = Duration::from_secs(1);

/// Of this many exchanges, one goes to a seed also when many members are known, so that partitions that have
/// forgotten each other merge.
pub const SEED_SYNC_ONE_IN: u32 = 8;

/// A dead member, or one that left, is forgotten after this long.
pub const FORGET_AFTER: Duration = Duration::from_secs(3600);

/// A dead member, or one that left, is left out of full states after this long, so that members that have
/// forgotten it do not learn it again from one that is about to.
pub const SPREAD_GONE_FOR: Duration = Duration::from_secs(1800);

/// A dead member counts in the rule of isolation for this long.
pub const DEAD_COUNTS_FOR: Duration = Duration::from_secs(600);

/// At each tick, one of this many times a dead member is probed too.
pub const DEAD_PROBE_ONE_IN: u32 = 4;

/// Members probed at a tick when at least half of them are silent.
pub const PROBES_HALF_SILENT: usize = 16;

/// Members probed at a tick when at least an eighth of them are silent.
pub const PROBES_SOME_SILENT: usize = 4;

/// A member is silent when nothing was heard from it for this many rounds of probing.
pub const SILENT_ROUNDS: u32 = 3;

/// A member is not silent yet within this many times the suspicion time, however short a round is.
pub const SILENT_SUSPICIONS: u32 = 2;

/// A process this young that hears of another process of its name takes the name; an older one lets it go. So a
/// restart wins also when the machine's clock was set back, and a process that wakes from a long pause does not.
pub const CLAIM_NAME_WITHIN: Duration = Duration::from_secs(60);

/// Members known at most; news of further ones is dropped.
pub const MAX_MEMBERS: usize = 4096;

/// Longest node name in bytes.
pub const MAX_NODE_NAME_BYTES: usize = 255;

/// Intervals that the settings give.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MembershipConfig {
    /// Between ticks.
    pub probe_interval: Duration,
    /// How long a suspect member has to refute.
    pub suspicion_timeout: Duration,
    /// Addresses of the settings to join through.
    pub seeds: usize,
}

//! Intervals and limits of the membership protocol.

use std::time::Duration;

/// Number of helpers that probe a member indirectly after a missed probe.
pub const INDIRECT_PROBES: usize = 3;

/// Maximum number of entries in one probe or answer, including the sender's own.
pub const UPDATES_PER_MESSAGE: usize = 8;

/// Factor by which the logarithm of the member count is multiplied to get the number of times an
/// update is sent.
pub const RETRANSMIT_FACTOR: u32 = 3;

/// Interval between exchanges of the full state with a random member.
pub const SYNC_INTERVAL: Duration = Duration::from_secs(30);

/// Interval between exchanges of the full state while few members are known.
pub const JOIN_INTERVAL: Duration = Duration::from_secs(1);

/// One in this many exchanges goes to a seed even if many members are known, so that partitions
/// that have dropped each other merge.
pub const SEED_SYNC_ONE_IN: u32 = 8;

/// Time after which a dead member, or one that left, is dropped.
pub const REMOVE_AFTER: Duration = Duration::from_secs(3600);

/// Time after which a dead member, or one that left, is omitted from full states, so that a node
/// that has dropped it does not learn of it again.
pub const OMIT_GONE_AFTER: Duration = Duration::from_secs(1800);

/// Time during which a dead member counts in the isolation rule.
pub const DEAD_COUNTED_FOR: Duration = Duration::from_secs(600);

/// One randomly chosen dead member is probed on average once in this many ticks.
pub const DEAD_PROBE_ONE_IN: u32 = 4;

/// Number of members probed per tick if at least half of them are silent.
pub const PROBES_HALF_SILENT: usize = 16;

/// Number of members probed per tick if at least an eighth of them are silent.
pub const PROBES_SOME_SILENT: usize = 4;

/// Number of probing rounds without contact after which a member is silent.
pub const SILENT_ROUNDS: u32 = 3;

/// Minimum silence timeout as a multiple of the suspicion timeout, for short probing rounds.
pub const SILENT_SUSPICION_TIMEOUTS: u32 = 2;

/// Process age up to which a process claims its name from another process of the same name; an
/// older one yields it. A restart therefore wins even if the machine's clock was set back, and a
/// process that resumes after a long pause does not.
pub const NAME_CLAIM_WINDOW: Duration = Duration::from_secs(60);

/// Maximum number of known members; updates about further ones are dropped.
pub const MAX_MEMBERS: usize = 4096;

/// Maximum length of a node name in bytes.
pub const MAX_NODE_NAME_BYTES: usize = 255;

/// Intervals from the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MembershipConfig {
    /// Interval between ticks.
    pub probe_interval: Duration,
    /// Time that a suspect member has to refute before it counts as dead.
    pub suspicion_timeout: Duration,
    /// Number of seed addresses in the settings.
    pub seeds: usize,
}

//! What the state machine asks its owner to do.

use ladderstage_wire::messages::Member;

use crate::ids::NodeName;

/// Something to do on the network.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Ping the member. Answered: `Membership::heard_from`; not: `Membership::missed`.
    Probe {
        /// Whom to ping.
        target: Member,
    },
    /// Ask the helpers to ping the member. One reached it: `Membership::heard_from`; none: `Membership::probe_failed`.
    IndirectProbe {
        /// Whom to ping.
        target: Member,
        /// Through whom.
        helpers: Vec<Member>,
    },
    /// Exchange the full state.
    Sync {
        /// With whom.
        target: SyncTarget,
    },
}

/// Whom to exchange the full state with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SyncTarget {
    /// A known member.
    Member(NodeName),
    /// Any address of the settings' seeds.
    Seed,
}

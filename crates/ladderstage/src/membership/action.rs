//! Actions that the state machine requests from its owner.

use ladderstage_wire::messages::Member;

use crate::ids::NodeName;

/// A network operation to perform.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Ping the member. On an answer call
    /// [`Membership::record_contact`](super::Membership::record_contact), otherwise
    /// [`Membership::on_missed_probe`](super::Membership::on_missed_probe).
    Probe {
        /// Member to ping.
        target: Member,
    },
    /// Ask the helpers to ping the member. If one reached it call
    /// [`Membership::record_contact`](super::Membership::record_contact), otherwise
    /// [`Membership::on_probe_failed`](super::Membership::on_probe_failed).
    IndirectProbe {
        /// Member to ping.
        target: Member,
        /// Members that ping on behalf of this node.
        helpers: Vec<Member>,
    },
    /// Exchange the full state.
    Sync {
        /// Peer of the exchange.
        target: SyncTarget,
    },
}

/// Peer of a full-state exchange.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SyncTarget {
    /// A known member.
    Member(NodeName),
    /// Any seed address from the settings.
    Seed,
}

//! Entry of another member with this node's observations of it.

use std::net::SocketAddr;
use std::time::Duration;

use ladderstage_wire::messages::{Member, MemberState};

use super::config::MAX_NODE_NAME_BYTES;

/// Another member.
#[derive(Debug, Clone)]
pub(super) struct Entry {
    pub member: Member,
    /// Time at which this node learned of the state.
    pub since: Duration,
    /// Time of the last answer or call from this process.
    pub last_contact: Option<Duration>,
    /// Time of the first probe missed, directly and indirectly, since the last contact.
    pub missed_since: Option<Duration>,
}

impl Entry {
    pub fn new(member: Member, now: Duration) -> Self {
        Self {
            member,
            since: now,
            last_contact: None,
            missed_since: None,
        }
    }

    /// Replaces the entry with a newer one. Observations of an earlier process do not apply to a
    /// later one.
    pub fn replace(&mut self, member: Member, now: Duration) {
        let same_process = self.member.process == member.process;
        if !same_process {
            self.last_contact = None;
            self.missed_since = None;
        }
        if !same_process || self.member.state != member.state {
            self.since = now;
        }
        self.member = member;
    }

    pub fn set_state(&mut self, state: MemberState, now: Duration) {
        self.member.state = state;
        self.since = now;
    }

    /// Returns whether the member is alive, suspect or leaving.
    pub fn is_present(&self) -> bool {
        matches!(
            self.member.state,
            MemberState::ALIVE | MemberState::SUSPECT | MemberState::LEAVING
        )
    }

    /// Returns whether the member is dead or has left.
    pub fn is_gone(&self) -> bool {
        !self.is_present()
    }

    pub fn is_dead(&self) -> bool {
        self.member.state == MemberState::DEAD
    }

    /// Returns the time since this node learned of the state.
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.since)
    }

    /// Returns whether the member was never in contact, was not for longer than `bound`, or missed
    /// the last probe.
    pub fn is_silent(&self, now: Duration, bound: Duration) -> bool {
        match self.last_contact {
            Some(at) => self.missed_since.is_some() || now.saturating_sub(at) > bound,
            None => true,
        }
    }
}

/// Returns whether an entry received from another node is valid.
pub(super) fn is_well_formed(member: &Member) -> bool {
    let named = !member.node.is_empty() && member.node.len() <= MAX_NODE_NAME_BYTES;
    named && member.process != 0 && member.peer_address.parse::<SocketAddr>().is_ok()
}

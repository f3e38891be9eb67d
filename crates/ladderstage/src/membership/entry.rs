//! One other member with this node's own observations of it.

use std::net::SocketAddr;
use std::time::Duration;

use ladderstage_wire::messages::{Member, MemberState};

use super::config::MAX_NODE_NAME_BYTES;

/// One other member.
#[derive(Debug, Clone)]
pub(super) struct Entry {
    pub member: Member,
    /// When the state became known here.
    pub since: Duration,
    /// When this process last answered or called.
    pub heard: Option<Duration>,
    /// When it first missed a probe, directly and through helpers, since it was last heard.
    pub on_missed_probe: Option<Duration>,
}

impl Entry {
    pub fn new(member: Member, now: Duration) -> Self {
        Self {
            member,
            since: now,
            heard: None,
            on_missed_probe: None,
        }
    }

    /// Takes a newer entry; observations of an earlier process say nothing of a later one.
    pub fn replace(&mut self, member: Member, now: Duration) {
        let same_process = self.member.process == member.process;
        if !same_process {
            self.heard = None;
            self.on_missed_probe = None;
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

    /// Whether it still answers, as far as the others know.
    pub fn is_present(&self) -> bool {
        matches!(
            self.member.state,
            MemberState::ALIVE | MemberState::SUSPECT | MemberState::LEAVING
        )
    }

    /// Dead or left.
    pub fn is_gone(&self) -> bool {
        !self.is_present()
    }

    pub fn is_dead(&self) -> bool {
        self.member.state == MemberState::DEAD
    }

    /// How long its state has been known here.
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.since)
    }

    /// Whether nothing was heard from it for `bound`, or it missed its last probe.
    pub fn is_silent(&self, now: Duration, bound: Duration) -> bool {
        match self.heard {
            Some(heard) => self.on_missed_probe.is_some() || now.saturating_sub(heard) > bound,
            None => true,
        }
    }
}

/// Whether an entry that came from elsewhere can be used at all.
pub(super) fn is_well_formed(member: &Member) -> bool {
    let named = !member.node.is_empty() && member.node.len() <= MAX_NODE_NAME_BYTES;
    named && member.process != 0 && member.peer_address.parse::<SocketAddr>().is_ok()
}

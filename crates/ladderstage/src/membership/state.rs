//! The members known to one node.

use std::collections::BTreeMap;
use std::time::Duration;

use ladderstage_wire::messages::{Member, MemberState};

use super::MembershipConfig;
use super::config::{CLAIM_NAME_WITHIN, MAX_MEMBERS, SPREAD_GONE_FOR, UPDATES_PER_MESSAGE};
use super::entry::{Entry, is_well_formed};
use super::precedence::{Precedence, is_later_process, supersedes};
use super::updates::PendingUpdates;
use crate::ids::NodeName;

/// The members known to one node. Instants are durations since the start of its process.
///
/// Invariants: `others` never holds this node's own name; the entry of each other node has the greatest
/// [`Precedence`](super::Precedence) of all that were merged and not forgotten since; this node's own entry is
/// ALIVE, LEAVING or LEFT and only moves forward.
#[derive(Debug, Clone)]
pub struct Membership {
    pub(super) config: MembershipConfig,
    pub(super) own: Member,
    pub(super) others: BTreeMap<NodeName, Entry>,
    pub(super) updates: PendingUpdates,
    /// Members still to be probed in this round, in reverse order.
    pub(super) round: Vec<NodeName>,
    pub(super) next_sync: Duration,
    pub(super) last_tick: Duration,
}

impl Membership {
    /// A node that knows only itself. `own` should be ALIVE.
    pub fn new(own: Member, config: MembershipConfig) -> Self {
        let mut updates = PendingUpdates::default();
        updates.changed(&own.node);
        Self {
            config,
            own,
            others: BTreeMap::new(),
            updates,
            round: Vec::new(),
            next_sync: Duration::ZERO,
            last_tick: Duration::ZERO,
        }
    }

    /// This node's own entry.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// All members, this node included, sorted by name.
    pub fn all(&self) -> Vec<Member> {
        let others = self.others.values().map(|entry| entry.member.clone());
        let mut members: Vec<_> = others.chain([self.own.clone()]).collect();
        members.sort_by(|finish_leaving, right| finish_leaving.node.cmp(&right.node));
        members
    }

    /// The entry of a node, this one included.
    pub fn find(&self, node: &str) -> Option<&Member> {
        if node == self.own.node {
            return Some(&self.own);
        }
        self.others.get(node).map(|entry| &entry.member)
    }

    /// The member answered or called.
    pub fn record_contact(&mut self, node: &str, now: Duration) {
        if let Some(entry) = self.others.get_mut(node) {
            entry.heard = Some(now);
            entry.on_missed_probe = None;
        }
    }

    /// Takes entries from another node. Returns how many were news.
    pub fn merge(&mut self, members: Vec<Member>, now: Duration) -> usize {
        let mut news = 0;
        for member in members {
            if is_well_formed(&member) && self.merge_one(member, now) {
                news += 1;
            }
        }
        news
    }

    /// Entries to send along with a message to `peer`: this node's own, the peer's if others doubt it (so that it can
    /// refute), then the latest news.
    pub fn updates_for(&mut self, peer: &str) -> Vec<Member> {
        let mut nodes = vec![self.own.node.clone()];
        let doubted = |entry: &&Entry| entry.member.state != MemberState::ALIVE;
        if self.others.get(peer).filter(doubted).is_some() {
            nodes.push(peer.to_owned());
        }
        let room = UPDATES_PER_MESSAGE - nodes.len();
        let members = self.others.len() + 1;
        for node in self.updates.pick(room, members) {
            if !nodes.contains(&node) {
                nodes.push(node);
            }
        }
        nodes
            .iter()
            .filter_map(|node| self.find(node))
            .cloned()
            .collect()
    }

    /// Entries for an exchange of the full state; members gone for long are left out.
    pub fn full_state(&self, now: Duration) -> Vec<Member> {
        let spread = |entry: &&Entry| entry.is_present() || entry.age(now) < SPREAD_GONE_FOR;
        let others = self.others.values().filter(spread);
        let others = others.map(|entry| entry.member.clone());
        [self.own.clone()].into_iter().chain(others).collect()
    }

    /// Changes the replica id that this node tells.
    pub fn set_replica_id(&mut self, replica_id: u64) {
        if self.own.replica_id != replica_id {
            self.own.replica_id = replica_id;
            self.raise_incarnation(self.own.incarnation);
        }
    }

    /// Changes the address for callers that this node tells.
    pub fn set_http_address(&mut self, http_address: String) {
        if self.own.http_address != http_address {
            self.own.http_address = http_address;
            self.raise_incarnation(self.own.incarnation);
        }
    }

    /// This process starts its planned stop. There is no way back for it.
    pub fn start_leaving(&mut self) {
        self.leave_as(MemberState::LEAVING);
    }

    /// This process has ended its planned stop.
    pub fn finish_leaving(&mut self) {
        self.leave_as(MemberState::LEFT);
    }

    /// Members besides this node that are not dead and have not left.
    pub(super) fn present(&self) -> impl Iterator<Item = &Entry> {
        self.others.values().filter(|entry| entry.is_present())
    }

    pub(super) fn present_names(&self) -> impl Iterator<Item = NodeName> {
        self.present().map(|entry| entry.member.node.clone())
    }

    fn leave_as(&mut self, state: MemberState) {
        let mut leaving = self.own.clone();
        leaving.state = state;
        if supersedes(&leaving, &self.own) {
            self.own = leaving;
            self.updates.changed(&self.own.node);
        }
    }

    fn merge_one(&mut self, member: Member, now: Duration) -> bool {
        if member.node == self.own.node {
            return self.hear_of_self(&member, now);
        }
        let node = member.node.clone();
        let has_room = self.others.len() < MAX_MEMBERS;
        match self.others.get_mut(&node) {
            Some(entry) if supersedes(&member, &entry.member) => entry.replace(member, now),
            None if has_room => {
                self.others.insert(node.clone(), Entry::new(member, now));
            }
            _ => return false,
        }
        self.updates.changed(&node);
        true
    }

    /// Refutes what others say wrongly of this process, and takes its name from an earlier process.
    fn hear_of_self(&mut self, said: &Member, now: Duration) -> bool {
        if said.process != self.own.process {
            let takes_name = is_later_process(said, &self.own) && now < CLAIM_NAME_WITHIN;
            if takes_name {
                self.own.started_unix_ms = said.started_unix_ms.saturating_add(1);
                self.updates.changed(&self.own.node);
            }
            return takes_name;
        }
        let is_doubt = supersedes(said, &self.own);
        // A stop is never refuted: others may count a silent leaving process as left.
        let can_refute = Precedence::of(said).phase() <= Precedence::of(&self.own).phase();
        if is_doubt && can_refute {
            self.raise_incarnation(said.incarnation);
        }
        is_doubt && can_refute
    }

    /// Puts this node's entry above everything that was said of it up to `incarnation`.
    fn raise_incarnation(&mut self, incarnation: u64) {
        let highest = incarnation.max(self.own.incarnation);
        self.own.incarnation = highest.saturating_add(1);
        self.updates.changed(&self.own.node);
    }
}

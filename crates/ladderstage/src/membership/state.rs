//! State of the membership protocol at one node.

use std::collections::BTreeMap;
use std::time::Duration;

use ladderstage_wire::messages::{Member, MemberState};

use super::MembershipConfig;
use super::config::{MAX_MEMBERS, NAME_CLAIM_WINDOW, OMIT_GONE_AFTER, UPDATES_PER_MESSAGE};
use super::entry::{Entry, is_well_formed};
use super::precedence::{Precedence, is_later_process, supersedes};
use super::updates::PendingUpdates;
use crate::ids::NodeName;

/// Members known to one node. Instants are durations since the start of its process.
///
/// Invariants: `others` never contains this node's own name; for each other node it holds the entry
/// with the greatest [`Precedence`] merged since the node was last dropped; this node's own state
/// is ALIVE, LEAVING or LEFT and never moves back.
#[derive(Debug, Clone)]
pub struct Membership {
    pub(super) config: MembershipConfig,
    pub(super) own: Member,
    pub(super) others: BTreeMap<NodeName, Entry>,
    pub(super) updates: PendingUpdates,
    /// Members still to probe in this round, in reverse order.
    pub(super) probe_queue: Vec<NodeName>,
    pub(super) next_sync: Duration,
    pub(super) last_tick: Duration,
}

impl Membership {
    /// Creates the state of a node that knows only itself. `own` must be ALIVE.
    pub fn new(own: Member, config: MembershipConfig) -> Self {
        let mut updates = PendingUpdates::default();
        updates.mark_changed(&own.node);
        Self {
            config,
            own,
            others: BTreeMap::new(),
            updates,
            probe_queue: Vec::new(),
            next_sync: Duration::ZERO,
            last_tick: Duration::ZERO,
        }
    }

    /// Returns this node's own entry.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Returns all members including this node, sorted by name.
    pub fn all(&self) -> Vec<Member> {
        let others = self.others.values().map(|entry| entry.member.clone());
        let mut members: Vec<_> = others.chain([self.own.clone()]).collect();
        members.sort_by(|a, b| a.node.cmp(&b.node));
        members
    }

    /// Returns the entry of a node, which may be this one.
    pub fn find(&self, node: &str) -> Option<&Member> {
        if node == self.own.node {
            return Some(&self.own);
        }
        self.others.get(node).map(|entry| &entry.member)
    }

    /// Records that the member answered or called.
    pub fn record_contact(&mut self, node: &str, now: Duration) {
        if let Some(entry) = self.others.get_mut(node) {
            entry.last_contact = Some(now);
            entry.missed_since = None;
        }
    }

    /// Merges entries from another node. Returns the number of entries that changed the state.
    pub fn merge(&mut self, members: Vec<Member>, now: Duration) -> usize {
        let mut applied = 0;
        for member in members {
            if is_well_formed(&member) && self.merge_one(member, now) {
                applied += 1;
            }
        }
        applied
    }

    /// Returns the entries to send with a message to `peer`: this node's own, the peer's if it is
    /// not alive (so that the peer can refute), then the most recent updates.
    pub fn updates_for(&mut self, peer: &str) -> Vec<Member> {
        let mut nodes = vec![self.own.node.clone()];
        let is_not_alive = |entry: &&Entry| entry.member.state != MemberState::ALIVE;
        if self.others.get(peer).filter(is_not_alive).is_some() {
            nodes.push(peer.to_owned());
        }
        let free_slots = UPDATES_PER_MESSAGE - nodes.len();
        let members = self.others.len() + 1;
        for node in self.updates.pick(free_slots, members) {
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

    /// Returns the entries for an exchange of the full state; members that have
    /// been dead or left for `OMIT_GONE_AFTER` are omitted.
    pub fn full_state(&self, now: Duration) -> Vec<Member> {
        let is_shared = |entry: &&Entry| entry.is_present() || entry.age(now) < OMIT_GONE_AFTER;
        let others = self.others.values().filter(is_shared);
        let others = others.map(|entry| entry.member.clone());
        [self.own.clone()].into_iter().chain(others).collect()
    }

    /// Changes the replica id that this node announces.
    pub fn set_replica_id(&mut self, replica_id: u64) {
        if self.own.replica_id != replica_id {
            self.own.replica_id = replica_id;
            self.raise_incarnation(self.own.incarnation);
        }
    }

    /// Changes the HTTP address that this node announces.
    pub fn set_http_address(&mut self, http_address: String) {
        if self.own.http_address != http_address {
            self.own.http_address = http_address;
            self.raise_incarnation(self.own.incarnation);
        }
    }

    /// Starts the planned stop of this process, which cannot be undone.
    pub fn start_leaving(&mut self) {
        self.advance_own_state(MemberState::LEAVING);
    }

    /// Marks the planned stop of this process as finished.
    pub fn finish_leaving(&mut self) {
        self.advance_own_state(MemberState::LEFT);
    }

    /// Returns the other members that are not dead and have not left.
    pub(super) fn present(&self) -> impl Iterator<Item = &Entry> {
        self.others.values().filter(|entry| entry.is_present())
    }

    pub(super) fn present_names(&self) -> impl Iterator<Item = NodeName> {
        self.present().map(|entry| entry.member.node.clone())
    }

    fn advance_own_state(&mut self, state: MemberState) {
        let mut leaving = self.own.clone();
        leaving.state = state;
        if supersedes(&leaving, &self.own) {
            self.own = leaving;
            self.updates.mark_changed(&self.own.node);
        }
    }

    fn merge_one(&mut self, member: Member, now: Duration) -> bool {
        if member.node == self.own.node {
            return self.merge_own_entry(&member, now);
        }
        let node = member.node.clone();
        let has_capacity = self.others.len() < MAX_MEMBERS;
        match self.others.get_mut(&node) {
            Some(entry) if supersedes(&member, &entry.member) => entry.replace(member, now),
            None if has_capacity => {
                self.others.insert(node.clone(), Entry::new(member, now));
            }
            _ => return false,
        }
        self.updates.mark_changed(&node);
        true
    }

    /// Merges an entry about this node: refutes wrong states of this process. If the entry is of a
    /// later process, this process claims the name by raising its own start time, unless it has
    /// run for `NAME_CLAIM_WINDOW`.
    fn merge_own_entry(&mut self, update: &Member, now: Duration) -> bool {
        if update.process != self.own.process {
            let claims_name = is_later_process(update, &self.own) && now < NAME_CLAIM_WINDOW;
            if claims_name {
                self.own.started_unix_ms = update.started_unix_ms.saturating_add(1);
                self.updates.mark_changed(&self.own.node);
            }
            return claims_name;
        }
        let contradicts = supersedes(update, &self.own);
        // An entry of a later phase is not refuted: other members may mark a silent LEAVING process
        // as LEFT.
        let can_refute = Precedence::of(update).phase() <= Precedence::of(&self.own).phase();
        if contradicts && can_refute {
            self.raise_incarnation(update.incarnation);
        }
        contradicts && can_refute
    }

    /// Raises this node's entry above all entries up to `incarnation`.
    fn raise_incarnation(&mut self, incarnation: u64) {
        let highest = incarnation.max(self.own.incarnation);
        self.own.incarnation = highest.saturating_add(1);
        self.updates.mark_changed(&self.own.node);
    }
}

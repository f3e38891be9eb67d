//! Probing of members, and the timeouts by which they are suspected, declared dead and dropped.

use std::time::Duration;

use ladderstage_wire::messages::{Member, MemberState};
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, RngExt};

use super::config::{
    DEAD_PROBE_ONE_IN, INDIRECT_PROBES, JOIN_INTERVAL, PROBES_HALF_SILENT, PROBES_SOME_SILENT,
    REMOVE_AFTER, SEED_SYNC_ONE_IN, SYNC_INTERVAL,
};
use super::entry::Entry;
use super::{Action, Membership, SyncTarget};
use crate::ids::NodeName;

impl Membership {
    /// Advances time and returns the actions that are due. Call about every `probe_interval`.
    pub fn tick<R: Rng + ?Sized>(&mut self, now: Duration, random: &mut R) -> Vec<Action> {
        self.restart_timers_after_own_pause(now);
        self.expire_suspicions(now);
        self.remove_expired(now);
        let mut actions = self.probes(now, random);
        actions.extend(self.dead_probe(random));
        actions.extend(self.sync(now, random));
        actions
    }

    /// Handles a member's missing answer to a ping. Returns an indirect probe; if there are no
    /// helpers, the probe has failed. Members that are dead or have left are not probed indirectly.
    pub fn on_missed_probe<R: Rng + ?Sized>(
        &mut self,
        target: &Member,
        now: Duration,
        random: &mut R,
    ) -> Option<Action> {
        let known = self.others.get(&target.node);
        if known.is_none_or(Entry::is_gone) {
            return None;
        }
        let helpers: Vec<_> = self
            .present()
            .filter(|entry| entry.member.node != target.node)
            .map(|entry| &entry.member)
            .collect();
        let helpers: Vec<_> = helpers
            .sample(random, INDIRECT_PROBES)
            .map(|member| (*member).clone())
            .collect();
        if helpers.is_empty() {
            self.on_probe_failed(target, now);
            return None;
        }
        let target = target.clone();
        Some(Action::IndirectProbe { target, helpers })
    }

    /// Handles a member that was reached neither directly nor indirectly. An alive member becomes
    /// suspect; a leaving one counts as left after the same timeout.
    pub fn on_probe_failed(&mut self, target: &Member, now: Duration) {
        let Some(entry) = self.others.get_mut(&target.node) else {
            return;
        };
        if entry.member.process != target.process {
            return;
        }
        entry.missed_since.get_or_insert(now);
        // A refutation received meanwhile takes precedence.
        if entry.member.state == MemberState::ALIVE
            && entry.member.incarnation == target.incarnation
        {
            entry.set_state(MemberState::SUSPECT, now);
            self.updates.mark_changed(&target.node);
        }
    }

    /// Restarts all suspicion timeouts if this process was paused for at least half of one, because
    /// it cannot have received refutations during the pause.
    fn restart_timers_after_own_pause(&mut self, now: Duration) {
        let pause = now.saturating_sub(self.last_tick);
        self.last_tick = now;
        if pause < self.config.suspicion_timeout / 2 {
            return;
        }
        for entry in self.others.values_mut().filter(|entry| entry.is_present()) {
            entry.since = now;
            entry.missed_since = entry.missed_since.map(|_| now);
        }
    }

    fn expire_suspicions(&mut self, now: Duration) {
        let timeout = self.config.suspicion_timeout;
        for (node, entry) in &mut self.others {
            let missed_for = entry.missed_since.map(|since| now.saturating_sub(since));
            let state = match entry.member.state {
                MemberState::SUSPECT if entry.age(now) >= timeout => MemberState::DEAD,
                MemberState::LEAVING if missed_for >= Some(timeout) => MemberState::LEFT,
                _ => continue,
            };
            entry.set_state(state, now);
            self.updates.mark_changed(node);
        }
    }

    fn remove_expired(&mut self, now: Duration) {
        let is_expired = |entry: &Entry| entry.is_gone() && entry.age(now) >= REMOVE_AFTER;
        for (node, _) in self.others.iter().filter(|(_, entry)| is_expired(entry)) {
            self.updates.discard(node);
        }
        self.others.retain(|_, entry| !is_expired(entry));
    }

    fn probes<R: Rng + ?Sized>(&mut self, now: Duration, random: &mut R) -> Vec<Action> {
        let count = self.probes_due(now);
        let mut targets: Vec<Member> = Vec::new();
        while targets.len() < count {
            let Some(target) = self.next_target(random) else {
                break;
            };
            if targets.iter().any(|chosen| chosen.node == target.node) {
                break;
            }
            targets.push(target);
        }
        targets
            .into_iter()
            .map(|target| Action::Probe { target })
            .collect()
    }

    /// Returns the number of members to probe now. It grows with the share of silent members, so
    /// that isolation and its end are detected soon.
    fn probes_due(&self, now: Duration) -> usize {
        let bound = self.silence_timeout();
        let present = self.present().count();
        let silent = self
            .present()
            .filter(|entry| entry.is_silent(now, bound))
            .count();
        match silent {
            0 => 1,
            silent if silent * 2 >= present => PROBES_HALF_SILENT,
            silent if silent * 8 >= present => PROBES_SOME_SILENT,
            _ => 1,
        }
    }

    /// Returns the next member of the round; each round is shuffled again.
    fn next_target<R: Rng + ?Sized>(&mut self, random: &mut R) -> Option<Member> {
        if self.probe_queue.is_empty() {
            let mut probe_queue: Vec<NodeName> = self.present_names().collect();
            probe_queue.shuffle(random);
            self.probe_queue = probe_queue;
        }
        while let Some(node) = self.probe_queue.pop() {
            if let Some(entry) = self.others.get(&node)
                && entry.is_present()
            {
                return Some(entry.member.clone());
            }
        }
        None
    }

    /// Probes a random dead member in some ticks, and in every tick if no other member is present,
    /// so that healed partitions merge.
    fn dead_probe<R: Rng + ?Sized>(&self, random: &mut R) -> Option<Action> {
        let alone = self.present().next().is_none();
        if !alone && random.random_range(0..DEAD_PROBE_ONE_IN) != 0 {
            return None;
        }
        let dead: Vec<_> = self
            .others
            .values()
            .filter(|entry| entry.is_dead())
            .collect();
        let target = dead.choose(random)?.member.clone();
        Some(Action::Probe { target })
    }

    fn sync<R: Rng + ?Sized>(&mut self, now: Duration, random: &mut R) -> Option<Action> {
        if now < self.next_sync {
            return None;
        }
        let present: Vec<_> = self.present_names().collect();
        let joining = present.len() < self.config.seeds || present.is_empty();
        let interval = if joining {
            JOIN_INTERVAL
        } else {
            SYNC_INTERVAL
        };
        self.next_sync = now + interval.mul_f64(random.random_range(0.75..1.25));
        let prefers_seed = joining || random.random_range(0..SEED_SYNC_ONE_IN) == 0;
        let target = match present.choose(random) {
            _ if prefers_seed && self.config.seeds > 0 => SyncTarget::Seed,
            Some(node) => SyncTarget::Member(node.clone()),
            None => return None,
        };
        Some(Action::Sync { target })
    }
}

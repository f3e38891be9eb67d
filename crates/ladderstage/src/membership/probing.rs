//! Which members are probed, suspected, given up and forgotten, and when.

use std::time::Duration;

use ladderstage_wire::messages::{Member, MemberState};
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, RngExt};

use super::config::{
    DEAD_PROBE_ONE_IN, FORGET_AFTER, INDIRECT_PROBES, JOIN_INTERVAL, PROBES_HALF_SILENT,
    PROBES_SOME_SILENT, SEED_SYNC_ONE_IN, SYNC_INTERVAL,
};
use super::entry::Entry;
use super::{Action, Membership, SyncTarget};
use crate::ids::NodeName;

impl Membership {
    /// Lets time pass; call it about every `probe_interval`. Returns what to do now.
    pub fn tick<R: Rng + ?Sized>(&mut self, now: Duration, random: &mut R) -> Vec<Action> {
        self.excuse_own_pause(now);
        self.expire_suspicions(now);
        self.forget_gone(now);
        let mut actions = self.probes(now, random);
        actions.extend(self.dead_probe(random));
        actions.extend(self.sync(now, random));
        actions
    }

    /// The member did not answer a ping: ask others to try, or, with no others, the probe has failed. A member that
    /// is dead or has left anyway is not asked after.
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

    /// The member was reached neither directly nor through others. An alive one is suspected from now on; a
    /// leaving one is given the same time and then counts as left.
    pub fn on_probe_failed(&mut self, target: &Member, now: Duration) {
        let Some(entry) = self.others.get_mut(&target.node) else {
            return;
        };
        if entry.member.process != target.process {
            return;
        }
        entry.on_missed_probe.get_or_insert(now);
        // A refutation that came meanwhile stands.
        if entry.member.state == MemberState::ALIVE
            && entry.member.incarnation == target.incarnation
        {
            entry.set_state(MemberState::SUSPECT, now);
            self.updates.changed(&target.node);
        }
    }

    /// A process that slept itself has heard no refutations: suspicions start anew.
    fn excuse_own_pause(&mut self, now: Duration) {
        let pause = now.saturating_sub(self.last_tick);
        self.last_tick = now;
        if pause < self.config.suspicion_timeout / 2 {
            return;
        }
        for entry in self.others.values_mut().filter(|entry| entry.is_present()) {
            entry.since = now;
            entry.on_missed_probe = entry.on_missed_probe.map(|_| now);
        }
    }

    fn expire_suspicions(&mut self, now: Duration) {
        let patience = self.config.suspicion_timeout;
        for (node, entry) in &mut self.others {
            let missed_for = entry
                .on_missed_probe
                .map(|on_missed_probe| now.saturating_sub(on_missed_probe));
            let state = match entry.member.state {
                MemberState::SUSPECT if entry.age(now) >= patience => MemberState::DEAD,
                MemberState::LEAVING if missed_for >= Some(patience) => MemberState::LEFT,
                _ => continue,
            };
            entry.set_state(state, now);
            self.updates.changed(node);
        }
    }

    fn forget_gone(&mut self, now: Duration) {
        let forgotten = |entry: &Entry| entry.is_gone() && entry.age(now) >= FORGET_AFTER;
        for (node, _) in self.others.iter().filter(|(_, entry)| forgotten(entry)) {
            self.updates.forget(node);
        }
        self.others.retain(|_, entry| !forgotten(entry));
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

    /// More probes the more members are silent, so that isolation and its end show soon.
    fn probes_due(&self, now: Duration) -> usize {
        let bound = self.silence_bound();
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

    /// The next member of the round; each round is shuffled anew.
    fn next_target<R: Rng + ?Sized>(&mut self, random: &mut R) -> Option<Member> {
        if self.round.is_empty() {
            let mut round: Vec<NodeName> = self.present_names().collect();
            round.shuffle(random);
            self.round = round;
        }
        while let Some(node) = self.round.pop() {
            if let Some(entry) = self.others.get(&node)
                && entry.is_present()
            {
                return Some(entry.member.clone());
            }
        }
        None
    }

    /// Now and then one dead member, always if nobody else is left, so that healed partitions merge.
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

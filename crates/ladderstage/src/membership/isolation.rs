//! Whether this node is cut off from its region.

use std::time::Duration;

use super::Membership;
use super::config::{DEAD_COUNTS_FOR, SILENT_ROUNDS, SILENT_SUSPICIONS};
use super::entry::Entry;

impl Membership {
    /// Whether this node should take no new work because it is cut off from its region.
    ///
    /// Counted are the members of its region: itself, those that are alive, suspect or leaving, and for
    /// ten minutes (`DEAD_COUNTS_FOR`) those found dead; not those that left as planned. It is isolated when
    /// others are counted and fewer than a majority of the counted, itself included, are reachable. A member is
    /// reachable if it answered or called within [`silence_bound`](Self::silence_bound) and has not missed a probe
    /// (directly and through helpers) since.
    pub fn is_isolated(&self, now: Duration) -> bool {
        let bound = self.silence_bound();
        let counted: Vec<_> = self.counted_in_region(now).collect();
        let reachable = counted
            .iter()
            .filter(|entry| !entry.is_silent(now, bound))
            .count();
        let members = counted.len() + 1;
        let majority = members / 2 + 1;
        members > 1 && reachable + 1 < majority
    }

    /// How long a member may say nothing before it counts as silent: three rounds of probing, and at least twice the
    /// suspicion time.
    pub fn silence_bound(&self) -> Duration {
        let others = self.present().count().max(1) as u32;
        let round = self.config.probe_interval * others;
        let shortest = self.config.suspicion_timeout * SILENT_SUSPICIONS;
        shortest.max(round * SILENT_ROUNDS)
    }

    fn counted_in_region(&self, now: Duration) -> impl Iterator<Item = &Entry> {
        self.others
            .values()
            .filter(|entry| entry.member.region == self.own.region)
            .filter(move |entry| counts(entry, now))
    }
}

fn counts(entry: &Entry, now: Duration) -> bool {
    entry.is_present() || entry.is_dead() && entry.age(now) < DEAD_COUNTS_FOR
}

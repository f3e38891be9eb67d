//! Detects whether this node is partitioned from its region.

use std::time::Duration;

use super::Membership;
use super::config::{DEAD_COUNTED_FOR, SILENT_ROUNDS, SILENT_SUSPICION_TIMEOUTS};
use super::entry::Entry;

impl Membership {
    /// Returns whether this node should accept no new work because it is partitioned from its
    /// region.
    ///
    /// The rule counts this node and the members of its region that are alive, suspect, leaving, or
    /// dead for less than ten minutes (`DEAD_COUNTED_FOR`); members that left as planned do not
    /// count. The node is isolated if it counts other members and fewer than a majority, including
    /// itself, are reachable. A member is reachable if it answered or called within
    /// [`silence_timeout`](Self::silence_timeout) and has not missed a probe (directly and
    /// indirectly) since.
    pub fn is_isolated(&self, now: Duration) -> bool {
        let bound = self.silence_timeout();
        let counted: Vec<_> = self.counted_in_region(now).collect();
        let reachable = counted
            .iter()
            .filter(|entry| !entry.is_silent(now, bound))
            .count();
        let members = counted.len() + 1;
        let majority = members / 2 + 1;
        members > 1 && reachable + 1 < majority
    }

    /// Returns the time without contact after which a member counts as silent: three rounds of
    /// probing, and at least twice the suspicion timeout.
    pub fn silence_timeout(&self) -> Duration {
        let others = self.present().count().max(1) as u32;
        let round = self.config.probe_interval * others;
        let min_timeout = self.config.suspicion_timeout * SILENT_SUSPICION_TIMEOUTS;
        min_timeout.max(round * SILENT_ROUNDS)
    }

    fn counted_in_region(&self, now: Duration) -> impl Iterator<Item = &Entry> {
        self.others
            .values()
            .filter(|entry| entry.member.region == self.own.region)
            .filter(move |entry| counts(entry, now))
    }
}

fn counts(entry: &Entry, now: Duration) -> bool {
    entry.is_present() || entry.is_dead() && entry.age(now) < DEAD_COUNTED_FOR
}

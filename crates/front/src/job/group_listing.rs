//! When the results of a trainer's step are listed: by whole groups, a few at a time.
//!
//! A trainer waits for whole groups, and reads about twice a second. A read that finds a result is answered at once, and the trainer
//! looks again half a second later; one that finds none is held, and tells what comes at the moment it comes. Results that are
//! listed one by one as they end keep the trainer in its pauses: it noticed the last group that it waits for 0.75 s late (mean of
//! 31 steps of a calm run, by the logs' times of that group's last text and of the job's end). Listed by groups, that group
//! meets a read that is held.

use std::collections::HashMap;
use std::time::Duration;

use ladderstage_clock::Instant;
use ladderstage_wire::messages::JobSpec;

/// Longest time that a whole group waits for others: as long as a read is held at most, so that a trainer who reads all the time has
/// news of each group one read later.
const MAX_GROUP_WAIT: Duration = Duration::from_secs(1);

/// Kept back from the time when results are due: their commit and one read.
const DUE_MARGIN: Duration = Duration::from_millis(150);

/// Groups of one step.
#[derive(Debug, Default)]
pub struct GroupListing {
    /// Group of each item.
    groups: Vec<usize>,
    /// Items without a result, by group.
    missing: Vec<usize>,
    /// Items that have a result which is not listed yet, by group.
    held: HashMap<usize, Vec<usize>>,
    /// Groups that the trainer waits for.
    desired: usize,
    /// Groups whose items all have results.
    complete_groups: usize,
    /// When the first of the whole groups that are not listed became whole.
    complete_since: Option<Instant>,
    /// From this time on results are listed as they come; `None`: no groups are waited for at all.
    due: Option<Instant>,
}

impl GroupListing {
    /// The groups of a job; `is_listed` tells of items that have results in its log. Results are due at `due`; without one, or if the
    /// job is no step of a trainer, each is listed as it comes.
    pub fn new(spec: &JobSpec, due: Option<Instant>, is_listed: impl Fn(&str) -> bool) -> Self {
        let desired = spec.desired_groups as usize;
        let mut listing = Self {
            desired,
            due: due
                .filter(|_| desired > 0)
                .and_then(|due| due.checked_sub(DUE_MARGIN)),
            ..Self::default()
        };
        let mut numbers = HashMap::<&str, usize>::new();
        for item in &spec.items {
            let next = numbers.len();
            let group = *numbers.entry(item.group.as_str()).or_insert(next);
            listing.groups.push(group);
            listing.missing.resize(numbers.len(), 0);
            if !is_listed(&item.id) {
                listing.missing[group] += 1;
            }
        }
        listing.complete_groups = listing.missing.iter().filter(|count| **count == 0).count();
        listing
    }

    /// Notes that an item has a result now.
    pub fn add_result(&mut self, index: usize, now: Instant) {
        let Some(group) = self.groups.get(index).copied() else {
            return;
        };
        self.held.entry(group).or_default().push(index);
        let missing = &mut self.missing[group];
        *missing = missing.saturating_sub(1);
        if *missing == 0 {
            self.complete_groups += 1;
            self.complete_since.get_or_insert(now);
        }
    }

    /// Takes the items whose results are to be listed now.
    pub fn drain_ready(&mut self, now: Instant) -> Vec<usize> {
        if self.due.is_none_or(|due| now >= due) {
            self.complete_since = None;
            return self.held.drain().flat_map(|(_, items)| items).collect();
        }
        let is_enough = self.complete_groups >= self.desired;
        let has_waited = self.list_at().is_some_and(|at| now >= at);
        if !is_enough && !has_waited {
            return Vec::new();
        }
        self.complete_since = None;
        let missing = &self.missing;
        let mut ready = Vec::new();
        self.held.retain(|group, items| {
            let is_complete = missing[*group] == 0;
            if is_complete {
                ready.append(items);
            }
            !is_complete
        });
        ready
    }

    /// When results are to be listed at the latest; `None` while there are none.
    pub fn list_at(&self) -> Option<Instant> {
        let due = self.due.filter(|_| !self.held.is_empty());
        let wait_ends = self.complete_since.map(|since| since + MAX_GROUP_WAIT);
        match (due, wait_ends) {
            (Some(due), Some(wait_ends)) => Some(due.min(wait_ends)),
            (due, wait_ends) => due.or(wait_ends),
        }
    }
}

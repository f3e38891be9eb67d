//! Decides when the results of a trainer's step are listed, that is, written to the job's log, from
//! where readers receive them.
//!
//! A trainer polls about twice a second. A read that finds a new result returns at once, and the
//! trainer then pauses; a read that finds none blocks until the next result. If results were listed
//! one by one, the trainer would often be in a pause when the last required group is complete.
//! Results are therefore listed by complete groups, so that a blocked read returns at that time.

use std::collections::HashMap;
use std::time::Duration;

use ladderstage_clock::Instant;
use ladderstage_wire::messages::JobSpec;

/// Maximum time for which a complete group waits for others; equals the longest blocking read.
const MAX_GROUP_WAIT: Duration = Duration::from_secs(1);

/// Time between the first unconditional listing and the due time, for a commit and one read.
const DUE_MARGIN: Duration = Duration::from_millis(150);

/// Listing state of the groups of one step.
#[derive(Debug, Default)]
pub struct GroupListing {
    /// Group of each item.
    groups: Vec<usize>,
    /// Number of items without a result, by group.
    missing: Vec<usize>,
    /// Items with results that are not listed yet, by group.
    unlisted: HashMap<usize, Vec<usize>>,
    /// Number of groups that the trainer requires.
    desired: usize,
    /// Number of groups in which all items have results.
    complete_groups: usize,
    /// Time at which the first unlisted group became complete.
    complete_since: Option<Instant>,
    /// Time from which results are listed as they arrive; `None` if all are listed as they arrive.
    due: Option<Instant>,
}

impl GroupListing {
    /// Creates the listing state of a job; `is_listed` returns whether the job's log has the result
    /// of an item. If `due` is `None` or the job is not a trainer's step, every result is listed as
    /// it arrives.
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

    /// Adds the result of an item.
    pub fn add_result(&mut self, index: usize, now: Instant) {
        let Some(group) = self.groups.get(index).copied() else {
            return;
        };
        self.unlisted.entry(group).or_default().push(index);
        let missing = &mut self.missing[group];
        *missing = missing.saturating_sub(1);
        if *missing == 0 {
            self.complete_groups += 1;
            self.complete_since.get_or_insert(now);
        }
    }

    /// Removes and returns the items whose results are to be listed now.
    pub fn drain_ready(&mut self, now: Instant) -> Vec<usize> {
        if self.due.is_none_or(|due| now >= due) {
            self.complete_since = None;
            return self.unlisted.drain().flat_map(|(_, items)| items).collect();
        }
        let has_enough_groups = self.complete_groups >= self.desired;
        let is_wait_over = self.list_at().is_some_and(|at| now >= at);
        if !has_enough_groups && !is_wait_over {
            return Vec::new();
        }
        self.complete_since = None;
        let missing = &self.missing;
        let mut ready = Vec::new();
        self.unlisted.retain(|group, items| {
            let is_complete = missing[*group] == 0;
            if is_complete {
                ready.append(items);
            }
            !is_complete
        });
        ready
    }

    /// Returns the latest time at which the unlisted results are listed, or `None` if no listing is
    /// scheduled.
    pub fn list_at(&self) -> Option<Instant> {
        let due = self.due.filter(|_| !self.unlisted.is_empty());
        let wait_ends = self.complete_since.map(|since| since + MAX_GROUP_WAIT);
        match (due, wait_ends) {
            (Some(due), Some(wait_ends)) => Some(due.min(wait_ends)),
            (due, wait_ends) => due.or(wait_ends),
        }
    }
}

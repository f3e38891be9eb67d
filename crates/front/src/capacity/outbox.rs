//! Which orders are to be sent now.

use std::collections::BTreeMap;
use std::time::Duration;

use ladderstage_clock::Instant;

use super::counts::InstancePool;
use super::sink::CapacityOrderError;

/// First pause after an order that was not taken; doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(400);

/// Longest pause after orders that were not taken.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);

/// An order without an answer may be carried out within this time, over newer ones.
pub const LATE_TIME: Duration = Duration::from_secs(15);

#[derive(Debug, Clone, PartialEq, Eq)]
struct Entry {
    desired: u32,
    is_taken: bool,
    /// It is not sent before.
    next_at: Instant,
    pause: Duration,
    /// Until when an order without an answer may be carried out.
    late_until: Option<Instant>,
}

/// The order of each subject, and when it is to be sent.
#[derive(Debug, Default)]
pub struct Outbox {
    entries: BTreeMap<InstancePool, Entry>,
}

impl Outbox {
    /// Takes the count that is wanted of a subject; one that was taken already is not sent again.
    pub fn want(&mut self, pool: &InstancePool, desired: u32, now: Instant) {
        let entry = self.entries.get_mut(pool);
        if let Some(entry) = entry {
            if entry.desired != desired {
                entry.desired = desired;
                entry.is_taken = false;
                entry.next_at = now;
            }
            return;
        }
        let entry = Entry {
            desired,
            is_taken: false,
            next_at: now,
            pause: FIRST_PAUSE,
            late_until: None,
        };
        self.entries.insert(pool.clone(), entry);
    }

    /// Takes a count that an earlier holder wanted: orders of that one may still be carried out late, and are overtaken.
    pub fn resume(&mut self, pool: &InstancePool, desired: u32, now: Instant) {
        self.want(pool, desired, now);
        if let Some(entry) = self.entries.get_mut(pool) {
            entry.late_until = Some(now + LATE_TIME);
        }
    }

    /// Makes the count of a subject due once more, not sooner than the pause noted with its last outcome.
    pub fn repeat(&mut self, pool: &InstancePool, desired: u32, now: Instant) {
        self.want(pool, desired, now);
        if let Some(entry) = self.entries.get_mut(pool)
            && now >= entry.next_at
        {
            entry.is_taken = false;
        }
    }

    /// The orders that are due.
    pub fn due(&self, now: Instant) -> Vec<(InstancePool, u32)> {
        let is_due = |entry: &Entry| {
            let is_late_over = entry.late_until.is_some_and(|until| now >= until);
            now >= entry.next_at && (!entry.is_taken || is_late_over)
        };
        let due = self.entries.iter().filter(|(_, entry)| is_due(entry));
        due.map(|(pool, entry)| (pool.clone(), entry.desired))
            .collect()
    }

    /// Notes the outcome of an order. One that was taken, or for which there was no capacity, is repeated after `pause` at the earliest.
    pub fn note(
        &mut self,
        pool: &InstancePool,
        desired: u32,
        outcome: &Result<(), CapacityOrderError>,
        pause: Duration,
        now: Instant,
    ) {
        let Some(entry) = self.entries.get_mut(pool) else {
            return;
        };
        if entry.late_until.is_some_and(|until| now >= until) {
            entry.late_until = None;
        }
        match outcome {
            Ok(()) => {
                entry.is_taken = entry.desired == desired;
                entry.pause = FIRST_PAUSE;
                entry.next_at = if entry.is_taken { now + pause } else { now };
            }
            Err(CapacityOrderError::Unavailable) => {
                entry.is_taken = false;
                entry.pause = FIRST_PAUSE;
                entry.next_at = now + pause;
            }
            Err(CapacityOrderError::Refused(_)) => {
                entry.is_taken = false;
                entry.wait(now);
            }
            Err(CapacityOrderError::Unknown(_)) => {
                entry.is_taken = false;
                entry.late_until = Some(now + LATE_TIME);
                entry.wait(now);
            }
        }
    }
}

impl Entry {
    /// Puts the order off by a pause that doubles.
    fn wait(&mut self, now: Instant) {
        self.next_at = now + self.pause;
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
    }
}

//! Schedules capacity orders and their retries.

use std::collections::BTreeMap;
use std::time::Duration;

use ladderstage_clock::Instant;

use super::counts::Subject;
use super::sink::CapacityOrderError;

/// Pause after the first order that failed; doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(400);

/// Upper limit of the pause after failed orders.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);

/// Time within which an unanswered order may still take effect, overriding newer ones.
pub const LATE_TIME: Duration = Duration::from_secs(15);

#[derive(Debug, Clone, PartialEq, Eq)]
struct Entry {
    desired: u32,
    is_taken: bool,
    /// Earliest time of the next attempt.
    next_at: Instant,
    pause: Duration,
    /// Time until which an unanswered order may still take effect.
    late_until: Option<Instant>,
}

/// Latest order of each pool and the time of its next attempt.
#[derive(Debug, Default)]
pub struct Outbox {
    entries: BTreeMap<Subject, Entry>,
}

impl Outbox {
    /// Sets the desired count of a pool. A count that was accepted already is not sent again.
    pub fn want(&mut self, subject: &Subject, desired: u32, now: Instant) {
        let entry = self.entries.get_mut(subject);
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
        self.entries.insert(subject.clone(), entry);
    }

    /// Sets a count that an earlier holder ordered. It is sent once more after that holder's orders
    /// can no longer take effect.
    pub fn resume(&mut self, subject: &Subject, desired: u32, now: Instant) {
        self.want(subject, desired, now);
        if let Some(entry) = self.entries.get_mut(subject) {
            entry.late_until = Some(now + LATE_TIME);
        }
    }

    /// Makes the count of a pool due again, after the pause that followed its last outcome.
    pub fn repeat(&mut self, subject: &Subject, desired: u32, now: Instant) {
        self.want(subject, desired, now);
        if let Some(entry) = self.entries.get_mut(subject)
            && now >= entry.next_at
        {
            entry.is_taken = false;
        }
    }

    /// Returns the orders that are due.
    pub fn due(&self, now: Instant) -> Vec<(Subject, u32)> {
        let is_due = |entry: &Entry| {
            let is_late_over = entry.late_until.is_some_and(|until| now >= until);
            now >= entry.next_at && (!entry.is_taken || is_late_over)
        };
        let due = self.entries.iter().filter(|(_, entry)| is_due(entry));
        due.map(|(subject, entry)| (subject.clone(), entry.desired))
            .collect()
    }

    /// Records the outcome of an order. An accepted order, or one without available capacity, is
    /// repeated after `pause` at the earliest.
    pub fn note(
        &mut self,
        subject: &Subject,
        desired: u32,
        outcome: &Result<(), CapacityOrderError>,
        pause: Duration,
        now: Instant,
    ) {
        let Some(entry) = self.entries.get_mut(subject) else {
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
            Err(CapacityOrderError::NoneToBeHad) => {
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
    /// Delays the next attempt, with exponential backoff.
    fn wait(&mut self, now: Instant) {
        self.next_at = now + self.pause;
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
    }
}

//! Schedules capacity orders and their retries.

use std::collections::BTreeMap;
use std::time::Duration;

use ladderstage_clock::Instant;

use super::counts::InstancePool;
use super::sink::CapacityOrderError;

/// Backoff after the first failed order; doubles with each consecutive failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(400);

/// Maximum backoff after failed orders.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// Time after which an order with unknown outcome can no longer take effect. Until then it may
/// override newer orders.
pub const MAX_EXECUTION_DELAY: Duration = Duration::from_secs(15);

#[derive(Debug, Clone, PartialEq, Eq)]
struct OutboxEntry {
    desired: u32,
    is_accepted: bool,
    /// Earliest time of the next attempt.
    next_attempt_at: Instant,
    /// Delay after the next failed order.
    backoff: Duration,
    /// End of the time in which an order with unknown outcome may still take effect. The count is
    /// sent again afterwards, even if it was accepted.
    resend_after: Option<Instant>,
}

/// Latest order of each pool and the time of its next attempt.
#[derive(Debug, Default)]
pub struct Outbox {
    entries: BTreeMap<InstancePool, OutboxEntry>,
}

impl Outbox {
    /// Sets the desired count of a pool. A count that was accepted already is not sent again.
    pub fn set_desired(&mut self, pool: &InstancePool, desired: u32, now: Instant) {
        let entry = self.entries.get_mut(pool);
        if let Some(entry) = entry {
            if entry.desired != desired {
                entry.desired = desired;
                entry.is_accepted = false;
                entry.next_attempt_at = now;
            }
            return;
        }
        let entry = OutboxEntry {
            desired,
            is_accepted: false,
            next_attempt_at: now,
            backoff: INITIAL_BACKOFF,
            resend_after: None,
        };
        self.entries.insert(pool.clone(), entry);
    }

    /// Sets a count that an earlier lease holder ordered. It is sent once more after that holder's
    /// orders can no longer take effect.
    pub fn resume(&mut self, pool: &InstancePool, desired: u32, now: Instant) {
        self.set_desired(pool, desired, now);
        if let Some(entry) = self.entries.get_mut(pool) {
            entry.resend_after = Some(now + MAX_EXECUTION_DELAY);
        }
    }

    /// Sets the desired count of a pool and schedules it again, unless the pause after its last
    /// outcome has not elapsed.
    pub fn resend(&mut self, pool: &InstancePool, desired: u32, now: Instant) {
        self.set_desired(pool, desired, now);
        if let Some(entry) = self.entries.get_mut(pool)
            && now >= entry.next_attempt_at
        {
            entry.is_accepted = false;
        }
    }

    /// Returns the orders that are due.
    pub fn due(&self, now: Instant) -> Vec<(InstancePool, u32)> {
        let is_due = |entry: &OutboxEntry| {
            let must_resend = entry.resend_after.is_some_and(|until| now >= until);
            now >= entry.next_attempt_at && (!entry.is_accepted || must_resend)
        };
        let due = self.entries.iter().filter(|(_, entry)| is_due(entry));
        due.map(|(pool, entry)| (pool.clone(), entry.desired))
            .collect()
    }

    /// Records the outcome of an order. An accepted order, or one without available capacity, is
    /// not sent again before `pause` has elapsed.
    pub fn record_outcome(
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
        if entry.resend_after.is_some_and(|until| now >= until) {
            entry.resend_after = None;
        }
        match outcome {
            Ok(()) => {
                entry.is_accepted = entry.desired == desired;
                entry.backoff = INITIAL_BACKOFF;
                entry.next_attempt_at = if entry.is_accepted { now + pause } else { now };
            }
            Err(CapacityOrderError::Unavailable) => {
                entry.is_accepted = false;
                entry.backoff = INITIAL_BACKOFF;
                entry.next_attempt_at = now + pause;
            }
            Err(CapacityOrderError::Rejected(_)) => {
                entry.is_accepted = false;
                entry.back_off(now);
            }
            Err(CapacityOrderError::Unknown(_)) => {
                entry.is_accepted = false;
                entry.resend_after = Some(now + MAX_EXECUTION_DELAY);
                entry.back_off(now);
            }
        }
    }
}

impl OutboxEntry {
    /// Delays the next attempt, with exponential backoff.
    fn back_off(&mut self, now: Instant) {
        self.next_attempt_at = now + self.backoff;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }
}

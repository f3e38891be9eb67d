//! Requests that this node may send to one instance: with permits (rights to send one request each,
//! issued by the order leader), and a few without.

use std::collections::VecDeque;
use std::time::Duration;

use ladderstage_clock::Instant;

use super::limits::ColdLimit;
use super::state::ColdStatus;

/// Lifetime of a permit after it was requested: long enough for the response and the next waiting
/// request, short enough that the order leader can issue permits at a steady rate.
pub const PERMIT_LIFETIME: Duration = Duration::from_millis(300);

/// Length of the sliding window in which the limits hold.
pub const SEND_WINDOW: Duration = Duration::from_secs(1);

/// Maximum time that a busy node needs to write a request to the socket after it may be sent.
pub const WRITE_MARGIN: Duration = Duration::from_millis(200);

/// Maximum requests per window without a permit to an instance whose cold status is uncertain; one
/// is enough to show whether the instance is running.
const MAX_UNCERTAIN_SENDS: u32 = 1;

/// Time for which a chosen instance counts as about to get the request.
const RESERVATION_LIFETIME: Duration = Duration::from_millis(50);

/// The right to send one request; released if the request was not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SendTicket {
    sent_at: Instant,
    permit_until: Option<Instant>,
}

/// Requests that one node may send to one incarnation of an instance.
#[derive(Debug, Clone, Default)]
pub struct SendBudget {
    /// Expiry of the unused permits, in order.
    permits: VecDeque<Instant>,
    /// Times of the requests that may have been written within the window, in order.
    sent: VecDeque<Instant>,
    /// Last request that was sent while the instance was considered warm.
    last_sent_warm: Option<Instant>,
    /// Expiry of the reservations, in order.
    reservations: VecDeque<Instant>,
}

impl SendBudget {
    /// Adds permits that are valid until `until`.
    pub fn add_permits(&mut self, count: u32, until: Instant) {
        let index = self.permits.partition_point(|known| *known <= until);
        for _ in 0..count {
            self.permits.insert(index, until);
        }
    }

    /// Returns whether the instance may be chosen for one more request in addition to the
    /// reserved ones.
    pub fn has_capacity(
        &mut self,
        cold_status: ColdStatus,
        limit: &ColdLimit,
        now: Instant,
    ) -> bool {
        self.drop_expired(now);
        self.capacity(cold_status, limit, now) > self.reservations.len()
    }

    /// Reserves capacity for a request that is about to be sent.
    pub fn reserve(&mut self, now: Instant) {
        self.reservations.push_back(now + RESERVATION_LIFETIME);
    }

    /// Acquires the right to send one request now, `None` if the limit is reached.
    pub fn acquire(
        &mut self,
        cold_status: ColdStatus,
        limit: &ColdLimit,
        now: Instant,
    ) -> Option<SendTicket> {
        self.drop_expired(now);
        self.reservations.pop_front();
        if self.capacity(cold_status, limit, now) == 0 {
            return None;
        }
        if cold_status == ColdStatus::Warm {
            self.last_sent_warm = Some(now);
        }
        let permit_until = match cold_status {
            ColdStatus::Warm => None,
            ColdStatus::Uncertain | ColdStatus::Cold => self.permits.pop_front(),
        };
        self.sent.push_back(now);
        Some(SendTicket {
            sent_at: now,
            permit_until,
        })
    }

    /// Releases the ticket of a request that was not sent.
    pub fn release(&mut self, ticket: SendTicket) {
        if let Some(index) = self.sent.iter().rposition(|at| *at == ticket.sent_at) {
            self.sent.remove(index);
        }
        if let Some(until) = ticket.permit_until {
            self.add_permits(1, until);
        }
    }

    /// Returns the number of requests that may be sent now.
    fn capacity(&self, cold_status: ColdStatus, limit: &ColdLimit, now: Instant) -> usize {
        let capacity_left = |max_sent: u32| (max_sent as usize).saturating_sub(self.sent.len());
        match cold_status {
            ColdStatus::Warm => capacity_left(limit.rate_without_permits),
            ColdStatus::Uncertain => self
                .usable_permits(now)
                .max(capacity_left(MAX_UNCERTAIN_SENDS)),
            ColdStatus::Cold => self.usable_permits(now),
        }
    }

    /// Returns the number of usable permits. There are none within a window of a request sent while
    /// the instance was considered warm: all nodes may have sent their share without permits, and
    /// permits on top would exceed the bound.
    fn usable_permits(&self, now: Instant) -> usize {
        let was_warm =
            |at: Instant| now.saturating_duration_since(at) <= SEND_WINDOW + WRITE_MARGIN;
        if self.last_sent_warm.is_some_and(was_warm) {
            return 0;
        }
        self.permits.len()
    }

    /// Drops what has expired by `now`.
    fn drop_expired(&mut self, now: Instant) {
        while self.permits.front().is_some_and(|until| *until <= now) {
            self.permits.pop_front();
        }
        while self.reservations.front().is_some_and(|until| *until <= now) {
            self.reservations.pop_front();
        }
        while self
            .sent
            .front()
            .is_some_and(|at| now.saturating_duration_since(*at) > SEND_WINDOW + WRITE_MARGIN)
        {
            self.sent.pop_front();
        }
    }
}

//! Requests that this node may send to one instance: with permits, and a few without.

use std::collections::VecDeque;
use std::time::Duration;

use ladderstage_clock::Instant;

use super::limits::ColdLimit;
use super::state::Warmth;

/// Lifetime of a permit after it was requested: long enough for the response and the next waiting
/// request, short enough that the order leader can issue permits at a steady rate.
pub const PERMIT_LIFETIME: Duration = Duration::from_millis(300);

/// Length of the sliding window in which the limits hold.
pub const SEND_WINDOW: Duration = Duration::from_secs(1);

/// Maximum time that a busy node needs to write a request to the socket after it may be sent.
pub const WRITE_MARGIN: Duration = Duration::from_millis(200);

/// Requests per second without a permit to an instance in uncertain state; one shows whether it is
/// running.
const DOUBTFUL_SENDS: u32 = 1;

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
pub struct SendShare {
    /// Expiry of the unused permits, in order.
    permits: VecDeque<Instant>,
    /// Times of the requests that may have been written within the window, in order.
    sent: VecDeque<Instant>,
    /// Last request that was sent while the instance was considered warm.
    sent_warm: Option<Instant>,
    /// Expiry of the reservations, in order.
    reserved: VecDeque<Instant>,
}

impl SendShare {
    /// Adds permits that are valid until `until`.
    pub fn add_permits(&mut self, count: u32, until: Instant) {
        let place = self.permits.partition_point(|known| *known <= until);
        for _ in 0..count {
            self.permits.insert(place, until);
        }
    }

    /// Returns whether the instance may be chosen for one more request, reservations counted.
    pub fn has_room(&mut self, warmth: Warmth, limit: &ColdLimit, now: Instant) -> bool {
        self.forget(now);
        self.room(warmth, limit, now) > self.reserved.len()
    }

    /// Reserves capacity for a request that is about to be sent.
    pub fn reserve(&mut self, now: Instant) {
        self.reserved.push_back(now + RESERVATION_LIFETIME);
    }

    /// Acquires the right to send one request now, `None` if the limit is reached.
    pub fn take(&mut self, warmth: Warmth, limit: &ColdLimit, now: Instant) -> Option<SendTicket> {
        self.forget(now);
        self.reserved.pop_front();
        if self.room(warmth, limit, now) == 0 {
            return None;
        }
        if warmth == Warmth::Warm {
            self.sent_warm = Some(now);
        }
        let permit_until = match warmth {
            Warmth::Warm => None,
            Warmth::Doubtful | Warmth::Cold => self.permits.pop_front(),
        };
        self.sent.push_back(now);
        Some(SendTicket {
            sent_at: now,
            permit_until,
        })
    }

    /// Releases the ticket of a request that was not sent.
    pub fn give_back(&mut self, ticket: SendTicket) {
        if let Some(place) = self.sent.iter().rposition(|at| *at == ticket.sent_at) {
            self.sent.remove(place);
        }
        if let Some(until) = ticket.permit_until {
            self.add_permits(1, until);
        }
    }

    /// Returns the number of requests that may be sent now.
    fn room(&self, warmth: Warmth, limit: &ColdLimit, now: Instant) -> usize {
        let without_permits = |most: u32| (most as usize).saturating_sub(self.sent.len());
        match warmth {
            Warmth::Warm => without_permits(limit.unaware),
            Warmth::Doubtful => self.usable(now).max(without_permits(DOUBTFUL_SENDS)),
            Warmth::Cold => self.usable(now),
        }
    }

    /// Returns the number of usable permits. There are none within a window of a request sent while
    /// the instance was considered warm: all nodes may have sent their share without permits, and
    /// permits on top would exceed the bound.
    fn usable(&self, now: Instant) -> usize {
        let was_warm =
            |at: Instant| now.saturating_duration_since(at) <= SEND_WINDOW + WRITE_MARGIN;
        if self.sent_warm.is_some_and(was_warm) {
            return 0;
        }
        self.permits.len()
    }

    /// Drops what has expired by `now`.
    fn forget(&mut self, now: Instant) {
        while self.permits.front().is_some_and(|until| *until <= now) {
            self.permits.pop_front();
        }
        while self.reserved.front().is_some_and(|until| *until <= now) {
            self.reserved.pop_front();
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

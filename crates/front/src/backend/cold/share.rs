//! What this node may send to one instance: the permits that it was dealt, and a few requests without.

use std::collections::VecDeque;
use std::time::Duration;

use ladderstage_clock::Instant;

use super::limits::ColdLimit;
use super::state::Warmth;

/// A permit lapses this long after it was asked for: long enough for the answer and the next request that waits, short enough that the
/// holder of the orders lease deals a steady rate.
pub const PERMIT_LIFETIME: Duration = Duration::from_millis(300);

/// The limits hold within any time of this length.
pub const SEND_WINDOW: Duration = Duration::from_secs(1);

/// Longest time that a busy node needs to write a request to the socket once it may be sent.
pub const WRITE_MARGIN: Duration = Duration::from_millis(200);

/// Requests a second without a permit to a doubtful instance: one is enough to find out whether it runs.
const DOUBTFUL_SENDS: u32 = 1;

/// How long an instance that was chosen counts as about to get the request.
const RESERVATION_LIFETIME: Duration = Duration::from_millis(50);

/// The right to send one request; given back if the request was not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SendTicket {
    sent_at: Instant,
    permit_until: Option<Instant>,
}

/// What one node may send to one start of an instance.
#[derive(Debug, Clone, Default)]
pub struct SendShare {
    /// Ends of unused permits, in order.
    permits: VecDeque<Instant>,
    /// When requests were sent that may still be written within the last window, in order.
    sent: VecDeque<Instant>,
    /// When a request was last sent while the instance counted as warm.
    sent_warm: Option<Instant>,
    /// Ends of reservations, in order.
    reserved: VecDeque<Instant>,
}

impl SendShare {
    /// Adds permits that are good until `until`.
    pub fn add_permits(&mut self, count: u32, until: Instant) {
        let place = self.permits.partition_point(|known| *known <= until);
        for _ in 0..count {
            self.permits.insert(place, until);
        }
    }

    /// Whether the instance may be chosen for one more request; requests that it was chosen for and that were not sent yet count.
    pub fn has_room(&mut self, warmth: Warmth, limit: &ColdLimit, now: Instant) -> bool {
        self.forget(now);
        self.room(warmth, limit, now) > self.reserved.len()
    }

    /// Notes that the instance was chosen for a request.
    pub fn reserve(&mut self, now: Instant) {
        self.reserved.push_back(now + RESERVATION_LIFETIME);
    }

    /// Takes the right to send one request now; `None`: there is none.
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

    /// Takes back the ticket of a request that was not sent.
    pub fn give_back(&mut self, ticket: SendTicket) {
        if let Some(place) = self.sent.iter().rposition(|at| *at == ticket.sent_at) {
            self.sent.remove(place);
        }
        if let Some(until) = ticket.permit_until {
            self.add_permits(1, until);
        }
    }

    /// How many requests may be sent now.
    fn room(&self, warmth: Warmth, limit: &ColdLimit, now: Instant) -> usize {
        let without_permits = |most: u32| (most as usize).saturating_sub(self.sent.len());
        match warmth {
            Warmth::Warm => without_permits(limit.unaware),
            Warmth::Doubtful => self.usable(now).max(without_permits(DOUBTFUL_SENDS)),
            Warmth::Cold => self.usable(now),
        }
    }

    /// Drops what is over by `now`.
    /// Permits that may be used. None is used in one window with what was sent before the instance was known to be cold: all nodes may have
    /// sent their shares without permits, and with permits on top these would be too many.
    fn usable(&self, now: Instant) -> usize {
        let was_warm =
            |at: Instant| now.saturating_duration_since(at) <= SEND_WINDOW + WRITE_MARGIN;
        if self.sent_warm.is_some_and(was_warm) {
            return 0;
        }
        self.permits.len()
    }

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

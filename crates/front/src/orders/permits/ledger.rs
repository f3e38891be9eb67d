//! Permits that one lease holder issued recently. A permit allows a front to send one request to a
//! cold instance.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use ladderstage_clock::Instant;

use crate::backend::{PERMIT_LIFETIME, SEND_WINDOW, WRITE_MARGIN};

/// Sliding window over which issued permits are counted. Permits issued further apart cannot be
/// used in the same [`SEND_WINDOW`].
const ISSUE_WINDOW: Duration = SEND_WINDOW
    .saturating_add(PERMIT_LIFETIME)
    .saturating_add(WRITE_MARGIN);

/// Time for which a new holder issues no permits, so that its permits and those of an earlier
/// holder are not used in the same window.
pub const PERMIT_QUIET_PERIOD: Duration = ISSUE_WINDOW;

/// Permits issued by one holder.
#[derive(Debug)]
pub struct PermitLedger {
    /// Time from which permits are issued.
    quiet_until: Instant,
    /// Time and number of permits issued in the current window, by instance.
    issued: BTreeMap<String, VecDeque<(Instant, u32)>>,
}

impl PermitLedger {
    /// Creates the ledger of a holder whose lease started at `held_from` or earlier.
    pub fn new(held_from: Instant) -> Self {
        Self {
            quiet_until: held_from + PERMIT_QUIET_PERIOD,
            issued: BTreeMap::new(),
        }
    }

    /// Issues up to `requested` permits for an instance, at most `max` in any sliding window.
    /// Returns the number issued.
    pub fn issue(&mut self, instance: &str, requested: u32, max: u32, now: Instant) -> u32 {
        if now < self.quiet_until {
            return 0;
        }
        self.remove_expired(now);
        let recent = self.issued.get(instance);
        let already_issued: u32 =
            recent.map_or(0, |recent| recent.iter().map(|(_, count)| count).sum());
        let count = requested.min(max.saturating_sub(already_issued));
        if count > 0 {
            let recent = self.issued.entry(instance.to_owned()).or_default();
            recent.push_back((now, count));
        }
        count
    }

    /// Removes permits issued before the current window.
    fn remove_expired(&mut self, now: Instant) {
        let is_over = |at: Instant| now.saturating_duration_since(at) > ISSUE_WINDOW;
        self.issued.retain(|_, recent| {
            while recent.front().is_some_and(|(at, _)| is_over(*at)) {
                recent.pop_front();
            }
            !recent.is_empty()
        });
    }
}

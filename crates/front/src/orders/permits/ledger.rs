//! How many permits one holder has dealt within the last window.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use ladderstage_clock::Instant;

use crate::backend::{PERMIT_LIFETIME, SEND_WINDOW, WRITE_MARGIN};

/// Permits that are dealt within this time may be used within one window: each is used within its lifetime.
const DEAL_WINDOW: Duration = SEND_WINDOW
    .saturating_add(PERMIT_LIFETIME)
    .saturating_add(WRITE_MARGIN);

/// A new holder deals nothing for so long, so that no window holds requests by its permits and by those of an earlier holder.
pub const PERMIT_QUIET_PERIOD: Duration = DEAL_WINDOW;

/// What one holder has dealt.
#[derive(Debug)]
pub struct PermitLedger {
    deals_from: Instant,
    /// When permits were dealt, and how many, by instance; within the last window.
    dealt: BTreeMap<String, VecDeque<(Instant, u32)>>,
}

impl PermitLedger {
    /// A ledger of a holder whose lease began at `held_from` or earlier.
    pub fn new(held_from: Instant) -> Self {
        Self {
            deals_from: held_from + PERMIT_QUIET_PERIOD,
            dealt: BTreeMap::new(),
        }
    }

    /// Deals up to `wanted` permits for an instance, of which `most` may be dealt in any window; returns how many.
    pub fn issue(&mut self, instance: &str, wanted: u32, most: u32, now: Instant) -> u32 {
        if now < self.deals_from {
            return 0;
        }
        self.forget(now);
        let recent = self.dealt.get(instance);
        let used: u32 = recent.map_or(0, |recent| recent.iter().map(|(_, count)| count).sum());
        let count = wanted.min(most.saturating_sub(used));
        if count > 0 {
            let recent = self.dealt.entry(instance.to_owned()).or_default();
            recent.push_back((now, count));
        }
        count
    }

    /// Drops what was dealt before the last window.
    fn forget(&mut self, now: Instant) {
        let is_over = |at: Instant| now.saturating_duration_since(at) > DEAL_WINDOW;
        self.dealt.retain(|_, recent| {
            while recent.front().is_some_and(|(at, _)| is_over(*at)) {
                recent.pop_front();
            }
            !recent.is_empty()
        });
    }
}

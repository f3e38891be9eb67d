//! Tracks how many instances of a pool are lost.

use std::time::Duration;

use ladderstage_clock::Instant;

use super::counts::PresentInstances;

/// Time for which an instance may be missing without notice before it counts as lost. Exceeds the
/// typical restart time of a crashed instance.
pub const MISSING_GRACE_PERIOD: Duration = Duration::from_secs(4);

/// Reason for which instances count as lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum LossReason {
    /// They announced their departure or accept no new work.
    Leaving,
    /// Their zone is being drained.
    ZoneDrained,
    /// They were missing for longer than the grace period.
    Missing,
    /// They were preemptible and were reclaimed.
    Reclaimed,
}

impl LossReason {
    /// Returns the name used in metric labels and logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::ZoneDrained => "zone_drained",
            Self::Missing => "missing",
            Self::Reclaimed => "taken_away",
        }
    }
}

/// Lost instances of one pool, tracked across checks of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Losses {
    lost: u32,
    /// Time since which more instances are missing than count as lost.
    missing_since: Option<Instant>,
}

impl Losses {
    /// Returns the number of lost instances.
    pub fn lost(&self) -> u32 {
        self.lost
    }

    /// Compares the instances with the `found` count. Returns the reason if more are lost than
    /// before.
    pub fn update(
        &mut self,
        found: u32,
        present: PresentInstances,
        is_drained: bool,
        now: Instant,
    ) -> Option<LossReason> {
        let before = self.lost;
        if is_drained {
            self.lost = found;
            self.missing_since = None;
            return (found > before).then_some(LossReason::ZoneDrained);
        }
        let missing = found.saturating_sub(present.serving);
        let announced = missing.min(present.leaving);
        // An instance that announced its departure still counts as lost once it is gone.
        self.lost = before.min(missing).max(announced);
        if missing == self.lost {
            self.missing_since = None;
            return (self.lost > before).then_some(LossReason::Leaving);
        }
        let missing_since = *self.missing_since.get_or_insert(now);
        if now.saturating_duration_since(missing_since) >= MISSING_GRACE_PERIOD {
            self.lost = missing;
            self.missing_since = None;
            return Some(LossReason::Missing);
        }
        (self.lost > before).then_some(LossReason::Leaving)
    }

    /// Restarts the grace period, because the fleet is unknown for now.
    pub fn discard_observations(&mut self) {
        self.missing_since = None;
    }
}

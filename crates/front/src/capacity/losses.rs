//! How many of the instances that belong to a subject are lost.

use std::time::Duration;

use ladderstage_clock::Instant;

use super::counts::Present;

/// How long an instance is missing without notice before it counts as lost. A crashed one is usually restarted under its id sooner, and is
/// missing only once its record has lapsed.
pub const CRASH_TIME: Duration = Duration::from_secs(4);

/// Why instances count as lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum LossReason {
    /// They take no more work, or gave notice that they leave.
    Leaving,
    /// Their zone is to be drained.
    ZoneDrained,
    /// They have been missing for longer than a crash lasts.
    Missing,
    /// They were preemptible, and were taken away.
    TakenAway,
}

impl LossReason {
    /// Label of metrics and word in logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::ZoneDrained => "zone_drained",
            Self::Missing => "missing",
            Self::TakenAway => "taken_away",
        }
    }
}

/// What is lost of one subject; kept between checks of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Losses {
    lost: u32,
    /// Since when more are missing than count as lost.
    short_since: Option<Instant>,
}

impl Losses {
    /// How many are lost.
    pub fn lost(&self) -> u32 {
        self.lost
    }

    /// Compares what is there with the `found` instances; returns why more are lost than before, if so.
    pub fn look(
        &mut self,
        found: u32,
        present: Present,
        is_drained: bool,
        now: Instant,
    ) -> Option<LossReason> {
        let before = self.lost;
        if is_drained {
            self.lost = found;
            self.short_since = None;
            return (found > before).then_some(LossReason::ZoneDrained);
        }
        let missing = found.saturating_sub(present.serving);
        let announced = missing.min(present.leaving);
        // One that gave notice still counts as lost once it is gone.
        self.lost = before.min(missing).max(announced);
        if missing == self.lost {
            self.short_since = None;
            return (self.lost > before).then_some(LossReason::Leaving);
        }
        let short_since = *self.short_since.get_or_insert(now);
        if now.saturating_duration_since(short_since) >= CRASH_TIME {
            self.lost = missing;
            self.short_since = None;
            return Some(LossReason::Missing);
        }
        (self.lost > before).then_some(LossReason::Leaving)
    }

    /// Notes that it is not known what is there: time that passes meanwhile does not count as missing.
    pub fn note_unknown(&mut self) {
        self.short_since = None;
    }
}

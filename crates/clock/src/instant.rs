//! A point in time on a clock that includes the time the machine was suspended.

use std::ops::{Add, AddAssign, Sub};
use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// On Linux `CLOCK_MONOTONIC` stops during a suspension and `CLOCK_BOOTTIME` does not; elsewhere
/// `CLOCK_MONOTONIC` keeps running.
#[cfg(target_os = "linux")]
const CLOCK: ClockId = ClockId::CLOCK_BOOTTIME;
#[cfg(not(target_os = "linux"))]
const CLOCK: ClockId = ClockId::CLOCK_MONOTONIC;

/// A point in time, as the time since boot. It never decreases and includes suspensions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant(Duration);

impl Instant {
    /// Returns the current time.
    ///
    /// # Panics
    /// If the system lacks the clock; Linux has it since 2.6.39.
    pub fn now() -> Self {
        let now = clock_gettime(CLOCK).expect("the system supports the clock");
        let since_start = Duration::from(now);
        #[cfg(feature = "test-util")]
        let since_start = since_start + crate::testing::suspended();
        Self(since_start)
    }

    /// Returns the time elapsed since this instant, or zero if it is in the future.
    pub fn elapsed(self) -> Duration {
        Self::now().saturating_duration_since(self)
    }

    /// Returns the time elapsed from `earlier` to this instant, or zero if `earlier` is later.
    pub fn duration_since(self, earlier: Self) -> Duration {
        self.saturating_duration_since(earlier)
    }

    /// Returns the time elapsed from `earlier` to this instant, or zero if `earlier` is later.
    pub fn saturating_duration_since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the time elapsed from `earlier` to this instant, or `None` if `earlier` is later.
    pub fn checked_duration_since(self, earlier: Self) -> Option<Duration> {
        self.0.checked_sub(earlier.0)
    }

    /// Returns the instant `duration` later, or `None` on overflow.
    pub fn checked_add(self, duration: Duration) -> Option<Self> {
        self.0.checked_add(duration).map(Self)
    }

    /// Returns the instant `duration` earlier, or `None` if that is before boot.
    pub fn checked_sub(self, duration: Duration) -> Option<Self> {
        self.0.checked_sub(duration).map(Self)
    }

    /// Converts to [`std::time::Instant`], for timers. The result is exact only if the machine is
    /// not suspended before it.
    pub fn to_std(self) -> std::time::Instant {
        let (now, monotonic) = (Self::now(), std::time::Instant::now());
        match self.checked_duration_since(now) {
            Some(later) => monotonic + later,
            None => monotonic.checked_sub(now.0 - self.0).unwrap_or(monotonic),
        }
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(duration))
    }
}

impl AddAssign<Duration> for Instant {
    fn add_assign(&mut self, duration: Duration) {
        *self = *self + duration;
    }
}

impl Sub<Duration> for Instant {
    type Output = Self;

    /// Saturates at boot.
    fn sub(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(duration))
    }
}

impl Sub for Instant {
    type Output = Duration;

    fn sub(self, earlier: Self) -> Duration {
        self.saturating_duration_since(earlier)
    }
}

impl From<Instant> for tokio::time::Instant {
    fn from(instant: Instant) -> Self {
        // Relative to tokio's clock, which tests may pause.
        Self::now() + instant.saturating_duration_since(Instant::now())
    }
}

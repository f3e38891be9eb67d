//! A moment by the clock that counts suspensions.

use std::ops::{Add, AddAssign, Sub};
use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// The clock. On Linux the steady one leaves suspensions out and this one counts them; elsewhere the steady one counts them.
#[cfg(target_os = "linux")]
const CLOCK: ClockId = ClockId::CLOCK_BOOTTIME;
#[cfg(not(target_os = "linux"))]
const CLOCK: ClockId = ClockId::CLOCK_MONOTONIC;

/// A moment, as time since the machine's start. Never goes back; counts the time for which the machine was suspended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant(Duration);

impl Instant {
    /// Now.
    ///
    /// # Panics
    /// If the system has no such clock, which Linux has since 2.6.39.
    pub fn now() -> Self {
        let now = clock_gettime(CLOCK).expect("the system has the clock");
        let since_start = Duration::from(now);
        #[cfg(feature = "test-util")]
        let since_start = since_start + crate::testing::suspended();
        Self(since_start)
    }

    /// Time since this moment; zero if it is still to come.
    pub fn elapsed(self) -> Duration {
        Self::now().saturating_duration_since(self)
    }

    /// Time from an earlier moment; zero if it is later.
    pub fn duration_since(self, earlier: Self) -> Duration {
        self.saturating_duration_since(earlier)
    }

    /// Time from an earlier moment; zero if it is later.
    pub fn saturating_duration_since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Time from an earlier moment; `None` if it is later.
    pub fn checked_duration_since(self, earlier: Self) -> Option<Duration> {
        self.0.checked_sub(earlier.0)
    }

    /// The moment so much later; `None` if the clock does not reach so far.
    pub fn checked_add(self, duration: Duration) -> Option<Self> {
        self.0.checked_add(duration).map(Self)
    }

    /// The moment so much earlier; `None` if it is before the machine's start.
    pub fn checked_sub(self, duration: Duration) -> Option<Self> {
        self.0.checked_sub(duration).map(Self)
    }

    /// The same moment by the steady clock, if the machine is not suspended in between: for waits.
    pub fn to_std(self) -> std::time::Instant {
        let (now, steady) = (Self::now(), std::time::Instant::now());
        match self.checked_duration_since(now) {
            Some(later) => steady + later,
            None => steady.checked_sub(now.0 - self.0).unwrap_or(steady),
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

    /// A moment before the machine's start counts as its start.
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
        // By tokio's own clock, which tests may stop.
        Self::now() + instant.saturating_duration_since(Instant::now())
    }
}

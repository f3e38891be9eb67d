//! A clock for ages, leases, deadlines and windows that other processes rely on.
//!
//! [`std::time::Instant`] stops while a Linux machine is suspended: after 20 s of suspension a
//! lease holder would still consider its lease valid. [`Instant`] includes that time. Timers stay
//! with tokio, which uses the monotonic clock; code that wakes up checks its deadline against
//! [`Instant`] again.

#![warn(missing_docs)]

mod instant;
mod running_timeout;
mod stall;
mod suspension;
#[cfg(feature = "test-util")]
pub mod testing;

pub use instant::Instant;
pub use running_timeout::{Silent, running_timeout};
pub use stall::StallDetector;
pub use suspension::{SUSPENSION_CHECK_INTERVAL, SuspensionDetector};

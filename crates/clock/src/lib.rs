//! The clock of everything that somebody outside this process relies on: ages, leases, deadlines, windows.
//!
//! The steady clock of the standard library stands still while a machine is suspended. A holder that wakes after 20 s would believe its lease
//! for the rest of its term, a front its configuration, a report its windows. [`Instant`] counts that time. Waits stay with tokio's timers,
//! which go by the steady clock: what they wait for is judged anew by [`Instant`] when they fire.

#![warn(missing_docs)]

mod instant;
mod suspension;
#[cfg(feature = "test-util")]
pub mod testing;

pub use instant::Instant;
pub use suspension::{SUSPENSION_LOOK, SuspensionWatch};

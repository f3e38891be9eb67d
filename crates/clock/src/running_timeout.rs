//! Timeouts for the silence of others, which exclude standstills of this process.

use std::pin::pin;
use std::time::Duration;

use crate::Instant;

/// Interval between checks whether this process ran.
const SLICE: Duration = Duration::from_millis(100);

/// Maximum time that counts between two checks. A busy machine delays a check by as much now and
/// then.
const MAX_SLICE: Duration = Duration::from_millis(300);

/// The other was silent for the whole time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("silent for {} ms", after.as_millis())]
pub struct Silent {
    /// Time for which this process ran meanwhile, at least the limit.
    pub after: Duration,
    /// Time by the clock, which includes standstills of this process.
    pub elapsed: Duration,
}

/// Awaits `future` until this process has run for `limit`. A process that stood still received
/// nothing meanwhile, and would take its own standstill for the silence of the other.
///
/// Not for leases and other deadlines, which pass meanwhile.
///
/// # Errors
/// [`Silent`] if the time is over.
pub async fn running_timeout<F: Future>(limit: Duration, future: F) -> Result<F::Output, Silent> {
    let mut future = pin!(future);
    let mut after = Duration::ZERO;
    let first_started = Instant::now();
    loop {
        let started = Instant::now();
        if let Ok(output) = tokio::time::timeout(SLICE.min(limit - after), &mut future).await {
            return Ok(output);
        }
        after += started.elapsed().min(MAX_SLICE);
        if after >= limit {
            let elapsed = first_started.elapsed();
            return Err(Silent { after, elapsed });
        }
    }
}

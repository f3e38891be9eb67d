//! Polling of conditions.

use std::time::{Duration, Instant};

const POLL: Duration = Duration::from_millis(20);

/// Waits until the condition holds.
///
/// # Panics
/// If it does not hold within `timeout`; the message names `what`.
pub async fn until(what: &str, timeout: Duration, condition: impl AsyncFn() -> bool) {
    let start = Instant::now();
    while !condition().await {
        assert!(start.elapsed() < timeout, "timed out waiting for: {what}");
        tokio::time::sleep(POLL).await;
    }
}

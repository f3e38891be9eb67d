//! Reacts to suspensions of the machine, and to times in which the process stood still.

use std::time::Duration;

use ladderstage_clock::{Instant, SUSPENSION_CHECK_INTERVAL, StallDetector, SuspensionDetector};

use crate::coordination::Coordination;
use crate::metrics::Metrics;

/// Minimum delay of a check after which watches are repeated. A running process makes a call of the
/// store at least every second or two, so that a shorter stall hides hardly more of an outage than
/// the time between two calls. Processes with a small share of a processor are often late by some
/// 100 ms.
const MIN_STALL: Duration = Duration::from_secs(1);

/// Checks for suspensions and stalls until the future is dropped. Leases, ages and deadlines use a
/// clock that includes both and need no action. Watches of the store are restarted: after a
/// suspension, their connections may have been lost silently; during a stall, the store may have
/// lost their answers and recovered, which calls of a running process would have shown.
pub async fn watch_suspensions(coordination: &dyn Coordination, metrics: &Metrics) {
    let mut suspensions = SuspensionDetector::default();
    let mut stalls = StallDetector::default();
    loop {
        tokio::time::sleep(SUSPENSION_CHECK_INTERVAL).await;
        if let Some(suspended) = suspensions.check() {
            log::warn!("event=machine_suspended for_ms={}", suspended.as_millis());
            metrics.suspensions.inc();
            coordination.cancel_watches();
        }
        let stalled = stalls.check(SUSPENSION_CHECK_INTERVAL);
        if stalled >= MIN_STALL {
            log::warn!("event=process_stalled for_ms={}", stalled.as_millis());
            metrics.stalls.inc();
            // No call was sent between the time of the planned check and the end of the stall.
            coordination.doubt_watches(Instant::now() - stalled);
        }
    }
}

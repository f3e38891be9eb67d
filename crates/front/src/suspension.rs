//! Reacts to suspensions of the machine.

use ladderstage_clock::{SUSPENSION_CHECK_INTERVAL, SuspensionDetector};

use crate::coordination::Coordination;
use crate::metrics::Metrics;

/// Checks for suspensions until the future is dropped. Leases, ages and deadlines use a clock that
/// includes suspensions and need no action; watches of the store are restarted, as their
/// connections may have been lost silently.
pub async fn watch_suspensions(coordination: &dyn Coordination, metrics: &Metrics) {
    let mut detector = SuspensionDetector::default();
    loop {
        tokio::time::sleep(SUSPENSION_CHECK_INTERVAL).await;
        if let Some(suspended) = detector.check() {
            log::warn!("event=machine_suspended for_ms={}", suspended.as_millis());
            metrics.suspensions.inc();
            coordination.cancel_watches();
        }
    }
}

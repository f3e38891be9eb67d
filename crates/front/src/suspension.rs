//! What a program does once it notices that its machine was suspended.

use ladderstage_clock::{SUSPENSION_LOOK, SuspensionWatch};

use crate::coordination::Coordination;
use crate::metrics::Metrics;

/// Looks for suspensions for as long as the future is polled. Leases, ages and deadlines need no notice: they are judged by a clock that counts
/// it. Watches of the store do: their connections may be gone without a sign.
pub async fn watch_suspensions(coordination: &dyn Coordination, metrics: &Metrics) {
    let mut watch = SuspensionWatch::default();
    loop {
        tokio::time::sleep(SUSPENSION_LOOK).await;
        if let Some(suspended) = watch.look() {
            log::warn!("event=machine_suspended for_ms={}", suspended.as_millis());
            metrics.suspensions.inc();
            coordination.cancel_watches();
        }
    }
}

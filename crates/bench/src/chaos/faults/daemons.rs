//! Daemons that are killed, stopped and restarted.

use std::time::Duration;

use super::Injector;
use crate::cluster::ClusterError;

/// Time for a planned stop before the process is killed.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

impl Injector {
    pub(super) fn kill_all_daemons(&mut self) {
        for daemon in &mut self.cluster.daemons {
            daemon.kill();
        }
    }

    pub(super) async fn start_all_daemons(&mut self) -> Result<(), ClusterError> {
        for index in 0..self.cluster.daemons.len() {
            self.cluster.start_daemon(index).await?;
        }
        Ok(())
    }

    pub(super) async fn restart_stopped_daemon(
        &mut self,
        index: usize,
    ) -> Result<(), ClusterError> {
        let daemon = &mut self.cluster.daemons[index];
        if let Some(process) = &mut daemon.process
            && process.wait(STOP_TIMEOUT).await.is_err()
        {
            log::info!("event=stop_took_long daemon={}", daemon.name());
        }
        daemon.kill();
        self.cluster.start_daemon(index).await
    }
}

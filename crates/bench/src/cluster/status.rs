//! Status of daemons and their shards. Tests use it to wait for conditions, not to check
//! guarantees.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use serde::Deserialize;

use super::{Cluster, ClusterError, Daemon};
use crate::stand_in::LoadReport;

const POLL: Duration = Duration::from_millis(20);
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Subset of `/v1/status` that tests wait on.
#[derive(Debug, Clone, Deserialize)]
pub struct DaemonStatus {
    /// Version of the journal's replica set, or 0 if none is known.
    pub replica_set_version: u64,
    /// Number of requests in flight.
    pub in_flight: usize,
    pub shards: Vec<OwnedShard>,
}

/// A shard as reported by its owner.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct OwnedShard {
    /// Name of its journal log.
    pub log: String,
    /// Whether it was taken over and its last append has an outcome.
    pub accepting: bool,
    pub slots: usize,
    /// Number of slots whose samples the trainer has acknowledged.
    pub settled: usize,
    /// Number of slots whose samples are committed but not acknowledged.
    pub committed: usize,
    /// Number of attempts in flight.
    pub in_flight: usize,
}

impl Daemon {
    pub async fn status(&self) -> Result<DaemonStatus, ClusterError> {
        let url = format!("{}/v1/status", self.url());
        let request = crate::http_client().get(url).timeout(CALL_TIMEOUT);
        Ok(request.send().await?.error_for_status()?.json().await?)
    }
}

impl Cluster {
    /// Waits until one of these daemons owns the log and its shard meets the condition; returns the
    /// daemon's index.
    pub async fn wait_for_owner_among(
        &self,
        daemons: &[usize],
        log: &str,
        timeout: Duration,
        condition: impl Fn(&OwnedShard) -> bool,
    ) -> Result<usize, ClusterError> {
        let start = Instant::now();
        let mut seen = Vec::new();
        while start.elapsed() < timeout {
            for index in daemons {
                let Ok(status) = self.daemons[*index].status().await else {
                    continue;
                };
                let owned = status.shards.into_iter().filter(|shard| shard.log == log);
                for shard in owned.filter(|shard| shard.accepting) {
                    if condition(&shard) {
                        return Ok(*index);
                    }
                    seen.push(shard);
                }
            }
            tokio::time::sleep(POLL).await;
        }
        Err(ClusterError::Timeout {
            what: format!("an owner of {log}"),
            last_error: format!("last seen: {:?}", seen.last()),
        })
    }

    /// Returns the weight versions that the engines report as held.
    pub async fn held_versions(&self) -> Result<BTreeSet<u64>, ClusterError> {
        let mut versions = BTreeSet::new();
        for engine in &self.platform.engines {
            let url = format!("{}/v1/load", engine.stand_in.url());
            let report: LoadReport = crate::http_client().get(url).send().await?.json().await?;
            versions.extend(report.weight_version);
        }
        Ok(versions)
    }

    /// Waits until these daemons know a replica set of at least this version.
    pub async fn wait_for_replica_set(
        &self,
        daemons: &[usize],
        version: u64,
        timeout: Duration,
    ) -> Result<(), ClusterError> {
        let start = Instant::now();
        for index in daemons {
            let daemon = &self.daemons[*index];
            while !daemon
                .status()
                .await
                .is_ok_and(|status| status.replica_set_version >= version)
            {
                if start.elapsed() > timeout {
                    return Err(ClusterError::Timeout {
                        what: format!("replica set {version} at {}", daemon.name()),
                        last_error: daemon.log_tail(),
                    });
                }
                tokio::time::sleep(POLL).await;
            }
        }
        Ok(())
    }
}

//! Maintains the roster at the order leader.

use std::sync::Arc;
use std::time::Duration;

use ladderstage_journal::Peers;
use tokio::time::MissedTickBehavior;

use super::{DiscoveryView, ROSTER_KEY, Roster, RosterDrains, RosterTiming};
use crate::backend::BackendTable;
use crate::config::CurrentConfig;
use crate::coordination::{Coordination, CoordinationError, LeaseId, SwapResult};
use crate::nodes::{NodeRole, Nodes};

/// Number of renewals within a lease, so that the record survives a lost or slow one.
const RENEWALS_PER_LEASE: u32 = 3;

/// Delay before the roster is written again after a failure, and between checks for enough fronts.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Time without added or removed instances after which the first roster is written. Instances start
/// one by one with the system, and every write is sent to all fronts.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Maximum wait until no instances are added or removed for [`SETTLE_TIME`].
const MAX_SETTLE_WAIT: Duration = Duration::from_secs(5);

/// Reason why the roster is no longer maintained under a lease.
#[derive(Debug, thiserror::Error)]
enum MaintainError {
    #[error(transparent)]
    Store(#[from] CoordinationError),
    #[error("too few fronts for a roster")]
    TooFewFronts,
    #[error(transparent)]
    Encoding(#[from] serde_json::Error),
}

/// Maintains the roster while this node is the order leader.
pub struct RosterWriter {
    /// Coordination store.
    pub coordination: Arc<dyn Coordination>,
    /// Table of instances.
    pub backends: BackendTable,
    /// Current configuration.
    pub config: CurrentConfig,
    /// Revision as of which this node knows the instances.
    pub view: DiscoveryView,
    /// Revision as of which this node knows the drained zones from the store; `None` if this
    /// deployment drains no zones.
    pub drains: Option<DiscoveryView>,
    /// Other nodes.
    pub nodes: Nodes,
    /// Timing; `None` if there is no roster.
    pub options: Option<RosterTiming>,
}

/// Roster written under a lease.
struct WrittenRoster {
    lease: LeaseId,
    /// Revision of the record; `None` if unknown, after a write without an answer or a write by
    /// another node.
    revision: Option<u64>,
    /// Last written roster; `None` if none was written under this lease, or the outcome of the
    /// write is unknown.
    roster: Option<Roster>,
}

impl RosterWriter {
    /// Maintains the roster until the future is dropped; the record then expires with its lease.
    pub async fn run(&self) {
        let Some(options) = self.options else {
            return std::future::pending().await;
        };
        loop {
            self.view.wait_until_known().await;
            if let Some(drains) = &self.drains {
                drains.wait_until_known().await;
            }
            self.wait_until_stable().await;
            if self.has_enough_fronts(&options)
                && let Err(error) = self.maintain(&options).await
            {
                log::warn!("event=roster_not_kept cause=\"{error}\"");
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Returns immediately if there is a roster, or else once no instance has been added or removed
    /// for [`SETTLE_TIME`].
    async fn wait_until_stable(&self) {
        match self.coordination.get(ROSTER_KEY).await {
            Ok(Some(_)) => return,
            Ok(None) => {}
            Err(error) => log::warn!("event=roster_not_read cause=\"{error}\""),
        }
        let mut membership = self.backends.watch_membership();
        let stable = async {
            while tokio::time::timeout(SETTLE_TIME, membership.changed())
                .await
                .is_ok()
            {}
        };
        // The roster is written even if the instances keep changing.
        let _ = tokio::time::timeout(MAX_SETTLE_WAIT, stable).await;
    }

    fn has_enough_fronts(&self, options: &RosterTiming) -> bool {
        self.nodes.successors().len() >= options.min_fronts
    }

    /// Writes the roster under one lease, and renews the lease while the record is up to date.
    async fn maintain(&self, options: &RosterTiming) -> Result<(), MaintainError> {
        let mut written = WrittenRoster {
            lease: self.coordination.grant(options.lease).await?,
            revision: None,
            roster: None,
        };
        let mut membership = self.backends.watch_membership();
        let mut config = self.config.watch();
        let mut drained = self.backends.gates().drained.watch();
        let mut renewal = tokio::time::interval(options.lease / RENEWALS_PER_LEASE);
        renewal.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = membership.changed() => self.write_if_changed(&mut written).await?,
                _ = config.changed() => self.write_if_changed(&mut written).await?,
                _ = drained.changed() => self.write_if_changed(&mut written).await?,
                _ = renewal.tick() => {
                    if !self.has_enough_fronts(options) {
                        return Err(MaintainError::TooFewFronts);
                    }
                    self.write_if_changed(&mut written).await?;
                    self.renew(&written).await?;
                }
            }
        }
    }

    /// Returns the roster from the records known here; `None` while some of them are unknown.
    fn roster(&self) -> Option<Roster> {
        let known_at = self.view.known_at()?;
        let services = self.config.current()?.live_services();
        let drains = match &self.drains {
            None => None,
            Some(view) => {
                let zones = self.backends.gates().drained.current();
                Some(RosterDrains {
                    known_at: view.known_at()?,
                    zones: zones.iter().map(|zone| zone.to_string()).collect(),
                })
            }
        };
        Some(Roster::from_table(
            &self.backends,
            services,
            known_at,
            drains,
        ))
    }

    /// Writes the roster if it has changed. A failed write is retried later.
    async fn write_if_changed(&self, written: &mut WrittenRoster) -> Result<(), MaintainError> {
        let Some(roster) = self.roster() else {
            return Ok(());
        };
        if written
            .roster
            .as_ref()
            .is_some_and(|written| written.is_equivalent(&roster))
        {
            return Ok(());
        }
        written.roster = None;
        let value = roster.write(self.nodes.shared_level(NodeRole::Front))?;
        match self.swap(written, value).await {
            Ok(SwapResult::Won { revision }) => {
                log::info!(
                    "event=roster_written revision={revision} known_at={} instances={} drained={:?}",
                    roster.known_at,
                    roster.instances.len(),
                    roster.drains.as_ref().map(|drains| &drains.zones)
                );
                written.revision = Some(revision);
                written.roster = Some(roster);
                Ok(())
            }
            Ok(SwapResult::Lost(_)) => {
                log::info!(
                    "event=roster_write_conflict expected={:?}",
                    written.revision
                );
                written.revision = None;
                Ok(())
            }
            Err(CoordinationError::LeaseExpired) => Err(CoordinationError::LeaseExpired.into()),
            Err(error) => {
                log::warn!("event=roster_not_written cause=\"{error}\"");
                written.revision = None;
                Ok(())
            }
        }
    }

    /// Replaces only the expected revision, so that a delayed write does not overwrite a later one.
    async fn swap(
        &self,
        written: &WrittenRoster,
        value: Vec<u8>,
    ) -> Result<SwapResult, CoordinationError> {
        let expected = match written.revision {
            Some(revision) => revision,
            None => {
                let found = self.coordination.get(ROSTER_KEY).await?;
                found.map_or(0, |record| record.revision)
            }
        };
        self.coordination
            .swap(ROSTER_KEY, expected, value, Some(written.lease))
            .await
    }

    /// Renews the lease unless the record may be outdated.
    async fn renew(&self, written: &WrittenRoster) -> Result<(), MaintainError> {
        if self.roster().is_none() || written.roster.is_none() {
            return Ok(());
        }
        match self.coordination.renew(written.lease).await {
            Ok(()) => Ok(()),
            Err(CoordinationError::LeaseExpired) => Err(CoordinationError::LeaseExpired.into()),
            Err(error) => {
                log::warn!("event=roster_not_renewed cause=\"{error}\"");
                Ok(())
            }
        }
    }
}

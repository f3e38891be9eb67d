//! Keeps the roster at the node that gives orders.

use std::sync::Arc;
use std::time::Duration;

use ladderstage_journal::Peers;
use tokio::time::MissedTickBehavior;

use super::{DiscoveryView, ROSTER_KEY, Roster, RosterDrains, RosterOptions};
use crate::backend::BackendTable;
use crate::config::CurrentConfig;
use crate::coordination::{Coordination, CoordinationError, LeaseId, SwapResult};
use crate::nodes::Nodes;

/// Renewals per lease time: one may be lost, or slow, without the record going.
const RENEWALS_PER_LEASE: u32 = 3;

/// Pause before a roster that could not be kept is begun anew, and between looks whether it is worth its calls.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Where there is no roster yet it is written once no instance has come or gone for this long: while a system starts they come one
/// by one, and all fronts would be told of each.
const SETTLED_AFTER: Duration = Duration::from_secs(2);

/// Longest wait for that.
const SETTLING_LIMIT: Duration = Duration::from_secs(5);

/// Why a roster is kept no more under one lease.
#[derive(Debug, thiserror::Error)]
enum KeepError {
    #[error(transparent)]
    Store(#[from] CoordinationError),
    #[error("too few fronts would read it")]
    FewReaders,
    #[error(transparent)]
    Unwritable(#[from] serde_json::Error),
}

/// Writes the roster while this node gives orders.
pub struct RosterWriter {
    /// The store.
    pub coordination: Arc<dyn Coordination>,
    /// The instances.
    pub backends: BackendTable,
    /// The configuration.
    pub config: CurrentConfig,
    /// As of when they are known here.
    pub view: DiscoveryView,
    /// As of when the drained zones are known here from the store; `None`: no zone is drained in this deployment.
    pub drains: Option<DiscoveryView>,
    /// The other nodes.
    pub nodes: Nodes,
    /// `None`: the notice time is too short for a roster.
    pub options: Option<RosterOptions>,
}

/// What was written under one lease.
struct Kept {
    lease: LeaseId,
    /// Revision of the record; `None`: unknown, as a write got no answer or another node wrote.
    revision: Option<u64>,
    /// What was written last; `None`: nothing under this lease, or in doubt.
    roster: Option<Roster>,
}

impl RosterWriter {
    /// Keeps the roster for as long as the future is polled; its record goes with its lease soon after.
    pub async fn run(&self) {
        let Some(options) = self.options else {
            return std::future::pending().await;
        };
        loop {
            self.view.known().await;
            if let Some(drains) = &self.drains {
                drains.known().await;
            }
            self.settle().await;
            if self.has_readers(&options)
                && let Err(error) = self.keep(&options).await
            {
                log::warn!("event=roster_not_kept cause=\"{error}\"");
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Returns at once if there is a roster, else once the instances have settled.
    async fn settle(&self) {
        match self.coordination.get(ROSTER_KEY).await {
            Ok(Some(_)) => return,
            Ok(None) => {}
            Err(error) => log::warn!("event=roster_not_read cause=\"{error}\""),
        }
        let mut membership = self.backends.watch_membership();
        let settled = async {
            while tokio::time::timeout(SETTLED_AFTER, membership.changed())
                .await
                .is_ok()
            {}
        };
        // It goes on changing: there is a roster all the same.
        let _ = tokio::time::timeout(SETTLING_LIMIT, settled).await;
    }

    fn has_readers(&self, options: &RosterOptions) -> bool {
        self.nodes.successors().len() >= options.least_fronts
    }

    /// Writes the roster under one lease, and renews that while the record tells what is known here.
    async fn keep(&self, options: &RosterOptions) -> Result<(), KeepError> {
        let mut kept = Kept {
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
                _ = membership.changed() => self.write_news(&mut kept).await?,
                _ = config.changed() => self.write_news(&mut kept).await?,
                _ = drained.changed() => self.write_news(&mut kept).await?,
                _ = renewal.tick() => {
                    if !self.has_readers(options) {
                        return Err(KeepError::FewReaders);
                    }
                    self.write_news(&mut kept).await?;
                    self.renew(&kept).await?;
                }
            }
        }
    }

    /// The roster by what is known here; `None` while a part of it is not known.
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
        Some(Roster::of(&self.backends, services, known_at, drains))
    }

    /// Writes the roster if it is not as written; a write that the store does not carry out is tried again later.
    async fn write_news(&self, kept: &mut Kept) -> Result<(), KeepError> {
        let Some(roster) = self.roster() else {
            return Ok(());
        };
        if kept
            .roster
            .as_ref()
            .is_some_and(|kept| kept.is_same(&roster))
        {
            return Ok(());
        }
        kept.roster = None;
        let value = roster.write()?;
        match self.swap(kept, value).await {
            Ok(SwapResult::Won { revision }) => {
                log::info!(
                    "event=roster_written revision={revision} known_at={} instances={} drained={:?}",
                    roster.known_at,
                    roster.instances.len(),
                    roster.drains.as_ref().map(|drains| &drains.zones)
                );
                kept.revision = Some(revision);
                kept.roster = Some(roster);
                Ok(())
            }
            Ok(SwapResult::Lost(_)) => {
                log::info!("event=roster_write_conflict expected={:?}", kept.revision);
                kept.revision = None;
                Ok(())
            }
            Err(CoordinationError::LeaseExpired) => Err(CoordinationError::LeaseExpired.into()),
            Err(error) => {
                log::warn!("event=roster_not_written cause=\"{error}\"");
                kept.revision = None;
                Ok(())
            }
        }
    }

    /// Writes in place of exactly what was there before: a write without an answer that is carried out late finds another
    /// revision.
    async fn swap(&self, kept: &Kept, value: Vec<u8>) -> Result<SwapResult, CoordinationError> {
        let expected = match kept.revision {
            Some(revision) => revision,
            None => {
                let found = self.coordination.get(ROSTER_KEY).await?;
                found.map_or(0, |record| record.revision)
            }
        };
        self.coordination
            .swap(ROSTER_KEY, expected, value, Some(kept.lease))
            .await
    }

    /// Renews the lease, unless the record may be old.
    async fn renew(&self, kept: &Kept) -> Result<(), KeepError> {
        if self.roster().is_none() || kept.roster.is_none() {
            return Ok(());
        }
        match self.coordination.renew(kept.lease).await {
            Ok(()) => Ok(()),
            Err(CoordinationError::LeaseExpired) => Err(CoordinationError::LeaseExpired.into()),
            Err(error) => {
                log::warn!("event=roster_not_renewed cause=\"{error}\"");
                Ok(())
            }
        }
    }
}

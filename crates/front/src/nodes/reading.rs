//! Reads the records of all nodes, one read at a time.
//!
//! Every node reads a record of every other one, so that what they read together grows with the
//! square of their number. The nodes of a large fleet therefore list the records once, and read only
//! the changes after that.

use std::time::Duration;

use tokio::sync::MutexGuard;

use super::{MAX_SMALL_FLEET, NODE_PREFIX, Nodes, lock};
use crate::coordination::{Coordination, CoordinationError, Update, WatchAnswer};

impl Nodes {
    /// Reads the records, which may lag by some seconds.
    pub(super) async fn read_stale(
        &self,
        coordination: &dyn Coordination,
    ) -> Result<(), CoordinationError> {
        let _reading = self.start_reading().await;
        if let Some(revision) = self.large_fleet_revision() {
            return self.read_changes(coordination, revision).await;
        }
        let listing = coordination.list_stale_crowded(NODE_PREFIX).await?;
        self.apply_stale(listing.records, listing.at);
        Ok(())
    }

    /// Reads the records unless they were read within the last `age`.
    ///
    /// # Errors
    /// Returns an error when the store does not answer.
    pub async fn refresh(
        &self,
        coordination: &dyn Coordination,
        age: Duration,
    ) -> Result<(), CoordinationError> {
        let _reading = self.start_reading().await;
        let fresh_read_at = lock(&self.known).fresh_read_at;
        if fresh_read_at.is_some_and(|at| at.elapsed() < age) {
            return Ok(());
        }
        if let Some(revision) = self.large_fleet_revision() {
            return self.read_changes(coordination, revision).await;
        }
        let listing = coordination.list(NODE_PREFIX).await?;
        self.apply(Update::Snapshot(listing.records), listing.at);
        Ok(())
    }

    /// Waits for the read in progress, as its result may make another one needless.
    async fn start_reading(&self) -> MutexGuard<'_, ()> {
        self.reading.lock().await
    }

    /// Returns the revision as of which the nodes are known, if there are so many that only the
    /// changes are read.
    pub(super) fn large_fleet_revision(&self) -> Option<u64> {
        let known = lock(&self.known);
        (known.present.len() > MAX_SMALL_FLEET).then_some(known.at)
    }

    /// Reads the changes after a revision, or all records if the store no longer has the changes.
    async fn read_changes(
        &self,
        coordination: &dyn Coordination,
        revision: u64,
    ) -> Result<(), CoordinationError> {
        match coordination.changes(NODE_PREFIX, revision).await? {
            WatchAnswer::Changes { changes, at } => self.apply(Update::Changes(changes), at),
            WatchAnswer::HistoryCompacted => {
                log::info!("event=store_history_compacted prefix={NODE_PREFIX}");
                let listing = coordination.list_stale_crowded(NODE_PREFIX).await?;
                self.apply_stale(listing.records, listing.at);
            }
        }
        Ok(())
    }
}

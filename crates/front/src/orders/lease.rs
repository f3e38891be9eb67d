//! The right to give orders: a leased record that names the holder, and a lasting one that names the last who gave orders.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::coordination::{Coordination, CoordinationError, LeaseId, SwapResult};

/// The leased record.
const GIVER_KEY: &str = "ladderstage/orders/giver";

/// The lasting record.
const LAST_KEY: &str = "ladderstage/orders/last";

/// How long the lease outlives its holder. Shorter than the time for which a new holder keeps quiet.
const GIVER_LEASE: Duration = Duration::from_millis(1_200);

/// Between renewals.
pub const RENEWAL: Duration = Duration::from_millis(400);

/// For so long the lease is left to the node that gave orders last, which needs not keep quiet.
const PRECEDENCE: Duration = Duration::from_millis(700);

/// A lease that this node holds.
#[derive(Debug)]
pub struct Held {
    lease: LeaseId,
    /// Rises with each holder.
    pub fence: u64,
    /// Until when the lease certainly lasts, by the steady clock from the send of the last renewal.
    pub proven_until: Instant,
    /// Before this an order of the last holder may be too recent.
    quiet_until: Instant,
    /// The lasting record names this node.
    is_last: bool,
}

/// Takes, renews and proves the lease for one node.
pub struct GiverLease {
    /// The store.
    pub coordination: Arc<dyn Coordination>,
    /// Name of this node: the holder, whichever process it runs.
    pub node: String,
    /// Least time between orders of two holders.
    pub quiet: Duration,
}

impl GiverLease {
    /// Takes the lease if it is free.
    ///
    /// # Errors
    /// When the store did not answer; the lease may then be taken without use until it ends.
    pub async fn take(&self) -> Result<Option<Held>, CoordinationError> {
        let record = self.coordination.get(GIVER_KEY).await?;
        // A record of this node is of an earlier process: the same holder, which gives no orders any more.
        let is_own = record
            .as_ref()
            .is_some_and(|record| record.value == self.node.as_bytes());
        if record.is_some() && !is_own {
            return Ok(None);
        }
        let is_last = self.is_last().await?;
        if !is_last && !is_own {
            tokio::time::sleep(PRECEDENCE).await;
        }
        let expected = record.map_or(0, |record| record.revision);
        let asked_at = Instant::now();
        let lease = self.coordination.grant(GIVER_LEASE).await?;
        let value = self.node.clone().into_bytes();
        match self
            .coordination
            .swap(GIVER_KEY, expected, value, Some(lease))
            .await?
        {
            SwapResult::Won { revision } => {
                // Asked again under the lease: nobody else becomes the last holder now.
                let is_last = self.is_last().await?;
                let quiet = if is_last { Duration::ZERO } else { self.quiet };
                log::info!(
                    "event=giver_lease_gained lease={lease} fence={revision} quiet_ms={}",
                    quiet.as_millis()
                );
                Ok(Some(Held {
                    lease,
                    fence: revision,
                    proven_until: asked_at + GIVER_LEASE,
                    quiet_until: Instant::now() + quiet,
                    is_last,
                }))
            }
            SwapResult::Lost(_) => {
                let _ = self.coordination.revoke(lease).await;
                Ok(None)
            }
        }
    }

    /// Waits for the holder's record to go, by a watch that costs one call a change.
    pub async fn wait_until_free(&self) {
        let Ok(listing) = self.coordination.list(GIVER_KEY).await else {
            return;
        };
        if !listing.records.is_empty() {
            let _ = self.coordination.watch(GIVER_KEY, listing.at).await;
        }
    }

    /// Renews the lease.
    ///
    /// # Errors
    /// `LeaseOver` when it is lost; others leave it as it was.
    pub async fn renew(&self, held: &mut Held) -> Result<(), CoordinationError> {
        let asked_at = Instant::now();
        self.coordination.renew(held.lease).await?;
        held.proven_until = asked_at + GIVER_LEASE;
        Ok(())
    }

    /// Whether orders may be given now. Before its first order a holder names itself the last one.
    ///
    /// # Errors
    /// When the store did not take that name; no order may be given then.
    pub async fn may_order(&self, held: &mut Held) -> Result<bool, CoordinationError> {
        if Instant::now() < held.quiet_until {
            return Ok(false);
        }
        if !held.is_last {
            let value = self.node.clone().into_bytes();
            self.coordination.put(LAST_KEY, value, None).await?;
            held.is_last = true;
        }
        Ok(Instant::now() < held.proven_until)
    }

    /// Gives the lease back.
    pub async fn release(&self, held: &Held) {
        let _ = self.coordination.revoke(held.lease).await;
        log::info!("event=giver_lease_released fence={}", held.fence);
    }

    async fn is_last(&self) -> Result<bool, CoordinationError> {
        let last = self.coordination.get(LAST_KEY).await?;
        Ok(last.is_some_and(|record| record.value == self.node.as_bytes()))
    }
}

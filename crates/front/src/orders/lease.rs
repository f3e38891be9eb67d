//! The right to give orders: a leased record that names the holder, and a lasting one that names the last who gave orders.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use tokio::sync::watch;

use crate::coordination::{Coordination, CoordinationError, LeaseId, SwapResult};

/// The leased record.
const GIVER_KEY: &str = "ladderstage/orders/giver";

/// The lasting record.
const LAST_KEY: &str = "ladderstage/orders/last";

/// How long the lease outlives its holder. Shorter than the time for which a new holder keeps quiet.
const GIVER_LEASE: Duration = Duration::from_millis(1_500);

/// Longest wait for a renewal: a lost answer must leave time for two more tries.
const RENEWAL_LIMIT: Duration = Duration::from_millis(400);

/// Pause before a renewal is tried again.
const RENEWAL_RETRY: Duration = Duration::from_millis(80);

/// Between renewals.
const RENEWAL: Duration = Duration::from_millis(400);

/// For so long the lease is left to the node that gave orders last, which needs not keep quiet.
const PRECEDENCE: Duration = Duration::from_millis(700);

/// A lease that this node holds.
#[derive(Debug)]
pub struct Held {
    lease: LeaseId,
    /// Rises with each holder.
    pub fence: u64,
    /// Until when the lease certainly lasts, by the steady clock from the send of the last renewal.
    proven_until: watch::Sender<Instant>,
    /// Before this an order of the last holder may be too recent.
    quiet_until: Instant,
    /// The lasting record names this node.
    is_last: AtomicBool,
}

impl Held {
    /// Until when the lease certainly lasts.
    pub fn proven_until(&self) -> Instant {
        *self.proven_until.borrow()
    }
}

/// Why a lease is held no more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum LeaseLoss {
    /// The store says that it is over.
    #[error("over")]
    Over,
    /// It could not be renewed in time.
    #[error("unproven")]
    Unproven,
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
                    proven_until: watch::Sender::new(asked_at + GIVER_LEASE),
                    quiet_until: Instant::now() + quiet,
                    is_last: AtomicBool::new(is_last),
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

    /// Renews the lease again and again; returns once it is lost.
    pub async fn keep(&self, held: &Held) -> LeaseLoss {
        tokio::time::sleep(RENEWAL).await;
        loop {
            match self.renew(held).await {
                Ok(()) => tokio::time::sleep(RENEWAL).await,
                Err(CoordinationError::LeaseOver) => return LeaseLoss::Over,
                Err(error) => {
                    log::warn!("event=giver_lease_not_renewed cause=\"{error}\"");
                    tokio::time::sleep(RENEWAL_RETRY).await;
                }
            }
            if Instant::now() >= held.proven_until() {
                return LeaseLoss::Unproven;
            }
        }
    }

    async fn renew(&self, held: &Held) -> Result<(), CoordinationError> {
        let asked_at = Instant::now();
        let renewal = self.coordination.renew(held.lease);
        let renewed = tokio::time::timeout(RENEWAL_LIMIT, renewal).await;
        renewed.unwrap_or_else(|_| {
            let cause = "no answer to a renewal in time".to_owned();
            Err(CoordinationError::Unknown(cause))
        })?;
        held.proven_until.send_replace(asked_at + GIVER_LEASE);
        Ok(())
    }

    /// Whether orders may be given now. Before its first order a holder names itself the last one.
    ///
    /// # Errors
    /// When the store did not take that name; no order may be given then.
    pub async fn may_order(&self, held: &Held) -> Result<bool, CoordinationError> {
        if Instant::now() < held.quiet_until {
            return Ok(false);
        }
        if !held.is_last.load(Ordering::Relaxed) {
            let value = self.node.clone().into_bytes();
            self.coordination.put(LAST_KEY, value, None).await?;
            held.is_last.store(true, Ordering::Relaxed);
        }
        Ok(Instant::now() < held.proven_until())
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

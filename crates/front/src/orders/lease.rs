//! The right to give orders: a leased record that names the holder, and a lasting one that names the last who gave orders.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use ladderstage_clock::Instant;
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

/// Who gave orders last, as the lasting record names them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LastLeader {
    /// Its node.
    pub node: String,
    /// The fence of its lease.
    pub fence: u64,
}

impl LastLeader {
    fn write(&self) -> Vec<u8> {
        format!("{} {}", self.node, self.fence).into_bytes()
    }

    /// Processes of an earlier version wrote only the node.
    fn read(value: &[u8]) -> Self {
        let text = String::from_utf8_lossy(value);
        let (node, fence) = text.split_once(' ').unwrap_or((&text, ""));
        Self {
            node: node.to_owned(),
            fence: fence.parse().unwrap_or(0),
        }
    }
}

/// A lease that this node holds.
#[derive(Debug)]
pub struct HeldLease {
    lease: LeaseId,
    /// Rises with each holder.
    pub fence: u64,
    /// Who gave orders before; `None`: nobody.
    pub last: Option<LastLeader>,
    /// Until when the lease certainly lasts, by the steady clock from the send of the last renewal.
    valid_until: watch::Sender<Instant>,
    /// Before this an order of the last holder may be too recent.
    quiet_until: watch::Sender<Instant>,
    /// The lasting record names this holder.
    is_named: AtomicBool,
}

impl HeldLease {
    /// Until when the lease certainly lasts.
    pub fn valid_until(&self) -> Instant {
        *self.valid_until.borrow()
    }

    /// Follows until when the lease certainly lasts.
    pub fn watch_proof(&self) -> watch::Receiver<Instant> {
        self.valid_until.subscribe()
    }

    /// Whether this holder may have given orders.
    pub fn is_named(&self) -> bool {
        self.is_named.load(Ordering::Relaxed)
    }

    /// Whether an order of the last holder may still be too recent.
    pub fn is_quiet(&self) -> bool {
        Instant::now() < *self.quiet_until.borrow()
    }

    /// Ends the quiet time: it is known which orders the last holder gave when.
    pub fn end_quiet(&self) {
        self.quiet_until.send_replace(Instant::now());
    }
}

/// Why a lease is held no more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum LeaseLoss {
    /// The store says that it is over.
    #[error("over")]
    Expired,
    /// It could not be renewed in time.
    #[error("unproven")]
    Unproven,
}

/// Takes, renews and proves the lease for one node.
pub struct OrdersLease {
    /// The store.
    pub coordination: Arc<dyn Coordination>,
    /// Name of this node: the holder, whichever process it runs.
    pub node: String,
    /// Least time between orders of two holders.
    pub quiet_period: Duration,
}

impl OrdersLease {
    /// Takes the lease if it is free.
    ///
    /// # Errors
    /// When the store did not answer; the lease may then be taken without use until it ends.
    pub async fn acquire(&self) -> Result<Option<HeldLease>, CoordinationError> {
        let record = self.coordination.get(GIVER_KEY).await?;
        // A record of this node is of an earlier process: the same holder, which gives no orders any more.
        let is_own = record
            .as_ref()
            .is_some_and(|record| record.value == self.node.as_bytes());
        if record.is_some() && !is_own {
            return Ok(None);
        }
        let found_free_at = Instant::now();
        let last_before = self.last().await?;
        if !self.is_own(last_before.as_ref()) && !is_own {
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
                let last = self.last().await?;
                // A holder in between has named itself before its first order.
                let last_order_before = if last == last_before {
                    found_free_at
                } else {
                    Instant::now()
                };
                let quiet_until = if self.is_own(last.as_ref()) || last.is_none() {
                    Instant::now()
                } else {
                    last_order_before + self.quiet_period
                };
                log::info!(
                    "event=orders_lease_acquired lease={lease} fence={revision} last={last:?} quiet_ms={}",
                    quiet_until
                        .saturating_duration_since(Instant::now())
                        .as_millis()
                );
                Ok(Some(HeldLease {
                    lease,
                    fence: revision,
                    last,
                    valid_until: watch::Sender::new(asked_at + GIVER_LEASE),
                    quiet_until: watch::Sender::new(quiet_until),
                    is_named: AtomicBool::new(false),
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
    pub async fn renew_until_lost(&self, held: &HeldLease) -> LeaseLoss {
        tokio::time::sleep(RENEWAL).await;
        loop {
            match self.renew(held).await {
                Ok(()) => tokio::time::sleep(RENEWAL).await,
                Err(CoordinationError::LeaseExpired) => return LeaseLoss::Expired,
                Err(error) => {
                    log::warn!("event=orders_lease_renewal_failed cause=\"{error}\"");
                    tokio::time::sleep(RENEWAL_RETRY).await;
                }
            }
            if Instant::now() >= held.valid_until() {
                return LeaseLoss::Unproven;
            }
        }
    }

    async fn renew(&self, held: &HeldLease) -> Result<(), CoordinationError> {
        let asked_at = Instant::now();
        let renewal = self.coordination.renew(held.lease);
        let renewed = tokio::time::timeout(RENEWAL_LIMIT, renewal).await;
        renewed.unwrap_or_else(|_| {
            let cause = "no answer to a renewal in time".to_owned();
            Err(CoordinationError::Unknown(cause))
        })?;
        held.valid_until.send_replace(asked_at + GIVER_LEASE);
        Ok(())
    }

    /// Whether orders may be given now. Before its first order a holder names itself the last one.
    ///
    /// # Errors
    /// When the store did not take that name; no order may be given then.
    pub async fn may_issue_orders(&self, held: &HeldLease) -> Result<bool, CoordinationError> {
        if held.is_quiet() {
            return Ok(false);
        }
        if !held.is_named() {
            let own = LastLeader {
                node: self.node.clone(),
                fence: held.fence,
            };
            self.coordination.put(LAST_KEY, own.write(), None).await?;
            held.is_named.store(true, Ordering::Relaxed);
        }
        Ok(Instant::now() < held.valid_until())
    }

    /// Gives the lease back.
    pub async fn release(&self, held: &HeldLease) {
        let _ = self.coordination.revoke(held.lease).await;
        log::info!("event=orders_lease_released fence={}", held.fence);
    }

    async fn last(&self) -> Result<Option<LastLeader>, CoordinationError> {
        let record = self.coordination.get(LAST_KEY).await?;
        Ok(record.map(|record| LastLeader::read(&record.value)))
    }

    /// Whether this node gave orders last.
    fn is_own(&self, last: Option<&LastLeader>) -> bool {
        last.is_some_and(|last| last.node == self.node)
    }
}

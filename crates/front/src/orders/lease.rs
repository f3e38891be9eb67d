//! Orders lease: the lease whose holder issues weight-load orders.
//!
//! A record attached to the lease names the current holder, and a persistent one names the node
//! that issued orders last.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use ladderstage_clock::Instant;
use tokio::sync::watch;

use crate::coordination::{Coordination, CoordinationError, LeaseId, Record, SwapResult};

/// Key of the leased record.
const LEASE_KEY: &str = "ladderstage/orders/giver";

/// Key of the persistent record.
const LAST_LEADER_KEY: &str = "ladderstage/orders/last";

/// Lifetime of the lease after its last renewal. Shorter than the quiet period of a new holder.
const LEASE_DURATION: Duration = Duration::from_millis(1_500);

/// Timeout of one renewal; short enough to retry twice after a lost answer.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(400);

/// Pause before a failed renewal is retried.
const RENEWAL_RETRY_PAUSE: Duration = Duration::from_millis(80);

/// Interval between renewals.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(400);

/// Delay before other nodes than the last leader try to acquire a free lease. The last leader goes
/// first because it needs no quiet period.
const PRECEDENCE_DELAY: Duration = Duration::from_millis(700);

/// Node that issued orders last, as stored in the persistent record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LastLeader {
    /// Name of the node.
    pub node: String,
    /// Fencing token of its lease.
    pub fence: u64,
}

impl LastLeader {
    fn write(&self) -> Vec<u8> {
        format!("{} {}", self.node, self.fence).into_bytes()
    }

    /// Earlier versions stored the node without a fence.
    fn read(value: &[u8]) -> Self {
        let text = String::from_utf8_lossy(value);
        let (node, fence) = text.split_once(' ').unwrap_or((&text, ""));
        Self {
            node: node.to_owned(),
            fence: fence.parse().unwrap_or(0),
        }
    }
}

/// Orders lease that this node holds.
#[derive(Debug)]
pub struct HeldLease {
    lease: LeaseId,
    /// Fencing token; increases with each holder.
    pub fence: u64,
    /// Node that issued orders last; `None` if no orders were ever issued.
    pub last: Option<LastLeader>,
    /// Time until which the lease is certain to be valid, counted on the monotonic clock from the
    /// start of the last renewal.
    valid_until: watch::Sender<Instant>,
    /// End of the quiet period after the previous leader's orders.
    quiet_until: watch::Sender<Instant>,
    /// Whether the persistent record names this holder.
    is_recorded: AtomicBool,
    /// Revision of the persistent record as last read; 0 if there was none.
    last_revision: AtomicU64,
}

impl HeldLease {
    /// Returns the time until which the lease is certain to be valid.
    pub fn valid_until(&self) -> Instant {
        *self.valid_until.borrow()
    }

    fn is_valid(&self) -> bool {
        Instant::now() < self.valid_until()
    }

    /// Watches the time until which the lease is certain to be valid.
    pub fn watch_validity(&self) -> watch::Receiver<Instant> {
        self.valid_until.subscribe()
    }

    /// Returns true if this holder may have issued orders.
    pub fn is_recorded(&self) -> bool {
        self.is_recorded.load(Ordering::Relaxed)
    }

    /// Returns true if `found`, which a write of `own` lost to, is an earlier write of `own` whose
    /// answer was lost. The next write takes the place of an earlier holder's late one.
    fn is_recorded_by(&self, found: Option<&Record>, own: &LastLeader) -> bool {
        let last = found.map(last_leader);
        if last.as_ref() == Some(own) {
            return true;
        }
        // An earlier holder issued no orders after this holder had read the record.
        if let (Some(record), Some(last)) = (found, &last)
            && last.fence < own.fence
        {
            self.last_revision.store(record.revision, Ordering::Relaxed);
        }
        log::warn!(
            "event=orders_lease_not_recorded fence={} found={last:?}",
            own.fence
        );
        false
    }

    /// Returns true during the quiet period after the previous leader's orders.
    pub fn is_in_quiet_period(&self) -> bool {
        Instant::now() < *self.quiet_until.borrow()
    }

    /// Ends the quiet period, because the previous leader's recent orders are known.
    pub fn end_quiet_period(&self) {
        self.quiet_until.send_replace(Instant::now());
    }
}

/// Reason for which a lease was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum LeaseLoss {
    /// The store reports that the lease has expired.
    #[error("expired")]
    Expired,
    /// The lease could not be renewed in time.
    #[error("not_renewed")]
    NotRenewed,
}

/// Acquires, renews and verifies the orders lease for one node.
pub struct OrdersLease {
    /// Client of the coordination store.
    pub coordination: Arc<dyn Coordination>,
    /// Name of this node; a restarted process counts as the same holder.
    pub node: String,
    /// Minimum time between orders of two holders.
    pub quiet_period: Duration,
}

impl OrdersLease {
    /// Acquires the lease if it is free.
    ///
    /// # Errors
    /// When the store does not answer. The lease may then be held, unused, until it expires.
    pub async fn acquire(&self) -> Result<Option<HeldLease>, CoordinationError> {
        let record = self.coordination.get(LEASE_KEY).await?;
        // A record that names this node belongs to an earlier process, which issues no more orders.
        let is_own = record
            .as_ref()
            .is_some_and(|record| record.value == self.node.as_bytes());
        if record.is_some() && !is_own {
            return Ok(None);
        }
        let found_free_at = Instant::now();
        let last_before = self.last_record().await?;
        let last_before = last_before.as_ref().map(last_leader);
        if !self.is_own(last_before.as_ref()) && !is_own {
            tokio::time::sleep(PRECEDENCE_DELAY).await;
        }
        let expected = record.map_or(0, |record| record.revision);
        let requested_at = Instant::now();
        let lease = self.coordination.grant(LEASE_DURATION).await?;
        let value = self.node.clone().into_bytes();
        match self
            .coordination
            .swap(LEASE_KEY, expected, value, Some(lease))
            .await?
        {
            SwapResult::Won { revision } => {
                // Read again under the lease, when no other node can become the last leader.
                let last_record = self.last_record().await?;
                let last = last_record.as_ref().map(last_leader);
                // Any holder in between recorded itself before its first order.
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
                    valid_until: watch::Sender::new(requested_at + LEASE_DURATION),
                    quiet_until: watch::Sender::new(quiet_until),
                    is_recorded: AtomicBool::new(false),
                    last_revision: AtomicU64::new(last_record.map_or(0, |record| record.revision)),
                }))
            }
            SwapResult::Lost(_) => {
                let _ = self.coordination.revoke(lease).await;
                Ok(None)
            }
        }
    }

    /// Waits with a watch until the holder's record is gone.
    pub async fn wait_until_free(&self) {
        let Ok(listing) = self.coordination.list(LEASE_KEY).await else {
            return;
        };
        if !listing.records.is_empty() {
            let _ = self.coordination.watch(LEASE_KEY, listing.at).await;
        }
    }

    /// Renews the lease until it is lost.
    pub async fn renew_until_lost(&self, held: &HeldLease) -> LeaseLoss {
        tokio::time::sleep(RENEWAL_INTERVAL).await;
        loop {
            match self.renew(held).await {
                Ok(()) => tokio::time::sleep(RENEWAL_INTERVAL).await,
                Err(CoordinationError::LeaseExpired) => return LeaseLoss::Expired,
                Err(error) => {
                    log::warn!("event=orders_lease_renewal_failed cause=\"{error}\"");
                    tokio::time::sleep(RENEWAL_RETRY_PAUSE).await;
                }
            }
            if Instant::now() >= held.valid_until() {
                return LeaseLoss::NotRenewed;
            }
        }
    }

    async fn renew(&self, held: &HeldLease) -> Result<(), CoordinationError> {
        let requested_at = Instant::now();
        let renewal = self.coordination.renew(held.lease);
        let renewed = tokio::time::timeout(RENEWAL_TIMEOUT, renewal).await;
        renewed.unwrap_or_else(|_| {
            let cause = "lease renewal timed out".to_owned();
            Err(CoordinationError::Unknown(cause))
        })?;
        held.valid_until.send_replace(requested_at + LEASE_DURATION);
        Ok(())
    }

    /// Returns true if orders may be issued now. Records this holder as the last leader before its
    /// first order; returns false if another holder's record came first.
    ///
    /// # Errors
    /// When the store did not accept that record. No order may be issued then.
    pub async fn may_issue_orders(&self, held: &HeldLease) -> Result<bool, CoordinationError> {
        if held.is_in_quiet_period() {
            return Ok(false);
        }
        // The record may have been read after the lease had ended, and may name a later holder.
        if !held.is_valid() {
            return Ok(false);
        }
        if !held.is_recorded() && !self.record_holder(held).await? {
            return Ok(false);
        }
        Ok(held.is_valid())
    }

    /// Releases the lease.
    pub async fn release(&self, held: &HeldLease) {
        let _ = self.coordination.revoke(held.lease).await;
        log::info!("event=orders_lease_released fence={}", held.fence);
    }

    /// Records this holder as the last leader, and returns whether it is recorded. The write has a
    /// condition, because it may be executed after a later holder has recorded itself.
    async fn record_holder(&self, held: &HeldLease) -> Result<bool, CoordinationError> {
        let own = LastLeader {
            node: self.node.clone(),
            fence: held.fence,
        };
        let expected = held.last_revision.load(Ordering::Relaxed);
        let swap = self
            .coordination
            .swap(LAST_LEADER_KEY, expected, own.write(), None);
        let is_recorded = match swap.await? {
            SwapResult::Won { .. } => true,
            SwapResult::Lost(found) => held.is_recorded_by(found.as_ref(), &own),
        };
        if is_recorded {
            held.is_recorded.store(true, Ordering::Relaxed);
        }
        Ok(is_recorded)
    }

    async fn last_record(&self) -> Result<Option<Record>, CoordinationError> {
        self.coordination.get(LAST_LEADER_KEY).await
    }

    /// Returns true if this node issued orders last.
    fn is_own(&self, last: Option<&LastLeader>) -> bool {
        last.is_some_and(|last| last.node == self.node)
    }
}

fn last_leader(record: &Record) -> LastLeader {
    LastLeader::read(&record.value)
}

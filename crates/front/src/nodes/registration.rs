//! Maintains this node's record under a lease.

use std::sync::Arc;
use std::time::Duration;

use ladderstage_clock::Instant;
use tokio::sync::watch;

use super::{NodeRole, Nodes};
use crate::activity::Activity;
use crate::coordination::{Coordination, CoordinationError, LeaseId, SwapResult};

/// Lease duration of a node that other nodes depend on.
const SHORT_LEASE: Duration = Duration::from_secs(3);

/// Renewal interval of the short lease.
const SHORT_RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

/// Lease duration of an idle front that is not one of the fronts with the most CPU time, or knows
/// no other front. Such a front gets no jobs from other nodes, and its absence is noticed when a
/// call to it fails. The long lease saves calls to the store.
const LONG_LEASE: Duration = Duration::from_secs(9);

/// Renewal interval of the long lease. Renewals also show whether the store answers: `ingress`
/// treats the configuration as the newest for 2.5 s after an answer.
const LONG_RENEWAL_INTERVAL: Duration = Duration::from_millis(2_200);

/// Delay after a failed renewal or registration.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Length of the lease of this node's record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LeaseKind {
    Short,
    Long,
}

impl LeaseKind {
    /// Returns the lease that this node's record currently requires.
    fn required(nodes: &Nodes, activity: &Activity) -> Self {
        let has_work = nodes.own().role == NodeRole::Store || activity.is_active();
        if has_work || nodes.knows_other_fronts() && nodes.is_strongest() {
            Self::Short
        } else {
            Self::Long
        }
    }

    fn ttl(self) -> Duration {
        match self {
            Self::Short => SHORT_LEASE,
            Self::Long => LONG_LEASE,
        }
    }

    fn renewal(self) -> Duration {
        match self {
            Self::Short => SHORT_RENEWAL_INTERVAL,
            Self::Long => LONG_RENEWAL_INTERVAL,
        }
    }
}

/// Reason why a lease is no longer renewed.
enum LeaseEnd {
    /// The lease expired, or may have.
    Expired,
    /// The record requires the short lease.
    TooLong,
    /// The record was removed although the lease is renewed.
    RecordLost,
}

/// Maintains the record until the future is dropped.
pub(super) async fn maintain_record(
    nodes: &Nodes,
    coordination: &Arc<dyn Coordination>,
    activity: &Activity,
) {
    loop {
        let kind = LeaseKind::required(nodes, activity);
        let lease = match register(nodes, coordination, kind).await {
            Ok(lease) => lease,
            Err(error) => {
                log::warn!("event=node_not_registered cause=\"{error}\"");
                tokio::time::sleep(RETRY_DELAY).await;
                continue;
            }
        };
        let node = nodes.own().node;
        let ttl = kind.ttl().as_millis();
        log::info!("event=node_registered node={node} lease={lease} ttl_ms={ttl}");
        match renew_until_ended(nodes, coordination, lease, kind, activity).await {
            LeaseEnd::Expired => log::warn!("event=node_lease_expired node={node} lease={lease}"),
            LeaseEnd::TooLong => log::info!("event=node_lease_too_long node={node} lease={lease}"),
            LeaseEnd::RecordLost => log::warn!("event=node_record_lost node={node} lease={lease}"),
        }
    }
}

async fn register(
    nodes: &Nodes,
    coordination: &Arc<dyn Coordination>,
    kind: LeaseKind,
) -> Result<LeaseId, CoordinationError> {
    let lease = coordination.grant(kind.ttl()).await?;
    let sent_at = Instant::now();
    write_record(nodes, coordination, lease).await?;
    nodes.record_store_contact(sent_at);
    Ok(lease)
}

/// Number of attempts to write the record over one that was written meanwhile.
const WRITE_ATTEMPTS: usize = 4;

/// Writes this node's record in place of the newest one. A write that was not answered may be applied
/// later; by then its condition no longer holds, so it cannot put the record back under the lease of
/// an earlier attempt.
async fn write_record(
    nodes: &Nodes,
    coordination: &Arc<dyn Coordination>,
    lease: LeaseId,
) -> Result<(), CoordinationError> {
    let own = nodes.own();
    let value = serde_json::to_vec(&own).unwrap_or_default();
    let key = nodes.own_key();
    let mut expected = nodes.own_revision();
    for _ in 0..WRITE_ATTEMPTS {
        let swapped = coordination.swap(&key, expected, value.clone(), Some(lease));
        match swapped.await? {
            SwapResult::Won { revision } => {
                nodes.record_own_write(revision);
                return Ok(());
            }
            SwapResult::Lost(current) => expected = current.map_or(0, |record| record.revision),
        }
    }
    let cause = "the record of this node keeps changing".to_owned();
    Err(CoordinationError::Refused(cause))
}

/// Waits until the known records are newer than the last write of this node's record and do not contain
/// it.
async fn wait_until_lost(nodes: &Nodes, own_lost: &mut watch::Receiver<u64>) {
    // The sender is owned by `nodes`, so this does not fail.
    let _ = own_lost
        .wait_for(|lost_at| *lost_at > nodes.own_revision())
        .await;
}

/// Renews the lease until it has expired or is too long, or the record is lost.
async fn renew_until_ended(
    nodes: &Nodes,
    coordination: &Arc<dyn Coordination>,
    lease: LeaseId,
    kind: LeaseKind,
    activity: &Activity,
) -> LeaseEnd {
    let mut own_changed = nodes.own_changed.subscribe();
    let mut own_lost = nodes.own_lost.subscribe();
    let mut last_sent_at = Instant::now();
    loop {
        let renew_at = last_sent_at + kind.renewal();
        tokio::select! {
            () = tokio::time::sleep_until(renew_at.into()) => {}
            () = activity.wait_until_active(), if kind == LeaseKind::Long => return LeaseEnd::TooLong,
            () = wait_until_lost(nodes, &mut own_lost) => return LeaseEnd::RecordLost,
            _ = own_changed.changed() => {
                if write_record(nodes, coordination, lease).await.is_err() {
                    return LeaseEnd::Expired;
                }
            }
        }
        if kind == LeaseKind::Long && LeaseKind::required(nodes, activity) == LeaseKind::Short {
            return LeaseEnd::TooLong;
        }
        last_sent_at = Instant::now();
        match coordination.renew(lease).await {
            Ok(()) => nodes.record_store_contact(last_sent_at),
            Err(CoordinationError::LeaseExpired) => return LeaseEnd::Expired,
            Err(error) => {
                log::warn!("event=node_lease_not_renewed cause=\"{error}\"");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

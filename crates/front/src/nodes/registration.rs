//! Keeps this node's own record, under a lease.

use std::sync::Arc;
use std::time::Duration;

use super::{NODE_PREFIX, NodeRole, Nodes};
use crate::activity::Activity;
use crate::coordination::{Coordination, CoordinationError, LeaseId};

/// How long the record of a node that others work with outlives it.
const NODE_LEASE: Duration = Duration::from_secs(3);

/// Between renewals of that.
const RENEWAL: Duration = Duration::from_secs(1);

/// The same for a front without work that is none of the strongest: nobody hands it any, and whoever calls it notices that it is
/// gone. With hundreds of nodes the renewals are a sixth of what the store's calls cost.
const IDLE_LEASE: Duration = Duration::from_secs(9);

/// Between renewals of that. They also show whether the store answers: a configuration counts as the newest for 2.5 s after that
/// (`ingress`).
const IDLE_RENEWAL: Duration = Duration::from_millis(2_200);

/// Pause after a failed renewal or registration.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// How long a record outlives its node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LeaseKind {
    Short,
    Long,
}

impl LeaseKind {
    /// What this node's record needs now.
    fn needed(nodes: &Nodes, activity: &Activity) -> Self {
        let has_work = nodes.own().role == NodeRole::Store || activity.is_active();
        if has_work || nodes.knows_others() && nodes.is_strongest() {
            Self::Short
        } else {
            Self::Long
        }
    }

    fn ttl(self) -> Duration {
        match self {
            Self::Short => NODE_LEASE,
            Self::Long => IDLE_LEASE,
        }
    }

    fn renewal(self) -> Duration {
        match self {
            Self::Short => RENEWAL,
            Self::Long => IDLE_RENEWAL,
        }
    }
}

/// Why a lease is renewed no more.
enum LeaseEnd {
    /// It is over, or may be.
    Over,
    /// The record needs a shorter one.
    TooLong,
}

/// Keeps the record for as long as the future is polled.
pub(super) async fn keep(nodes: &Nodes, coordination: &Arc<dyn Coordination>, activity: &Activity) {
    loop {
        let kind = LeaseKind::needed(nodes, activity);
        let lease = match register(nodes, coordination, kind).await {
            Ok(lease) => lease,
            Err(error) => {
                log::warn!("event=node_not_registered cause=\"{error}\"");
                tokio::time::sleep(RETRY_PAUSE).await;
                continue;
            }
        };
        let node = nodes.own().node;
        let ttl = kind.ttl().as_millis();
        log::info!("event=node_registered node={node} lease={lease} ttl_ms={ttl}");
        match renew_until_over(nodes, coordination, lease, kind, activity).await {
            LeaseEnd::Over => log::warn!("event=node_lease_expired node={node} lease={lease}"),
            LeaseEnd::TooLong => log::info!("event=node_lease_too_long node={node} lease={lease}"),
        }
    }
}

async fn register(
    nodes: &Nodes,
    coordination: &Arc<dyn Coordination>,
    kind: LeaseKind,
) -> Result<LeaseId, CoordinationError> {
    let lease = coordination.grant(kind.ttl()).await?;
    write_record(nodes, coordination, lease).await?;
    nodes.note_contact();
    Ok(lease)
}

async fn write_record(
    nodes: &Nodes,
    coordination: &Arc<dyn Coordination>,
    lease: LeaseId,
) -> Result<(), CoordinationError> {
    let own = nodes.own();
    let value = serde_json::to_vec(&own).unwrap_or_default();
    let key = format!("{NODE_PREFIX}{}", own.node);
    coordination.put(&key, value, Some(lease)).await
}

/// Returns once the lease is over, or too long.
async fn renew_until_over(
    nodes: &Nodes,
    coordination: &Arc<dyn Coordination>,
    lease: LeaseId,
    kind: LeaseKind,
    activity: &Activity,
) -> LeaseEnd {
    let mut own_changed = nodes.own_changed.subscribe();
    loop {
        tokio::select! {
            () = tokio::time::sleep(kind.renewal()) => {}
            () = activity.wait_until_active(), if kind == LeaseKind::Long => return LeaseEnd::TooLong,
            _ = own_changed.changed() => {
                if write_record(nodes, coordination, lease).await.is_err() {
                    return LeaseEnd::Over;
                }
            }
        }
        if kind == LeaseKind::Long && LeaseKind::needed(nodes, activity) == LeaseKind::Short {
            return LeaseEnd::TooLong;
        }
        match coordination.renew(lease).await {
            Ok(()) => nodes.note_contact(),
            Err(CoordinationError::LeaseExpired) => return LeaseEnd::Over,
            Err(error) => {
                log::warn!("event=node_lease_not_renewed cause=\"{error}\"");
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

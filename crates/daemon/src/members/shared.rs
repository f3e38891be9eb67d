//! State shared by the probe task, the handlers and the clones of `Members`.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use ladderstage::ids::NodeName;
use ladderstage::membership::{Membership, MembershipConfig};
use ladderstage_transport::Client;
use ladderstage_wire::messages::{Member, Ping, PingAck};

use super::MemberHooks;
use crate::settings::Settings;

/// Shared state. Its lock is never held over an await.
pub(super) struct Shared {
    pub client: Client,
    pub hooks: Arc<dyn MemberHooks>,
    pub seeds: Vec<SocketAddr>,
    pub probe_interval: Duration,
    pub probe_timeout: Duration,
    overrides: BTreeMap<NodeName, SocketAddr>,
    started: Instant,
    membership: Mutex<Membership>,
}

impl Shared {
    pub fn new(
        settings: &Settings,
        own: Member,
        own_addresses: &[SocketAddr],
        client: Client,
        hooks: Arc<dyn MemberHooks>,
    ) -> Self {
        let mut seeds = settings.seeds.clone();
        seeds.retain(|seed| !own_addresses.contains(seed));
        let timing = &settings.timing;
        let config = MembershipConfig {
            probe_interval: Duration::from_millis(timing.probe_interval_ms),
            suspicion_timeout: Duration::from_millis(timing.suspicion_ms),
            seeds: seeds.len(),
        };
        Self {
            client,
            hooks,
            seeds,
            probe_interval: config.probe_interval,
            probe_timeout: Duration::from_millis(timing.probe_timeout_ms),
            overrides: settings.peer_addresses.clone(),
            started: Instant::now(),
            membership: Mutex::new(Membership::new(own, config)),
        }
    }

    pub fn membership(&self) -> MutexGuard<'_, Membership> {
        self.membership
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time on the scale of the state machine.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn address(&self, node: &str) -> Option<SocketAddr> {
        if let Some(address) = self.overrides.get(node) {
            return Some(*address);
        }
        self.membership().find(node)?.peer_address.parse().ok()
    }

    /// Returns the address of a member: the override in the settings, or the one in its entry.
    pub fn address_of(&self, member: &Member) -> Option<SocketAddr> {
        let overridden = self.overrides.get(&member.node).copied();
        overridden.or_else(|| member.peer_address.parse().ok())
    }

    pub fn new_ping(&self, target: &str) -> Ping {
        let evidence = self.hooks.evidence();
        let replica_set_version = self.hooks.replica_set_version();
        let mut membership = self.membership();
        Ping {
            from: membership.own().node.clone(),
            target: target.to_owned(),
            updates: membership.updates_for(target),
            evidence: Some(evidence),
            replica_set_version,
        }
    }

    pub fn new_ack(&self, peer: &str, reached: bool) -> PingAck {
        let evidence = self.hooks.evidence();
        let replica_set_version = self.hooks.replica_set_version();
        let mut membership = self.membership();
        PingAck {
            node: membership.own().node.clone(),
            updates: membership.updates_for(peer),
            evidence: Some(evidence),
            replica_set_version,
            reached,
        }
    }

    /// Applies a member's answer to a ping sent at `sent_at`.
    pub fn apply_ack(&self, ack: PingAck, sent_at: Instant) {
        let now = self.now();
        {
            let mut membership = self.membership();
            membership.merge(ack.updates, now);
            membership.record_contact(&ack.node, now);
        }
        if let Some(evidence) = &ack.evidence {
            self.hooks.observe_evidence(&ack.node, evidence, sent_at);
        }
        self.hooks
            .observe_replica_set_version(&ack.node, ack.replica_set_version);
    }
}

impl fmt::Debug for Shared {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Shared")
            .field("node", &self.membership().own().node)
            .finish_non_exhaustive()
    }
}

/// Returns the wall-clock time, which orders the processes of a node name and is shown to operators.
pub(super) fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |elapsed| elapsed.as_millis() as u64)
}

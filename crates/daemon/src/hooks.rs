//! Hooks that connect membership and the journal with the bundles, the replica set and the shards.

use std::sync::{Arc, Weak};
use std::time::Instant;

use ladderstage_wire::messages::{BundleEvidence, ShardNotice};

use crate::journal::JournalHooks;
use crate::members::MemberHooks;
use crate::node::NodeComponents;
use crate::peer_handler::ComponentsSlot;

/// Forwards information from pings and heartbeats to the other components.
#[derive(Debug)]
pub struct Hooks {
    components: ComponentsSlot,
}

impl Hooks {
    /// Creates hooks that do nothing until the slot is filled.
    pub fn new(components: ComponentsSlot) -> Self {
        Self { components }
    }

    fn components(&self) -> Option<Arc<NodeComponents>> {
        self.components.get().and_then(Weak::upgrade)
    }

    fn own_bundle_evidence(&self) -> BundleEvidence {
        self.components()
            .map(|components| components.bundles.evidence())
            .unwrap_or_default()
    }
}

impl MemberHooks for Hooks {
    fn evidence(&self) -> BundleEvidence {
        self.own_bundle_evidence()
    }

    fn observe_evidence(&self, from: &str, evidence: &BundleEvidence, asked_at: Instant) {
        if let Some(components) = self.components() {
            components
                .bundles
                .observe_evidence(from, evidence, asked_at);
        }
    }

    fn replica_set_version(&self) -> u64 {
        self.components()
            .map_or(0, |components| components.replica_sets.version())
    }

    fn observe_replica_set_version(&self, from: &str, version: u64) {
        if let Some(components) = self.components() {
            let peers = Arc::new(components.members.clone());
            components
                .replica_sets
                .on_peer_version(peers, from, version);
        }
    }
}

impl JournalHooks for Hooks {
    fn own_evidence(&self) -> BundleEvidence {
        self.own_bundle_evidence()
    }

    fn heartbeat_round(
        &self,
        asked_at: ladderstage_clock::Instant,
        evidence: Vec<BundleEvidence>,
        majority: bool,
    ) {
        if let Some(components) = self.components() {
            let asked_at = asked_at.to_std();
            components
                .bundles
                .heartbeat_round(asked_at, &evidence, majority);
        }
    }

    fn fenced(&self, log: &str) {
        if let Some(components) = self.components() {
            components.shards.fenced(log);
        }
    }

    fn orphaned(&self, logs: Vec<String>) {
        let Some(components) = self.components() else {
            return;
        };
        tokio::spawn(async move {
            components
                .shards
                .handle_shard_notice(ShardNotice {
                    logs,
                    from_owner: false,
                    epochs: Vec::new(),
                })
                .await;
        });
    }
}

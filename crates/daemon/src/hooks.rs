//! Joins membership and the journal to the bundle, the replica set and the shards, without these knowing each other.

use std::sync::{Arc, Weak};
use std::time::Instant;

use ladderstage_wire::messages::{BundleEvidence, ShardNotice};

use crate::journal::JournalHooks;
use crate::members::MemberHooks;
use crate::node::Parts;
use crate::peer_handler::PartsSlot;

/// Hands on what pings and heartbeats bring.
#[derive(Debug)]
pub struct Hooks {
    parts: PartsSlot,
}

impl Hooks {
    /// Does nothing until `parts` is filled.
    pub fn new(parts: PartsSlot) -> Self {
        Self { parts }
    }

    fn parts(&self) -> Option<Arc<Parts>> {
        self.parts.get().and_then(Weak::upgrade)
    }

    fn own_bundle_evidence(&self) -> BundleEvidence {
        self.parts()
            .map(|parts| parts.bundles.evidence())
            .unwrap_or_default()
    }
}

impl MemberHooks for Hooks {
    fn evidence(&self) -> BundleEvidence {
        self.own_bundle_evidence()
    }

    fn observe_evidence(&self, from: &str, evidence: &BundleEvidence, asked_at: Instant) {
        if let Some(parts) = self.parts() {
            parts.bundles.observe_evidence(from, evidence, asked_at);
        }
    }

    fn replica_set_version(&self) -> u64 {
        self.parts().map_or(0, |parts| parts.replica_sets.version())
    }

    fn observe_replica_set_version(&self, from: &str, version: u64) {
        if let Some(parts) = self.parts() {
            let peers = Arc::new(parts.members.clone());
            parts.replica_sets.on_peer_version(peers, from, version);
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
        if let Some(parts) = self.parts() {
            let asked_at = asked_at.to_std();
            parts.bundles.heartbeat_round(asked_at, &evidence, majority);
        }
    }

    fn fenced(&self, log: &str) {
        if let Some(parts) = self.parts() {
            parts.shards.fenced(log);
        }
    }

    fn orphaned(&self, logs: Vec<String>) {
        let Some(parts) = self.parts() else {
            return;
        };
        tokio::spawn(async move {
            parts
                .shards
                .handle_shard_notice(ShardNotice {
                    logs,
                    from_owner: false,
                })
                .await;
        });
    }
}

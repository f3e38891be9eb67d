//! Pushes of the bundle in force to other nodes.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream;
use ladderstage_wire::messages::mod_Request::OneOfkind as RequestKind;
use ladderstage_wire::messages::mod_Response::OneOfkind as ResponseKind;
use ladderstage_wire::messages::{BundleState, PushBundle, Request, SignedBundle};
use log::{debug, warn};
use rand::seq::IndexedRandom;

use super::quorum::{self, Holder};
use super::state::Shared;

/// Number of random members to which a node pushes a new bundle, besides the replicas.
const FAN_OUT: usize = 5;

/// Timeout for pushing a bundle to a peer.
const PUSH_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of concurrent pushes.
const CONCURRENT_PUSHES: usize = 32;

impl Shared {
    /// Pushes the bundle in force to random members and all replicas, in the background. `hops` is the number of nodes
    /// that have forwarded it before.
    pub(super) fn push_to_peers(self: &Arc<Self>, hops: u32) {
        let others = self.peers.others();
        let picked = others.sample(&mut rand::rng(), FAN_OUT).cloned();
        let mut targets: BTreeSet<String> = picked.collect();
        targets.extend(self.replica_nodes());
        self.spawn_push(targets, hops);
    }

    /// Pushes the bundle in force to all members and replicas, in the background.
    pub(super) fn push_to_all(self: &Arc<Self>) {
        let mut targets: BTreeSet<String> = self.peers.others().into_iter().collect();
        targets.extend(self.replica_nodes());
        self.spawn_push(targets, 0);
    }

    fn spawn_push(self: &Arc<Self>, targets: BTreeSet<String>, hops: u32) {
        let shared = self.clone();
        tokio::spawn(async move { shared.push(targets, hops).await });
    }

    /// Returns the names of the replicas without this node.
    pub(super) fn replica_nodes(&self) -> Vec<String> {
        let own = self.peers.own_node();
        let set = (self.replica_set)().unwrap_or_default();
        let nodes = quorum::nodes(&set).into_iter();
        nodes.filter(|node| *node != own).collect()
    }

    /// Pushes the bundle in force to the targets. Returns those that have stored this or a newer revision.
    pub(super) async fn push(
        self: &Arc<Self>,
        targets: BTreeSet<String>,
        hops: u32,
    ) -> Vec<Holder> {
        let Some(current) = self.current() else {
            return Vec::new();
        };
        let pushes = targets.into_iter().map(|node| {
            let shared = self.clone();
            let current = current.clone();
            async move {
                let state = shared.push_one(&node, current.signed.clone(), hops).await?;
                (state.revision >= current.bundle.revision).then(|| Holder::of(node, &state))
            }
        });
        let pushes = stream::iter(pushes).buffer_unordered(CONCURRENT_PUSHES);
        pushes.filter_map(std::future::ready).collect().await
    }

    async fn push_one(
        self: &Arc<Self>,
        node: &str,
        signed: SignedBundle,
        hops: u32,
    ) -> Option<BundleState> {
        let push = PushBundle {
            bundle: Some(signed),
            hops,
        };
        let request = Request {
            kind: RequestKind::push_bundle(push),
        };
        match self.peers.call(node, request, PUSH_TIMEOUT).await {
            Ok(response) => match response.kind {
                ResponseKind::bundle_state(state) => {
                    self.record_revision(node, state.revision);
                    Some(state)
                }
                other => {
                    warn!("event=bundle_push_refused peer={node} answer={other:?}");
                    None
                }
            },
            Err(error) => {
                debug!(
                    "event=bundle_push_failed peer={node} cause={:?}",
                    error.to_string()
                );
                None
            }
        }
    }
}

//! Bundles and evidence received from peers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use ladderstage::evidence::EvidenceEffect;
use ladderstage::ids::Revision;
use ladderstage_wire::messages::mod_Refused::Reason;
use ladderstage_wire::messages::mod_Request::OneOfkind as RequestKind;
use ladderstage_wire::messages::mod_Response::OneOfkind as ResponseKind;
use ladderstage_wire::messages::{
    BundleEvidence, BundleState, FetchBundle, PushBundle, Refused, Request, Response,
};
use log::{debug, error};

use crate::jitter::jittered;

use super::Bundles;
use super::state::{Adoption, Shared};

/// Timeout for fetching a peer's bundle.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay after a fetch that did not return the newest known bundle.
const FAILED_FETCH_PAUSE: Duration = Duration::from_millis(500);

impl Bundles {
    /// Handles a bundle pushed by a peer. The revision in the response is on this node's disk, if it has one.
    pub async fn handle_push_bundle(&self, push: PushBundle) -> Response {
        let Some(signed) = push.bundle else {
            return refused(Reason::MALFORMED, "push_bundle without bundle".to_owned());
        };
        let adoption = match self.shared.adopt(signed, "push") {
            Ok(adoption) => adoption,
            Err(error) => return refused(Reason::MALFORMED, error.to_string()),
        };
        if adoption == Adoption::Newer {
            self.shared.push_to_peers(push.hops.saturating_add(1));
        }
        let revision = match self.shared.persist().await {
            Ok(revision) => revision,
            Err(error) => {
                error!("event=bundle_store_failed cause={:?}", error.to_string());
                return refused(Reason::INTERNAL, error.to_string());
            }
        };
        // Must be read after the bundle is stored: the node that rolls the bundle relies on this order.
        let holder = self.shared.own_holder();
        bundle_state(BundleState {
            revision,
            bundle: None,
            evidence: Some(self.evidence()),
            replica_id: holder.replica_id,
            replica_set_version: holder.replica_set_version,
        })
    }

    /// Returns the bundle in force on this node to a peer.
    pub fn handle_fetch_bundle(&self, _fetch: &FetchBundle) -> Response {
        let current = self.current();
        bundle_state(BundleState {
            revision: current
                .as_ref()
                .map_or(0, |current| current.bundle.revision),
            bundle: current.map(|current| current.signed.clone()),
            evidence: Some(self.evidence()),
            ..BundleState::default()
        })
    }
}

fn bundle_state(state: BundleState) -> Response {
    Response {
        kind: ResponseKind::bundle_state(state),
    }
}

fn refused(reason: Reason, detail: String) -> Response {
    Response {
        kind: ResponseKind::refused(Refused {
            reason,
            detail,
            retry_after_ms: 0,
        }),
    }
}

impl Shared {
    /// Records evidence from an answer. The answer was made after `sent_at`, so the evidence dates from `sent_at` minus
    /// its age or later.
    pub(super) fn record_answer_evidence(
        self: &Arc<Self>,
        from: &str,
        evidence: &BundleEvidence,
        sent_at: Instant,
    ) {
        if !evidence.known {
            return self.record_revision(from, evidence.revision);
        }
        let age = Duration::from_millis(evidence.age_ms);
        let Some(as_of) = self.instant(sent_at).checked_sub(age) else {
            return self.record_revision(from, evidence.revision);
        };
        let effect = self
            .state()
            .evidence
            .observe_newest(evidence.revision, as_of);
        self.fetch_if_behind(from, effect);
    }

    pub(super) fn record_revision(self: &Arc<Self>, from: &str, revision: Revision) {
        let effect = self.state().evidence.observe_existence(revision);
        self.fetch_if_behind(from, effect);
    }

    /// Records evidence from journal replicas. Every quorum includes a replica with the newest accepted bundle. If a
    /// quorum answered (`majority`) and every answer names a bundle, the highest of these revisions and the one in force
    /// here was therefore the newest at `sent_at`. Otherwise the answers only show which revisions exist.
    pub(super) fn record_replica_evidence(
        self: &Arc<Self>,
        sent_at: Instant,
        evidence: &[BundleEvidence],
        majority: bool,
    ) {
        let named = evidence.iter().map(|evidence| evidence.revision).max();
        let as_of = self.instant(sent_at);
        let effect = {
            let mut state = self.state();
            let highest = named.unwrap_or(0).max(state.evidence.revision());
            // A replica without a bundle may not have read its disk yet.
            let is_empty = |evidence: &BundleEvidence| evidence.revision == 0;
            if majority && !evidence.iter().any(is_empty) {
                state.evidence.observe_newest(highest, as_of)
            } else {
                state.evidence.observe_existence(highest)
            }
        };
        if matches!(effect, EvidenceEffect::Fetch { .. }) {
            let replicas = self.replica_nodes();
            self.spawn_fetch(replicas);
        }
    }

    fn fetch_if_behind(self: &Arc<Self>, from: &str, effect: EvidenceEffect) {
        if matches!(effect, EvidenceEffect::Fetch { .. }) {
            self.spawn_fetch(vec![from.to_owned()]);
        }
    }

    /// Starts to fetch the newest known bundle from the nodes in turn, unless a fetch is running.
    ///
    /// Every ping triggers a fetch while this node is behind, so a failed fetch is followed by a pause.
    pub(super) fn spawn_fetch(self: &Arc<Self>, nodes: Vec<String>) {
        if std::mem::replace(&mut self.state().is_fetching, true) {
            return;
        }
        let shared = self.clone();
        tokio::spawn(async move {
            let is_caught_up = shared.fetch_in_turn(&nodes).await;
            if !is_caught_up {
                tokio::time::sleep(jittered(FAILED_FETCH_PAUSE)).await;
            }
            shared.state().is_fetching = false;
        });
    }

    /// Fetches from each node until the newest known bundle is in force. Returns whether it is.
    async fn fetch_in_turn(self: &Arc<Self>, nodes: &[String]) -> bool {
        for node in nodes {
            self.fetch(node).await;
            let state = self.state();
            if state.evidence.revision() > 0 && state.evidence.newer_revision().is_none() {
                return true;
            }
        }
        false
    }

    async fn fetch(self: &Arc<Self>, node: &str) {
        let sent_at = Instant::now();
        let request = Request {
            kind: RequestKind::fetch_bundle(FetchBundle {}),
        };
        let response = self.peers.call(node, request, FETCH_TIMEOUT).await;
        let state = match response.map(|response| response.kind) {
            Ok(ResponseKind::bundle_state(state)) => state,
            other => {
                debug!("event=bundle_fetch_failed peer={node} answer={other:?}");
                return;
            }
        };
        let Some(signed) = state.bundle else {
            return;
        };
        if let Ok(Adoption::Newer) = self.adopt(signed, "fetch") {
            if let Err(error) = self.persist().await {
                error!("event=bundle_store_failed cause={:?}", error.to_string());
            }
            self.push_to_peers(1);
        }
        if let Some(evidence) = state.evidence
            && evidence.revision <= self.state().evidence.revision()
        {
            self.record_answer_evidence(node, &evidence, sent_at);
        }
    }
}

//! Bundles and evidence that come from peers.

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

/// How long a peer has to hand over its bundle.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// After a fetch that brought nothing newer, how long the next one waits.
const FRUITLESS_FETCH_PAUSE: Duration = Duration::from_millis(500);

impl Bundles {
    /// Answers a peer that pushes a bundle. The revision in the answer is on this node's disk, if it has one.
    pub async fn handle_push_bundle(&self, push: PushBundle) -> Response {
        let Some(signed) = push.bundle else {
            return refused(Reason::MALFORMED, "a push without bundle".to_owned());
        };
        let adoption = match self.shared.adopt(signed, "push") {
            Ok(adoption) => adoption,
            Err(error) => return refused(Reason::MALFORMED, error.to_string()),
        };
        if adoption == Adoption::Newer {
            self.shared.push_onward(push.hops.saturating_add(1));
        }
        let revision = match self.shared.persist().await {
            Ok(revision) => revision,
            Err(error) => {
                error!("event=bundle_store_failed cause={:?}", error.to_string());
                return refused(Reason::INTERNAL, error.to_string());
            }
        };
        // Read after the bundle was stored, as the roller relies on.
        let holder = self.shared.own_holder();
        bundle_state(BundleState {
            revision,
            bundle: None,
            evidence: Some(self.evidence()),
            replica_id: holder.replica_id,
            replica_set_version: holder.replica_set_version,
        })
    }

    /// Answers a peer that asks for the bundle in force here.
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
    /// The answer was made after `asked_at`, so its evidence held at least `age` before that.
    pub(super) fn learn_from_answer(
        self: &Arc<Self>,
        from: &str,
        evidence: &BundleEvidence,
        asked_at: Instant,
    ) {
        if !evidence.known {
            return self.learn_revision(from, evidence.revision);
        }
        let age = Duration::from_millis(evidence.age_ms);
        let Some(as_of) = self.instant(asked_at).checked_sub(age) else {
            return self.learn_revision(from, evidence.revision);
        };
        let learned = self
            .state()
            .evidence
            .observe_newest(evidence.revision, as_of);
        self.fetch_if_told(from, learned);
    }

    pub(super) fn learn_revision(self: &Arc<Self>, from: &str, revision: Revision) {
        let learned = self.state().evidence.observe_existence(revision);
        self.fetch_if_told(from, learned);
    }

    /// An accepted bundle is stored at a quorum of replicas, so no quorum overlooks it: the highest revision that
    /// a quorum names was the newest accepted one when they were asked.
    pub(super) fn learn_from_replicas(
        self: &Arc<Self>,
        asked_at: Instant,
        evidence: &[BundleEvidence],
        majority: bool,
    ) {
        let named = evidence.iter().map(|evidence| evidence.revision).max();
        let as_of = self.instant(asked_at);
        let learned = {
            let mut state = self.state();
            let highest = named.unwrap_or(0).max(state.evidence.revision());
            // A replica that names no bundle may not have read its disk yet.
            let is_empty = |evidence: &BundleEvidence| evidence.revision == 0;
            if majority && !evidence.iter().any(is_empty) {
                state.evidence.observe_newest(highest, as_of)
            } else {
                state.evidence.observe_existence(highest)
            }
        };
        if matches!(learned, EvidenceEffect::Fetch { .. }) {
            let replicas = self.replica_nodes();
            self.spawn_fetch(replicas);
        }
    }

    fn fetch_if_told(self: &Arc<Self>, from: &str, learned: EvidenceEffect) {
        if matches!(learned, EvidenceEffect::Fetch { .. }) {
            self.spawn_fetch(vec![from.to_owned()]);
        }
    }

    /// Fetches from the named nodes in turn until one has the newest bundle known of. One fetch runs at a time;
    /// while the node is behind, each ping asks for another, but after a fruitless one not before a pause: a bundle
    /// that this node cannot verify is not had by asking faster.
    pub(super) fn spawn_fetch(self: &Arc<Self>, nodes: Vec<String>) {
        if std::mem::replace(&mut self.state().is_fetching, true) {
            return;
        }
        let shared = self.clone();
        tokio::spawn(async move {
            let is_caught_up = shared.fetch_in_turn(&nodes).await;
            if !is_caught_up {
                tokio::time::sleep(jittered(FRUITLESS_FETCH_PAUSE)).await;
            }
            shared.state().is_fetching = false;
        });
    }

    /// Whether the newest bundle known of is held in the end.
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
        let asked_at = Instant::now();
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
            self.push_onward(1);
        }
        if let Some(evidence) = state.evidence
            && evidence.revision <= self.state().evidence.revision()
        {
            self.learn_from_answer(node, &evidence, asked_at);
        }
    }
}

//! Requests permits while work that a cold instance could serve is waiting.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use ladderstage_clock::Instant;
use ladderstage_journal::Peers;
use ladderstage_wire::messages::mod_Request::OneOfkind as RequestKind;
use ladderstage_wire::messages::mod_Response::OneOfkind as ResponseKind;
use ladderstage_wire::messages::{AskSendPermits, Request, SendPermit, SendPermits};

use super::permit_issuer::PermitIssuer;
use crate::backend::{BackendTable, ColdAllowance, PERMIT_LIFETIME};
use crate::config::CurrentConfig;
use crate::metrics::Metrics;
use crate::nodes::{NodeRole, Nodes};
use crate::orders::candidates::ranked_nodes;

/// Delay that batches the permit requests of all items of a starting job.
const BATCH_DELAY: Duration = Duration::from_millis(10);

/// Pause between two requests.
const REQUEST_PAUSE: Duration = Duration::from_millis(100);

/// One request asks for one in this many of the permits that an instance may have. More permits
/// could expire unused at a node with little work.
const REQUEST_DIVISOR: u32 = 5;

/// Pause between two requests while no node issues permits, such as while the lease changes hands.
const NO_ISSUER_PAUSE: Duration = Duration::from_millis(400);

/// Number of nodes asked in turn, by their rank as lease candidates. Exceeds the number of
/// candidates, as ranks may change while a node holds the lease.
const MAX_NODES_ASKED: usize = 6;

/// Applies the configured limits and requests permits for this node.
pub struct PermitRequester {
    /// Requests that callers may send to cold instances beyond their capacity; `None` disables the
    /// limits.
    pub allowance: Option<ColdAllowance>,
    /// Known instances.
    pub backends: BackendTable,
    /// Services and their limits.
    pub config: CurrentConfig,
    /// Other nodes.
    pub nodes: Nodes,
    /// Issuer on this node. It is asked first, as this node may hold the lease itself.
    pub issuer: PermitIssuer,
    /// Metrics of this front.
    pub metrics: Arc<Metrics>,
}

impl PermitRequester {
    /// Requests permits for as long as the future is polled.
    pub async fn run(&self) {
        let Some(allowance) = self.allowance else {
            return std::future::pending().await;
        };
        tokio::join!(
            self.follow_config(allowance),
            self.request_while_work_waits()
        );
    }

    async fn follow_config(&self, allowance: ColdAllowance) {
        let mut config = self.config.watch();
        loop {
            if let Some(config) = config.borrow_and_update().as_ref() {
                self.backends.gates().cold.set(config, allowance);
            }
            if config.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    async fn request_while_work_waits(&self) {
        let permit_requests = &self.backends.gates().permit_requests;
        let mut last_issuer = None;
        loop {
            let mut needed = permit_requests.drain().await;
            tokio::time::sleep(BATCH_DELAY).await;
            needed.append(&mut permit_requests.drain_pending());
            let instances = needed.len();
            let (permits, until) = self.request(needed, &mut last_issuer).await;
            if last_issuer.is_none() {
                tokio::time::sleep(ladderstage_journal::jitter::jittered(NO_ISSUER_PAUSE)).await;
            }
            let count: u32 = permits.dealt.iter().map(|one| one.count).sum();
            log::info!(
                "event=send_permits instances={instances} dealt={count} dealer={last_issuer:?}"
            );
            self.metrics.send_permits.inc_by(count.into());
            for one in &permits.dealt {
                if let Some(instance) = self.backends.get(&one.instance) {
                    instance.add_permits(one.count, until);
                }
            }
            if count > 0 {
                self.backends.notify();
            }
            tokio::time::sleep(REQUEST_PAUSE).await;
        }
    }

    /// Requests permits for instances, given with their services. Returns the permits and the time
    /// until which they are valid.
    async fn request(
        &self,
        needed: BTreeMap<String, String>,
        last_issuer: &mut Option<String>,
    ) -> (SendPermits, Instant) {
        let request = self.build_request(needed);
        let requested_at = Instant::now();
        if let Some(permits) = self.issuer.issue(&request) {
            *last_issuer = Some(self.nodes.own().node);
            return (permits, requested_at + PERMIT_LIFETIME);
        }
        for node in self.likely_issuers(last_issuer.take()) {
            let kind = RequestKind::ask_send_permits(request.clone());
            let requested_at = Instant::now();
            let call = self.nodes.call(&node, Request { kind }, PERMIT_LIFETIME);
            if let Ok(ResponseKind::send_permits(permits)) = call.await.map(|answer| answer.kind) {
                *last_issuer = Some(node);
                return (permits, requested_at + PERMIT_LIFETIME);
            }
        }
        (SendPermits::default(), requested_at)
    }

    fn build_request(&self, needed: BTreeMap<String, String>) -> AskSendPermits {
        let limits = &self.backends.gates().cold;
        let needed = needed.into_iter().filter_map(|(instance, service)| {
            let limit = limits.get(&service)?;
            Some(SendPermit {
                count: (limit.permits_per_second / REQUEST_DIVISOR).max(1),
                instance,
                service,
            })
        });
        AskSendPermits {
            wanted: needed.collect(),
        }
    }

    /// Returns the nodes that may hold the lease, starting with the last issuer.
    fn likely_issuers(&self, last: Option<String>) -> Vec<String> {
        let own = self.nodes.own().node;
        let fronts = self.nodes.with_role(NodeRole::Front);
        let fronts = fronts.iter().filter(|front| !front.is_leaving);
        let ranked = ranked_nodes(fronts.map(|front| (front.node.as_str(), front.cpu_millis)));
        let ranked = ranked.into_iter().take(MAX_NODES_ASKED).map(str::to_owned);
        let mut seen = BTreeSet::from([own]);
        let candidates = last.into_iter().chain(ranked);
        candidates
            .filter(|node| seen.insert(node.clone()))
            .collect()
    }
}

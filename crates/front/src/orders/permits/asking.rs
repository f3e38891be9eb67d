//! Asks for permits while work waits here that a cold instance could take.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use ladderstage_clock::Instant;
use ladderstage_journal::Peers;
use ladderstage_wire::messages::mod_Request::OneOfkind as RequestKind;
use ladderstage_wire::messages::mod_Response::OneOfkind as ResponseKind;
use ladderstage_wire::messages::{AskSendPermits, Request, SendPermit, SendPermits};

use super::issuer::PermitIssuer;
use crate::backend::{BackendTable, ColdAllowance, PERMIT_LIFETIME};
use crate::config::CurrentConfig;
use crate::metrics::Metrics;
use crate::nodes::{NodeRole, Nodes};
use crate::orders::candidates::by_rank;

/// Wants of this time are asked for together, as a job starts all its items at once.
const GATHER: Duration = Duration::from_millis(10);

/// Pause between two calls. What is dealt for an instance in a second is used up by fewer.
const ASK_PAUSE: Duration = Duration::from_millis(100);

/// A node asks for one of so many parts of an instance's permits at a time. More could lapse unused at a node with little work.
const ASKED_SHARE: u32 = 5;

/// The same while nobody deals, as between two holders of the lease.
const NO_DEALER_PAUSE: Duration = Duration::from_millis(400);

/// Nodes that are asked in turn, by their rank as holders of the lease: more than try to hold it, as ranks change while one holds it.
const NODES_ASKED: usize = 6;

/// Keeps the limits up to date and asks for permits at this node.
pub struct PermitRequester {
    /// By how much callers may exceed what cold instances bear; `None`: they get any number of requests.
    pub allowance: Option<ColdAllowance>,
    /// Instances.
    pub backends: BackendTable,
    /// Services and what they bear.
    pub config: CurrentConfig,
    /// The other nodes.
    pub nodes: Nodes,
    /// Deals at this node, and is asked first: the node may hold the lease itself.
    pub issuer: PermitIssuer,
    /// Counters.
    pub metrics: Arc<Metrics>,
}

impl PermitRequester {
    /// Asks for as long as the future is polled.
    pub async fn run(&self) {
        let Some(allowance) = self.allowance else {
            return std::future::pending().await;
        };
        tokio::join!(self.follow_config(allowance), self.ask_while_work_waits());
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

    async fn ask_while_work_waits(&self) {
        let permit_requests = &self.backends.gates().permit_requests;
        let mut last_dealer = None;
        loop {
            let mut wanted = permit_requests.take().await;
            tokio::time::sleep(GATHER).await;
            wanted.append(&mut permit_requests.drain_pending());
            let asked = wanted.len();
            let (dealt, until) = self.ask(wanted, &mut last_dealer).await;
            if last_dealer.is_none() {
                tokio::time::sleep(ladderstage_journal::jitter::jittered(NO_DEALER_PAUSE)).await;
            }
            let count: u32 = dealt.dealt.iter().map(|one| one.count).sum();
            log::info!("event=send_permits instances={asked} dealt={count} dealer={last_dealer:?}");
            self.metrics.send_permits.inc_by(count.into());
            for one in &dealt.dealt {
                if let Some(instance) = self.backends.get(&one.instance) {
                    instance.add_permits(one.count, until);
                }
            }
            if count > 0 {
                self.backends.notify();
            }
            tokio::time::sleep(ASK_PAUSE).await;
        }
    }

    /// Asks for permits for instances, given with their services; returns what was dealt and until when it is good.
    async fn ask(
        &self,
        wanted: BTreeMap<String, String>,
        last_dealer: &mut Option<String>,
    ) -> (SendPermits, Instant) {
        let question = self.question(wanted);
        let asked_at = Instant::now();
        if let Some(dealt) = self.issuer.issue(&question) {
            *last_dealer = Some(self.nodes.own().node);
            return (dealt, asked_at + PERMIT_LIFETIME);
        }
        for node in self.likely_dealers(last_dealer.take()) {
            let kind = RequestKind::ask_send_permits(question.clone());
            let asked_at = Instant::now();
            let call = self.nodes.call(&node, Request { kind }, PERMIT_LIFETIME);
            if let Ok(ResponseKind::send_permits(dealt)) = call.await.map(|answer| answer.kind) {
                *last_dealer = Some(node);
                return (dealt, asked_at + PERMIT_LIFETIME);
            }
        }
        (SendPermits::default(), asked_at)
    }

    fn question(&self, wanted: BTreeMap<String, String>) -> AskSendPermits {
        let limits = &self.backends.gates().cold;
        let wanted = wanted.into_iter().filter_map(|(instance, service)| {
            let limit = limits.get(&service)?;
            Some(SendPermit {
                count: (limit.dealt / ASKED_SHARE).max(1),
                instance,
                service,
            })
        });
        AskSendPermits {
            wanted: wanted.collect(),
        }
    }

    /// Nodes that may hold the lease, the one that dealt last first.
    fn likely_dealers(&self, last: Option<String>) -> Vec<String> {
        let own = self.nodes.own().node;
        let fronts = self.nodes.with_role(NodeRole::Front);
        let fronts = fronts.iter().filter(|front| !front.is_leaving);
        let ranked = by_rank(fronts.map(|front| (front.node.as_str(), front.cpu_millis)));
        let ranked = ranked.into_iter().take(NODES_ASKED).map(str::to_owned);
        let mut seen = BTreeSet::from([own]);
        let in_turn = last.into_iter().chain(ranked);
        in_turn.filter(|node| seen.insert(node.clone())).collect()
    }
}

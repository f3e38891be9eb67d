//! Gossip about back ends: pushes leaving back ends to peers, and pulls the load reports that this node does not read
//! from the back ends itself.

use std::sync::Arc;
use std::time::Duration;

use ladderstage::backend::{GossipOrigin, ObservationInterval, uses_report_gossip};
use ladderstage_wire::messages::{
    BackendGossip, BackendReport, KnownBackends, Request, mod_Request, mod_Response,
};
use log::{debug, info};
use tokio::time::{sleep, timeout};

use super::shared::Shared;
use crate::bundles::BundleInForce;
use crate::jitter::jittered;

/// Number of members to which an update is pushed; members to which it is new forward it.
const PUSH_FANOUT: usize = 3;
/// Number of members queried for reports in each round.
const QUERY_FANOUT: usize = 2;
/// Interval at which all leaving back ends are pushed again, in case a push was lost.
const REPEAT_INTERVAL: Duration = Duration::from_millis(1_000);
/// Timeout of a call to a peer.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Pushes newly leaving back ends to a few members at once, and periodically all of them to one member.
pub(super) async fn push_leaving(shared: Arc<Shared>) {
    let mut pushed_version = 0;
    loop {
        let leaving_updated = shared.leaving_updated.notified();
        let _ = timeout(jittered(REPEAT_INTERVAL), leaving_updated).await;
        let (version, updates) =
            shared.read(|table| (table.version(), table.leaving_since(pushed_version)));
        pushed_version = version;
        if updates.is_empty() {
            let known = shared.read(|table| table.leaving_since(0));
            push(&shared, known, 1).await;
            continue;
        }
        log_leaving(&updates);
        push(&shared, updates, PUSH_FANOUT).await;
    }
}

fn log_leaving(updates: &[BackendReport]) {
    for report in updates {
        info!(
            "event=backend_leaving backend={} process={}",
            report.backend, report.process
        );
    }
}

async fn push(shared: &Shared, reports: Vec<BackendReport>, count: usize) {
    if reports.is_empty() {
        return;
    }
    let gossip = BackendGossip {
        reports,
        ..BackendGossip::default()
    };
    let nodes = random_peers(shared, count);
    let calls = nodes.iter().map(|node| call(shared, node, gossip.clone()));
    futures_util::future::join_all(calls).await;
}

/// Pulls reports from peers while the cluster is too large for each node to read all reports, or while this node does
/// not know the address of some back end, for example because it started while the machine list was down.
pub(super) async fn query_peers(shared: Arc<Shared>) {
    let interval = Duration::from_millis(shared.timing.report_poll_ms);
    loop {
        sleep(jittered(interval)).await;
        if !uses_report_gossip(shared.peers.alive().len()) && !has_unknown_address(&shared) {
            continue;
        }
        let nodes = random_peers(&shared, QUERY_FANOUT);
        let calls = nodes.iter().map(|node| query_peer(&shared, node));
        futures_util::future::join_all(calls).await;
    }
}

/// Returns whether the bundle names a back end whose address is unknown.
fn has_unknown_address(shared: &Shared) -> bool {
    let Some(bundle) = shared.bundle() else {
        return false;
    };
    let mut names = bundle.bundle.pools.iter().flat_map(|pool| &pool.backends);
    shared.read(|table| names.any(|name| table.placement(name).is_none()))
}

/// Pulls the reports of the bundle's back ends for which a peer has newer ones.
async fn query_peer(shared: &Shared, node: &str) {
    let Some(bundle) = shared.bundle() else {
        return;
    };
    let names = backend_names(&bundle);
    let sent_at = shared.now();
    let known = KnownBackends {
        revision: bundle.bundle.revision,
        ages: shared.read(|table| table.known_ages(names.iter().copied(), sent_at)),
    };
    let query = BackendGossip {
        known: Some(known),
        ..BackendGossip::default()
    };
    let Some(gossip) = call(shared, node, query).await else {
        return;
    };
    let observed = ObservationInterval {
        sent_at,
        received_at: shared.now(),
    };
    shared.update(|table| {
        table.observe_gossip(&gossip.reports, GossipOrigin::Pulled(observed));
        for refresh in &gossip.refreshes {
            table.observe_refresh(&names, refresh, observed);
        }
    });
}

/// Answers a peer's query: the newer reports if both nodes have the same bundle, otherwise all reports.
pub(super) fn answer_query(shared: &Shared, known: Option<&KnownBackends>) -> BackendGossip {
    let now = shared.now();
    if let (Some(known), Some(bundle)) = (known, shared.bundle())
        && known.revision == bundle.bundle.revision
    {
        let names = backend_names(&bundle);
        let names = names.iter().copied();
        let refresh = shared.read(|table| table.refresh_for_peer(names, &known.ages, now));
        if let Some(refresh) = refresh {
            return refresh;
        }
    }
    BackendGossip {
        reports: shared.read(|table| table.reports_for_peers(now)),
        ..BackendGossip::default()
    }
}

/// Returns the names of all back ends of a bundle, in the same order on every node.
fn backend_names(bundle: &BundleInForce) -> Vec<&str> {
    let pools = bundle.bundle.pools.iter();
    let names = pools.flat_map(|pool| &pool.backends);
    names.map(String::as_str).collect()
}

async fn call(shared: &Shared, node: &str, gossip: BackendGossip) -> Option<BackendGossip> {
    let request = Request {
        kind: mod_Request::OneOfkind::backend_gossip(gossip),
    };
    match shared.peers.call(node, request, CALL_TIMEOUT).await {
        Ok(response) => match response.kind {
            mod_Response::OneOfkind::backend_gossip(gossip) => Some(gossip),
            _ => None,
        },
        Err(error) => {
            debug!("event=backend_gossip_failed peer={node} error={error}");
            None
        }
    }
}

/// Returns up to `count` random other members.
fn random_peers(shared: &Shared, count: usize) -> Vec<String> {
    let own = shared.peers.own();
    let mut drawn: Vec<(u64, String)> = shared
        .peers
        .alive()
        .into_iter()
        .filter(|node| *node != own)
        .map(|node| (rand::random(), node))
        .collect();
    drawn.sort_unstable();
    drawn
        .into_iter()
        .take(count)
        .map(|(_, node)| node)
        .collect()
}

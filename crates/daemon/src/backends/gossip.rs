//! Tells peers of leaving back ends, and asks them for reports where not every daemon reads all itself.

use std::sync::Arc;
use std::time::Duration;

use ladderstage::backend::{GossipOrigin, ObservationInterval, reports_spread_by_gossip};
use ladderstage_wire::messages::{
    BackendGossip, BackendReport, KnownBackends, Request, mod_Request, mod_Response,
};
use log::{debug, info};
use tokio::time::{sleep, timeout};

use super::shared::Shared;
use crate::bundles::BundleInForce;
use crate::jitter::jittered;

/// Members told of each piece of news; each that finds it new tells as many.
const FANOUT: usize = 3;
/// Members asked for reports each time.
const ASKED: usize = 2;
/// Between repetitions of all that is known to be leaving, which repair what was lost.
const REPEAT_INTERVAL: Duration = Duration::from_millis(1_000);
/// Longest wait for a peer's answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Tells a few members at once what was newly learned, and one of them now and then all that is known.
pub(super) async fn spread_leaving(shared: Arc<Shared>) {
    let mut told = 0;
    loop {
        let news = shared.leaving_learned.notified();
        let _ = timeout(jittered(REPEAT_INTERVAL), news).await;
        let (version, news) = shared.read(|table| (table.version(), table.leaving_since(told)));
        told = version;
        if news.is_empty() {
            let known = shared.read(|table| table.leaving_since(0));
            tell(&shared, known, 1).await;
            continue;
        }
        log_news(&news);
        tell(&shared, news, FANOUT).await;
    }
}

fn log_news(news: &[BackendReport]) {
    for report in news {
        info!(
            "event=backend_leaving backend={} process={}",
            report.backend, report.process
        );
    }
}

async fn tell(shared: &Shared, reports: Vec<BackendReport>, count: usize) {
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

/// Asks peers for the reports that they read, while the members are too many for each to read all or this node has
/// not learned yet where some of its back ends are: it may have started while the machine list is down.
pub(super) async fn ask_peers(shared: Arc<Shared>) {
    let interval = Duration::from_millis(shared.timing.report_poll_ms);
    loop {
        sleep(jittered(interval)).await;
        if !reports_spread_by_gossip(shared.peers.alive().len()) && !lacks_placements(&shared) {
            continue;
        }
        let nodes = random_peers(&shared, ASKED);
        let calls = nodes.iter().map(|node| ask(&shared, node));
        futures_util::future::join_all(calls).await;
    }
}

/// Whether the bundle names a back end of unknown address.
fn lacks_placements(shared: &Shared) -> bool {
    let Some(bundle) = shared.bundle() else {
        return false;
    };
    let mut names = bundle.bundle.pools.iter().flat_map(|pool| &pool.backends);
    shared.read(|table| names.any(|name| table.placement(name).is_none()))
}

/// Asks one peer for what is fresher there of the bundle's back ends.
async fn ask(shared: &Shared, node: &str) {
    let Some(bundle) = shared.bundle() else {
        return;
    };
    let names = backend_names(&bundle);
    let sent_at = shared.now();
    let known = KnownBackends {
        revision: bundle.bundle.revision,
        ages: shared.read(|table| table.known_ages(names.iter().copied(), sent_at)),
    };
    let question = BackendGossip {
        known: Some(known),
        ..BackendGossip::default()
    };
    let Some(gossip) = call(shared, node, question).await else {
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

/// Answers a peer's question: what is fresher here if both have one bundle, else all that is known.
pub(super) fn answer(shared: &Shared, known: Option<&KnownBackends>) -> BackendGossip {
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

/// Names of all back ends of a bundle; processes with one bundle have them in one order.
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

/// Up to `count` other members, drawn at random.
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

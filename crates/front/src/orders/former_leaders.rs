//! Announcement by which a former order leader shortens the quiet period of the next one.
//!
//! Instances that do not check fences must not receive orders of two leaders in quick succession,
//! so a new leader waits for a quiet period. A leader that stops while it can still reach other
//! fronts announces the instances it recently sent orders to; the next leader may send orders to
//! all others at once.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use futures_util::future::join_all;
use ladderstage_clock::Instant;
use ladderstage_journal::Peers;
use ladderstage_wire::messages::mod_Request::OneOfkind as RequestKind;
use ladderstage_wire::messages::{GiverEnd, RecentOrder, Request};

use super::candidates::ranked_nodes;
use super::lease::LastLeader;
use crate::nodes::{NodeRole, Nodes};

/// Timeout of one announcement.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of fronts that are told: several times the candidates for the lease, as some of
/// them may leave at the same time.
const MAX_RECIPIENTS: usize = 16;

/// Announcement of a former leader.
#[derive(Debug, Clone)]
struct FormerLeader {
    leader: LastLeader,
    /// Instances, each with a time before which its last order was sent.
    orders: Vec<(String, Instant)>,
}

/// Latest announcement of a former leader that this node received. Cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct FormerLeaders {
    newest: Arc<Mutex<Option<FormerLeader>>>,
}

impl FormerLeaders {
    /// Records an announcement that was received at `now`.
    pub fn record(&self, end: &GiverEnd, now: Instant) {
        let mut newest = self.lock();
        if newest
            .as_ref()
            .is_some_and(|known| known.leader.fence >= end.fence)
        {
            return;
        }
        // The order is at least this old: the time in transit is not counted.
        let orders = end.orders.iter().filter_map(|order| {
            let sent_at = now.checked_sub(Duration::from_millis(order.age_ms))?;
            Some((order.instance.clone(), sent_at))
        });
        *newest = Some(FormerLeader {
            leader: LastLeader {
                node: end.node.clone(),
                fence: end.fence,
            },
            orders: orders.collect(),
        });
    }

    /// Returns the recent orders of `leader`, each with a time before which it was sent; `None`
    /// without an announcement for that fence.
    pub fn recent_orders_of(&self, leader: &LastLeader) -> Option<Vec<(String, Instant)>> {
        let newest = self.lock();
        let announced = newest
            .as_ref()
            .filter(|announced| announced.leader == *leader)?;
        Some(announced.orders.clone())
    }

    fn lock(&self) -> MutexGuard<'_, Option<FormerLeader>> {
        self.newest
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// Announces to the fronts that may lead next that `leader`, which is this node, issues no more
/// orders, with its recent ones.
pub(super) async fn announce_stop(nodes: &Nodes, leader: LastLeader, orders: &[(String, Instant)]) {
    let orders = orders.iter().map(|(instance, sent_at)| RecentOrder {
        instance: instance.clone(),
        age_ms: sent_at.elapsed().as_millis() as u64,
    });
    let kind = RequestKind::giver_end(GiverEnd {
        node: leader.node.clone(),
        fence: leader.fence,
        orders: orders.collect(),
    });
    let fronts = nodes.with_role(NodeRole::Front);
    let staying = fronts.iter().filter(|front| !front.is_leaving);
    let ranked = ranked_nodes(staying.map(|front| (front.node.as_str(), front.cpu_millis)));
    let others = ranked.into_iter().filter(|node| *node != leader.node);
    let calls = others.take(MAX_RECIPIENTS).map(|node| {
        let request = Request { kind: kind.clone() };
        nodes.call(node, request, ANNOUNCEMENT_TIMEOUT)
    });
    let answers = join_all(calls).await;
    let received = answers.iter().filter(|answer| answer.is_ok()).count();
    log::info!(
        "event=order_leader_end_announced fence={} fronts={} heard={received}",
        leader.fence,
        answers.len()
    );
}

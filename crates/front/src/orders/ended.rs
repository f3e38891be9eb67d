//! The word of a giver that gives orders no more.
//!
//! Instances that check no fences must not get orders of two givers in quick succession, so a new giver has to keep quiet for a time
//! after the last order of the one before. A giver that loses its lease while it is well, as when the store turns it away, says
//! itself to which instances it gave orders of late. All others may have orders of the next giver at once.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use futures_util::future::join_all;
use ladderstage_clock::Instant;
use ladderstage_journal::Peers;
use ladderstage_wire::messages::mod_Request::OneOfkind as RequestKind;
use ladderstage_wire::messages::{GiverEnd, RecentOrder, Request};

use super::lease::LastLeader;
use crate::nodes::Nodes;

/// How long a front may take to answer.
const END_TIMEOUT: Duration = Duration::from_millis(500);

/// What a giver told when it ended.
#[derive(Debug, Clone)]
struct EndedGiver {
    giver: LastLeader,
    /// Instances with the times before which their last orders were sent.
    orders: Vec<(String, Instant)>,
}

/// The newest giver that told its end, as far as this node heard. Cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct FormerLeaders {
    newest: Arc<Mutex<Option<EndedGiver>>>,
}

impl FormerLeaders {
    /// Takes what a giver told; `now` is when it was heard.
    pub fn record(&self, end: &GiverEnd, now: Instant) {
        let mut newest = self.lock();
        if newest
            .as_ref()
            .is_some_and(|known| known.giver.fence >= end.fence)
        {
            return;
        }
        // The way here only makes an order older than it is taken for.
        let orders = end.orders.iter().filter_map(|order| {
            let sent_at = now.checked_sub(Duration::from_millis(order.age_ms))?;
            Some((order.instance.clone(), sent_at))
        });
        *newest = Some(EndedGiver {
            giver: LastLeader {
                node: end.node.clone(),
                fence: end.fence,
            },
            orders: orders.collect(),
        });
    }

    /// The recent orders of `giver`, with the times before which they were sent; `None` if it has not told its end.
    pub fn orders_of(&self, giver: &LastLeader) -> Option<Vec<(String, Instant)>> {
        let newest = self.lock();
        let ended = newest.as_ref().filter(|ended| ended.giver == *giver)?;
        Some(ended.orders.clone())
    }

    fn lock(&self) -> MutexGuard<'_, Option<EndedGiver>> {
        self.newest
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// Tells all other fronts that `giver`, which is this node, gives orders no more, and which ones it gave at which times.
pub(super) async fn tell_end(nodes: &Nodes, giver: LastLeader, orders: &[(String, Instant)]) {
    let orders = orders.iter().map(|(instance, sent_at)| RecentOrder {
        instance: instance.clone(),
        age_ms: sent_at.elapsed().as_millis() as u64,
    });
    let kind = RequestKind::giver_end(GiverEnd {
        node: giver.node.clone(),
        fence: giver.fence,
        orders: orders.collect(),
    });
    let fronts = nodes.successors();
    let others = fronts.iter().filter(|front| front.node != giver.node);
    let calls = others.map(|front| {
        let request = Request { kind: kind.clone() };
        nodes.call(&front.node, request, END_TIMEOUT)
    });
    let answers = join_all(calls).await;
    let heard = answers.iter().filter(|answer| answer.is_ok()).count();
    log::info!(
        "event=order_leader_end_announced fence={} fronts={} heard={heard}",
        giver.fence,
        answers.len()
    );
}

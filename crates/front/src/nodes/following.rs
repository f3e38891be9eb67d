//! How a node learns of the others: closely while there is work with them, else by a stale reading now and then.
//!
//! With hundreds of nodes the answers about restarts of any of them would be most of the calls to the store, and each has its
//! price. A node without work needs the others only to pass something on, and learns soon enough when a call does not reach one.

use std::sync::Arc;
use std::time::Duration;

use ladderstage_journal::jitter::jittered;
use tokio::time::Instant;

use super::{NODE_PREFIX, Nodes};
use crate::activity::Activity;
use crate::coordination::{Coordination, Follower, Update, follow_with};

/// Between two answers of the watch at a node that works with others: one with a disk, a job, or the right to give orders. A node
/// that is gone is missed only once its lease is over, three times as late.
const GATHER: Duration = Duration::from_secs(1);

/// The same while nodes start.
const CLOSE_GATHER: Duration = Duration::from_millis(400);

/// Between a call that did not reach its node and the reading that follows it: others may be affected as well.
const DOUBT_PAUSE: Duration = Duration::from_millis(400);

/// Least time between two readings for that, each at the full price.
const LEAST_DOUBT_INTERVAL: Duration = Duration::from_secs(1);

/// Between two stale readings of a node without work, each a tenth of the price of an answer to a watch.
const IDLE_INTERVAL: Duration = Duration::from_secs(12);

/// The same while nodes start.
const STARTING_INTERVAL: Duration = Duration::from_secs(2);

/// For so long after its start a node reads more often: the others may have started with it, and a stale reading may be seconds old.
const STARTING_TIME: Duration = Duration::from_secs(6);

/// For so long after its start a node follows more closely.
const CLOSE_TIME: Duration = Duration::from_secs(2);

/// The records are followed for so long after the last work: who is handed steps gets one every few seconds.
const REST_AFTER_WORK: Duration = Duration::from_secs(15);

/// Learns of the other nodes for as long as the future is polled.
pub(super) async fn run(nodes: &Nodes, coordination: &Arc<dyn Coordination>, activity: &Activity) {
    let started = Instant::now();
    loop {
        tokio::select! {
            () = read_now_and_then(nodes, coordination.as_ref(), started) => {}
            () = activity.wait_until_active() => {}
        }
        let mut follower = NodeFollower { nodes, started };
        let following = follow_with(Arc::clone(coordination), NODE_PREFIX, &mut follower);
        tokio::select! {
            () = following => {}
            () = activity.wait_until_idle_for(REST_AFTER_WORK) => {}
        }
    }
}

/// How the next reading is done.
enum Reading {
    /// It may be some seconds old.
    Stale,
    /// A call has not reached its node.
    InDoubt,
}

async fn read_now_and_then(nodes: &Nodes, coordination: &dyn Coordination, started: Instant) {
    let mut unreached = nodes.unreached.subscribe();
    let mut reading = Reading::Stale;
    loop {
        let read_at = Instant::now();
        let result = match reading {
            Reading::Stale => {
                let listing = coordination.list_stale(NODE_PREFIX).await;
                listing.map(|listing| nodes.take_stale(listing.records, listing.at))
            }
            Reading::InDoubt => nodes.refresh(coordination, LEAST_DOUBT_INTERVAL).await,
        };
        if let Err(error) = result {
            log::warn!("event=nodes_not_read cause=\"{error}\"");
        }
        let interval = if started.elapsed() < STARTING_TIME {
            STARTING_INTERVAL
        } else {
            IDLE_INTERVAL
        };
        let in_doubt = async {
            // The sender lives as long as this node.
            let _ = unreached.changed().await;
            let earliest = read_at + LEAST_DOUBT_INTERVAL;
            tokio::time::sleep_until(earliest.max(Instant::now() + DOUBT_PAUSE)).await;
        };
        reading = tokio::select! {
            () = tokio::time::sleep(jittered(interval)) => Reading::Stale,
            () = in_doubt => Reading::InDoubt,
        };
        unreached.mark_unchanged();
    }
}

/// Follows the nodes' records while there is work with other nodes.
struct NodeFollower<'a> {
    nodes: &'a Nodes,
    started: Instant,
}

impl Follower for NodeFollower<'_> {
    async fn pause(&self) {
        if self.started.elapsed() < CLOSE_TIME {
            return tokio::time::sleep(CLOSE_GATHER).await;
        }
        let mut unreached = self.nodes.unreached.subscribe();
        let in_doubt = async {
            // The sender lives as long as this node.
            let _ = unreached.changed().await;
            tokio::time::sleep(CLOSE_GATHER).await;
        };
        tokio::select! {
            () = tokio::time::sleep(GATHER) => {}
            () = in_doubt => {}
        }
    }

    fn on_update(&mut self, update: Update, at: u64) {
        self.nodes.on_update(update, at);
    }
}

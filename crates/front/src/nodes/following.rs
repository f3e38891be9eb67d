//! Keeps track of the other nodes: follows their records while there is work with them, and reads
//! them periodically otherwise.
//!
//! With hundreds of nodes, watch answers about restarts would be most of the calls to the store. An
//! idle node needs the others only to forward requests, and a failed call shows soon enough that a
//! node has left.

use std::sync::Arc;
use std::time::Duration;

use ladderstage_journal::jitter::jittered;
use tokio::time::Instant;

use super::{NODE_PREFIX, Nodes};
use crate::activity::Activity;
use crate::coordination::{Coordination, Follower, Update, follow_with};

/// Interval between watch answers at an active node: one with a disk, a job or the orders lease
/// (its holder issues weight-load orders). The interval is short compared with a node's lease,
/// which has to expire before the node is missed.
const BATCH_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between watch answers during startup.
const STARTUP_BATCH_INTERVAL: Duration = Duration::from_millis(400);

/// Delay from a failed call to the read that it triggers, as further nodes may have failed.
const FAILED_CALL_READ_DELAY: Duration = Duration::from_millis(400);

/// Minimum interval between reads after failed calls, which are not stale reads and cost more.
const MIN_READ_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between stale reads at an idle node. Each costs a tenth of a watch answer.
const IDLE_READ_INTERVAL: Duration = Duration::from_secs(12);

/// Interval between stale reads during startup.
const STARTUP_READ_INTERVAL: Duration = Duration::from_secs(2);

/// Time after its start for which a node reads more often, as the others may have started with it
/// and stale reads lag by seconds.
const STARTUP_READ_PERIOD: Duration = Duration::from_secs(6);

/// Time after its start for which a node collects watch answers more often.
const STARTUP_WATCH_PERIOD: Duration = Duration::from_secs(2);

/// Time after the last work for which the records are followed, as fronts that get steps get one
/// every few seconds.
const WATCH_LINGER: Duration = Duration::from_secs(15);

/// Keeps track of the other nodes until the future is dropped.
pub(super) async fn run(nodes: &Nodes, coordination: &Arc<dyn Coordination>, activity: &Activity) {
    let started = Instant::now();
    loop {
        tokio::select! {
            () = read_periodically(nodes, coordination.as_ref(), started) => {}
            () = activity.wait_until_active() => {}
        }
        let mut follower = NodeFollower { nodes, started };
        let following = follow_with(Arc::clone(coordination), NODE_PREFIX, &mut follower);
        tokio::select! {
            () = following => {}
            () = activity.wait_until_idle_for(WATCH_LINGER) => {}
        }
    }
}

/// Kind of the next read.
enum ReadKind {
    /// A stale read, which may lag by some seconds.
    Stale,
    /// A fresh read, as a call did not reach its node.
    AfterFailedCall,
}

async fn read_periodically(nodes: &Nodes, coordination: &dyn Coordination, started: Instant) {
    let mut failed_calls = nodes.failed_calls.subscribe();
    let mut read_kind = ReadKind::Stale;
    loop {
        let read_at = Instant::now();
        let result = match read_kind {
            ReadKind::Stale => nodes.read_stale(coordination).await,
            ReadKind::AfterFailedCall => nodes.refresh(coordination, MIN_READ_INTERVAL).await,
        };
        if let Err(error) = result {
            log::warn!("event=nodes_not_read cause=\"{error}\"");
        }
        let interval = if started.elapsed() < STARTUP_READ_PERIOD {
            STARTUP_READ_INTERVAL
        } else {
            IDLE_READ_INTERVAL
        };
        let after_failed_call = async {
            // The sender is owned by `nodes`, so this does not fail.
            let _ = failed_calls.changed().await;
            let earliest = read_at + MIN_READ_INTERVAL;
            tokio::time::sleep_until(earliest.max(Instant::now() + FAILED_CALL_READ_DELAY)).await;
        };
        read_kind = tokio::select! {
            () = tokio::time::sleep(jittered(interval)) => ReadKind::Stale,
            () = after_failed_call => ReadKind::AfterFailedCall,
        };
        failed_calls.mark_unchanged();
    }
}

/// Follower of the nodes' records while there is work with other nodes.
struct NodeFollower<'a> {
    nodes: &'a Nodes,
    started: Instant,
}

impl Follower for NodeFollower<'_> {
    async fn pause(&self) {
        if self.started.elapsed() < STARTUP_WATCH_PERIOD {
            return tokio::time::sleep(STARTUP_BATCH_INTERVAL).await;
        }
        let mut failed_calls = self.nodes.failed_calls.subscribe();
        let after_failed_call = async {
            // The sender is owned by `nodes`, so this does not fail.
            let _ = failed_calls.changed().await;
            tokio::time::sleep(STARTUP_BATCH_INTERVAL).await;
        };
        tokio::select! {
            () = tokio::time::sleep(BATCH_INTERVAL) => {}
            () = after_failed_call => {}
        }
    }

    fn known_revision(&self) -> Option<u64> {
        self.nodes.large_fleet_revision()
    }

    fn on_update(&mut self, update: Update, at: u64) {
        self.nodes.apply(update, at);
    }
}

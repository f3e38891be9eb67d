//! Copies a front's counts to other fronts, so that they are reported if the front is killed.

use std::time::Duration;

use futures_util::future::join_all;
use ladderstage::routing::rendezvous;
use ladderstage_journal::Peers;
use ladderstage_wire::messages::mod_Request::OneOfkind as RequestKind;
use ladderstage_wire::messages::{Request, UsageNote};

use super::meter::UsageMeter;
use crate::nodes::Nodes;

/// Number of fronts that get the counts, so that they survive the failure of one of them together
/// with this front.
const BACKUP_FRONTS: usize = 2;

/// Interval between copies. The requests counted since the last copy are lost if the front is
/// killed.
const SHARE_INTERVAL: Duration = Duration::from_millis(200);

/// Delay after a copy that reached no front.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Timeout of a copy.
const SHARE_TIMEOUT: Duration = Duration::from_millis(500);

/// Number of windows copied: the current one and the one before it.
const SHARED_WINDOWS: usize = 2;

/// Copies this front's counts whenever they have changed, until the future is dropped.
pub async fn share_counts(meter: &UsageMeter, nodes: &Nodes) {
    let mut changed = meter.watch();
    // `meter` owns the sender, so this does not fail.
    while changed.changed().await.is_ok() {
        tokio::time::sleep(SHARE_INTERVAL).await;
        changed.borrow_and_update();
        let kind = RequestKind::usage_note(UsageNote {
            usage: meter.own_counts(SHARED_WINDOWS),
        });
        let backup_fronts = backup_fronts(nodes);
        let calls = backup_fronts.iter().map(|backup_front| {
            let request = Request { kind: kind.clone() };
            nodes.call(backup_front, request, SHARE_TIMEOUT)
        });
        let answers = join_all(calls).await;
        // There is nothing to copy to while no other front is known.
        if !answers.is_empty() && answers.iter().all(Result::is_err) {
            log::warn!("event=usage_not_shared keepers={backup_fronts:?}");
            tokio::time::sleep(RETRY_DELAY).await;
            changed.mark_changed();
        }
    }
}

/// Returns the fronts that get the counts: some of the strongest, by rendezvous hash of this node.
fn backup_fronts(nodes: &Nodes) -> Vec<String> {
    let own = nodes.own().node;
    let candidates = nodes.takeover_candidates();
    let others = candidates.iter().map(|candidate| candidate.node.as_str());
    let ranked = rendezvous(own.as_bytes(), others.filter(|node| *node != own));
    ranked
        .into_iter()
        .take(BACKUP_FRONTS)
        .map(str::to_owned)
        .collect()
}

//! A front's counts at other fronts: those of a front that is killed are still reported.

use std::time::Duration;

use futures_util::future::join_all;
use ladderstage::routing::rendezvous;
use ladderstage_journal::Peers;
use ladderstage_wire::messages::mod_Request::OneOfkind as RequestKind;
use ladderstage_wire::messages::{Request, UsageNote};

use super::meter::UsageMeter;
use crate::nodes::Nodes;

/// Fronts that are told: one of them may end together with the teller.
const KEEPERS: usize = 2;

/// Between two tellings: what a front that is killed counted since then is lost. A front with a request every few seconds tells
/// each of them once.
const TELL_PAUSE: Duration = Duration::from_millis(200);

/// Pause after no keeper was reached.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Time for a keeper to answer.
const TELL_TIMEOUT: Duration = Duration::from_millis(500);

/// Windows that are told: the one that goes on, and one that has just ended.
const TOLD_WINDOWS: usize = 2;

/// Tells this front's counts whenever they have changed, for as long as the future is polled.
pub async fn share(meter: &UsageMeter, nodes: &Nodes) {
    let mut changed = meter.watch();
    // The meter keeps the sender.
    while changed.changed().await.is_ok() {
        tokio::time::sleep(TELL_PAUSE).await;
        changed.borrow_and_update();
        let kind = RequestKind::usage_note(UsageNote {
            usage: meter.own(TOLD_WINDOWS),
        });
        let keepers = keepers(nodes);
        let calls = keepers.iter().map(|keeper| {
            let request = Request { kind: kind.clone() };
            nodes.call(keeper, request, TELL_TIMEOUT)
        });
        let answers = join_all(calls).await;
        // A front that knows no other has nobody to tell.
        if !answers.is_empty() && answers.iter().all(Result::is_err) {
            log::warn!("event=usage_not_shared keepers={keepers:?}");
            tokio::time::sleep(RETRY_PAUSE).await;
            changed.mark_changed();
        }
    }
}

/// The strongest fronts, which take weak ones' work, by rendezvous hash of this node.
fn keepers(nodes: &Nodes) -> Vec<String> {
    let own = nodes.own().node;
    let takeover_candidates = nodes.takeover_candidates();
    let others = takeover_candidates.iter().map(|taker| taker.node.as_str());
    let ranked = rendezvous(own.as_bytes(), others.filter(|node| *node != own));
    ranked
        .into_iter()
        .take(KEEPERS)
        .map(str::to_owned)
        .collect()
}

//! Tells the other fronts which instances load weights, so that they start nothing there that would be refused.

use std::time::Duration;

use ladderstage_journal::Peers;
use ladderstage_wire::messages::mod_Request::OneOfkind as RequestKind;
use ladderstage_wire::messages::{InstanceLoading, Request};
use tokio::task::JoinSet;

use crate::nodes::Nodes;

/// Longest wait for a front: later the notice is of no use.
const NOTICE_LIMIT: Duration = Duration::from_millis(200);

/// Sends the notice to all other fronts, one task each in `notices`; tasks that have ended are taken out.
pub(super) fn tell_loading(
    nodes: &Nodes,
    notices: &mut JoinSet<()>,
    instance: &str,
    model: &str,
    load: Duration,
) {
    while notices.try_join_next().is_some() {}
    let own_node = nodes.own().node;
    let fronts = nodes.successors();
    for front in fronts.into_iter().filter(|front| front.node != own_node) {
        let kind = RequestKind::instance_loading(InstanceLoading {
            instance: instance.to_owned(),
            model: model.to_owned(),
            for_ms: load.as_millis() as u64,
        });
        let nodes = nodes.clone();
        notices.spawn(async move {
            // A front that is not told finds out by a refusal.
            let _ = nodes
                .call(&front.node, Request { kind }, NOTICE_LIMIT)
                .await;
        });
    }
}

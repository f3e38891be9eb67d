//! Dispatches requests of other daemons to the components.

use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, OnceLock, Weak};

use ladderstage_transport::Handler;
use ladderstage_wire::messages::mod_Refused::Reason;
use ladderstage_wire::messages::mod_Request::OneOfkind as RequestKind;
use ladderstage_wire::messages::mod_Response::OneOfkind as ResponseKind;
use ladderstage_wire::messages::{Refused, Request, Response};

use crate::node::NodeComponents;

/// Retry delay in milliseconds sent to peers while this node is starting.
const STARTING_RETRY_AFTER_MS: u64 = 200;

/// Slot for the components, filled at the end of the start. The reference is weak so that a stopped node is freed.
pub type ComponentsSlot = Arc<OnceLock<Weak<NodeComponents>>>;

/// Dispatches requests to the components.
#[derive(Debug)]
pub struct PeerHandler {
    components: ComponentsSlot,
}

impl PeerHandler {
    /// Creates a handler that refuses requests until the slot is filled.
    pub fn new(components: ComponentsSlot) -> Self {
        Self { components }
    }
}

impl Handler for PeerHandler {
    fn handle(&self, request: Request) -> Pin<Box<dyn Future<Output = Response> + Send + '_>> {
        Box::pin(async move {
            match self.components.get().and_then(Weak::upgrade) {
                Some(components) => answer(&components, request.kind).await,
                None => refusal(Reason::NOT_READY, "starting", STARTING_RETRY_AFTER_MS),
            }
        })
    }
}

async fn answer(components: &NodeComponents, request: RequestKind) -> Response {
    match request {
        RequestKind::ping(request) => components.members.handle_ping(request),
        RequestKind::indirect_ping(request) => {
            components.members.handle_indirect_ping(request).await
        }
        RequestKind::member_sync(request) => components.members.handle_member_sync(request),
        RequestKind::push_bundle(request) => components.bundles.handle_push_bundle(request).await,
        RequestKind::fetch_bundle(request) => components.bundles.handle_fetch_bundle(&request),
        RequestKind::fetch_replica_set(_) => components.replica_sets.handle_fetch_replica_set(),
        RequestKind::shard_notice(request) => components.shards.handle_shard_notice(request).await,
        RequestKind::open_shard(request) => components.shards.handle_open_shard(request).await,
        RequestKind::pull_shard(request) => components.shards.handle_pull_shard(request).await,
        RequestKind::backend_gossip(request) => components.backends.handle_gossip(request),
        RequestKind::None => refusal(Reason::MALFORMED, "unknown request kind", 0),
        journal_request => components.journal.handle(journal_request).await,
    }
}

fn refusal(reason: Reason, detail: &str, retry_after_ms: u64) -> Response {
    Response {
        kind: ResponseKind::refused(Refused {
            reason,
            detail: detail.to_owned(),
            retry_after_ms,
        }),
    }
}

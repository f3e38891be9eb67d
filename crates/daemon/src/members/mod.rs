//! Membership of this node: runs the SWIM state machine over the peers' connections.

mod changes;
mod handlers;
mod hooks;
mod messages;
mod probes;
mod shared;
mod task;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use ladderstage::ids::ProcessId;
use ladderstage_transport::{CallError, Client};
use ladderstage_wire::messages::{Member, MemberState, Request, Response};
use tokio::task::AbortHandle;

use crate::journal::Peers;
use crate::settings::Settings;

pub use hooks::MemberHooks;

use shared::Shared;

/// What this node knows of the others. Cheap to clone; probing stops when the last clone is dropped.
#[derive(Debug, Clone)]
pub struct Members {
    shared: Arc<Shared>,
    probing: Arc<Probing>,
}

/// The task that probes the others; it ends when this is dropped.
#[derive(Debug)]
struct Probing {
    task: AbortHandle,
}

impl Drop for Probing {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Members {
    /// Starts to probe the others and to look for seeds. Needs a tokio runtime.
    ///
    /// `replica_id` is 0 without a data folder. `http_address` and `peer_address` are those listened on;
    /// the others are told `settings.peer_advertise` in place of the latter, if it is set.
    pub fn start(
        settings: &Settings,
        process: ProcessId,
        replica_id: u64,
        http_address: SocketAddr,
        peer_address: SocketAddr,
        client: Client,
        hooks: Arc<dyn MemberHooks>,
    ) -> Members {
        let advertised = settings.peer_advertise.unwrap_or(peer_address);
        let own = Member {
            node: settings.node.clone(),
            process,
            replica_id,
            peer_address: advertised.to_string(),
            http_address: http_address.to_string(),
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            started_unix_ms: shared::unix_ms(),
            ..Member::default()
        };
        let own_addresses = [advertised, peer_address, settings.peer_listen];
        let shared = Arc::new(Shared::new(settings, own, &own_addresses, client, hooks));
        let task = tokio::spawn(task::run(Arc::clone(&shared))).abort_handle();
        let probing = Arc::new(Probing { task });
        Self { shared, probing }
    }

    /// Stops probing the others; their calls are still answered.
    pub fn stop(&self) {
        self.probing.task.abort();
    }

    /// This node's own entry.
    pub fn own(&self) -> Member {
        self.shared.membership().own().clone()
    }

    /// Members that take work (ALIVE or SUSPECT), this node included, sorted by name.
    pub fn alive(&self) -> Vec<Member> {
        let takes_work =
            |member: &Member| matches!(member.state, MemberState::ALIVE | MemberState::SUSPECT);
        self.all().into_iter().filter(takes_work).collect()
    }

    /// All members ever heard of and not yet forgotten, this node included, sorted by name.
    pub fn all(&self) -> Vec<Member> {
        self.shared.membership().all()
    }

    /// The newest entry of a node.
    pub fn find(&self, node: &str) -> Option<Member> {
        self.shared.membership().find(node).cloned()
    }

    /// Where to reach a node: an override from the settings, else what it tells.
    pub fn address(&self, node: &str) -> Option<SocketAddr> {
        self.shared.address(node)
    }

    /// Calls a node by name. `NotSent` if its address is not known.
    pub async fn call(
        &self,
        node: &str,
        request: Request,
        timeout: Duration,
    ) -> Result<Response, CallError> {
        let Some(address) = self.address(node) else {
            return Err(CallError::NotSent(format!("no address of {node:?} known")));
        };
        self.shared.client.call(address, request, timeout).await
    }

    /// Changes the replica id that the others are told.
    pub fn set_replica_id(&self, replica_id: u64) {
        self.shared.membership().set_replica_id(replica_id);
    }

    /// Changes the address for callers that the others are told.
    pub fn set_http_address(&self, http_address: SocketAddr) {
        let http_address = http_address.to_string();
        self.shared.membership().set_http_address(http_address);
    }

    /// Tells the others that this node is stopping as planned. Some are told before this returns, which takes one
    /// probe timeout at most; they pass it on.
    pub async fn announce_leaving(&self) {
        self.shared.membership().start_leaving();
        self.shared.tell_some().await;
    }

    /// Tells the others that this node has stopped as planned; for the very end of the stop. As
    /// [`announce_leaving`](Self::announce_leaving) otherwise.
    pub async fn announce_left(&self) {
        self.shared.membership().finish_leaving();
        self.shared.tell_some().await;
    }

    /// Whether this node is cut off from the majority of its region's members; the rule is at
    /// [`Membership::is_isolated`](ladderstage::membership::Membership::is_isolated). A sole member is not.
    pub fn is_isolated(&self) -> bool {
        self.shared.membership().is_isolated(self.shared.now())
    }
}

impl Peers for Members {
    fn alive(&self) -> Vec<Member> {
        Members::alive(self)
    }

    fn call<'a>(
        &'a self,
        node: &'a str,
        request: Request,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<Response, CallError>> {
        Box::pin(Members::call(self, node, request, timeout))
    }
}

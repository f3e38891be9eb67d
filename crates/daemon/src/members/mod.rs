//! Cluster membership: runs the SWIM state machine over connections to peers.

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

/// Members of the cluster, as known to this node. Cheap to clone; probing stops when the last clone is dropped.
#[derive(Debug, Clone)]
pub struct Members {
    shared: Arc<Shared>,
    probe_task: Arc<ProbeTask>,
}

/// Task that probes the other members; it is aborted on drop.
#[derive(Debug)]
struct ProbeTask {
    task: AbortHandle,
}

impl Drop for ProbeTask {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Members {
    /// Starts probing the other members and contacting the seeds. Must be called within a Tokio runtime.
    ///
    /// `replica_id` is 0 if this node has no data folder. `http_address` and `peer_address` are the listen addresses;
    /// `settings.peer_advertise`, if set, is announced instead of `peer_address`.
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
        let probe_task = Arc::new(ProbeTask { task });
        Self { shared, probe_task }
    }

    /// Stops probing other members; their calls are still answered.
    pub fn stop(&self) {
        self.probe_task.task.abort();
    }

    /// Returns this node's own entry.
    pub fn own(&self) -> Member {
        self.shared.membership().own().clone()
    }

    /// Returns the members that accept work (`ALIVE` or `SUSPECT`), including this node, sorted by name.
    pub fn alive(&self) -> Vec<Member> {
        let takes_work =
            |member: &Member| matches!(member.state, MemberState::ALIVE | MemberState::SUSPECT);
        self.all().into_iter().filter(takes_work).collect()
    }

    /// Returns all known members, including this node, sorted by name.
    pub fn all(&self) -> Vec<Member> {
        self.shared.membership().all()
    }

    /// Returns the newest entry of a node.
    pub fn find(&self, node: &str) -> Option<Member> {
        self.shared.membership().find(node).cloned()
    }

    /// Returns the address of a node: the override in the settings, or the one that it announces.
    pub fn address(&self, node: &str) -> Option<SocketAddr> {
        self.shared.address(node)
    }

    /// Calls a node by name.
    ///
    /// # Errors
    /// [`CallError`]; `NotSent` if the address of the node is unknown.
    pub async fn call(
        &self,
        node: &str,
        request: Request,
        timeout: Duration,
    ) -> Result<Response, CallError> {
        let Some(address) = self.address(node) else {
            return Err(CallError::NotSent(format!(
                "address of node {node:?} is unknown"
            )));
        };
        self.shared.client.call(address, request, timeout).await
    }

    /// Sets the replica id that is announced to the other members.
    pub fn set_replica_id(&self, replica_id: u64) {
        self.shared.membership().set_replica_id(replica_id);
    }

    /// Sets the HTTP address that is announced to the other members.
    pub fn set_http_address(&self, http_address: SocketAddr) {
        let http_address = http_address.to_string();
        self.shared.membership().set_http_address(http_address);
    }

    /// Announces the planned stop of this node to some members, which forward it. Waits for their answers for at most
    /// one probe timeout.
    pub async fn announce_leaving(&self) {
        self.shared.membership().start_leaving();
        self.shared.announce_to_some().await;
    }

    /// Announces the end of the planned stop of this node, in the same way as
    /// [`announce_leaving`](Self::announce_leaving).
    pub async fn announce_left(&self) {
        self.shared.membership().finish_leaving();
        self.shared.announce_to_some().await;
    }

    /// Returns whether this node is partitioned from the majority of its region's members, as defined by
    /// [`Membership::is_isolated`](ladderstage::membership::Membership::is_isolated). Returns `false` if this node is
    /// the only member.
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

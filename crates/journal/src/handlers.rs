//! Handlers for journal requests of peers, served from this node's data folder.

use ladderstage_wire::messages::mod_Request::OneOfkind as RequestKind;
use ladderstage_wire::messages::{
    Append, DescribeLogs, ExportLogs, FenceReplicaSet, Install, OwnerHeartbeat, ReadLog, Response,
    Seal,
};

use super::Journal;

impl Journal {
    /// Handles any journal request of a peer and refuses other requests as malformed. The methods
    /// below handle one kind each.
    pub async fn handle(&self, request: RequestKind) -> Response {
        self.service().answer(request).await
    }

    /// Handles a seal request.
    pub async fn handle_seal(&self, request: Seal) -> Response {
        self.service().seal(request).await
    }

    /// Handles an install request.
    pub async fn handle_install(&self, request: Install) -> Response {
        self.service().install(request).await
    }

    /// Handles an append request.
    pub async fn handle_append(&self, request: Append) -> Response {
        self.service().append(request).await
    }

    /// Handles a request for the entries of a log.
    pub async fn handle_read_log(&self, request: ReadLog) -> Response {
        self.service().read_log(request).await
    }

    /// Handles a request for the descriptions of logs.
    pub fn handle_describe_logs(&self, request: &DescribeLogs) -> Response {
        self.service().describe_logs(request)
    }

    /// Records an owner's heartbeat; the response carries the evidence of
    /// [`super::JournalHooks::own_evidence`].
    pub fn handle_owner_heartbeat(&self, request: &OwnerHeartbeat) -> Response {
        self.service().owner_heartbeat(request)
    }

    /// Handles a new replica's request for a page of logs.
    pub async fn handle_export_logs(&self, request: ExportLogs) -> Response {
        self.service().export_logs(request).await
    }

    /// Stores the given replica set, so that requests under older ones are rejected.
    pub async fn handle_fence_replica_set(&self, request: FenceReplicaSet) -> Response {
        self.service().fence_replica_set(request).await
    }
}

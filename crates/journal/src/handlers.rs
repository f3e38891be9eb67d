//! Answers to peers from this node's data folder.

use ladderstage_wire::messages::mod_Request::OneOfkind as RequestKind;
use ladderstage_wire::messages::{
    Append, DescribeLogs, ExportLogs, FenceReplicaSet, Install, OwnerHeartbeat, ReadLog, Response,
    Seal,
};

use super::Journal;

impl Journal {
    /// Answers any journal request of a peer; others are refused as malformed. The methods below answer one kind each.
    pub async fn handle(&self, request: RequestKind) -> Response {
        self.service().answer(request).await
    }

    /// Answers a seal from this node's data folder.
    pub async fn handle_seal(&self, request: Seal) -> Response {
        self.service().seal(request).await
    }

    /// Answers an install from this node's data folder.
    pub async fn handle_install(&self, request: Install) -> Response {
        self.service().install(request).await
    }

    /// Answers an append from this node's data folder.
    pub async fn handle_append(&self, request: Append) -> Response {
        self.service().append(request).await
    }

    /// Answers a read from this node's data folder.
    pub async fn handle_read_log(&self, request: ReadLog) -> Response {
        self.service().read_log(request).await
    }

    /// Describes the logs in this node's data folder.
    pub fn handle_describe_logs(&self, request: &DescribeLogs) -> Response {
        self.service().describe_logs(request)
    }

    /// Records an owner's heartbeat; the answer carries the evidence of [`super::JournalHooks::own_evidence`].
    pub fn handle_owner_heartbeat(&self, request: &OwnerHeartbeat) -> Response {
        self.service().owner_heartbeat(request)
    }

    /// Copies logs out of this node's data folder for a new replica.
    pub async fn handle_export_logs(&self, request: ExportLogs) -> Response {
        self.service().export_logs(request).await
    }

    /// Makes this node's data folder refuse older replica sets.
    pub async fn handle_fence_replica_set(&self, request: FenceReplicaSet) -> Response {
        self.service().fence_replica_set(request).await
    }
}

//! Copies the logs of a majority of the current replicas to this node's data folder.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use ladderstage::journal::Quorum;
use ladderstage::region::Distance;
use ladderstage_storage::{Storage, StorageError};
use ladderstage_transport::CallError;
use ladderstage_wire::messages::mod_Request::OneOfkind as RequestKind;
use ladderstage_wire::messages::mod_Response::OneOfkind as ResponseKind;
use ladderstage_wire::messages::{
    ExportLogs, ExportLogsReply, ImportLogs, OwnerHeartbeat, ReplicaMember, ReplicaSet, Request,
};

use super::replacement::fence;
use super::zones::place;
use crate::Peers;

/// How long one page may take.
const PAGE_TIMEOUT: Duration = Duration::from_secs(10);

/// Logs in one page at most.
const LOGS_PER_PAGE: u32 = 64;

/// Logs held here that are named in the question for a page at most: some of them may not be among those of the page.
const KNOWN_PER_PAGE: usize = 4 * LOGS_PER_PAGE as usize;

/// Why a copy is not complete.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CopyError {
    /// Too few replicas gave all their logs.
    #[error("copied from {copied} of {needed} replicas: {failures}")]
    NoQuorum {
        copied: usize,
        needed: usize,
        failures: String,
    },
    /// This node's disk refused.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// The newest bundle that the copied replicas hold has not arrived on this node's disk yet.
    #[error("bundle {needed} is not stored here yet, only {stored}")]
    BundleBehind {
        /// Revision that a copied replica names.
        needed: u64,
        /// Revision on this node's disk.
        stored: u64,
    },
}

/// Why one replica could not be copied.
#[derive(Debug, thiserror::Error)]
enum SourceError {
    #[error(transparent)]
    Call(#[from] CallError),
    #[error("not the answer that was asked for")]
    WrongAnswer,
    #[error("the node has another disk")]
    OtherDisk,
    #[error(transparent)]
    Storage(#[from] StorageError),
}

/// What one replica gave.
struct CopiedSource {
    logs: usize,
    bundle_revision: u64,
}

/// A copy to this node's data folder.
pub(crate) struct LogCopy {
    /// This node.
    pub node: String,
    pub peers: Arc<dyn Peers>,
    pub storage: Storage,
}

impl LogCopy {
    /// Fences the current replicas of a joint set against older sets and copies their logs, each after its fence.
    /// The bundle is not copied but awaited, as it comes to every node that knows of it by itself; the newcomer
    /// must hold what a majority of the current replicas holds before it counts in their place.
    /// Returns the number of logs taken in, counting those of several replicas each time.
    pub async fn copy_quorum(&self, set: &ReplicaSet) -> Result<usize, CopyError> {
        let quorum = Quorum::new(&ReplicaSet {
            next: Vec::new(),
            ..set.clone()
        });
        let mut copied = BTreeSet::new();
        let mut failures = Vec::new();
        let mut logs = 0;
        let mut needed = 0;
        for member in &self.near_first(&set.current) {
            if quorum.is_covered_by(&copied) {
                break;
            }
            match self.copy_replica(set, member).await {
                Ok(source) => {
                    logs += source.logs;
                    needed = needed.max(source.bundle_revision);
                    copied.insert(member.replica_id);
                }
                Err(SourceError::Storage(error)) => return Err(error.into()),
                Err(error) => failures.push(format!("{}: {error}", member.node)),
            }
        }
        if !quorum.is_covered_by(&copied) {
            return Err(CopyError::NoQuorum {
                copied: copied.len(),
                needed: set.current.len().div_ceil(2),
                failures: failures.join("; "),
            });
        }
        let stored = self.storage.bundle_revision();
        if stored < needed {
            return Err(CopyError::BundleBehind { needed, stored });
        }
        Ok(logs)
    }

    /// Fences the replicas that stay in a shrinking set, and this one, against older sets; then gives each of them all logs of
    /// this one. Returns the number of logs.
    pub async fn copy_to(&self, set: &ReplicaSet) -> Result<usize, CopyError> {
        let failed = |node: &str, error: SourceError| CopyError::NoQuorum {
            copied: 0,
            needed: set.next.len(),
            failures: format!("{node}: {error}"),
        };
        for member in &set.next {
            let fenced = self.call(member, fence(set).kind).await;
            fenced.map_err(|error| failed(&member.node, error))?;
        }
        let mut after = String::new();
        let mut copied = 0;
        loop {
            let page = self
                .storage
                .export_logs(&after, LOGS_PER_PAGE as usize)
                .await?;
            for member in &set.next {
                let request = RequestKind::import_logs(ImportLogs {
                    replica_set_version: set.version,
                    logs: page.logs.clone(),
                });
                let imported = self.call(member, request).await;
                imported.map_err(|error| failed(&member.node, error))?;
            }
            copied += page.logs.len();
            match page.logs.last() {
                Some(last) if page.more => after = last.log.clone(),
                _ => break,
            }
        }
        // Asked last: a disk that was exchanged on the way has another id by now.
        for member in &set.next {
            let checked = self.check_disk(member).await;
            checked.map_err(|error| failed(&member.node, error))?;
        }
        Ok(copied)
    }

    /// The nearest first: the first copy is whole, and later ones bring only what it lacks.
    fn near_first(&self, members: &[ReplicaMember]) -> Vec<ReplicaMember> {
        let alive = self.peers.alive();
        let find = |node: &str| alive.iter().find(|one| one.node == node);
        let distance = |node: &str| {
            let (own, other) = (find(&self.node)?, find(node)?);
            Some(Distance::between(&place(own), &place(other)))
        };
        let mut members = members.to_vec();
        members.sort_by_key(|member| distance(&member.node).unwrap_or(Distance::SameRegion));
        members
    }

    async fn copy_replica(
        &self,
        set: &ReplicaSet,
        member: &ReplicaMember,
    ) -> Result<CopiedSource, SourceError> {
        self.call(member, fence(set).kind).await?;
        let mut after = String::new();
        let mut logs = 0;
        loop {
            let page = self.page(set, member, &after).await?;
            logs += page.logs.len();
            let last = page.logs.last().map(|log| log.log.clone());
            self.storage.import_logs(set.version, page.logs).await?;
            match last {
                Some(last) if page.more => after = last,
                _ => break,
            }
        }
        // Asked last: a disk that was exchanged on the way has another id by now.
        let bundle_revision = self.check_disk(member).await?;
        Ok(CopiedSource {
            logs,
            bundle_revision,
        })
    }

    async fn page(
        &self,
        set: &ReplicaSet,
        member: &ReplicaMember,
        after: &str,
    ) -> Result<ExportLogsReply, SourceError> {
        let request = RequestKind::export_logs(ExportLogs {
            replica_set_version: set.version,
            after: after.to_owned(),
            limit: LOGS_PER_PAGE,
            known: self.storage.known_logs(after, KNOWN_PER_PAGE),
        });
        match self.call(member, request).await? {
            ResponseKind::export_logs(page) => Ok(page),
            _ => Err(SourceError::WrongAnswer),
        }
    }

    /// Checks that the node still has the disk that the set names; returns the revision of its bundle.
    async fn check_disk(&self, member: &ReplicaMember) -> Result<u64, SourceError> {
        let request = RequestKind::owner_heartbeat(OwnerHeartbeat::default());
        let ResponseKind::owner_heartbeat(reply) = self.call(member, request).await? else {
            return Err(SourceError::WrongAnswer);
        };
        if reply.replica_id != member.replica_id {
            return Err(SourceError::OtherDisk);
        }
        Ok(reply.evidence.unwrap_or_default().revision)
    }

    async fn call(
        &self,
        member: &ReplicaMember,
        kind: RequestKind,
    ) -> Result<ResponseKind, SourceError> {
        let request = Request { kind };
        let answer = self.peers.call(&member.node, request, PAGE_TIMEOUT).await?;
        match answer.kind {
            ResponseKind::refused(refused) => Err(CallError::Refused(refused).into()),
            kind => Ok(kind),
        }
    }
}

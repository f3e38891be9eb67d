//! Copies of the replicas that join the set, as they report them: a change is complete once each of them
//! has copied all logs.

use std::fmt;
use std::time::Duration;

use ladderstage::journal::quorum::ReplicaId;
use ladderstage::journal::replica_set;
use ladderstage_transport::CallError;
use ladderstage_wire::messages::mod_Request::OneOfkind as RequestKind;
use ladderstage_wire::messages::mod_Response::OneOfkind as ResponseKind;
use ladderstage_wire::messages::{OwnerHeartbeat, ReplicaMember, ReplicaSet, Request};

use crate::Peers;

/// Timeout of the call to a joining replica.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Reason why it is unknown whether a joining replica has copied the logs.
#[derive(Debug, thiserror::Error)]
enum CopyUnknown {
    #[error(transparent)]
    Call(#[from] CallError),
    #[error("the node's disk was replaced")]
    DiskReplaced,
    #[error("unexpected response kind")]
    UnexpectedResponse,
}

/// Copy of a joining replica, as it reports it.
#[derive(Debug)]
pub(super) struct JoiningCopy {
    member: ReplicaMember,
    /// Version of the joint set under which it has copied all logs; 0 if it has copied none.
    answer: Result<u64, CopyUnknown>,
}

impl JoiningCopy {
    /// Returns the replica's id and the version of its copy, if known.
    pub fn version(&self) -> Option<(u64, u64)> {
        let version = self.answer.as_ref().ok()?;
        Some((self.member.replica_id, *version))
    }

    /// Returns whether the logs were copied under the joint set `version`.
    pub fn is_done(&self, version: u64) -> bool {
        matches!(self.answer, Ok(copied) if copied == version)
    }
}

impl fmt::Display for JoiningCopy {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let node = &self.member.node;
        match &self.answer {
            Ok(_) => write!(formatter, "{node}"),
            Err(error) => write!(formatter, "{node}: {error}"),
        }
    }
}

/// Asks all joining replicas under which joint set they have copied the logs. `own` is this node's disk,
/// if it has one, with the version of its copy.
pub(super) async fn joining_copies(
    peers: &dyn Peers,
    set: &ReplicaSet,
    own: Option<(ReplicaId, u64)>,
) -> Vec<JoiningCopy> {
    let joining = replica_set::joining_replicas(set).into_iter();
    let copies = joining.map(|member| async move {
        let answer = match own {
            Some((id, version)) if id == member.replica_id => Ok(version),
            _ => fetch_copied_version(peers, member).await,
        };
        JoiningCopy {
            member: member.clone(),
            answer,
        }
    });
    futures_util::future::join_all(copies).await
}

async fn fetch_copied_version(
    peers: &dyn Peers,
    member: &ReplicaMember,
) -> Result<u64, CopyUnknown> {
    // The reply to an empty heartbeat contains the replica id and the version of the copy.
    let request = Request {
        kind: RequestKind::owner_heartbeat(OwnerHeartbeat::default()),
    };
    let answer = peers.call(&member.node, request, CALL_TIMEOUT).await?;
    match answer.kind {
        ResponseKind::owner_heartbeat(reply) if reply.replica_id == member.replica_id => {
            Ok(reply.copied_set_version)
        }
        ResponseKind::owner_heartbeat(_) => Err(CopyUnknown::DiskReplaced),
        ResponseKind::refused(refused) => Err(CallError::Refused(refused).into()),
        _ => Err(CopyUnknown::UnexpectedResponse),
    }
}

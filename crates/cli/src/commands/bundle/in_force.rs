//! Queries the bundle in force on all members.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use serde::Serialize;

use crate::client::{Client, CurrentBundle, Member, MembersAnswer};

/// Interval between queries of members that do not have the revision yet.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Bundle in force on a member.
#[derive(Debug, Clone, Serialize)]
pub struct MemberBundle {
    pub node: String,
    /// Revision in force; `None` if the member did not answer.
    pub revision: Option<u64>,
    pub digest: String,
    pub evidence_age_ms: Option<u64>,
    pub may_deliver: bool,
    /// Error of the query, if it failed.
    pub error: Option<String>,
}

/// Queries the bundles in force on all given members.
pub async fn query_members(client: &Client, members: &[Member]) -> Vec<MemberBundle> {
    let queries = members.iter().map(|member| query_member(client, member));
    join_all(queries).await
}

async fn query_member(client: &Client, member: &Member) -> MemberBundle {
    let answer: Result<CurrentBundle, _> =
        client.get_from(&member.url(), "/v1/bundles/current").await;
    match answer {
        Ok(current) => MemberBundle {
            node: member.node.clone(),
            revision: Some(current.revision),
            digest: current.digest,
            evidence_age_ms: current.evidence_age_ms,
            may_deliver: current.may_deliver,
            error: None,
        },
        Err(error) => MemberBundle {
            node: member.node.clone(),
            revision: None,
            digest: String::new(),
            evidence_age_ms: None,
            may_deliver: false,
            error: Some(error.to_string()),
        },
    }
}

/// Returns the members that the first answering daemon considers running.
pub async fn running_members(client: &Client) -> Result<Vec<Member>, crate::client::CallError> {
    let answer: MembersAnswer = client.get("/v1/members").await?;
    Ok(answer.members.into_iter().filter(Member::is_up).collect())
}

/// Waits until all members have this revision or a later one. Returns the members without it at the deadline.
pub async fn wait_for_revision(
    client: &Client,
    members: &[Member],
    revision: u64,
    deadline: Instant,
) -> Vec<MemberBundle> {
    let mut pending = members.to_vec();
    loop {
        let mut answers = query_members(client, &pending).await;
        answers.retain(|answer| answer.revision.is_none_or(|held| held < revision));
        pending.retain(|member| answers.iter().any(|answer| answer.node == member.node));
        if pending.is_empty() || Instant::now() >= deadline {
            return answers;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

//! `ladderstage bundle status`

use std::fmt;

use serde::Serialize;

use super::in_force::{self, MemberBundle};
use crate::arguments::Invocation;
use crate::client::{Client, RollAnswer};
use crate::error::CliError;
use crate::output;

#[derive(Serialize)]
struct BundleStatus {
    members: Vec<MemberBundle>,
}

impl fmt::Display for BundleStatus {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for member in &self.members {
            write!(formatter, "{}: ", member.node)?;
            match (&member.error, member.revision) {
                (Some(error), _) => writeln!(formatter, "{error}")?,
                (None, None | Some(0)) => writeln!(formatter, "no bundle yet")?,
                (None, Some(revision)) => {
                    let evidence = member.evidence_age_ms.map_or_else(
                        || "not yet known to be the newest".to_owned(),
                        |age| format!("known to be the newest {age} ms ago"),
                    );
                    let deliveries = if member.may_deliver {
                        "delivers"
                    } else {
                        "holds deliveries back"
                    };
                    let digest = &member.digest;
                    writeln!(
                        formatter,
                        "revision {revision}, {evidence}, {deliveries}, digest {digest}"
                    )?;
                }
            }
        }
        Ok(())
    }
}

#[derive(Serialize)]
struct ProposalReport {
    outcome: &'static str,
    revision: u64,
}

impl fmt::Display for ProposalReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} as revision {}", self.outcome, self.revision)
    }
}

/// Shows the bundle in force on all members, or the state of a proposal.
pub async fn status(invocation: &mut Invocation) -> Result<(), CliError> {
    let client = invocation.client()?;
    let proposal = invocation.option("--proposal")?;
    invocation.finish()?;
    if let Some(proposal) = proposal {
        let report = query_proposal(&client, &proposal).await?;
        output::print(invocation.json, &report);
        return Ok(());
    }
    let members = in_force::running_members(&client).await?;
    let status = BundleStatus {
        members: in_force::query_members(&client, &members).await,
    };
    output::print(invocation.json, &status);
    Ok(())
}

/// Queries a proposal. One daemon that has seen it in force is enough.
async fn query_proposal(client: &Client, proposal: &str) -> Result<ProposalReport, CliError> {
    let is_plain = |letter: char| letter.is_ascii_alphanumeric() || letter == '-';
    if !proposal.chars().all(is_plain) {
        return Err(CliError::Usage(format!(
            "`{proposal}` is not a proposal id"
        )));
    }
    let path = format!("/v1/bundles/proposals/{proposal}");
    let mut details = Vec::new();
    for url in client.urls() {
        match client.get_any_status(url, &path).await {
            Ok(RollAnswer::Accepted { revision, .. }) => {
                return Ok(ProposalReport {
                    outcome: "accepted",
                    revision,
                });
            }
            Ok(RollAnswer::NotSeen { revision_in_force }) => details.push(format!(
                "{url}: proposal not seen; revision {revision_in_force} is in force. A proposal for a lower or equal \
                revision lost or was superseded; a proposal for a higher revision is not in force."
            )),
            Ok(RollAnswer::Pending { revision }) => details.push(format!(
                "{url}: proposal has revision {revision} but is not yet stored on a quorum of replicas"
            )),
            Ok(other) => details.push(format!("{url}: {other:?}")),
            Err(error) => details.push(error.to_string()),
        }
    }
    Err(CliError::Unknown(details.join("\n")))
}

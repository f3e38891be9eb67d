//! `ladderstage bundle roll`

use std::fmt;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use ladderstage::bundle::{BundleDocument, digest};
use serde::Serialize;

use super::in_force::{self, MemberBundle};
use crate::arguments::Invocation;
use crate::client::{CallError, Client, RollAnswer};
use crate::error::CliError;
use crate::files::SignedFile;
use crate::output;

/// Default of `--timeout`.
const DEFAULT_TIMEOUT_SECONDS: u64 = 30;

/// Delay between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

#[derive(Serialize)]
struct Rolled {
    revision: u64,
    digest: String,
    proposal_id: String,
    members: usize,
    in_force_after_ms: u128,
}

impl fmt::Display for Rolled {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = self.in_force_after_ms as f64 / 1000.0;
        write!(
            formatter,
            "revision {} is in force on all {} members after {seconds:.2} s (digest {}, proposal {})",
            self.revision, self.members, self.digest, self.proposal_id
        )
    }
}

/// Rolls a signed bundle and waits until it is in force on all members.
pub async fn roll(invocation: &mut Invocation) -> Result<(), CliError> {
    let client = invocation.client()?;
    let timeout = Duration::from_secs(invocation.seconds("--timeout", DEFAULT_TIMEOUT_SECONDS)?);
    let path = PathBuf::from(invocation.positional("FILE")?);
    invocation.finish()?;
    let signed = SignedFile::read(&path)?;
    signed.to_message()?;
    let started = Instant::now();
    let deadline = started + timeout;
    let (revision, proposal_id) = Roll::new(&client, &path, &signed, deadline)?.run().await?;
    let members = in_force::running_members(&client).await;
    let members = members.map_err(|error| {
        let detail = format!("revision {revision} is accepted; cannot list the members: {error}");
        CliError::Failed(detail)
    })?;
    let missing = in_force::wait_for_revision(&client, &members, revision, deadline).await;
    if !missing.is_empty() {
        return Err(missing_members_error(revision, members.len(), &missing));
    }
    let rolled = Rolled {
        revision,
        digest: digest(signed.text.as_bytes()).to_string(),
        proposal_id,
        members: members.len(),
        in_force_after_ms: started.elapsed().as_millis(),
    };
    output::print(invocation.json, &rolled);
    Ok(())
}

fn missing_members_error(revision: u64, members: usize, missing: &[MemberBundle]) -> CliError {
    let describe = |member: &MemberBundle| match (&member.error, member.revision) {
        (Some(error), _) => format!("{} ({error})", member.node),
        (None, current) => format!("{} (has revision {})", member.node, current.unwrap_or(0)),
    };
    let list = missing.iter().map(describe).collect::<Vec<_>>().join(", ");
    CliError::Failed(format!(
        "revision {revision} is accepted; not in force yet on {} of {members} members: {list}",
        missing.len()
    ))
}

/// Roll that is retried until its outcome is known. Retries are safe, as daemons recognize a text that was accepted.
struct Roll<'r> {
    client: &'r Client,
    path: &'r Path,
    body: String,
    revision: Option<u64>,
    deadline: Instant,
    /// Error of an earlier attempt that may have succeeded.
    unknown_detail: Option<String>,
    proposals: Vec<String>,
}

/// Result of an attempt.
enum Attempt {
    Done(Result<(u64, String), CliError>),
    Retry(String),
}

impl<'r> Roll<'r> {
    fn new(
        client: &'r Client,
        path: &'r Path,
        signed: &SignedFile,
        deadline: Instant,
    ) -> Result<Self, CliError> {
        let body = serde_json::to_string(signed)
            .map_err(|error| CliError::Input(format!("{}: {error}", path.display())))?;
        Ok(Self {
            client,
            path,
            body,
            revision: BundleDocument::read("bundle", &signed.text).revision(),
            deadline,
            unknown_detail: None,
            proposals: Vec::new(),
        })
    }

    async fn run(mut self) -> Result<(u64, String), CliError> {
        let urls = self.client.urls().to_vec();
        for url in urls.iter().cycle() {
            let detail = match self.attempt(url).await {
                Attempt::Done(outcome) => return outcome,
                Attempt::Retry(detail) => detail,
            };
            if Instant::now() >= self.deadline {
                return Err(self.timeout_error(&detail));
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
        Err(CliError::Usage("no URL of a daemon is given".to_owned()))
    }

    async fn attempt(&mut self, url: &str) -> Attempt {
        let answer = self
            .client
            .post_any_status(url, "/v1/bundles", self.body.clone())
            .await;
        match answer {
            Ok(RollAnswer::Accepted {
                revision,
                proposal_id,
            }) => Attempt::Done(Ok((revision, proposal_id))),
            Ok(RollAnswer::Unknown {
                proposal_id,
                detail,
            }) => {
                self.proposals.push(proposal_id);
                self.unknown_detail = Some(detail.clone());
                Attempt::Retry(detail)
            }
            Ok(RollAnswer::Lost {
                winner_revision,
                winner_digest,
            }) => self.handle_lost(url, winner_revision, &winner_digest).await,
            Ok(RollAnswer::Refused {
                reason,
                detail,
                findings,
            }) => self.handle_refused(url, &reason, detail, findings).await,
            Ok(RollAnswer::NotRun { detail }) => Attempt::Retry(detail),
            Ok(other) => Attempt::Retry(format!("{other:?}")),
            Err(error @ CallError::NotSent { .. }) => Attempt::Retry(error.to_string()),
            Err(error @ CallError::NoAnswer { .. }) => {
                self.unknown_detail = Some(error.to_string());
                Attempt::Retry(error.to_string())
            }
            Err(error @ CallError::Refused { .. }) => Attempt::Done(Err(error.into())),
        }
    }

    /// Handles a lost race. If another text has the same revision, no earlier attempt can have succeeded.
    async fn handle_lost(&self, url: &str, winner_revision: u64, winner_digest: &str) -> Attempt {
        if self.unknown_detail.is_some() && self.revision != Some(winner_revision) {
            return Attempt::Done(self.find_accepted_proposal(url, winner_revision).await);
        }
        Attempt::Done(Err(CliError::Failed(format!(
            "lost the race: revision {winner_revision} is in force with digest {winner_digest}; \
             take that bundle, raise the revision and sign again"
        ))))
    }

    async fn handle_refused(
        &self,
        url: &str,
        reason: &str,
        detail: String,
        findings: Vec<ladderstage::bundle::Finding>,
    ) -> Attempt {
        if self.unknown_detail.is_some() && reason == "findings" {
            // An earlier attempt may have succeeded and been superseded by another bundle.
            return Attempt::Done(self.find_accepted_proposal(url, 0).await);
        }
        if findings.is_empty() {
            return Attempt::Done(Err(CliError::Failed(format!(
                "refused ({reason}): {detail}"
            ))));
        }
        let file = self.path.display().to_string();
        let findings = findings.into_iter().map(|mut finding| {
            finding.file.clone_from(&file);
            finding
        });
        Attempt::Done(Err(CliError::RefusedFindings(findings.collect())))
    }

    /// Returns an earlier attempt that was accepted and has been superseded.
    async fn find_accepted_proposal(
        &self,
        url: &str,
        in_force: u64,
    ) -> Result<(u64, String), CliError> {
        for proposal in &self.proposals {
            let path = format!("/v1/bundles/proposals/{proposal}");
            let answer = self.client.get_any_status(url, &path).await;
            if let Ok(RollAnswer::Accepted {
                revision,
                proposal_id,
            }) = answer
            {
                return Ok((revision, proposal_id));
            }
        }
        Err(self.unknown_outcome_error(&format!(
            "a later bundle (revision {in_force}) is now in force"
        )))
    }

    fn timeout_error(&self, detail: &str) -> CliError {
        match &self.unknown_detail {
            Some(unknown_detail) => self.unknown_outcome_error(unknown_detail),
            None => CliError::Failed(format!("not run, nothing was changed: {detail}")),
        }
    }

    fn unknown_outcome_error(&self, detail: &str) -> CliError {
        let urls = self.client.urls().iter();
        let daemons: String = urls.map(|url| format!("--daemon {url} ")).collect();
        let mut text = format!(
            "{detail}\nAsk again with the same command (it takes effect once at most): \
             ladderstage bundle roll {daemons}{}",
            self.path.display()
        );
        for proposal in &self.proposals {
            text += &format!("\nor: ladderstage bundle status {daemons}--proposal {proposal}");
        }
        CliError::Unknown(text)
    }
}

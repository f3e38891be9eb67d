//! Rolls a bundle, that is, puts it in force on all nodes: checks, a compare-and-swap on the head record, and storage
//! at a quorum of replicas.

use std::time::{Duration, Instant};

use ladderstage::bundle::{
    BundleDocument, BundleError, CheckContext, Digest, Finding, KnownVersions, PoolKind, digest,
    verify,
};
use ladderstage::ids::Revision;
use ladderstage_platform::key_value::{KeyValueEntry, KeyValueError, SwapOutcome};
use ladderstage_wire::encode;
use ladderstage_wire::messages::SignedBundle;
use log::{info, warn};

use super::Bundles;
use super::head::{self, HEAD_KEY, Head, HeadError};
use super::state::Adoption;
use crate::jitter::jittered;

/// Maximum number of attempts at a call that the key-value service did not execute.
const MAX_ATTEMPTS: u32 = 4;

/// Interval between attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Reason why a bundle was refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The signatures are invalid.
    #[error("{0}")]
    Signature(BundleError),
    /// The checks of the content found errors.
    #[error("{} findings", .0.len())]
    Findings(Vec<Finding>),
    /// This node cannot verify the bundle in the head record, so no bundle may follow it.
    #[error("{0}")]
    Head(String),
}

/// Outcome of a roll.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RollOutcome {
    /// The bundle is accepted: a quorum of replicas has stored it.
    Accepted {
        /// Revision of the bundle.
        revision: Revision,
        /// Proposal that was accepted; an earlier one if the same text had been rolled before.
        proposal_id: String,
    },
    /// Another bundle has the revision; this one will never come into force.
    Lost {
        /// Revision in force.
        revision: Revision,
        /// Digest of the bundle in force.
        digest: Digest,
        /// Proposal of the bundle in force.
        proposal_id: String,
    },
    /// The bundle is refused; nothing was changed.
    Refused(Refusal),
    /// The key-value service was not reachable; nothing was changed.
    NotRun {
        /// What failed.
        detail: String,
    },
    /// The bundle may or may not come into force; query the proposal id later.
    Unknown {
        /// Proposal id of this roll.
        proposal_id: String,
        /// What failed.
        detail: String,
    },
}

impl RollOutcome {
    /// Returns the outcome's name in logs and metrics.
    fn name(&self) -> &'static str {
        match self {
            Self::Accepted { .. } => "accepted",
            Self::Lost { .. } => "lost",
            Self::Refused(_) => "refused",
            Self::NotRun { .. } => "not-run",
            Self::Unknown { .. } => "unknown",
        }
    }
}

/// Bundle of a running roll.
struct Proposal {
    signed: SignedBundle,
    digest: Digest,
    deadline: Instant,
}

/// Result of the attempts to swap the head record.
enum SwapResult {
    /// The swap took effect; its attempt was sent no later than `sent_at`.
    Won {
        sent_at: Instant,
    },
    Settled(RollOutcome),
}

impl Bundles {
    /// Rolls a signed bundle under a new proposal id. The roll continues if the caller stops waiting.
    pub async fn roll(&self, signed: SignedBundle) -> RollOutcome {
        let bundles = self.clone();
        let proposal_id = format!("{:032x}", rand::random::<u128>());
        let id = proposal_id.clone();
        let started = Instant::now();
        let task = tokio::spawn(async move { bundles.roll_with_id(signed, id).await });
        let outcome = task.await.unwrap_or_else(|error| RollOutcome::Unknown {
            proposal_id: proposal_id.clone(),
            detail: error.to_string(),
        });
        let metrics = &self.shared.metrics;
        metrics.record_roll(outcome.name(), started.elapsed());
        info!(
            "event=bundle_roll proposal={proposal_id} outcome={}",
            outcome.name()
        );
        outcome
    }

    async fn roll_with_id(&self, mut signed: SignedBundle, proposal_id: String) -> RollOutcome {
        signed.proposal_id = proposal_id;
        // Findings are reported by `check`, together with those that need the current bundle.
        if let Err(error) = verify(&signed, &self.shared.trusted)
            && !matches!(error, BundleError::Findings(_))
        {
            return RollOutcome::Refused(Refusal::Signature(error));
        }
        let proposal = Proposal {
            digest: digest(&signed.text),
            signed,
            deadline: Instant::now() + self.shared.roll_deadline,
        };
        if self
            .current()
            .is_some_and(|current| current.digest() == proposal.digest)
        {
            return self.accept(&proposal).await;
        }
        let head = match self.read_head().await {
            Ok(head) => head,
            Err(HeadError::KeyValue(error)) => {
                return RollOutcome::NotRun {
                    detail: format!("the head record could not be read: {error}"),
                };
            }
            Err(error) => return RollOutcome::Refused(Refusal::Head(error.to_string())),
        };
        let expected = head.as_ref().map_or(0, |head| head.mod_revision);
        if let Some(outcome) = self.check(&proposal, head).await {
            return outcome;
        }
        match self.swap(&proposal, expected).await {
            SwapResult::Won { sent_at } => self.accept_swapped(proposal, sent_at).await,
            SwapResult::Settled(outcome) => outcome,
        }
    }

    /// Reads the head record, with retries, and adopts its bundle if it is newer.
    async fn read_head(&self) -> Result<Option<Head>, HeadError> {
        let shared = &self.shared;
        let mut attempt = 1;
        loop {
            let sent_at = Instant::now();
            match head::read(&shared.key_value, &shared.trusted).await {
                Ok(Some(head)) => {
                    shared.apply_head(head.clone(), sent_at).await;
                    return Ok(Some(head));
                }
                Err(HeadError::KeyValue(_)) if attempt < MAX_ATTEMPTS => attempt += 1,
                other => return other,
            }
            tokio::time::sleep(jittered(RETRY_INTERVAL)).await;
        }
    }

    /// Returns the outcome if it is known without a swap.
    async fn check(&self, proposal: &Proposal, head: Option<Head>) -> Option<RollOutcome> {
        if let Some(head) = &head
            && head.digest() == proposal.digest
        {
            return Some(self.accept(proposal).await);
        }
        // Also compares with this node's bundle: the service may have lost its records.
        let held = self.current();
        let in_force = held.as_ref().map(|held| &held.bundle);
        let document = read_document(&proposal.signed);
        let known_versions = self.known_versions(&document).await;
        let context = CheckContext {
            current: in_force,
            known_versions: Some(&known_versions),
        };
        let findings = document.check(&context);
        if findings.is_empty() {
            return None;
        }
        let winner = held.filter(|held| document.revision() == Some(held.bundle.revision));
        if let Some(winner) = winner {
            return Some(RollOutcome::Lost {
                revision: winner.bundle.revision,
                digest: winner.digest(),
                proposal_id: winner.signed.proposal_id.clone(),
            });
        }
        Some(RollOutcome::Refused(Refusal::Findings(findings)))
    }

    /// Returns the weight versions of the model pools. Pools whose versions cannot be read are not checked.
    async fn known_versions(&self, document: &BundleDocument) -> KnownVersions {
        let mut known = KnownVersions::new();
        let Some(weight_versions) = &self.shared.weight_versions else {
            return known;
        };
        let pools = document.bundle().pools.iter();
        for pool in pools.filter(|pool| pool.kind == PoolKind::Model) {
            match weight_versions.versions(&pool.name).await {
                Ok(versions) => drop(known.insert(pool.name.clone(), versions)),
                Err(error) => {
                    warn!(
                        "event=weight_store_unreadable pool={} cause={:?}",
                        pool.name,
                        error.to_string()
                    );
                }
            }
        }
        known
    }

    /// Repeats the swap until its outcome is known or the deadline has passed. The swap names the record's expected
    /// revision, so it takes effect at most once.
    async fn swap(&self, proposal: &Proposal, expected: u64) -> SwapResult {
        let value = encode(&proposal.signed);
        let mut is_uncertain = false;
        let mut attempt = 1;
        loop {
            let key_value = &self.shared.key_value;
            let sent_at = Instant::now();
            let swap = key_value.compare_and_swap(HEAD_KEY, expected, value.clone());
            let error = match swap.await {
                Ok(SwapOutcome::Won { .. }) => return SwapResult::Won { sent_at },
                Ok(SwapOutcome::Lost(entry)) => {
                    let swapped = self.resolve_lost_swap(proposal, entry, is_uncertain).await;
                    return swapped.unwrap_or(SwapResult::Won { sent_at });
                }
                Err(error) => error,
            };
            is_uncertain |= matches!(error, KeyValueError::Unknown(_));
            let is_last = !is_uncertain && attempt >= MAX_ATTEMPTS;
            if is_last || Instant::now() >= proposal.deadline {
                return SwapResult::Settled(failed_swap_outcome(proposal, &error, is_uncertain));
            }
            attempt += 1;
            tokio::time::sleep(jittered(RETRY_INTERVAL)).await;
        }
    }

    /// Finds out why the record has an unexpected revision. Returns `None` if an earlier attempt of this swap took
    /// effect, otherwise the result.
    async fn resolve_lost_swap(
        &self,
        proposal: &Proposal,
        entry: Option<KeyValueEntry>,
        is_uncertain: bool,
    ) -> Option<SwapResult> {
        let proposal_id = &proposal.signed.proposal_id;
        let unknown = |detail: String| {
            Some(SwapResult::Settled(RollOutcome::Unknown {
                proposal_id: proposal_id.clone(),
                detail,
            }))
        };
        let Some(entry) = entry else {
            return unknown("the head record no longer exists".to_owned());
        };
        let winner = match Head::parse(&entry, &self.shared.trusted) {
            Ok(winner) => winner,
            Err(error) => return unknown(error.to_string()),
        };
        if winner.signed.proposal_id == *proposal_id {
            return None;
        }
        if let Ok(Adoption::Newer) = self.shared.adopt(winner.signed.clone(), "roll") {
            self.shared.push_to_peers(0);
        }
        if winner.digest() == proposal.digest {
            return Some(SwapResult::Settled(self.accept(proposal).await));
        }
        let revision = winner.bundle.revision;
        let own_revision = read_document(&proposal.signed).revision();
        // This proposal may have taken effect before a later one replaced it.
        if is_uncertain && own_revision.is_some_and(|own| revision > own) {
            return unknown(format!("revision {revision} is in force now"));
        }
        Some(SwapResult::Settled(RollOutcome::Lost {
            revision,
            digest: winner.digest(),
            proposal_id: winner.signed.proposal_id,
        }))
    }

    async fn accept_swapped(&self, proposal: Proposal, sent_at: Instant) -> RollOutcome {
        if let Err(error) = self.shared.adopt(proposal.signed.clone(), "roll") {
            return RollOutcome::Refused(Refusal::Signature(error));
        }
        if let Some(revision) = read_document(&proposal.signed).revision() {
            let as_of = self.shared.instant(sent_at);
            self.shared.state().evidence.observe_newest(revision, as_of);
        }
        self.accept(&proposal).await
    }

    /// Distributes the bundle in the head record. It is accepted once a quorum of replicas has stored it, so that it
    /// survives a loss of the key-value service.
    async fn accept(&self, proposal: &Proposal) -> RollOutcome {
        self.shared.push_to_all();
        let is_at_quorum = self.shared.wait_for_quorum(proposal.deadline).await;
        let past = self.shared.find_past(|past| past.digest == proposal.digest);
        match past {
            Some(past) if is_at_quorum => RollOutcome::Accepted {
                revision: past.revision,
                proposal_id: past.proposal_id,
            },
            _ => RollOutcome::Unknown {
                proposal_id: proposal.signed.proposal_id.clone(),
                detail:
                    "the bundle is in the head record, but no quorum of replicas has stored it yet"
                        .to_owned(),
            },
        }
    }
}

fn read_document(signed: &SignedBundle) -> BundleDocument {
    BundleDocument::read("bundle", &String::from_utf8_lossy(&signed.text))
}

fn failed_swap_outcome(
    proposal: &Proposal,
    error: &KeyValueError,
    is_uncertain: bool,
) -> RollOutcome {
    let detail = error.to_string();
    if !is_uncertain {
        return RollOutcome::NotRun { detail };
    }
    RollOutcome::Unknown {
        proposal_id: proposal.signed.proposal_id.clone(),
        detail,
    }
}

//! Rolls a bundle: checks, one compare-and-swap on the head record, and a quorum of replicas.

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

/// Attempts at a call to the key-value service that was not carried out.
const ATTEMPTS: u32 = 4;

/// Between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Why a bundle was refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// Its signatures.
    #[error("{0}")]
    Signature(BundleError),
    /// What it says.
    #[error("{} findings", .0.len())]
    Findings(Vec<Finding>),
    /// The bundle in the key-value service cannot be verified here, so nothing may follow it.
    #[error("{0}")]
    Head(String),
}

/// What became of a roll.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RollOutcome {
    /// It is accepted: stored by a quorum of replicas and on its way to all members.
    Accepted {
        /// Its revision.
        revision: Revision,
        /// Proposal that won, another one if the same text had been rolled before.
        proposal_id: String,
    },
    /// Another bundle took the revision; this one did not and will not come into force.
    Lost {
        /// Revision in force.
        revision: Revision,
        /// Digest of the winner.
        digest: Digest,
        /// Proposal that won.
        proposal_id: String,
    },
    /// Refused; nothing was changed.
    Refused(Refusal),
    /// The key-value service was not reached; nothing was changed.
    NotRun {
        /// What failed.
        detail: String,
    },
    /// The bundle may or may not come into force; the proposal id serves to ask again.
    Unknown {
        /// Names this roll.
        proposal_id: String,
        /// What is not known.
        detail: String,
    },
}

impl RollOutcome {
    /// Its name in logs.
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

/// One bundle on its way through a roll.
struct Proposal {
    signed: SignedBundle,
    digest: Digest,
    deadline: Instant,
}

/// What is known once the swaps are over.
enum Swapped {
    /// By an attempt that began at this instant at the latest.
    Won {
        asked_at: Instant,
    },
    Settled(RollOutcome),
}

impl Bundles {
    /// Rolls a signed bundle; its proposal id is replaced by a new one. Runs to its end also if the caller
    /// stops waiting.
    pub async fn roll(&self, signed: SignedBundle) -> RollOutcome {
        let bundles = self.clone();
        let proposal_id = format!("{:032x}", rand::random::<u128>());
        let id = proposal_id.clone();
        let started = Instant::now();
        let task = tokio::spawn(async move { bundles.roll_as(signed, id).await });
        let outcome = task.await.unwrap_or_else(|error| RollOutcome::Unknown {
            proposal_id: proposal_id.clone(),
            detail: error.to_string(),
        });
        let metrics = &self.shared.metrics;
        metrics.note_roll(outcome.name(), started.elapsed());
        info!(
            "event=bundle_roll proposal={proposal_id} outcome={}",
            outcome.name()
        );
        outcome
    }

    async fn roll_as(&self, mut signed: SignedBundle, proposal_id: String) -> RollOutcome {
        signed.proposal_id = proposal_id;
        // Findings of the text are reported below, together with those of the cross-checks.
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
                    detail: format!("the head record was not read: {error}"),
                };
            }
            Err(error) => return RollOutcome::Refused(Refusal::Head(error.to_string())),
        };
        let expected = head.as_ref().map_or(0, |head| head.mod_revision);
        if let Some(outcome) = self.check(&proposal, head).await {
            return outcome;
        }
        match self.swap(&proposal, expected).await {
            Swapped::Won { asked_at } => self.accept_won(proposal, asked_at).await,
            Swapped::Settled(outcome) => outcome,
        }
    }

    /// Reads the head record, a few times if need be, and takes it if it is newer.
    async fn read_head(&self) -> Result<Option<Head>, HeadError> {
        let shared = &self.shared;
        let mut attempt = 1;
        loop {
            let asked_at = Instant::now();
            match head::read(&shared.key_value, &shared.trusted).await {
                Ok(Some(head)) => {
                    shared.take_head(head.clone(), asked_at).await;
                    return Ok(Some(head));
                }
                Err(HeadError::KeyValue(_)) if attempt < ATTEMPTS => attempt += 1,
                other => return other,
            }
            tokio::time::sleep(jittered(RETRY_INTERVAL)).await;
        }
    }

    /// Everything that can be said without a swap.
    async fn check(&self, proposal: &Proposal, head: Option<Head>) -> Option<RollOutcome> {
        if let Some(head) = &head
            && head.digest() == proposal.digest
        {
            return Some(self.accept(proposal).await);
        }
        // Own knowledge counts too: a service that lost its records must not let an old revision through.
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

    /// Versions of the model pools. A pool that the weight store does not answer for is not checked.
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

    /// Tries the very same swap until its outcome is known or the deadline: it names the record's revision, so
    /// that it takes effect once at most.
    async fn swap(&self, proposal: &Proposal, expected: u64) -> Swapped {
        let value = encode(&proposal.signed);
        let mut is_uncertain = false;
        let mut attempt = 1;
        loop {
            let key_value = &self.shared.key_value;
            let asked_at = Instant::now();
            let swap = key_value.compare_and_swap(HEAD_KEY, expected, value.clone());
            let error = match swap.await {
                Ok(SwapOutcome::Won { .. }) => return Swapped::Won { asked_at },
                Ok(SwapOutcome::Lost(entry)) => {
                    let swapped = self.settle(proposal, entry, is_uncertain).await;
                    return swapped.unwrap_or(Swapped::Won { asked_at });
                }
                Err(error) => error,
            };
            is_uncertain |= matches!(error, KeyValueError::Unknown(_));
            let is_last = !is_uncertain && attempt >= ATTEMPTS;
            if is_last || Instant::now() >= proposal.deadline {
                return Swapped::Settled(given_up(proposal, &error, is_uncertain));
            }
            attempt += 1;
            tokio::time::sleep(jittered(RETRY_INTERVAL)).await;
        }
    }

    /// The record is not the expected one: either an earlier attempt of this very swap made it so, or another
    /// proposal did. `None`: it was this one.
    async fn settle(
        &self,
        proposal: &Proposal,
        entry: Option<KeyValueEntry>,
        is_uncertain: bool,
    ) -> Option<Swapped> {
        let proposal_id = &proposal.signed.proposal_id;
        let unknown = |detail: String| {
            Some(Swapped::Settled(RollOutcome::Unknown {
                proposal_id: proposal_id.clone(),
                detail,
            }))
        };
        let Some(entry) = entry else {
            return unknown("the head record vanished".to_owned());
        };
        let winner = match Head::parse(&entry, &self.shared.trusted) {
            Ok(winner) => winner,
            Err(error) => return unknown(error.to_string()),
        };
        if winner.signed.proposal_id == *proposal_id {
            return None;
        }
        if let Ok(Adoption::Newer) = self.shared.adopt(winner.signed.clone(), "roll") {
            self.shared.push_onward(0);
        }
        if winner.digest() == proposal.digest {
            return Some(Swapped::Settled(self.accept(proposal).await));
        }
        let revision = winner.bundle.revision;
        let own_revision = read_document(&proposal.signed).revision();
        // With a later revision in the record, this proposal may have won before and been followed.
        if is_uncertain && own_revision.is_some_and(|own| revision > own) {
            return unknown(format!("revision {revision} is in force by now"));
        }
        Some(Swapped::Settled(RollOutcome::Lost {
            revision,
            digest: winner.digest(),
            proposal_id: winner.signed.proposal_id,
        }))
    }

    async fn accept_won(&self, proposal: Proposal, asked_at: Instant) -> RollOutcome {
        if let Err(error) = self.shared.adopt(proposal.signed.clone(), "roll") {
            return RollOutcome::Refused(Refusal::Signature(error));
        }
        if let Some(revision) = read_document(&proposal.signed).revision() {
            let as_of = self.shared.instant(asked_at);
            self.shared.state().evidence.observe_newest(revision, as_of);
        }
        self.accept(&proposal).await
    }

    /// The bundle holds the head record: accepted once a quorum of replicas has it, so that the key-value service
    /// is not needed to keep it.
    async fn accept(&self, proposal: &Proposal) -> RollOutcome {
        self.shared.push_to_all();
        let is_secured = self.shared.secure(proposal.deadline).await;
        let past = self.shared.past(|past| past.digest == proposal.digest);
        match past {
            Some(past) if is_secured => RollOutcome::Accepted {
                revision: past.revision,
                proposal_id: past.proposal_id,
            },
            _ => RollOutcome::Unknown {
                proposal_id: proposal.signed.proposal_id.clone(),
                detail: "it took the revision; no quorum of replicas has stored it yet".to_owned(),
            },
        }
    }
}

fn read_document(signed: &SignedBundle) -> BundleDocument {
    BundleDocument::read("bundle", &String::from_utf8_lossy(&signed.text))
}

fn given_up(proposal: &Proposal, error: &KeyValueError, is_uncertain: bool) -> RollOutcome {
    let detail = error.to_string();
    if !is_uncertain {
        return RollOutcome::NotRun { detail };
    }
    RollOutcome::Unknown {
        proposal_id: proposal.signed.proposal_id.clone(),
        detail,
    }
}

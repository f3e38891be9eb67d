//! Operator client: creates, signs and rolls bundles.

use std::time::{Duration, Instant};

use ladderstage::bundle::{Bundle, BundleKey, ClassSpec, Objective, PoolKind, PoolSpec, sign};
use reqwest::StatusCode;
use serde::{Deserialize, Serialize};

use super::ClusterError;
use crate::trainer::{BundleRequirements, PoolRequirements};

/// Id of the key that signs test bundles.
pub const KEY_ID: &str = "bench";
/// Secret of that key.
const SECRET: [u8; 32] = [7; 32];
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Exceeds the daemons' own deadline of a roll.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// Returns the key that signs test bundles.
pub fn test_key() -> BundleKey {
    BundleKey::from_secret(KEY_ID, &SECRET)
}

/// Body of `POST /v1/bundles`.
#[derive(Debug, Clone, Serialize)]
pub struct SignedText {
    /// Bundle text in TOML.
    pub text: String,
    pub signatures: Vec<SignatureText>,
}

/// Signature of a bundle.
#[derive(Debug, Clone, Serialize)]
pub struct SignatureText {
    pub key_id: String,
    /// Signature in hex.
    pub signature: String,
}

/// Signs a bundle with the test key.
pub fn signed(bundle: &Bundle) -> SignedText {
    let text = toml::to_string(bundle).expect("bundles can be represented in TOML");
    let signature = sign(&text, &test_key());
    SignedText {
        text,
        signatures: vec![SignatureText {
            key_id: signature.key_id,
            signature: hex::encode(signature.signature),
        }],
    }
}

/// Returns a bundle with one model pool, one application pool, and classes with generous limits.
pub fn test_bundle(
    revision: u64,
    weight_version: u64,
    model: PoolNames,
    application: PoolNames,
) -> Bundle {
    let capacity = model.backends.len() * 8 + application.backends.len() * 16;
    // Daemons refuse class limits whose sum exceeds the capacity of all pools.
    let limit = u32::try_from(capacity / 2).unwrap_or(u32::MAX);
    let class = |name: &str, priority| ClassSpec {
        name: name.to_owned(),
        priority,
        limit,
        deadline_ms: 20_000,
        retry_budget_percent: 50,
    };
    Bundle {
        revision,
        objective: Objective::Staleness,
        pools: vec![
            PoolSpec {
                name: model.pool,
                kind: PoolKind::Model,
                backends: model.backends,
                weight_version,
                staleness_bound: 1,
                staleness_bound_seconds: None,
                concurrency: 8,
            },
            PoolSpec {
                name: application.pool,
                kind: PoolKind::Application,
                backends: application.backends,
                weight_version: 0,
                staleness_bound: 0,
                staleness_bound_seconds: None,
                concurrency: 16,
            },
        ],
        classes: vec![class("live", 0), class("rollout", 10)],
        notes: Default::default(),
    }
}

/// A pool and its back ends.
#[derive(Debug, Clone, Default)]
pub struct PoolNames {
    pub pool: String,
    pub backends: Vec<String>,
}

/// Operator that rolls bundles through any daemon.
#[derive(Debug, Clone)]
pub struct Operator {
    /// Base URLs of the daemons.
    pub daemons: Vec<String>,
    /// Requirements of each bundle, recorded before it is rolled.
    pub requirements: BundleRequirements,
}

/// Answer of a daemon to a roll or to a query of a proposal.
#[derive(Debug, Clone)]
pub struct RollReply {
    pub status: StatusCode,
    /// Whether the answer has a `Retry-After` header.
    pub may_retry: bool,
    pub body: RollBody,
}

impl RollReply {
    async fn read(answer: reqwest::Response) -> Result<Self, ClusterError> {
        Ok(Self {
            status: answer.status(),
            may_retry: answer.headers().contains_key("Retry-After"),
            body: answer.json().await?,
        })
    }
}

impl From<RollReply> for ClusterError {
    fn from(reply: RollReply) -> Self {
        Self::Refused {
            status: reply.status,
            body: format!("{:?}", reply.body),
        }
    }
}

/// Body of a roll's answer. The fields in use depend on the outcome.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct RollBody {
    pub outcome: String,
    pub proposal_id: String,
    /// SHA-256 digest of the accepted bundle's text.
    pub winner_digest: String,
    /// Id of the accepted proposal.
    pub winner_proposal_id: String,
    pub reason: String,
    pub detail: String,
    /// Errors in the bundle text.
    pub findings: Vec<FindingText>,
}

/// An error in a bundle text.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct FindingText {
    /// Line number, starting at 1.
    pub line: u32,
    pub found: String,
    pub allowed: String,
}

/// Answer to `GET /v1/bundles/current`.
#[derive(Debug, Clone, Deserialize)]
pub struct CurrentBundle {
    /// Revision in force, or 0 for none.
    pub revision: u64,
    pub text: String,
}

impl Operator {
    /// Rolls a bundle, retrying through all daemons until it is accepted or finally refused.
    pub async fn roll(&self, bundle: &Bundle, timeout: Duration) -> Result<(), ClusterError> {
        let start = Instant::now();
        let mut last_error = String::new();
        for daemon in self.daemons.iter().cycle() {
            if start.elapsed() > timeout {
                break;
            }
            match self.roll_once(daemon, bundle).await {
                Ok(()) => return Ok(()),
                Err(ClusterError::Refused { status, body }) if status.is_client_error() => {
                    return Err(ClusterError::Refused { status, body });
                }
                Err(error) => last_error = error.to_string(),
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        Err(ClusterError::Timeout {
            what: format!("acceptance of bundle {}", bundle.revision),
            last_error,
        })
    }

    /// Posts a bundle to one daemon once. Counts as accepted if the bundle is already in force.
    ///
    /// # Errors
    /// If the bundle is not accepted.
    pub async fn roll_once(&self, daemon: &str, bundle: &Bundle) -> Result<(), ClusterError> {
        self.record_requirements(bundle);
        let signed = signed(bundle);
        let reply = post_bundle(daemon, &signed).await?;
        if reply.status.is_success() || current_bundle(daemon).await?.text == signed.text {
            self.requirements.mark_accepted(bundle.revision);
            return Ok(());
        }
        Err(reply.into())
    }

    /// Posts a bundle to one daemon once and returns its reply, including refusals.
    pub async fn offer(&self, daemon: &str, bundle: &Bundle) -> Result<RollReply, ClusterError> {
        self.record_requirements(bundle);
        let reply = post_bundle(daemon, &signed(bundle)).await?;
        if reply.status.is_success() {
            self.requirements.mark_accepted(bundle.revision);
        }
        Ok(reply)
    }

    /// Waits until every daemon has a bundle of at least this revision in force.
    pub async fn wait_until_in_force_everywhere(
        &self,
        revision: u64,
        timeout: Duration,
    ) -> Result<(), ClusterError> {
        let start = Instant::now();
        for daemon in &self.daemons {
            while !has_revision(daemon, revision).await {
                if start.elapsed() > timeout {
                    return Err(ClusterError::Timeout {
                        what: format!("bundle {revision} to be in force"),
                        last_error: daemon.clone(),
                    });
                }
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
        Ok(())
    }

    fn record_requirements(&self, bundle: &Bundle) {
        let models = bundle
            .pools
            .iter()
            .filter(|pool| pool.kind == PoolKind::Model);
        for pool in models {
            let requirements = PoolRequirements {
                weight_version: pool.weight_version,
                staleness_bound: pool.staleness_bound,
            };
            self.requirements
                .add(bundle.revision, &pool.name, requirements);
        }
    }
}

async fn has_revision(daemon: &str, revision: u64) -> bool {
    let current = current_bundle(daemon).await;
    current.is_ok_and(|current| current.revision >= revision)
}

/// Posts a signed bundle and returns the reply, including refusals.
pub async fn post_bundle(daemon: &str, signed: &SignedText) -> Result<RollReply, ClusterError> {
    let request = crate::http_client()
        .post(format!("{daemon}/v1/bundles"))
        .timeout(CALL_TIMEOUT)
        .json(signed);
    RollReply::read(request.send().await?).await
}

/// Queries the outcome of a proposal.
pub async fn proposal(daemon: &str, proposal_id: &str) -> Result<RollReply, ClusterError> {
    let request = crate::http_client()
        .get(format!("{daemon}/v1/bundles/proposals/{proposal_id}"))
        .timeout(CALL_TIMEOUT);
    RollReply::read(request.send().await?).await
}

/// Returns the bundle in force at a daemon.
pub async fn current_bundle(daemon: &str) -> Result<CurrentBundle, ClusterError> {
    let request = crate::http_client()
        .get(format!("{daemon}/v1/bundles/current"))
        .timeout(CALL_TIMEOUT);
    let answer = request.send().await?;
    Ok(answer.error_for_status()?.json().await?)
}

//! Requests with an idempotency key. The key is claimed in the journal before dispatch, and the answer is recorded.

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use ladderstage::claim::{ClaimRefusal, Settlement};
use ladderstage_wire::messages::ClaimOutcome;
use reqwest::header::HeaderMap;
use tokio::time::Instant;

use super::{LiveError, LivePath, Outcome};
use crate::claims::HeldClaim;
use crate::drain::DrainGuard;

/// Maximum length in bytes of a recorded answer. For longer answers only the status is recorded.
pub const MAX_RECORDED_BYTES: usize = 256 * 1024;

/// Maximum delay of an answer while it is being recorded. Recording continues in the background.
const RECORD_WAIT: Duration = Duration::from_secs(1);

/// Answer that can be recorded and replayed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordedAnswer {
    /// Status code.
    pub status: u16,
    /// Content type; empty if there is none.
    pub content_type: String,
    /// Other headers; not recorded.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Weight versions that produced the answer.
    pub weight_versions: Vec<u64>,
}

impl RecordedAnswer {
    fn to_outcome(&self) -> ClaimOutcome {
        let body_kept = self.body.len() <= MAX_RECORDED_BYTES;
        ClaimOutcome {
            status: u32::from(self.status),
            content_type: self.content_type.clone(),
            body: if body_kept {
                self.body.to_vec()
            } else {
                Vec::new()
            },
            body_kept,
            weight_versions: self.weight_versions.clone(),
        }
    }

    fn from_outcome(outcome: ClaimOutcome) -> Result<Self, LiveError> {
        let status = u16::try_from(outcome.status)
            .ok()
            .filter(|_| outcome.body_kept);
        let Some(status) = status else {
            return Err(LiveError::AnswerNotKept {
                status: outcome.status,
            });
        };
        Ok(Self {
            status,
            content_type: outcome.content_type,
            headers: HeaderMap::new(),
            body: outcome.body.into(),
            weight_versions: outcome.weight_versions,
        })
    }
}

/// Request that an idempotency key identifies.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedRequest {
    /// Name of the pool.
    pub pool: String,
    /// Idempotency key of the caller.
    pub key: String,
    /// Digest of the request, to detect a key that is reused for a different request.
    pub digest: Vec<u8>,
    /// Deadline of the request.
    pub deadline: Instant,
}

impl LivePath {
    /// Runs a request at most once per key, or replays the recorded answer of an earlier try.
    ///
    /// `run` starts after the claim is committed on a majority of replicas. If the caller disconnects, `run` still
    /// completes and its outcome is recorded. `guard` delays a planned stop until then.
    ///
    /// # Errors
    /// [`LiveError`] if the claim is refused or `run` fails.
    pub async fn run_once<F>(
        &self,
        request: KeyedRequest,
        guard: DrainGuard,
        run: F,
    ) -> Result<RecordedAnswer, LiveError>
    where
        F: Future<Output = Result<RecordedAnswer, LiveError>> + Send + 'static,
    {
        let live = self.clone();
        let task = tokio::spawn(async move {
            let claimed = live.claim(&request).await;
            let claim = match claimed {
                Ok(claim) => claim,
                Err(refusal) => return answer_refused_claim(refusal),
            };
            let result = run.await;
            record(claim, settlement(&result), guard).await;
            result
        });
        let ended = task.await;
        ended.unwrap_or_else(|error| {
            Err(LiveError::AnswerLost {
                detail: error.to_string(),
            })
        })
    }

    async fn claim(&self, request: &KeyedRequest) -> Result<HeldClaim, ClaimRefusal> {
        let log = format!("claim/{}/{}", request.pool, request.key);
        let digest = request.digest.clone();
        self.shared
            .claims
            .claim(log, digest, request.deadline)
            .await
    }
}

/// Maps a result to the settlement of its claim. A request that certainly did not run releases its key for retries.
fn settlement(result: &Result<RecordedAnswer, LiveError>) -> Settlement {
    match result {
        Ok(answer) => Settlement::Answered(answer.to_outcome()),
        Err(error) if error.outcome() == Outcome::NotRun => Settlement::Released,
        Err(_) => Settlement::Unknown,
    }
}

async fn record(claim: HeldClaim, settlement: Settlement, guard: DrainGuard) {
    let recording = tokio::spawn(async move {
        claim.settle(settlement).await;
        drop(guard);
    });
    // On timeout the dropped handle leaves the task running.
    let _ = tokio::time::timeout(RECORD_WAIT, recording).await;
}

fn answer_refused_claim(refusal: ClaimRefusal) -> Result<RecordedAnswer, LiveError> {
    match refusal {
        ClaimRefusal::Replay(outcome) => RecordedAnswer::from_outcome(outcome),
        ClaimRefusal::Unknown => Err(LiveError::KeyClaimed),
        ClaimRefusal::NotRun => Err(LiveError::NoQuorum),
        ClaimRefusal::KeyReused => Err(LiveError::KeyReused),
    }
}

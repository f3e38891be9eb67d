//! Client of the service that scores samples.

use std::time::Duration;

use reqwest::StatusCode;
use serde::{Deserialize, Serialize};

use crate::dispatch::{Clients, describe, detail};

/// Timeout of a request.
const SCORE_TIMEOUT: Duration = Duration::from_secs(10);

/// Client of the scorer. Cheap to clone.
#[derive(Debug, Clone)]
pub struct Scorer {
    clients: Clients,
    url: String,
}

/// Sample to score.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ScoreRequest {
    /// Trainer that requested the sample.
    pub trainer: String,
    /// Step of the trainer.
    pub step: u64,
    /// Slot within the step.
    pub slot: u32,
    /// Number of the attempt at the slot.
    pub attempt: u32,
    /// Prompt of the sample.
    pub prompt: String,
    /// Generated text.
    pub text: String,
}

/// Error of a scoring request. Scoring has no side effects, so it may be retried.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ScoreError {
    /// The scorer is unreachable, or its answer was truncated.
    #[error("no answer from the scorer: {0}")]
    Transport(String),
    /// The scorer answered with a status other than 200.
    #[error("scorer answered with an error: {0}")]
    Status(String),
    /// The answer has no valid score.
    #[error("malformed score: {0}")]
    Malformed(String),
}

#[derive(Deserialize)]
struct ScoreBody {
    score: f64,
}

impl Scorer {
    /// Creates a client of the scorer at `base_url`.
    pub fn new(base_url: &str) -> Self {
        Self {
            clients: Clients::new(),
            url: format!("{}/v1/score", base_url.trim_end_matches('/')),
        }
    }

    /// Scores a sample without retries.
    ///
    /// # Errors
    /// [`ScoreError`] if the scorer returns no score.
    pub async fn score(&self, request: &ScoreRequest) -> Result<f64, ScoreError> {
        let response = self
            .clients
            .get(false)
            .post(&self.url)
            .timeout(SCORE_TIMEOUT)
            .json(request)
            .send()
            .await
            .map_err(|error| ScoreError::Transport(describe(&error)))?;
        if response.status() != StatusCode::OK {
            return Err(ScoreError::Status(detail(response).await));
        }
        let body: ScoreBody = response
            .json()
            .await
            .map_err(|error| ScoreError::Malformed(describe(&error)))?;
        Ok(body.score)
    }
}

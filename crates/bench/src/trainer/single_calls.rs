//! Single calls of a trainer to a given daemon, for tests that inject a fault around one answer.

use std::time::Duration;

use reqwest::StatusCode;

use super::{CALL_TIMEOUT, SamplesAnswer, StepSpec, Trainer, with_query};

/// Result of a single call.
#[derive(Debug, Clone, PartialEq)]
pub enum SingleAnswer<T> {
    /// The daemon answered with success.
    Success(T),
    Refused {
        status: StatusCode,
        body: String,
    },
    /// No complete answer was received.
    Lost(String),
}

impl<T> SingleAnswer<T> {
    /// Returns the HTTP status, if an answer was received.
    pub fn status(&self) -> Option<StatusCode> {
        match self {
            Self::Success(_) => Some(StatusCode::OK),
            Self::Refused { status, .. } => Some(*status),
            Self::Lost(_) => None,
        }
    }
}

impl Trainer {
    /// Submits a step to one daemon, once.
    pub async fn submit_at(&self, daemon: &str, step: u64, spec: &StepSpec) -> SingleAnswer<()> {
        let url = self.step_url_at(daemon, step);
        let request = self.client.post(url).timeout(CALL_TIMEOUT).json(spec);
        let answer = match request.send().await {
            Ok(answer) => answer,
            Err(error) => return SingleAnswer::Lost(format!("{error:?}")),
        };
        let status = answer.status();
        match answer.text().await {
            Ok(_) if status.is_success() => SingleAnswer::Success(()),
            Ok(body) => SingleAnswer::Refused { status, body },
            Err(error) => SingleAnswer::Lost(format!("{error:?}")),
        }
    }

    /// Pulls at most `max` samples that follow the cursor from one daemon, once.
    pub async fn pull_at(
        &self,
        daemon: &str,
        step: u64,
        after: Option<&str>,
        max: u32,
        wait: Duration,
    ) -> SingleAnswer<SamplesAnswer> {
        let mut query = vec![
            ("max", max.to_string()),
            ("wait_ms", wait.as_millis().to_string()),
        ];
        query.extend(after.map(|cursor| ("after", cursor.to_owned())));
        let url = with_query(
            &format!("{}/samples", self.step_url_at(daemon, step)),
            &query,
        );
        let request = self.client.get(url).timeout(CALL_TIMEOUT + wait);
        let answer = match request.send().await {
            Ok(answer) => answer,
            Err(error) => return SingleAnswer::Lost(format!("{error:?}")),
        };
        let status = answer.status();
        if !status.is_success() {
            let body = answer.text().await.unwrap_or_default();
            return SingleAnswer::Refused { status, body };
        }
        match answer.json().await {
            Ok(answer) => SingleAnswer::Success(answer),
            Err(error) => SingleAnswer::Lost(format!("{error:?}")),
        }
    }
}

//! JSON bodies of completion requests and answers.

use reqwest::header::HeaderMap;
use serde::{Deserialize, Serialize};

use crate::http::outcome::RequestError;
use crate::live::{Progress, RecordedAnswer};

/// Token limit of requests without `max_tokens`.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// Maximum value of `max_tokens`.
const MAX_TOKENS: u32 = 65_536;

const OBJECT: &str = "text_completion";

/// Body of a request. Unknown fields are ignored, as in OpenAI's interface.
#[derive(Debug, Deserialize)]
pub(super) struct CompletionBody {
    pub(super) model: String,
    pub(super) prompt: String,
    #[serde(default = "default_max_tokens")]
    pub(super) max_tokens: u32,
    #[serde(default)]
    pub(super) stream: bool,
}

fn default_max_tokens() -> u32 {
    DEFAULT_MAX_TOKENS
}

impl CompletionBody {
    /// Parses a body.
    ///
    /// # Errors
    /// [`RequestError::Body`] with the line and column, or with the field that is out of range.
    pub(super) fn parse(bytes: &[u8]) -> Result<Self, RequestError> {
        let body: Self = serde_json::from_slice(bytes).map_err(|error| RequestError::Body {
            detail: error.to_string(),
        })?;
        if body.max_tokens == 0 || body.max_tokens > MAX_TOKENS {
            let detail = format!("max_tokens must be from 1 to {MAX_TOKENS}");
            return Err(RequestError::Body { detail });
        }
        Ok(body)
    }
}

/// Complete answer or chunk of a streamed answer.
#[derive(Debug, Serialize)]
pub(super) struct CompletionObject<'a> {
    id: &'a str,
    object: &'static str,
    model: &'a str,
    choices: [Choice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
    #[serde(skip_serializing_if = "Option::is_none")]
    weight_version: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    weight_versions: Option<&'a [u64]>,
}

#[derive(Debug, Serialize)]
struct Choice<'a> {
    index: u32,
    text: &'a str,
    finish_reason: Option<&'static str>,
}

#[derive(Debug, Serialize)]
struct Usage {
    completion_tokens: u32,
}

impl<'a> CompletionObject<'a> {
    /// Creates a chunk of a streamed answer.
    pub(super) fn chunk(
        id: &'a str,
        model: &'a str,
        text: &'a str,
        tokens: u32,
        weight_version: Option<u64>,
    ) -> Self {
        Self {
            id,
            object: OBJECT,
            model,
            choices: [Choice {
                index: 0,
                text,
                finish_reason: None,
            }],
            usage: Some(Usage {
                completion_tokens: tokens,
            }),
            weight_version,
            weight_versions: None,
        }
    }

    /// Creates the final object. `text` is empty if the text was streamed.
    pub(super) fn end(id: &'a str, model: &'a str, text: &'a str, progress: &'a Progress) -> Self {
        Self {
            id,
            object: OBJECT,
            model,
            choices: [Choice {
                index: 0,
                text,
                finish_reason: Some("stop"),
            }],
            usage: Some(Usage {
                completion_tokens: progress.tokens,
            }),
            weight_version: None,
            weight_versions: Some(progress.named_versions()),
        }
    }

    /// Serializes the object to JSON.
    pub(super) fn to_json(&self) -> String {
        // Cannot fail, as the object has only strings and numbers.
        serde_json::to_string(self).unwrap_or_default()
    }
}

/// Returns a complete answer as one JSON object.
pub(super) fn complete_answer(progress: &Progress, model: &str, id: &str) -> RecordedAnswer {
    let object = CompletionObject::end(id, model, &progress.text, progress);
    RecordedAnswer {
        status: 200,
        content_type: "application/json".to_owned(),
        headers: HeaderMap::new(),
        body: object.to_json().into(),
        weight_versions: progress.named_versions().to_vec(),
    }
}

//! Stream of the chunks that an engine sends for a completion.

use serde::Deserialize;

use super::sse::{EventSplitter, SplitError};
use crate::dispatch::describe;

/// Data of the last event of a completion.
pub const END_MARK: &str = "[DONE]";

/// Name of the event that reports a failure.
const ERROR_EVENT: &str = "error";

/// Chunk of generated text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompletionChunk {
    /// Text to append to the previous chunks.
    pub text: String,
    /// Number of tokens in `text`.
    pub tokens: u32,
    /// Weight version that generated the text, if the engine sent one.
    pub weight_version: Option<u64>,
}

/// Error of a stream that ended before its end mark. Chunks received before it are valid and can be resumed from.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StreamError {
    /// The body ended or the connection broke before the end mark.
    #[error("stream was truncated: {0}")]
    Truncated(String),
    /// The body is not a valid event stream.
    #[error(transparent)]
    Split(#[from] SplitError),
    /// An event is not a completion chunk.
    #[error("malformed chunk: {0}")]
    Malformed(String),
    /// A chunk belongs to another request, so the connection cannot be trusted.
    #[error("received a chunk of request {found}, expected {expected}")]
    WrongRequest {
        /// Id of the request that was sent.
        expected: String,
        /// Request id in the chunk.
        found: String,
    },
    /// The engine reported a failure.
    #[error("engine failed: {0}")]
    Engine(String),
}

#[derive(Deserialize)]
struct ChunkBody {
    request_id: String,
    text: String,
    tokens: u32,
    #[serde(default)]
    weight_version: Option<u64>,
}

/// Stream of a completion in progress. Dropping it closes the connection.
#[derive(Debug)]
pub struct CompletionStream {
    response: reqwest::Response,
    request_id: String,
    splitter: EventSplitter,
    end: Option<Result<(), StreamError>>,
}

impl CompletionStream {
    pub(super) fn new(response: reqwest::Response, request_id: String) -> Self {
        Self {
            response,
            request_id,
            splitter: EventSplitter::new(),
            end: None,
        }
    }

    /// Returns the next chunk, or `None` after the end mark. The caller sets the timeout.
    ///
    /// Cancel safe: no data is lost if the future is dropped.
    ///
    /// # Errors
    /// [`StreamError`] if the stream ends before the end mark. Later calls return the same error.
    pub async fn next(&mut self) -> Result<Option<CompletionChunk>, StreamError> {
        loop {
            if let Some(end) = &self.end {
                return end.clone().map(|()| None);
            }
            if let Some(event) = self.splitter.pop() {
                match self.parse_event(&event.name, &event.data) {
                    Ok(Some(chunk)) => return Ok(Some(chunk)),
                    Ok(None) => self.end = Some(Ok(())),
                    Err(error) => self.end = Some(Err(error)),
                }
                continue;
            }
            self.read().await;
        }
    }

    /// Reads once from the connection. On failure, complete events are still returned before the error.
    async fn read(&mut self) {
        let failure = match self.response.chunk().await {
            Ok(Some(bytes)) => match self.splitter.push(&bytes) {
                Ok(()) => return,
                Err(error) => StreamError::Split(error),
            },
            Ok(None) => StreamError::Truncated("body ended before the end mark".to_owned()),
            Err(error) => StreamError::Truncated(describe(&error)),
        };
        self.end = Some(Err(failure));
    }

    fn parse_event(&self, name: &str, data: &str) -> Result<Option<CompletionChunk>, StreamError> {
        if name == ERROR_EVENT {
            return Err(StreamError::Engine(data.to_owned()));
        }
        if data == END_MARK {
            return Ok(None);
        }
        let body: ChunkBody = serde_json::from_str(data)
            .map_err(|error| StreamError::Malformed(error.to_string()))?;
        if body.request_id != self.request_id {
            return Err(StreamError::WrongRequest {
                expected: self.request_id.clone(),
                found: body.request_id,
            });
        }
        Ok(Some(CompletionChunk {
            text: body.text,
            tokens: body.tokens,
            weight_version: body.weight_version,
        }))
    }
}

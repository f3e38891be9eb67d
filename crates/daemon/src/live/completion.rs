//! Runs a completion on an engine. If the stream breaks, another engine resumes from the text generated so far.

use std::time::Duration;

use ladderstage_platform::dispatch::DispatchError;
use ladderstage_platform::engine::{
    CompletionChunk, CompletionRequest, CompletionStream, StreamError,
};
use tokio::time::{Instant, timeout_at};

use super::attempts::{Attempt, Attempts};
use super::{LiveError, Permit};

/// Maximum time between two chunks of a completion that can be resumed elsewhere.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum length of a completion's text in bytes.
pub const MAX_TEXT_BYTES: usize = 4 * 1024 * 1024;

/// Length in bytes of the prompt prefix by which requests are routed to engines that have it cached.
const PREFIX_BYTES: usize = 256;

/// Completion that a caller requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompletionCall {
    /// Prompt.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
}

/// Output generated so far.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Progress {
    /// Generated text.
    pub text: String,
    /// Number of tokens in `text`.
    pub tokens: u32,
    /// Weight versions that generated the text, without duplicates, in order of appearance.
    pub weight_versions: Vec<u64>,
    /// Whether any chunk lacked a weight version.
    pub has_unnamed_version: bool,
}

impl Progress {
    /// Returns the weight versions, or an empty list if any chunk lacked one, as the list would be incomplete.
    pub fn named_versions(&self) -> &[u64] {
        if self.has_unnamed_version {
            return &[];
        }
        &self.weight_versions
    }

    fn add(&mut self, chunk: &CompletionChunk) {
        self.text.push_str(&chunk.text);
        self.tokens = self.tokens.saturating_add(chunk.tokens);
        match chunk.weight_version {
            Some(version) if !self.weight_versions.contains(&version) => {
                self.weight_versions.push(version);
            }
            Some(_) => {}
            None => self.has_unnamed_version = true,
        }
    }
}

/// Completion in progress. Dropping it cancels the run on the engine.
#[derive(Debug)]
pub struct Completion {
    call: CompletionCall,
    attempts: Attempts,
    progress: Progress,
    running: Option<Running>,
}

#[derive(Debug)]
struct Running {
    attempt: Attempt,
    stream: CompletionStream,
}

impl Completion {
    /// Prepares a completion. Nothing is sent before the first call of [`Self::next`].
    pub fn new(permit: Permit, call: CompletionCall) -> Self {
        let repeatable = !permit.options.at_most_once;
        Self {
            call,
            attempts: Attempts::new(permit, repeatable),
            progress: Progress::default(),
            running: None,
        }
    }

    /// Returns the output generated so far.
    pub fn progress(&self) -> &Progress {
        &self.progress
    }

    /// Returns the next chunk, or `None` once the completion is complete.
    ///
    /// # Errors
    /// [`LiveError`] if no further attempt is possible or the deadline passes. Must not be called after an error.
    pub async fn next(&mut self) -> Result<Option<CompletionChunk>, LiveError> {
        loop {
            let running = match self.running.take() {
                Some(running) => running,
                None => self.start().await?,
            };
            let running = self.running.insert(running);
            let limit = chunk_limit(&self.attempts);
            let failure = match timeout_at(limit, running.stream.next()).await {
                Ok(Ok(Some(chunk))) => {
                    self.append(&chunk)?;
                    return Ok(Some(chunk));
                }
                Ok(Ok(None)) => {
                    self.finish();
                    return Ok(None);
                }
                Ok(Err(error)) => stream_failure(&error),
                Err(_) => DispatchError::Unknown("stream stalled".to_owned()),
            };
            self.handle_stream_failure(&failure).await?;
        }
    }

    /// Returns the complete output.
    ///
    /// # Errors
    /// Same as [`Self::next`].
    pub async fn collect(mut self) -> Result<Progress, LiveError> {
        while self.next().await?.is_some() {}
        Ok(std::mem::take(&mut self.progress))
    }

    /// Starts attempts until an engine starts to answer.
    async fn start(&mut self) -> Result<Running, LiveError> {
        loop {
            let attempt = self.attempts.start_next(Some(prefix(&self.call.prompt)))?;
            let request = self.request(&attempt);
            let engine = self.attempts.permit.live.services().engine.clone();
            let fresh_connection = attempt.fresh_connection;
            let limit = Instant::now() + self.attempts.response_timeout();
            let started = engine.complete(attempt.address, &request, fresh_connection);
            // If the caller disconnects before the answer starts, the guard cancels the run on the engine.
            let guard = CancelOnDrop::new(self, &attempt);
            let failure = match timeout_at(limit, started).await {
                Ok(Ok(stream)) => {
                    guard.disarm();
                    return Ok(Running { attempt, stream });
                }
                Ok(Err(error)) => {
                    guard.disarm_if(error.is_certainly_not_run());
                    error
                }
                Err(_) => DispatchError::Unknown("no answer in time".to_owned()),
            };
            self.attempts.retry_after_failure(attempt, &failure).await?;
        }
    }

    fn request(&self, attempt: &Attempt) -> CompletionRequest {
        let permit = &self.attempts.permit;
        CompletionRequest {
            model: permit.pool.clone(),
            prompt: self.call.prompt.clone(),
            max_tokens: self.call.max_tokens,
            priority: permit.priority,
            request_id: attempt.id.clone(),
            resume_text: self.progress.text.clone(),
            resume_tokens: self.progress.tokens,
        }
    }

    fn append(&mut self, chunk: &CompletionChunk) -> Result<(), LiveError> {
        if self.progress.text.len() + chunk.text.len() > MAX_TEXT_BYTES {
            return Err(LiveError::AnswerTooLong {
                limit: MAX_TEXT_BYTES,
            });
        }
        self.progress.add(chunk);
        Ok(())
    }

    fn finish(&mut self) {
        if let Some(running) = self.running.take() {
            self.attempts.record_success(&running.attempt);
        }
    }

    /// Ends the running attempt after its stream broke. The text received so far is kept.
    async fn handle_stream_failure(&mut self, failure: &DispatchError) -> Result<(), LiveError> {
        let Some(Running { attempt, stream }) = self.running.take() else {
            return Ok(());
        };
        drop(stream);
        drop(CancelOnDrop::new(self, &attempt));
        self.attempts.retry_after_failure(attempt, failure).await
    }
}

impl Drop for Completion {
    fn drop(&mut self) {
        if let Some(running) = &self.running {
            drop(CancelOnDrop::new(self, &running.attempt));
        }
    }
}

/// Cancels an attempt on its engine when dropped, unless disarmed.
struct CancelOnDrop(Option<Cancellation>);

struct Cancellation {
    engine: ladderstage_platform::engine::EngineClient,
    address: std::net::SocketAddr,
    request_id: String,
}

impl CancelOnDrop {
    fn new(completion: &Completion, attempt: &Attempt) -> Self {
        Self(Some(Cancellation {
            engine: completion.attempts.permit.live.services().engine.clone(),
            address: attempt.address,
            request_id: attempt.id.clone(),
        }))
    }

    fn disarm(mut self) {
        self.0 = None;
    }

    fn disarm_if(mut self, condition: bool) {
        if condition {
            self.0 = None;
        }
    }
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        let Some(cancellation) = self.0.take() else {
            return;
        };
        let Ok(runtime) = tokio::runtime::Handle::try_current() else {
            return;
        };
        runtime.spawn(async move {
            let Cancellation {
                engine,
                address,
                request_id,
            } = cancellation;
            engine.cancel(address, &request_id).await;
        });
    }
}

/// Returns when the next chunk must have arrived.
fn chunk_limit(attempts: &Attempts) -> Instant {
    let deadline = attempts.permit.deadline;
    if attempts.repeatable() {
        return deadline.min(Instant::now() + CHUNK_TIMEOUT);
    }
    deadline
}

fn stream_failure(error: &StreamError) -> DispatchError {
    DispatchError::Unknown(error.to_string())
}

fn prefix(prompt: &str) -> &[u8] {
    let bytes = prompt.as_bytes();
    &bytes[..bytes.len().min(PREFIX_BYTES)]
}

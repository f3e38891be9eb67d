//! Dispatch of an attempt to one engine.

use std::net::SocketAddr;
use std::time::Duration;

use ladderstage::staleness::StalenessBound;
use ladderstage_platform::engine::{
    CompletionRequest, CompletionStream, DispatchError, EngineClient,
};

use super::super::placement::{Placement, rollout_priority};
use super::{Attempt, PartialSample};

/// Timeout for the start of an engine's answer; the request may queue behind live requests.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Timeout from the start of the answer to the first chunk.
const FIRST_CHUNK_TIMEOUT: Duration = Duration::from_secs(20);

/// Timeout between two chunks, after which the sample is resumed on another engine.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(5);

/// Retry delay after a refusal that names none.
const DEFAULT_REFUSED_DELAY: Duration = Duration::from_millis(100);

/// Upper bound for the retry delay named by a refusal.
const MAX_REFUSED_DELAY: Duration = Duration::from_secs(2);

/// Reason why a dispatch ended before the engine's end mark. The partial sample is kept unless stated otherwise.
#[derive(Debug)]
pub(super) enum Interruption {
    /// The engine ran nothing; retry after this delay.
    Refused(Duration),
    /// The stream broke; resume on another engine.
    Broken(String),
    /// A chunk had no weight version; the sample cannot be labelled.
    Unversioned,
    /// The partial sample is too stale to deliver; start again from the prompt.
    TooStale,
    /// The text exceeds its size limit.
    TooLong,
}

/// Guard that cancels the request at the engine if the dispatch ends before the end mark.
struct CancelOnDrop {
    client: EngineClient,
    address: SocketAddr,
    request_id: String,
    is_armed: bool,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        if !self.is_armed {
            return;
        }
        let Ok(runtime) = tokio::runtime::Handle::try_current() else {
            return;
        };
        let client = self.client.clone();
        let address = self.address;
        let request_id = std::mem::take(&mut self.request_id);
        runtime.spawn(async move { client.cancel(address, &request_id).await });
    }
}

impl Attempt {
    /// Streams from the engine to its end mark and appends to the partial sample.
    pub(super) async fn stream(
        &self,
        placement: &Placement,
        partial: &mut PartialSample,
    ) -> Result<(), Interruption> {
        self.check_staleness(partial)?;
        let engine = &placement.engine;
        let request = self.request(partial);
        let mut cancel = CancelOnDrop {
            client: self.shared.dependencies.engine_client.clone(),
            address: engine.address,
            request_id: request.request_id.clone(),
            is_armed: true,
        };
        let mut stream = self.start(placement, &request).await.inspect_err(|error| {
            cancel.is_armed = matches!(error, Interruption::Broken(_));
        })?;
        let result = self.read(&mut stream, &engine.name, partial).await;
        match &result {
            Ok(()) => {
                cancel.is_armed = false;
                self.shared
                    .dependencies
                    .engines
                    .record_success(&engine.name);
            }
            Err(Interruption::Broken(_) | Interruption::Unversioned) => {
                self.shared
                    .dependencies
                    .engines
                    .record_failure(&engine.name);
            }
            Err(_) => {}
        }
        result
    }

    async fn start(
        &self,
        placement: &Placement,
        request: &CompletionRequest,
    ) -> Result<CompletionStream, Interruption> {
        let engine = &placement.engine;
        let backends = &self.shared.dependencies.engines;
        let complete =
            self.shared
                .dependencies
                .engine_client
                .complete(engine.address, request, false);
        match tokio::time::timeout(START_TIMEOUT, complete).await {
            Ok(Ok(stream)) => Ok(stream),
            Ok(Err(DispatchError::NotRun {
                retry_after,
                leaving,
                ..
            })) => {
                backends.record_refusal(&engine.name, leaving);
                let delay = retry_after
                    .unwrap_or(DEFAULT_REFUSED_DELAY)
                    .min(MAX_REFUSED_DELAY);
                Err(Interruption::Refused(delay))
            }
            Ok(Err(DispatchError::NotSent(_))) => {
                backends.record_failure(&engine.name);
                Err(Interruption::Refused(DEFAULT_REFUSED_DELAY))
            }
            Ok(Err(DispatchError::Unknown(detail))) => {
                backends.record_failure(&engine.name);
                Err(Interruption::Broken(detail))
            }
            Err(_) => {
                backends.record_failure(&engine.name);
                Err(Interruption::Broken(
                    "engine did not start to answer in time".to_owned(),
                ))
            }
        }
    }

    async fn read(
        &self,
        stream: &mut CompletionStream,
        engine: &str,
        partial: &mut PartialSample,
    ) -> Result<(), Interruption> {
        let mut chunk_timeout = FIRST_CHUNK_TIMEOUT;
        loop {
            let chunk = match tokio::time::timeout(chunk_timeout, stream.next()).await {
                Ok(Ok(Some(chunk))) => chunk,
                Ok(Ok(None)) => return Ok(()),
                Ok(Err(error)) => return Err(Interruption::Broken(error.to_string())),
                Err(_) => return Err(Interruption::Broken("engine stalled".to_owned())),
            };
            let weight_version = chunk.weight_version.ok_or(Interruption::Unversioned)?;
            if !partial.fits(&chunk) {
                return Err(Interruption::TooLong);
            }
            partial.push(&chunk, weight_version, engine);
            chunk_timeout = CHUNK_TIMEOUT;
            self.check_staleness(partial)?;
        }
    }

    /// Stops a sample that is already too stale to deliver.
    fn check_staleness(&self, partial: &PartialSample) -> Result<(), Interruption> {
        if partial.segments.is_empty() {
            return Ok(());
        }
        let Some(current) = self.shared.dependencies.bundles.current() else {
            return Ok(());
        };
        let Some(pool) = current.bundle.pool(&self.pool) else {
            return Ok(());
        };
        match StalenessBound::of(pool).admits(&partial.segments, partial.age()) {
            true => Ok(()),
            false => Err(Interruption::TooStale),
        }
    }

    /// Builds the request. Its id is unique per dispatch, so that chunks of an earlier one are not accepted.
    fn request(&self, partial: &PartialSample) -> CompletionRequest {
        let id = self.id;
        CompletionRequest {
            model: self.pool.clone(),
            prompt: self.prompt.clone(),
            max_tokens: self.max_tokens,
            priority: rollout_priority(&self.shared),
            request_id: format!(
                "{}/{}/{}/{}/{:016x}",
                self.trainer,
                self.step,
                id.slot,
                id.attempt,
                rand::random::<u64>()
            ),
            resume_text: partial.text.clone(),
            resume_tokens: partial.tokens(),
        }
    }
}

//! One dispatch of an attempt to an engine.

use std::net::SocketAddr;
use std::time::Duration;

use ladderstage::staleness::StalenessBound;
use ladderstage_platform::engine::{
    CompletionRequest, CompletionStream, DispatchError, EngineClient,
};

use super::super::placement::{Placement, rollout_priority};
use super::{Attempt, Partial};

/// How long an engine may take to begin its answer; it may wait behind live work.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// How long an engine may take from there to the first chunk.
const FIRST_CHUNK_TIMEOUT: Duration = Duration::from_secs(20);

/// How long an engine that has begun to generate may take to the next chunk; then the sample is resumed elsewhere.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay after a refusal that names none.
const REFUSED_DELAY: Duration = Duration::from_millis(100);

/// Longest delay taken over from a refusal.
const REFUSED_DELAY_MOST: Duration = Duration::from_secs(2);

/// Why a dispatch did not reach the engine's end mark. The partial sample is kept unless the variant says otherwise.
#[derive(Debug)]
pub(super) enum Interruption {
    /// Nothing ran; try again after this delay.
    Refused(Duration),
    /// The stream broke; resume elsewhere.
    Cut(String),
    /// A chunk named no weight version; the sample cannot be labelled.
    Unversioned,
    /// The partial sample could not be delivered any more; start afresh.
    TooStale,
    /// The text is over its limit.
    TooLong,
}

/// Stops the engine's work when a dispatch is given up before its end mark.
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
    /// Streams from the engine to its end mark, adding to the partial sample.
    pub(super) async fn stream(
        &self,
        placement: &Placement,
        partial: &mut Partial,
    ) -> Result<(), Interruption> {
        self.check_staleness(partial)?;
        let engine = &placement.engine;
        let request = self.request(partial);
        let mut cancel = CancelOnDrop {
            client: self.shared.parts.engine_client.clone(),
            address: engine.address,
            request_id: request.request_id.clone(),
            is_armed: true,
        };
        let mut stream = self.start(placement, &request).await.inspect_err(|error| {
            cancel.is_armed = matches!(error, Interruption::Cut(_));
        })?;
        let ended = self.read(&mut stream, &engine.name, partial).await;
        match &ended {
            Ok(()) => {
                cancel.is_armed = false;
                self.shared.parts.engines.record_success(&engine.name);
            }
            Err(Interruption::Cut(_) | Interruption::Unversioned) => {
                self.shared.parts.engines.record_failure(&engine.name);
            }
            Err(_) => {}
        }
        ended
    }

    async fn start(
        &self,
        placement: &Placement,
        request: &CompletionRequest,
    ) -> Result<CompletionStream, Interruption> {
        let engine = &placement.engine;
        let backends = &self.shared.parts.engines;
        let complete = self
            .shared
            .parts
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
                let delay = retry_after.unwrap_or(REFUSED_DELAY).min(REFUSED_DELAY_MOST);
                Err(Interruption::Refused(delay))
            }
            Ok(Err(DispatchError::NotSent(_))) => {
                backends.record_failure(&engine.name);
                Err(Interruption::Refused(REFUSED_DELAY))
            }
            Ok(Err(DispatchError::Unknown(detail))) => {
                backends.record_failure(&engine.name);
                Err(Interruption::Cut(detail))
            }
            Err(_) => {
                backends.record_failure(&engine.name);
                Err(Interruption::Cut(
                    "engine did not begin to answer".to_owned(),
                ))
            }
        }
    }

    async fn read(
        &self,
        stream: &mut CompletionStream,
        engine: &str,
        partial: &mut Partial,
    ) -> Result<(), Interruption> {
        let mut patience = FIRST_CHUNK_TIMEOUT;
        loop {
            let chunk = match tokio::time::timeout(patience, stream.next()).await {
                Ok(Ok(Some(chunk))) => chunk,
                Ok(Ok(None)) => return Ok(()),
                Ok(Err(error)) => return Err(Interruption::Cut(error.to_string())),
                Err(_) => return Err(Interruption::Cut("engine fell silent".to_owned())),
            };
            let weight_version = chunk.weight_version.ok_or(Interruption::Unversioned)?;
            if !partial.has_room_for(&chunk) {
                return Err(Interruption::TooLong);
            }
            partial.push(&chunk, weight_version, engine);
            patience = CHUNK_TIMEOUT;
            self.check_staleness(partial)?;
        }
    }

    /// Going on with a sample that could not be delivered would be lost work.
    fn check_staleness(&self, partial: &Partial) -> Result<(), Interruption> {
        if partial.segments.is_empty() {
            return Ok(());
        }
        let Some(current) = self.shared.parts.bundles.current() else {
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

    /// Each dispatch has an id of its own, so that chunks of an earlier one cannot pass for this one's.
    fn request(&self, partial: &Partial) -> CompletionRequest {
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

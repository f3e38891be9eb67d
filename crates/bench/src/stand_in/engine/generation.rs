//! Completions: queueing, generation of tokens, cancellation, and cut answers.

use std::future::Future;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use super::super::{
    CutPoint, ENGINE_HEADER, Ending, NOT_RUN, NOT_RUN_LEAVING, REQUEST_ID_HEADER, consume_one, lock,
};
use super::Engine;
use super::record::{Run, RunIndex};
use crate::http_server::{Request, Responder, injected_cut};
use crate::text;

const STALL_CHECK: Duration = Duration::from_millis(10);

#[derive(Debug, Deserialize)]
struct CompletionRequest {
    model: String,
    prompt: String,
    /// Length of the complete text, including resumed tokens.
    max_tokens: u64,
    #[serde(default)]
    priority: i64,
    #[serde(default)]
    request_id: String,
    #[serde(default)]
    resume_text: Option<String>,
    #[serde(default)]
    resume_tokens: u64,
}

#[derive(Debug, Serialize)]
struct Chunk<'a> {
    request_id: &'a str,
    text: &'a str,
    tokens: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    weight_version: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct CancelRequest {
    request_id: String,
}

/// Reason why a wait ended early.
enum Interruption {
    Cancelled,
    CallerDisconnected,
}

/// Registration for `/v1/cancel`, removed on drop.
struct CancelGuard<'a> {
    engine: &'a Engine,
    request_id: String,
    notify: Arc<Notify>,
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        let mut state = lock(&self.engine.state);
        if let Some(waiting) = state.cancels.get_mut(&self.request_id) {
            waiting.retain(|notify| !Arc::ptr_eq(notify, &self.notify));
            if waiting.is_empty() {
                state.cancels.remove(&self.request_id);
            }
        }
    }
}

/// Records the end of a run, by default as cancelled, also when its task is dropped.
struct RunGuard<'a> {
    engine: &'a Engine,
    index: RunIndex,
    ending: Ending,
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        lock(&self.engine.record).finish_run(self.index, self.ending);
    }
}

impl Engine {
    pub(super) async fn cancel(
        &self,
        request: Request,
        responder: &mut Responder,
    ) -> io::Result<()> {
        let cancel: CancelRequest = match request.json() {
            Ok(cancel) => cancel,
            Err(error) => return responder.reject(400, &error.to_string()).await,
        };
        if let Some(waiting) = lock(&self.state).cancels.get(&cancel.request_id) {
            waiting.iter().for_each(|notify| notify.notify_one());
        }
        responder.send(200, &[], b"").await
    }

    pub(super) async fn complete(
        &self,
        request: Request,
        responder: &mut Responder,
    ) -> io::Result<()> {
        let mut completion: CompletionRequest = match request.json() {
            Ok(completion) => completion,
            Err(error) => return refuse(responder, 400, &error.to_string()).await,
        };
        if let Some(id) = request.header(REQUEST_ID_HEADER) {
            completion.request_id = id.to_owned();
        }
        if completion.model != self.config.model {
            return refuse(responder, 404, "model is not served here").await;
        }
        let resumed = completion.resume_text.as_deref().unwrap_or_default();
        if text::count_tokens(resumed) != completion.resume_tokens {
            return refuse(responder, 400, "resume_tokens does not match resume_text").await;
        }
        if self.refuses_because_leaving() {
            let headers = [(ENGINE_HEADER, NOT_RUN_LEAVING)];
            return responder.send(503, &headers, b"leaving").await;
        }
        if consume_one(&mut lock(&self.state).faults.refusals) {
            return refuse(responder, 503, "refused by an injected fault").await;
        }
        self.queue_and_run(&completion, responder).await
    }

    async fn queue_and_run(
        &self,
        completion: &CompletionRequest,
        responder: &mut Responder,
    ) -> io::Result<()> {
        let cancel = self.register_cancel(&completion.request_id);
        let acquiring = self.slots.acquire(completion.priority);
        let acquired = run_interruptibly(acquiring, &cancel.notify, responder).await;
        let slot = match acquired {
            Ok(Ok(slot)) => slot,
            Ok(Err(full)) => return refuse(responder, 429, &full.to_string()).await,
            Err(Interruption::Cancelled) => return refuse(responder, 503, "cancelled").await,
            Err(Interruption::CallerDisconnected) => return Err(injected_cut()),
        };
        let outcome = self.run(completion, &cancel.notify, responder).await;
        drop(slot);
        outcome
    }

    async fn run(
        &self,
        completion: &CompletionRequest,
        cancelled: &Notify,
        responder: &mut Responder,
    ) -> io::Result<()> {
        let mut run = self.start_run(completion);
        let cut_point = self.consume_cut();
        if cut_point == Some(CutPoint::BeforeHeaders) {
            run.ending = Ending::Cut;
            return Err(injected_cut());
        }
        if pause(self.config.prefill, cancelled, responder)
            .await
            .is_err()
        {
            return Err(injected_cut());
        }
        responder
            .start_chunked(200, &[("Content-Type", "text/event-stream")])
            .await?;
        let middle = (completion.resume_tokens + completion.max_tokens) / 2;
        for position in completion.resume_tokens..completion.max_tokens {
            match self.wait_for_token(cancelled, responder).await {
                Ok(()) => {}
                Err(Interruption::Cancelled) => return responder.finish_chunks().await,
                Err(Interruption::CallerDisconnected) => return Err(injected_cut()),
            }
            let event = self.generate(completion, position, run.index);
            if cut_point == Some(CutPoint::MidBody) && position == middle {
                run.ending = Ending::Cut;
                let half = &event.as_bytes()[..event.len() / 2];
                responder.chunk(half).await?;
                return Err(injected_cut());
            }
            responder.chunk(event.as_bytes()).await?;
        }
        if cut_point.is_some() {
            run.ending = Ending::Cut;
            return Err(injected_cut());
        }
        responder.chunk(b"data: [DONE]\n\n").await?;
        responder.finish_chunks().await?;
        run.ending = Ending::Completed;
        Ok(())
    }

    /// Generates one token with the held version, records it, and returns its event.
    fn generate(&self, completion: &CompletionRequest, position: u64, index: RunIndex) -> String {
        let held = self.held_version();
        let omits_version = lock(&self.state).faults.omit_weight_version;
        lock(&self.record).record_token(index, held, !omits_version);
        let chunk = Chunk {
            request_id: &completion.request_id,
            text: &text::token(&completion.prompt, position, held),
            tokens: 1,
            weight_version: (!omits_version).then_some(held),
        };
        let json = serde_json::to_string(&chunk).unwrap_or_default();
        format!("data: {json}\n\n")
    }

    async fn wait_for_token(
        &self,
        cancelled: &Notify,
        responder: &mut Responder,
    ) -> Result<(), Interruption> {
        pause(self.token_interval(), cancelled, responder).await?;
        while lock(&self.state).faults.stall {
            pause(STALL_CHECK, cancelled, responder).await?;
        }
        Ok(())
    }

    fn start_run(&self, completion: &CompletionRequest) -> RunGuard<'_> {
        let index = lock(&self.record).start_run(Run {
            request_id: completion.request_id.clone(),
            model: completion.model.clone(),
            prompt_digest: text::prompt_digest(&completion.prompt),
            first_token: completion.resume_tokens,
            end_token: completion.resume_tokens,
            segments: Vec::new(),
            unnamed_tokens: 0,
            ending: Ending::Running,
            started_ms: self.started.elapsed().as_millis() as u64,
        });
        RunGuard {
            engine: self,
            index,
            ending: Ending::Cancelled,
        }
    }

    fn refuses_because_leaving(&self) -> bool {
        let state = lock(&self.state);
        state.leaving && state.faults.refuse_when_leaving
    }

    fn consume_cut(&self) -> Option<CutPoint> {
        let faults = &mut lock(&self.state).faults;
        let point = faults.cut?;
        consume_one(&mut faults.cuts).then_some(point)
    }

    fn register_cancel(&self, request_id: &str) -> CancelGuard<'_> {
        let notify = Arc::new(Notify::new());
        lock(&self.state)
            .cancels
            .entry(request_id.to_owned())
            .or_default()
            .push(notify.clone());
        CancelGuard {
            engine: self,
            request_id: request_id.to_owned(),
            notify,
        }
    }
}

async fn refuse(responder: &mut Responder, status: u16, reason: &str) -> io::Result<()> {
    responder
        .send(status, &[(ENGINE_HEADER, NOT_RUN)], reason.as_bytes())
        .await
}

async fn pause(
    duration: Duration,
    cancelled: &Notify,
    responder: &mut Responder,
) -> Result<(), Interruption> {
    run_interruptibly(tokio::time::sleep(duration), cancelled, responder).await
}

/// Waits for `work` unless the request is cancelled or its caller disconnects first.
async fn run_interruptibly<T>(
    work: impl Future<Output = T>,
    cancelled: &Notify,
    responder: &mut Responder,
) -> Result<T, Interruption> {
    tokio::select! {
        biased;
        () = cancelled.notified() => Err(Interruption::Cancelled),
        done = work => Ok(done),
        () = responder.caller_disconnected() => Err(Interruption::CallerDisconnected),
    }
}

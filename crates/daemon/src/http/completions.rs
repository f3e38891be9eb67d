//! `POST /v1/completions`, compatible with OpenAI's completions.

mod events;
mod model;

use ladderstage::bundle::PoolKind;
use rocket::{Data, Route, State, post, routes};
use sha2::{Digest, Sha256};

use super::outcome::{CallerHeaders, LiveAnswer, Refusal, RequestRecord, read_body};
use crate::drain::DrainGuard;
use crate::live::{
    Completion, CompletionCall, KeyedRequest, LiveError, LivePath, Permit, RecordedAnswer,
};
use model::CompletionBody;

/// Maximum length in bytes of a request body.
const MAX_BODY_BYTES: u64 = 1024 * 1024;

/// Returns the routes of this module. They need a managed [`LivePath`].
pub fn routes() -> Vec<Route> {
    routes![complete]
}

#[post("/v1/completions", data = "<data>")]
async fn complete(live: &State<LivePath>, caller: CallerHeaders, data: Data<'_>) -> LiveAnswer {
    let end = RequestRecord::new(live.inner().clone(), &caller);
    let Some(guard) = live.drain().track_request() else {
        return LiveAnswer::refused(LiveError::Draining, end);
    };
    match admit_request(live, caller, data).await {
        Ok(admitted) => admitted.run(live, guard, end).await,
        Err(refusal) => LiveAnswer::refused(refusal, end),
    }
}

/// Completion request that was admitted.
struct AdmittedRequest {
    permit: Permit,
    body: CompletionBody,
    /// Set if the request has an idempotency key.
    keyed: Option<KeyedRequest>,
}

async fn admit_request(
    live: &LivePath,
    caller: CallerHeaders,
    data: Data<'_>,
) -> Result<AdmittedRequest, Refusal> {
    let options = caller.options?;
    let body_read = read_body(live, data, caller.body_length, MAX_BODY_BYTES).await?;
    let body = CompletionBody::parse(&body_read.bytes)?;
    let key = options.idempotency_key.clone();
    let permit = live.admit(options, &body.model, PoolKind::Model, body_read.reservation)?;
    let keyed = key.map(|key| KeyedRequest {
        pool: body.model.clone(),
        key,
        digest: Sha256::digest(&body_read.bytes).to_vec(),
        deadline: permit.deadline(),
    });
    Ok(AdmittedRequest {
        permit,
        body,
        keyed,
    })
}

impl AdmittedRequest {
    async fn run(self, live: &LivePath, guard: DrainGuard, end: RequestRecord) -> LiveAnswer {
        let id = end.id().caller_id().to_owned();
        let stream = self.body.stream;
        let call = CompletionCall {
            prompt: self.body.prompt,
            max_tokens: self.body.max_tokens,
        };
        let model = self.body.model;
        let completion = Completion::new(self.permit, call);
        let result = match self.keyed {
            // The answer is recorded before it is sent, so its events are sent all at once.
            Some(keyed) => {
                let run = collect(completion, model, id, stream);
                live.run_once(keyed, guard.clone(), run).await
            }
            None if stream => return events::stream(completion, model, guard, end).await,
            None => collect(completion, model, id, false).await,
        };
        match result {
            Ok(answer) => LiveAnswer::complete(answer, guard, end),
            Err(error) => LiveAnswer::refused(error, end),
        }
    }
}

async fn collect(
    completion: Completion,
    model: String,
    id: String,
    as_events: bool,
) -> Result<RecordedAnswer, LiveError> {
    let progress = completion.collect().await?;
    if as_events {
        return Ok(events::complete_answer(&progress, &model, &id));
    }
    Ok(model::complete_answer(&progress, &model, &id))
}

//! `POST /v1/completions`, in the shape of OpenAI's completions.

mod events;
mod model;

use ladderstage::bundle::PoolKind;
use rocket::{Data, Route, State, post, routes};
use sha2::{Digest, Sha256};

use super::outcome::{CallerHeaders, LiveAnswer, Refusal, RequestEnd, read_body};
use crate::drain::DrainGuard;
use crate::live::{
    Completion, CompletionCall, KeyedRequest, LiveError, LivePath, Permit, RecordedAnswer,
};
use model::CompletionBody;

/// Longest body of a completion request, in bytes.
const MAX_BODY_BYTES: u64 = 1024 * 1024;

/// Routes of this module; they need a managed [`LivePath`].
pub fn routes() -> Vec<Route> {
    routes![complete]
}

#[post("/v1/completions", data = "<data>")]
async fn complete(live: &State<LivePath>, caller: CallerHeaders, data: Data<'_>) -> LiveAnswer {
    let end = RequestEnd::new(live.inner().clone(), &caller);
    let Some(guard) = live.drain().begin() else {
        return LiveAnswer::refused(LiveError::Draining, end);
    };
    match prepare(live, caller, data).await {
        Ok(prepared) => prepared.run(live, guard, end).await,
        Err(refusal) => LiveAnswer::refused(refusal, end),
    }
}

/// A completion that was admitted.
struct Prepared {
    permit: Permit,
    body: CompletionBody,
    /// Set if the caller gave a key.
    keyed: Option<KeyedRequest>,
}

async fn prepare(
    live: &LivePath,
    caller: CallerHeaders,
    data: Data<'_>,
) -> Result<Prepared, Refusal> {
    let options = caller.options?;
    let held = read_body(live, data, caller.body_length, MAX_BODY_BYTES).await?;
    let body = CompletionBody::parse(&held.bytes)?;
    let key = options.idempotency_key.clone();
    let permit = live.admit(options, &body.model, PoolKind::Model, held.reservation)?;
    let keyed = key.map(|key| KeyedRequest {
        pool: body.model.clone(),
        key,
        digest: Sha256::digest(&held.bytes).to_vec(),
        deadline: permit.deadline(),
    });
    Ok(Prepared {
        permit,
        body,
        keyed,
    })
}

impl Prepared {
    async fn run(self, live: &LivePath, guard: DrainGuard, end: RequestEnd) -> LiveAnswer {
        let id = end.id().caller_id().to_owned();
        let stream = self.body.stream;
        let call = CompletionCall {
            prompt: self.body.prompt,
            max_tokens: self.body.max_tokens,
        };
        let model = self.body.model;
        let completion = Completion::new(self.permit, call);
        let result = match self.keyed {
            // Recorded before it is given, so also a streamed answer comes whole.
            Some(keyed) => {
                let run = collect(completion, model, id, stream);
                live.run_once(keyed, guard.clone(), run).await
            }
            None if stream => return events::stream(completion, model, guard, end).await,
            None => collect(completion, model, id, false).await,
        };
        match result {
            Ok(answer) => LiveAnswer::whole(answer, guard, end),
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
        return Ok(events::whole(&progress, &model, &id));
    }
    Ok(model::whole(&progress, &model, &id))
}

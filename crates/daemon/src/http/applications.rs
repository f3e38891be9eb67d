//! `ANY /v1/apps/<pool>/<path..>`: forwards requests to application back ends.

mod convert;

use ladderstage::bundle::PoolKind;
use rocket::http::Method;
use rocket::route::{Handler, Outcome};
use rocket::{Data, Request, Route};

use super::outcome::{CallerHeaders, LiveAnswer, Refusal, RequestRecord, read_body};
use crate::drain::DrainGuard;
use crate::live::{
    AnswerBody, ApplicationAnswer, ApplicationCall, KeyedRequest, LiveError, LivePath, Permit,
    RecordedAnswer, forward,
};
use convert::{application_call, buffer_answer, digest};

/// Maximum length in bytes of a request body.
const MAX_BODY_BYTES: u64 = 4 * 1024 * 1024;

const METHODS: [Method; 8] = [
    Method::Get,
    Method::Head,
    Method::Post,
    Method::Put,
    Method::Patch,
    Method::Delete,
    Method::Options,
    Method::Trace,
];

/// Returns the routes of this module. They need a managed [`LivePath`].
pub fn routes() -> Vec<Route> {
    METHODS
        .into_iter()
        .map(|method| Route::new(method, "/v1/apps/<pool>/<path..>", Forward))
        .collect()
}

#[derive(Clone)]
struct Forward;

#[rocket::async_trait]
impl Handler for Forward {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let Some(live) = request.rocket().state::<LivePath>() else {
            return Outcome::Error(rocket::http::Status::InternalServerError);
        };
        let answer = handle_request(live, request, data).await;
        Outcome::from(request, answer)
    }
}

async fn handle_request(live: &LivePath, request: &Request<'_>, data: Data<'_>) -> LiveAnswer {
    let caller = CallerHeaders::read(request.headers());
    let end = RequestRecord::new(live.clone(), &caller);
    let Some(guard) = live.drain().track_request() else {
        return LiveAnswer::refused(LiveError::Draining, end);
    };
    match admit_request(live, caller, request, data).await {
        Ok(admitted) => admitted.run(live, guard, end).await,
        Err(refusal) => LiveAnswer::refused(refusal, end),
    }
}

/// Application request that was admitted.
struct AdmittedRequest {
    permit: Permit,
    call: ApplicationCall,
    /// Set if the request has an idempotency key.
    keyed: Option<KeyedRequest>,
}

async fn admit_request(
    live: &LivePath,
    caller: CallerHeaders,
    request: &Request<'_>,
    data: Data<'_>,
) -> Result<AdmittedRequest, Refusal> {
    let options = caller.options?;
    let body_read = read_body(live, data, caller.body_length, MAX_BODY_BYTES).await?;
    let (pool, call) = application_call(request, body_read.bytes);
    let key = options.idempotency_key.clone();
    let permit = live.admit(options, &pool, PoolKind::Application, body_read.reservation)?;
    let keyed = key.map(|key| KeyedRequest {
        pool,
        key,
        digest: digest(&call),
        deadline: permit.deadline(),
    });
    Ok(AdmittedRequest {
        permit,
        call,
        keyed,
    })
}

impl AdmittedRequest {
    async fn run(self, live: &LivePath, guard: DrainGuard, end: RequestRecord) -> LiveAnswer {
        let Some(keyed) = self.keyed else {
            return match forward(self.permit, &self.call).await {
                Ok(answer) => live_answer(answer, guard, end),
                Err(error) => LiveAnswer::refused(error, end),
            };
        };
        let run = run_and_buffer(self.permit, self.call);
        match live.run_once(keyed, guard.clone(), run).await {
            Ok(answer) => LiveAnswer::complete(answer, guard, end),
            Err(error) => LiveAnswer::refused(error, end),
        }
    }
}

async fn run_and_buffer(
    permit: Permit,
    call: ApplicationCall,
) -> Result<RecordedAnswer, LiveError> {
    let answer = forward(permit, &call).await?;
    buffer_answer(answer).await
}

fn live_answer(answer: ApplicationAnswer, guard: DrainGuard, end: RequestRecord) -> LiveAnswer {
    match answer.body {
        AnswerBody::Whole(body) => {
            let recorded = convert::into_recorded(answer.status, answer.headers, body);
            LiveAnswer::complete(recorded, guard, end)
        }
        AnswerBody::Streamed(body) => {
            let status = answer.status.as_u16();
            LiveAnswer::relayed(status, &answer.headers, body, guard, end)
        }
    }
}

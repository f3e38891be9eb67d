//! `ANY /v1/apps/<pool>/<path..>`: requests to application back ends.

mod convert;

use ladderstage::bundle::PoolKind;
use rocket::http::Method;
use rocket::route::{Handler, Outcome};
use rocket::{Data, Request, Route};

use super::outcome::{CallerHeaders, LiveAnswer, Refusal, RequestEnd, read_body};
use crate::drain::DrainGuard;
use crate::live::{
    AnswerBody, ApplicationAnswer, ApplicationCall, KeyedRequest, LiveError, LivePath, Permit,
    RecordedAnswer, forward,
};
use convert::{application_call, digest, recorded};

/// Longest body of an application request, in bytes.
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

/// Routes of this module; they need a managed [`LivePath`].
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
        let answer = answer(live, request, data).await;
        Outcome::from(request, answer)
    }
}

async fn answer(live: &LivePath, request: &Request<'_>, data: Data<'_>) -> LiveAnswer {
    let caller = CallerHeaders::read(request.headers());
    let end = RequestEnd::new(live.clone(), &caller);
    let Some(guard) = live.drain().begin() else {
        return LiveAnswer::refused(LiveError::Draining, end);
    };
    match prepare(live, caller, request, data).await {
        Ok(prepared) => prepared.run(live, guard, end).await,
        Err(refusal) => LiveAnswer::refused(refusal, end),
    }
}

/// An application request that was admitted.
struct Prepared {
    permit: Permit,
    call: ApplicationCall,
    /// Set if the caller gave a key.
    keyed: Option<KeyedRequest>,
}

async fn prepare(
    live: &LivePath,
    caller: CallerHeaders,
    request: &Request<'_>,
    data: Data<'_>,
) -> Result<Prepared, Refusal> {
    let options = caller.options?;
    let held = read_body(live, data, caller.body_length, MAX_BODY_BYTES).await?;
    let (pool, call) = application_call(request, held.bytes);
    let key = options.idempotency_key.clone();
    let permit = live.admit(options, &pool, PoolKind::Application, held.reservation)?;
    let keyed = key.map(|key| KeyedRequest {
        pool,
        key,
        digest: digest(&call),
        deadline: permit.deadline(),
    });
    Ok(Prepared {
        permit,
        call,
        keyed,
    })
}

impl Prepared {
    async fn run(self, live: &LivePath, guard: DrainGuard, end: RequestEnd) -> LiveAnswer {
        let Some(keyed) = self.keyed else {
            return match forward(self.permit, &self.call).await {
                Ok(answer) => passed_on(answer, guard, end),
                Err(error) => LiveAnswer::refused(error, end),
            };
        };
        let run = run_whole(self.permit, self.call);
        match live.run_once(keyed, guard.clone(), run).await {
            Ok(answer) => LiveAnswer::whole(answer, guard, end),
            Err(error) => LiveAnswer::refused(error, end),
        }
    }
}

async fn run_whole(permit: Permit, call: ApplicationCall) -> Result<RecordedAnswer, LiveError> {
    let answer = forward(permit, &call).await?;
    recorded(answer).await
}

fn passed_on(answer: ApplicationAnswer, guard: DrainGuard, end: RequestEnd) -> LiveAnswer {
    match answer.body {
        AnswerBody::Whole(body) => {
            let whole = convert::whole(answer.status, answer.headers, body);
            LiveAnswer::whole(whole, guard, end)
        }
        AnswerBody::Streamed(body) => {
            let status = answer.status.as_u16();
            LiveAnswer::relayed(status, &answer.headers, body, guard, end)
        }
    }
}

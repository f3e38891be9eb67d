//! Sends the reward call that scores the complete text of an item, retrying on other instances.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::{FuturesUnordered, StreamExt};
use http::header::HOST;
use http::{HeaderMap, HeaderValue, Method, StatusCode, Uri};
use ladderstage::region::AllowedRegions;
use ladderstage_clock::Instant;
use ladderstage_wire::messages::RewardCall;

use super::run_context::RunContext;
use crate::backend::{
    AnswerIdPolicy, ExchangeError, Instance, RequestHead, RequiredWeights, WorkKind, send,
};
use crate::config::Route;
use crate::tenant::set_tenant;

/// Pause before a route and an instance are chosen again.
const RETRY_PAUSE: Duration = Duration::from_millis(25);

/// Multiple of the target latency after which a second instance is called, because the first answer
/// may be lost.
const HEDGE_AFTER_TARGETS: u32 = 2;

/// Maximum number of concurrent calls for one text.
const MAX_CONCURRENT_CALLS: usize = 2;

/// Maximum size of the answer to a reward call, in bytes.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;

/// Outcome of scoring a text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum ScoreEnd {
    /// Signature of the successful answer.
    Scored(String),
    /// The call failed as often as its route allows.
    Failed,
    /// The call can never be sent, because its parts form no valid request.
    Unprocessable,
    /// No more requests may be sent for the job.
    Closed,
}

/// Result of one call at one instance.
struct Attempt {
    instance: Arc<Instance>,
    started: Instant,
    result: Result<Answer, ExchangeError>,
}

/// Answer of an instance.
enum Answer {
    Scored(String),
    Failed(StatusCode),
}

/// Reward call that is ready to be sent under one route.
struct Call<'a> {
    context: &'a RunContext,
    route: &'a Route,
    reward: &'a RewardCall,
    attempt_id: HeaderValue,
    uri: Uri,
}

/// Scores the complete text of the item at `index`.
pub(super) async fn score(context: &RunContext, index: usize, reward: &RewardCall) -> ScoreEnd {
    let Ok(attempt_id) = HeaderValue::from_str(&reward.id) else {
        return ScoreEnd::Unprocessable;
    };
    let Ok(uri) = reward.path.parse::<Uri>() else {
        return ScoreEnd::Unprocessable;
    };
    let mut failures = 0;
    while context.window.is_open() {
        // Reads the configuration again, because it may change between two attempts. The call waits
        // while there is no route.
        let config = context.config.current();
        let route = config
            .as_ref()
            .and_then(|config| config.route(&reward.host, uri.path()));
        if let Some(route) = route {
            let call = Call {
                context,
                route,
                reward,
                attempt_id: attempt_id.clone(),
                uri: uri.clone(),
            };
            if let Some(end) = call.try_instances(index, &mut failures).await {
                return end;
            }
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    ScoreEnd::Closed
}

impl Call<'_> {
    /// Calls instances until one returns a score or all calls have ended; returns `None` if there
    /// is no final outcome yet.
    async fn try_instances(&self, index: usize, failures: &mut u32) -> Option<ScoreEnd> {
        let service = self.route.pick_service(rand::random());
        let mut tried: Vec<Arc<Instance>> = Vec::new();
        let mut in_flight = FuturesUnordered::new();
        let mut hedge_at = Instant::now();
        loop {
            let is_due = in_flight.len() < MAX_CONCURRENT_CALLS && Instant::now() >= hedge_at;
            let may_start = is_due && self.context.window.is_open();
            if may_start && let Some(instance) = self.next_instance(service, &tried) {
                tried.push(Arc::clone(&instance));
                in_flight.push(self.attempt(instance));
            }
            if in_flight.is_empty() {
                return None;
            }
            hedge_at = Instant::now() + self.route.target_latency * HEDGE_AFTER_TARGETS;
            tokio::select! {
                Some(ended) = in_flight.next() => {
                    hedge_at = Instant::now();
                    if let Some(end) = self.apply_result(index, ended, failures) {
                        return Some(end);
                    }
                }
                () = tokio::time::sleep_until(hedge_at.into()) => {}
            }
        }
    }

    /// Chooses an instance with free capacity that was not tried yet.
    fn next_instance(&self, service: &str, tried: &[Arc<Instance>]) -> Option<Arc<Instance>> {
        let is_new = |instance: &Instance| tried.iter().all(|other| other.id() != instance.id());
        let backends = &self.context.backends;
        let allowed = self.allowed_regions();
        backends.choose_in_regions(
            service,
            RequiredWeights::ANY,
            WorkKind::Scoring,
            &allowed,
            is_new,
        )
    }

    /// Returns the regions in which the call may be served: by the current configuration, or by the
    /// route under which the call is sent if no route matches any more.
    fn allowed_regions(&self) -> AllowedRegions {
        let tenant = &self.context.spec.tenant;
        let config = &self.context.config;
        let path = self.uri.path();
        config
            .allowed_regions(&self.reward.host, path, tenant)
            .unwrap_or_else(|| {
                let config = config.current();
                let tenant = config.as_ref().and_then(|config| config.tenant(tenant));
                self.route.allowed_regions_for(tenant.map(AsRef::as_ref))
            })
    }

    async fn attempt(&self, instance: Arc<Instance>) -> Attempt {
        let started = Instant::now();
        let _guard = instance.track_request();
        let answered = tokio::time::timeout(self.route.timeout, self.send_call(&instance)).await;
        let timed_out = || Err(ExchangeError::Broken("answer timed out".to_owned()));
        Attempt {
            result: answered.unwrap_or_else(|_| timed_out()),
            instance,
            started,
        }
    }

    async fn send_call(&self, instance: &Arc<Instance>) -> Result<Answer, ExchangeError> {
        let names = self.context.codec.headers();
        let head = self.head(instance)?;
        let body = Bytes::copy_from_slice(&self.reward.body);
        let id = &self.attempt_id;
        let reply = send(instance, names, &head, &body, id, AnswerIdPolicy::Required).await?;
        let memory = self.context.memory.reservation("score");
        let (status, headers, _) = reply.read_reserved_body(MAX_ANSWER_BYTES, memory).await?;
        if !status.is_success() {
            return Ok(Answer::Failed(status));
        }
        let signature = headers.get(&names.response_signature);
        let signature = signature.and_then(|signature| signature.to_str().ok());
        let unsigned = || ExchangeError::Broken("answer without a signature".to_owned());
        Ok(Answer::Scored(signature.ok_or_else(unsigned)?.to_owned()))
    }

    fn head(&self, instance: &Instance) -> Result<RequestHead, ExchangeError> {
        let names = self.context.codec.headers();
        let not_sent =
            |error: http::header::InvalidHeaderValue| ExchangeError::NotSent(error.to_string());
        let host = HeaderValue::from_str(&self.reward.host).map_err(not_sent)?;
        let expected = HeaderValue::from_str(instance.id()).map_err(not_sent)?;
        let deadline_ms = self.route.timeout.as_millis() as u64;
        let mut headers = HeaderMap::new();
        headers.insert(HOST, host);
        headers.insert(names.attempt_id.clone(), self.attempt_id.clone());
        headers.insert(names.deadline_ms.clone(), HeaderValue::from(deadline_ms));
        headers.insert(names.request_priority.clone(), self.priority_header());
        if !self.context.spec.tenant.is_empty() {
            set_tenant(&mut headers, &names.tenant, &self.context.spec.tenant);
        }
        headers.insert(names.expect_instance.clone(), expected);
        Ok(RequestHead {
            method: Method::POST,
            uri: self.uri.clone(),
            headers,
            allowed: self.allowed_regions(),
        })
    }

    /// Returns the priority of the call: that of the job's tenant if it has one, otherwise that of
    /// the route.
    fn priority_header(&self) -> HeaderValue {
        let config = self.context.config.current();
        let tenant = config
            .as_ref()
            .and_then(|config| config.tenant(&self.context.spec.tenant));
        self.route.priority_header(tenant.map(AsRef::as_ref))
    }

    /// Processes the result of a call; returns `Some` if it ends the scoring.
    fn apply_result(&self, index: usize, ended: Attempt, failures: &mut u32) -> Option<ScoreEnd> {
        let now = Instant::now();
        self.log(index, &ended);
        match ended.result {
            Ok(Answer::Scored(signature)) => {
                ended.instance.record_success();
                let duration = now.saturating_duration_since(ended.started);
                ended
                    .instance
                    .record_unit_time(duration.as_secs_f64() * 1e3, now);
                return Some(ScoreEnd::Scored(signature));
            }
            Ok(Answer::Failed(StatusCode::INTERNAL_SERVER_ERROR)) => *failures += 1,
            Ok(Answer::Failed(_)) => ended.instance.record_failure(now),
            Err(ExchangeError::HeldBack(reason)) => self.context.metrics.record_held_back(reason),
            Err(error) => {
                let is_connection_failure =
                    matches!(error, ExchangeError::NotSent(_) | ExchangeError::Broken(_));
                if is_connection_failure {
                    ended.instance.record_failure(now);
                }
            }
        }
        let is_exhausted = *failures >= self.route.max_attempts.max(1);
        is_exhausted.then_some(ScoreEnd::Failed)
    }

    fn log(&self, index: usize, ended: &Attempt) {
        let (label, outcome) = match &ended.result {
            Ok(Answer::Scored(_)) => ("scored", "scored".to_owned()),
            Ok(Answer::Failed(status)) => ("failed", format!("failed status={}", status.as_u16())),
            Err(error) if error.is_not_run() => ("not_run", format!("not_run cause=\"{error}\"")),
            Err(error) => ("broken", format!("broken cause=\"{error}\"")),
        };
        let calls = &self.context.metrics.reward_calls;
        calls.with_label_values(&[label]).inc();
        let metrics = &self.context.metrics;
        metrics.record_sent("reward_call", ended.instance.distance());
        log::info!(
            "event=reward_call item={} job={} request={} route={} instance={} distance={} started={} elapsed_ms={} outcome={outcome}",
            self.context.spec.items[index].id,
            self.context.spec.job,
            self.reward.id,
            self.route.name,
            ended.instance.id(),
            ended.instance.distance(),
            ended.instance.started_unix_ms(),
            ended.started.elapsed().as_millis()
        );
    }
}

//! The reward call of an item: scores its whole text, on another instance when one fails, until there is a score.

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
use crate::backend::{AnswerIdPolicy, Demand, ExchangeError, Instance, RequestHead, send};
use crate::config::Route;
use crate::suspects::{ContentDigest, RunPermit};
use crate::tenant::set_tenant;

/// Pause before a route or an instance is looked for again.
const LOOK_PAUSE: Duration = Duration::from_millis(25);

/// Another instance is asked as well once a call has taken so many target latencies: the answer may be lost.
const HEDGE_TARGETS: u32 = 2;

/// Calls for one text that are under way at once, at most.
const MOST_AT_ONCE: usize = 2;

/// Largest answer of a reward call.
const ANSWER_LIMIT: usize = 1024 * 1024;

/// What came of scoring a text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum ScoreEnd {
    /// The signature of the good answer.
    Scored(String),
    /// The call failed as often as its route allows.
    Failed,
    /// The call can never be sent: its parts are no request.
    Impossible,
    /// No more requests may be sent for the job.
    Closed,
}

/// How one call ended.
struct Attempt {
    instance: Arc<Instance>,
    started: Instant,
    result: Result<Answer, ExchangeError>,
}

/// An instance's own answer.
enum Answer {
    Scored(String),
    Failed(StatusCode),
}

/// A reward call ready to be sent under one route.
struct Call<'a> {
    context: &'a RunContext,
    route: &'a Route,
    reward: &'a RewardCall,
    attempt_id: HeaderValue,
    uri: Uri,
}

/// Scores the text of the item at `index`, which must be whole.
pub(super) async fn score(context: &RunContext, index: usize, reward: &RewardCall) -> ScoreEnd {
    let Ok(attempt_id) = HeaderValue::from_str(&reward.id) else {
        return ScoreEnd::Impossible;
    };
    let Ok(uri) = reward.path.parse::<Uri>() else {
        return ScoreEnd::Impossible;
    };
    let mut failures = 0;
    while context.window.is_open() {
        // The route may change between two tries; without one nothing is known of the score.
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
            if let Some(end) = call.try_once(index, &mut failures).await {
                return end;
            }
        }
        tokio::time::sleep(LOOK_PAUSE).await;
    }
    ScoreEnd::Closed
}

impl Call<'_> {
    /// Asks instances until all calls under way have ended; `None` if that gave no score yet.
    async fn try_once(&self, index: usize, failures: &mut u32) -> Option<ScoreEnd> {
        let service = self.route.pick_service(rand::random());
        let mut tried: Vec<Arc<Instance>> = Vec::new();
        let mut under_way = FuturesUnordered::new();
        let mut hedge_at = Instant::now();
        loop {
            let is_due = under_way.len() < MOST_AT_ONCE && Instant::now() >= hedge_at;
            let may_start = is_due && self.context.window.is_open();
            if may_start
                && let Some(instance) = self.next_instance(service, &tried)
                && let Some(permit) = self.admit(index)
            {
                tried.push(Arc::clone(&instance));
                under_way.push(self.attempt(instance, permit));
            }
            if under_way.is_empty() {
                return None;
            }
            hedge_at = Instant::now() + self.route.target_latency * HEDGE_TARGETS;
            tokio::select! {
                Some(ended) = under_way.next() => {
                    hedge_at = Instant::now();
                    self.check_broken_run(index, &ended).await;
                    if let Some(end) = self.take(index, ended, failures) {
                        return Some(end);
                    }
                }
                () = tokio::time::sleep_until(hedge_at.into()) => {}
            }
        }
    }

    /// An instance with room that was not tried yet.
    fn next_instance(&self, service: &str, tried: &[Arc<Instance>]) -> Option<Arc<Instance>> {
        let is_new = |instance: &Instance| tried.iter().all(|one| one.id() != instance.id());
        let backends = &self.context.backends;
        let allowed = self.allowed_regions();
        backends.choose_within(service, "", Demand::Scoring, &allowed, is_new)
    }

    /// Where the call may be served by the configuration in force, else by the one under which it is tried.
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

    /// Whether the call may be sent: instances may have ended under it.
    fn admit(&self, index: usize) -> Option<RunPermit> {
        // Looked at first, as a refusal has a line in the log and the call is tried again soon.
        if self.context.current_hold(index, || self.content()).is_some() {
            return None;
        }
        self.context.admit(index, || self.content()).ok()
    }

    fn content(&self) -> ContentDigest {
        let reward = self.reward;
        self.context
            .content(&reward.host, &reward.path, &reward.body)
    }

    async fn attempt(&self, instance: Arc<Instance>, _permit: RunPermit) -> Attempt {
        let started = Instant::now();
        let _guard = instance.track_request();
        let asked = tokio::time::timeout(self.route.timeout, self.ask(&instance)).await;
        let late = || Err(ExchangeError::Broken("no answer in time".to_owned()));
        Attempt {
            result: asked.unwrap_or_else(|_| late()),
            instance,
            started,
        }
    }

    async fn ask(&self, instance: &Arc<Instance>) -> Result<Answer, ExchangeError> {
        let names = self.context.codec.headers();
        let head = self.head(instance)?;
        let body = Bytes::copy_from_slice(&self.reward.body);
        let id = &self.attempt_id;
        let reply = send(instance, names, &head, &body, id, AnswerIdPolicy::Required).await?;
        let (status, headers, _) = reply.read_body(ANSWER_LIMIT).await?;
        if !status.is_success() {
            return Ok(Answer::Failed(status));
        }
        let stamp = headers.get(&names.response_signature);
        let stamp = stamp.and_then(|stamp| stamp.to_str().ok());
        let unsigned = || ExchangeError::Broken("unsigned answer".to_owned());
        Ok(Answer::Scored(stamp.ok_or_else(unsigned)?.to_owned()))
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

    /// Notes whether the instance bore the call, or finds out what became of it if the connection broke.
    async fn check_broken_run(&self, index: usize, ended: &Attempt) {
        if let Err(ExchangeError::Broken(_)) = &ended.result {
            let reward = self.reward;
            let content = self
                .context
                .content(&reward.host, &reward.path, &reward.body);
            let context = self.context;
            context
                .check_broken_run(index, &ended.instance, content, ended.started)
                .await;
        }
    }

    /// The rank of the job's tenant goes before that of the call's route.
    fn priority_header(&self) -> HeaderValue {
        let config = self.context.config.current();
        let tenant = config
            .as_ref()
            .and_then(|config| config.tenant(&self.context.spec.tenant));
        self.route.priority_header(tenant.map(AsRef::as_ref))
    }

    /// Takes in a call that ended; `Some` ends the scoring.
    fn take(&self, index: usize, ended: Attempt, failures: &mut u32) -> Option<ScoreEnd> {
        let now = Instant::now();
        self.log(index, &ended);
        match ended.result {
            Ok(Answer::Scored(stamp)) => {
                ended.instance.record_success();
                let taken = now.saturating_duration_since(ended.started);
                ended.instance.record_unit_time(taken.as_secs_f64() * 1e3, now);
                return Some(ScoreEnd::Scored(stamp));
            }
            Ok(Answer::Failed(StatusCode::INTERNAL_SERVER_ERROR)) => *failures += 1,
            Ok(Answer::Failed(_)) => ended.instance.record_failure(now),
            Err(ExchangeError::HeldBack(reason)) => self.context.metrics.record_held_back(reason),
            Err(error) => {
                let is_silent =
                    matches!(error, ExchangeError::NotSent(_) | ExchangeError::Broken(_));
                if is_silent {
                    ended.instance.record_failure(now);
                }
            }
        }
        let is_spent = *failures >= self.route.max_attempts.max(1);
        is_spent.then_some(ScoreEnd::Failed)
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

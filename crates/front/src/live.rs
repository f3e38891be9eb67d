//! Live requests: attempts within the route's budget and the client's deadline, and what the client is told.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use futures_util::stream::{FuturesUnordered, StreamExt};
use http::{HeaderMap, HeaderValue, Method, StatusCode, Uri};
use ladderstage::region::AllowedRegions;
use ladderstage_clock::Instant;
use tokio::sync::watch;

use crate::backend::{
    AnswerIdPolicy, BackendTable, Demand, ExchangeError, HoldReason, Instance, Reply, RequestHead,
    RunGuard, end_to_end, send,
};
use crate::config::{CurrentConfig, Route, RouteKind};
use crate::dialect::SharedCodec;
use crate::metrics::Metrics;
use crate::suspects::{
    BrokenRun, ContentDigest, HeldBack, RequestContent, RunPermit, RunSubject, Suspects,
    UntoldSuspect,
};
use crate::tenant::Caller;
use crate::usage::UsageMeter;

/// Largest answer that is held whole before it is passed on.
const WHOLE_ANSWER_LIMIT: usize = 32 * 1024 * 1024;

/// When a client should come back after a refusal.
pub const RETRY_AFTER: Duration = Duration::from_millis(200);

/// The same where all instances are in drained zones: an operator has to end a drain, and fronts learn of that within seconds.
pub const DRAINED_RETRY_AFTER: Duration = Duration::from_secs(2);

/// A second instance is asked after this share of the target latency, where requests may run twice.
const HEDGE_SHARE: f64 = 0.6;

/// How long a request waits for the first instances at a node that has just started: a listing takes some tens of milliseconds.
const FIRST_INSTANCES_WAIT: Duration = Duration::from_millis(300);

/// Longest wait for permits while all instances that could serve a request are cold: time for one call to the node that deals them.
const PERMIT_WAIT: Duration = Duration::from_millis(150);

/// Time that the client's own path takes, kept back from what instances are told.
const RETURN_MARGIN: Duration = Duration::from_millis(10);

/// A request as read from its client.
#[derive(Debug, Clone)]
pub struct LiveRequest {
    /// Id of the client attempt.
    pub attempt_id: HeaderValue,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers as received.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// Whose it is.
    pub caller: Caller,
    /// When its head was read.
    pub received: Instant,
    /// When the client stops waiting; `None`: it did not say.
    pub deadline: Option<Instant>,
}

impl LiveRequest {
    /// Id of the client attempt, for the log.
    pub fn id(&self) -> &str {
        self.attempt_id.to_str().unwrap_or("?")
    }

    /// What its repeats share with it.
    fn content(&self, route: &Route) -> ContentDigest {
        let path = self.uri.path_and_query();
        let tenant = self.caller.tenant();
        ContentDigest::of(&RequestContent {
            host: &route.host,
            method: self.method.as_str(),
            path: path.map_or("", |path| path.as_str()),
            tenant: tenant.map_or("", |tenant| &tenant.name),
            body: &self.body,
        })
    }
}

/// What a client is answered.
#[derive(Debug)]
pub enum LiveAnswer {
    /// A whole answer of an instance.
    Whole {
        /// Status.
        status: StatusCode,
        /// Headers, connection headers left out.
        headers: HeaderMap,
        /// Body.
        body: Bytes,
    },
    /// The begin of a stream; the run is there until its end.
    Stream {
        /// The answer.
        reply: Reply,
        /// The run that makes it.
        run: Box<StreamRun>,
    },
    /// The request has not run and will not.
    NotRun,
    /// The same, as instances have ended under others of its content.
    HeldBack(HeldBack),
    /// The same, as drains leave no instance that may get a request.
    NoneMayServe(HoldReason),
    /// Nothing is promised.
    Failed(StatusCode),
}

/// The run of a stream that is passed on.
#[derive(Debug)]
pub struct StreamRun {
    /// Counts the request at its instance.
    _guard: RunGuard,
    _permit: RunPermit,
    instance: Arc<Instance>,
    id: HeaderValue,
    route: String,
    content: ContentDigest,
    started_at: Instant,
    suspects: Suspects,
}

impl StreamRun {
    /// The stream was passed on to its end.
    pub fn note_whole(&self) {
        self.suspects.record_completion(|| self.content);
    }

    /// Finds out what became of the instance, as its connection broke.
    pub async fn check_broken_run(self) {
        let run = BrokenRun {
            subject: RunSubject::Request {
                id: self.id.to_str().unwrap_or("?"),
                route: &self.route,
            },
            instance: &self.instance,
            content: self.content,
            started_at: self.started_at,
        };
        self.suspects.check_broken_run(&run).await;
        self.suspects.tell(self.content);
    }
}

/// Serves live requests.
pub struct LiveService {
    /// Routes, whose bounds may change while a request is under way.
    pub config: CurrentConfig,
    /// Instances.
    pub backends: BackendTable,
    /// Names.
    pub codec: SharedCodec,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// Counts what began to run.
    pub usage: UsageMeter,
    /// Requests under which instances end.
    pub suspects: Suspects,
}

struct Attempt {
    instance: Arc<Instance>,
    result: Result<AttemptAnswer, ExchangeError>,
    started: Instant,
    /// Counts it at the instance.
    guard: RunGuard,
    permit: RunPermit,
}

enum AttemptAnswer {
    Whole(StatusCode, HeaderMap, Bytes),
    Stream(Reply),
}

/// Progress of one request over its attempts.
#[derive(Default)]
struct Progress {
    tried: Vec<String>,
    /// Attempts that ran or may have run, those under way included.
    possible_runs: u32,
    /// An instance's own failure, passed on if nothing better comes.
    failure: Option<(StatusCode, HeaderMap, Bytes)>,
    /// The request was counted for its tenant.
    is_counted: bool,
    /// An instance may have ended under an attempt.
    untold: Option<UntoldSuspect>,
}

impl LiveService {
    /// Serves a request on `route`. Dropping the future ends the work.
    pub async fn serve(&self, route: &Route, request: &LiveRequest) -> LiveAnswer {
        let limit = self.limit(route, request);
        let mut progress = Progress::default();
        let work = self.work(route, request, limit, &mut progress);
        let ended = tokio::time::timeout_at(limit.into(), work).await;
        ended.unwrap_or_else(|_| out_of_time(&progress))
    }

    fn limit(&self, route: &Route, request: &LiveRequest) -> Instant {
        let by_route = request.received + route.timeout;
        request
            .deadline
            .map_or(by_route, |deadline| deadline.min(by_route))
    }

    async fn work(
        &self,
        route: &Route,
        request: &LiveRequest,
        limit: Instant,
        progress: &mut Progress,
    ) -> LiveAnswer {
        self.backends.wait_for_first_instance(FIRST_INSTANCES_WAIT).await;
        let service = route.pick_service(rand::random());
        let mut under_way = FuturesUnordered::new();
        let mut hedge_at = Instant::now();
        let mut table_changed = self.backends.watch();
        let permit_wait_until = Instant::now() + PERMIT_WAIT;
        loop {
            // The timer that ends this work stood still if the machine was suspended.
            if Instant::now() >= limit {
                return out_of_time(progress);
            }
            let may_start = progress.possible_runs < route.max_attempts.max(1);
            let is_due = under_way.is_empty() || Instant::now() >= hedge_at;
            let mut held = None;
            if may_start
                && is_due
                && let Some(instance) = self.next_instance(route, request, service, progress)
            {
                hedge_at = Instant::now() + route.target_latency.mul_f64(HEDGE_SHARE);
                match self.admit(route, request) {
                    Ok(permit) => {
                        progress.tried.push(instance.id().to_owned());
                        progress.possible_runs += 1;
                        under_way.push(self.attempt(route, request, instance, permit, limit));
                        continue;
                    }
                    Err(refusal) => held = Some(refusal),
                }
            }
            if under_way.is_empty() {
                if held.is_none()
                    && may_start
                    && self
                        .wait_for_permits(service, permit_wait_until, &mut table_changed)
                        .await
                {
                    continue;
                }
                let answer = give_up(progress, held);
                return self.name_cause(route, service, request, progress, answer);
            }
            let may_hedge = route.kind == RouteKind::Safe && may_start && !is_due;
            tokio::select! {
                ended = under_way.next() => {
                    if let Some(ended) = ended
                        && let Some(answer) = self.take(route, request, ended, progress)
                    {
                        return answer;
                    }
                }
                () = tokio::time::sleep_until(hedge_at.into()), if may_hedge => {}
            }
        }
    }

    /// Waits, until `until` at most, for a change of the instances of a service that lack permits; returns whether there was reason to wait.
    async fn wait_for_permits(
        &self,
        service: &str,
        until: Instant,
        table_changed: &mut watch::Receiver<u64>,
    ) -> bool {
        if Instant::now() >= until || !self.backends.awaits_permits(service) {
            return false;
        }
        let _ = tokio::time::timeout_at(until.into(), table_changed.changed()).await;
        true
    }

    /// An instance that was not tried, else, where requests may run twice, one whose answer was broken.
    fn next_instance(
        &self,
        route: &Route,
        request: &LiveRequest,
        service: &str,
        progress: &Progress,
    ) -> Option<Arc<Instance>> {
        let allowed = self.allowed_regions(route, request);
        let was_tried = |instance: &Instance| progress.tried.iter().any(|id| id == instance.id());
        let untried = |instance: &Instance| !was_tried(instance);
        let chosen = self
            .backends
            .choose_within(service, "", Demand::Live, &allowed, untried);
        let may_repeat = route.kind == RouteKind::Safe && progress.possible_runs > 0;
        chosen.or_else(|| {
            let tries = progress.tried.len() as u32;
            let is_left = may_repeat && tries < route.max_attempts * 2;
            is_left.then(|| self.backends.choose_for_retry(service, &allowed))?
        })
    }

    /// Logs why a request was not run, and answers so where drains are the cause: then the client need not come back soon.
    fn name_cause(
        &self,
        route: &Route,
        service: &str,
        request: &LiveRequest,
        progress: &Progress,
        answer: LiveAnswer,
    ) -> LiveAnswer {
        let LiveAnswer::NotRun = answer else {
            return answer;
        };
        let allowed = self.allowed_regions(route, request);
        if !allowed.is_all() && !self.backends.has_any_within(service, &allowed) {
            self.note_none_within(route, request, &allowed);
            return answer;
        }
        if let Some(reason) = self.backends.drain_reason(service) {
            self.note_drained_out(route, request, service, reason);
            return LiveAnswer::NoneMayServe(reason);
        }
        self.log_held_back(request, service, progress);
        answer
    }

    fn note_none_within(&self, route: &Route, request: &LiveRequest, allowed: &AllowedRegions) {
        log::warn!(
            "event=request_not_run request={} route={} reason=no_instance_in_allowed_regions allowed={allowed}",
            request.id(),
            route.name
        );
        let refused = &self.metrics.refused_by_region;
        refused.with_label_values(&["live"]).inc();
    }

    fn note_drained_out(
        &self,
        route: &Route,
        request: &LiveRequest,
        service: &str,
        reason: HoldReason,
    ) {
        log::info!(
            "event=request_held_back request={} route={} service={service} reason={reason}",
            request.id(),
            route.name
        );
        self.metrics.record_held_back(reason);
    }

    /// Logs what held ready instances back from a request for which none was tried.
    fn log_held_back(&self, request: &LiveRequest, service: &str, progress: &Progress) {
        let held_back = self.backends.held_back(service);
        if progress.tried.is_empty() && !held_back.is_empty() {
            let reasons = held_back
                .iter()
                .map(|(reason, count)| format!("{reason}:{count}"));
            log::info!(
                "event=no_instance request={} service={service} held_back={}",
                request.id(),
                reasons.collect::<Vec<_>>().join(",")
            );
        }
    }

    /// Where the request may be served by the configuration in force; if that has no route for it, by the one in force when it arrived.
    fn allowed_regions(&self, route: &Route, request: &LiveRequest) -> AllowedRegions {
        let tenant = request.caller.tenant();
        let name = tenant.map_or("", |tenant| &tenant.name);
        self.config
            .allowed_regions(&route.host, request.uri.path(), name)
            .unwrap_or_else(|| route.allowed_regions_for(tenant.map(AsRef::as_ref)))
    }

    fn admit(&self, route: &Route, request: &LiveRequest) -> Result<RunPermit, HeldBack> {
        let subject = RunSubject::Request {
            id: request.id(),
            route: &route.name,
        };
        self.suspects.admit(subject, || request.content(route))
    }

    fn attempt<'a>(
        &'a self,
        route: &'a Route,
        request: &'a LiveRequest,
        instance: Arc<Instance>,
        permit: RunPermit,
        limit: Instant,
    ) -> BoxFuture<'a, Attempt> {
        Box::pin(async move {
            let started = Instant::now();
            let head = self.head(route, request, &instance, limit);
            let guard = instance.track_request();
            let result = tokio::select! {
                result = self.exchange(route, request, &instance, &head) => result,
                () = instance.ended() => {
                    Err(ExchangeError::Broken("the instance was started again".to_owned()))
                }
            };
            if let Err(ExchangeError::Broken(_)) = &result {
                self.check_broken_run(route, request, &instance, started).await;
            }
            Attempt {
                instance,
                result,
                started,
                guard,
                permit,
            }
        })
    }

    /// Sends the request to one instance and reads the answer, of a stream its head.
    async fn exchange(
        &self,
        route: &Route,
        request: &LiveRequest,
        instance: &Arc<Instance>,
        head: &RequestHead,
    ) -> Result<AttemptAnswer, ExchangeError> {
        let names = self.codec.headers();
        let (body, id) = (&request.body, &request.attempt_id);
        let reply = send(instance, names, head, body, id, AnswerIdPolicy::Required).await?;
        if route.kind == RouteKind::Streaming {
            return Ok(AttemptAnswer::Stream(reply));
        }
        let (status, headers, body) = reply.read_body(WHOLE_ANSWER_LIMIT).await?;
        Ok(AttemptAnswer::Whole(status, headers, body))
    }

    /// Finds out what became of an instance under a request whose connection broke.
    async fn check_broken_run(
        &self,
        route: &Route,
        request: &LiveRequest,
        instance: &Arc<Instance>,
        started_at: Instant,
    ) {
        let run = BrokenRun {
            subject: RunSubject::Request {
                id: request.id(),
                route: &route.name,
            },
            instance,
            content: request.content(route),
            started_at,
        };
        self.suspects.check_broken_run(&run).await;
    }

    /// Headers for the instance: the client's, with the time that is left, the route's rank and the instance that is meant.
    fn head(
        &self,
        route: &Route,
        request: &LiveRequest,
        instance: &Instance,
        limit: Instant,
    ) -> RequestHead {
        let names = self.codec.headers();
        let mut headers = end_to_end(&request.headers);
        let left = limit.saturating_duration_since(Instant::now());
        let left = left.saturating_sub(RETURN_MARGIN).as_millis().max(1) as u64;
        headers.insert(names.deadline_ms.clone(), HeaderValue::from(left));
        let tenant = request.caller.tenant();
        headers.insert(
            names.request_priority.clone(),
            route.priority_header(tenant.map(AsRef::as_ref)),
        );
        request.caller.set_headers(&mut headers, &names.tenant);
        if let Ok(id) = HeaderValue::from_str(instance.id()) {
            headers.insert(names.expect_instance.clone(), id);
        }
        RequestHead {
            method: request.method.clone(),
            uri: request.uri.clone(),
            headers,
            allowed: self.allowed_regions(route, request),
        }
    }

    /// Takes in an attempt that ended; `Some` is the client's answer.
    fn take(
        &self,
        route: &Route,
        request: &LiveRequest,
        ended: Attempt,
        progress: &mut Progress,
    ) -> Option<LiveAnswer> {
        self.log(route, request, &ended);
        let now = Instant::now();
        if ended.result.is_ok() && !std::mem::replace(&mut progress.is_counted, true) {
            self.count(request, ended.started);
        }
        match ended.result {
            Ok(AttemptAnswer::Stream(reply)) => {
                ended.instance.record_success();
                let run = StreamRun {
                    _guard: ended.guard,
                    _permit: ended.permit,
                    instance: ended.instance,
                    id: request.attempt_id.clone(),
                    route: route.name.clone(),
                    content: request.content(route),
                    started_at: ended.started,
                    suspects: self.suspects.clone(),
                };
                let run = Box::new(run);
                Some(LiveAnswer::Stream { reply, run })
            }
            Ok(AttemptAnswer::Whole(status, headers, body)) => {
                self.suspects.record_completion(|| request.content(route));
                let is_signed = headers.contains_key(&self.codec.headers().response_signature);
                if status.is_success() && !is_signed {
                    ended.instance.record_failure(now);
                    return self.after_broken(route);
                }
                if status.is_server_error() && route.kind == RouteKind::Safe {
                    progress.failure = Some((status, headers, body));
                    return None;
                }
                ended.instance.record_success();
                let taken = now.saturating_duration_since(ended.started);
                ended.instance.record_unit_time(taken.as_secs_f64() * 1e3, now);
                Some(LiveAnswer::Whole {
                    status,
                    headers: end_to_end(&headers),
                    body,
                })
            }
            Err(error) if error.is_not_run() => {
                progress.possible_runs -= 1;
                if let ExchangeError::HeldBack(reason) = error {
                    self.metrics.record_held_back(reason);
                    // It was not tried, and may take the request once it may be sent.
                    progress.tried.retain(|id| id != ended.instance.id());
                }
                if matches!(error, ExchangeError::NotSent(_)) {
                    ended.instance.record_failure(now);
                }
                None
            }
            Err(_) => {
                ended.instance.record_failure(now);
                let untold = || UntoldSuspect::new(&self.suspects, request.content(route));
                progress.untold.get_or_insert_with(untold);
                self.after_broken(route)
            }
        }
    }

    /// Counts a request that began to run; instances of these services begin when a request arrives.
    fn count(&self, request: &LiveRequest, started: Instant) {
        if let Some(tenant) = request.caller.tenant() {
            self.usage.record_start(&tenant.name, started);
        }
    }

    /// A request that may have run is sent again only where that is allowed.
    fn after_broken(&self, route: &Route) -> Option<LiveAnswer> {
        match route.kind {
            RouteKind::Safe => None,
            _ => Some(LiveAnswer::Failed(StatusCode::BAD_GATEWAY)),
        }
    }

    fn log(&self, route: &Route, request: &LiveRequest, ended: &Attempt) {
        let outcome = match &ended.result {
            Ok(AttemptAnswer::Whole(status, ..)) => format!("answered status={}", status.as_u16()),
            Ok(AttemptAnswer::Stream(reply)) => {
                format!("streaming status={}", reply.status.as_u16())
            }
            Err(error) => format!("failed cause=\"{error}\""),
        };
        log::info!(
            "event=attempt request={} route={} instance={} distance={} started={} in_flight={} elapsed_ms={} outcome={outcome}",
            request.id(),
            route.name,
            ended.instance.id(),
            ended.instance.distance(),
            ended.instance.started_unix_ms(),
            ended.instance.in_flight(),
            ended.started.elapsed().as_millis(),
        );
        self.metrics.attempts.inc();
        self.metrics.record_sent("live", ended.instance.distance());
    }
}

/// The answer when the time of the client or the route is over.
fn out_of_time(progress: &Progress) -> LiveAnswer {
    if progress.possible_runs == 0 {
        LiveAnswer::NotRun
    } else {
        LiveAnswer::Failed(StatusCode::GATEWAY_TIMEOUT)
    }
}

/// The answer when no attempt is under way and none may begin.
fn give_up(progress: &mut Progress, held: Option<HeldBack>) -> LiveAnswer {
    match progress.failure.take() {
        Some((status, headers, body)) => LiveAnswer::Whole {
            status,
            headers: end_to_end(&headers),
            body,
        },
        None if progress.possible_runs == 0 => {
            held.map_or(LiveAnswer::NotRun, LiveAnswer::HeldBack)
        }
        None => LiveAnswer::Failed(StatusCode::BAD_GATEWAY),
    }
}

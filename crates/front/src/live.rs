//! Live requests: attempts within the route's limits and the client's deadline, and the response.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use futures_util::stream::{FuturesUnordered, StreamExt};
use http::{HeaderMap, HeaderValue, Method, StatusCode, Uri};
use ladderstage::region::AllowedRegions;
use ladderstage_clock::Instant;
use tokio::sync::watch;

use crate::backend::{
    AnswerIdPolicy, BackendTable, ExchangeError, HoldReason, InFlightGuard, Instance, Reply,
    RequestHead, RequiredWeights, WorkKind, end_to_end_headers, send,
};
use crate::config::{CurrentConfig, Route, RouteKind};
use crate::dialect::SharedCodec;
use crate::memory::MemoryBudget;
use crate::metrics::Metrics;
use crate::suspects::{
    AbandonedRun, BrokenRun, ContentDigest, HeldBack, RequestContent, RunPermit, RunSubject,
    Suspects, UnannouncedSuspect,
};
use crate::tenant::Caller;
use crate::usage::UsageMeter;

/// Maximum size of a response that is read completely before it is passed on, in bytes.
const MAX_RESPONSE_BYTES: usize = 32 * 1024 * 1024;

/// Retry delay sent to a client whose request was not run.
pub const RETRY_AFTER: Duration = Duration::from_millis(200);

/// Retry delay while all instances are in drained zones. Fronts learn of the end of a drain within
/// seconds.
pub const DRAINED_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Share of the target latency after which a second instance is tried, on routes that may run
/// requests twice.
const HEDGE_DELAY_SHARE: f64 = 0.6;

/// Maximum wait for the first instances at a node that has just started.
const FIRST_INSTANCE_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum wait for permits while all suitable instances are cold, which covers one call to the
/// order leader.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(150);

/// Part of the client's remaining time that is reserved for returning the response.
const RETURN_MARGIN: Duration = Duration::from_millis(10);

/// A request as received from its client.
#[derive(Debug, Clone)]
pub struct LiveRequest {
    /// Id of the client's attempt.
    pub attempt_id: HeaderValue,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers as received.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Sender of the request.
    pub caller: Caller,
    /// When its head was read.
    pub received: Instant,
    /// When the client stops waiting; `None` if it did not say.
    pub deadline: Option<Instant>,
}

impl LiveRequest {
    /// Returns the id of the client's attempt for the log.
    pub fn id(&self) -> &str {
        self.attempt_id.to_str().unwrap_or("?")
    }

    /// Returns the digest by which repetitions of the request are recognized.
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

/// Result of a live request.
#[derive(Debug)]
pub enum LiveAnswer {
    /// A complete response of an instance.
    Complete {
        /// HTTP status.
        status: StatusCode,
        /// Headers without hop-by-hop ones.
        headers: HeaderMap,
        /// Complete body.
        body: Bytes,
    },
    /// The start of a streamed response, whose run lasts until the stream ends.
    Stream {
        /// Head of the response and the connection.
        reply: Reply,
        /// Run that produces the stream.
        run: Box<StreamRun>,
        /// Time limit of the request.
        until: Instant,
    },
    /// The request has not run and will not.
    NotRun,
    /// The request has not run, as requests with its content have crashed instances.
    HeldBack(HeldBack),
    /// The request has not run, as all instances are in drained zones or the drained zones are not
    /// known yet.
    Drained(HoldReason),
    /// The request failed and may have run.
    Failed(StatusCode),
}

/// Run of a stream that is being passed on.
#[derive(Debug)]
pub struct StreamRun {
    /// Counts the request at its instance.
    _guard: InFlightGuard,
    _permit: RunPermit,
    instance: Arc<Instance>,
    id: HeaderValue,
    route: String,
    content: ContentDigest,
    started_at: Instant,
    /// True once the stream was passed on completely or broke.
    has_ended: AtomicBool,
    suspects: Suspects,
}

impl Drop for StreamRun {
    fn drop(&mut self) {
        if !*self.has_ended.get_mut() {
            self.suspects.check_abandoned_run(|| AbandonedRun {
                id: self.id.to_str().unwrap_or("?").to_owned(),
                route: self.route.clone(),
                instance: Arc::clone(&self.instance),
                content: self.content,
                started_at: self.started_at,
            });
        }
    }
}

impl StreamRun {
    /// Records that the stream was passed on completely.
    pub fn record_complete(&self) {
        self.has_ended.store(true, Ordering::Relaxed);
        self.suspects.record_completion(|| self.content);
    }

    /// Logs that the instance has not ended the stream within the time limit of the request.
    pub fn log_overdue(&self) {
        log::warn!(
            "event=stream_overdue request={} route={} instance={} elapsed_ms={}",
            self.id.to_str().unwrap_or("?"),
            self.route,
            self.instance.id(),
            self.started_at.elapsed().as_millis()
        );
    }

    /// Checks the instance after its connection broke, and announces the content if suspected.
    pub async fn check_broken_run(self) {
        let run = BrokenRun {
            subject: RunSubject {
                id: self.id.to_str().unwrap_or("?"),
                route: &self.route,
            },
            instance: &self.instance,
            content: self.content,
            started_at: self.started_at,
        };
        self.suspects.check_broken_run(&run).await;
        self.has_ended.store(true, Ordering::Relaxed);
        self.suspects.announce(self.content);
    }
}

/// Serves live requests.
pub struct LiveService {
    /// Routes, whose limits may change while a request is in progress.
    pub config: CurrentConfig,
    /// Instances.
    pub backends: BackendTable,
    /// Header names.
    pub codec: SharedCodec,
    /// Metrics of this process.
    pub metrics: Arc<Metrics>,
    /// Counts requests that started to run.
    pub usage: UsageMeter,
    /// Contents that crashed instances.
    pub suspects: Suspects,
    /// Memory for responses.
    pub memory: MemoryBudget,
}

struct Attempt {
    instance: Arc<Instance>,
    result: Result<AttemptAnswer, ExchangeError>,
    started: Instant,
    /// Counts the attempt at the instance.
    guard: InFlightGuard,
    permit: RunPermit,
}

/// An attempt that has not ended yet. Dropping it logs the attempt as abandoned: the client
/// disconnected, a deadline passed, or another attempt was answered first. The request may have run,
/// so that its instance is checked unless the request was answered.
struct UnfinishedAttempt<'a> {
    route: &'a Route,
    request: &'a LiveRequest,
    instance: &'a Arc<Instance>,
    started: Instant,
    is_finished: bool,
    is_request_answered: &'a AtomicBool,
    suspects: &'a Suspects,
}

impl UnfinishedAttempt<'_> {
    fn finish(mut self) {
        self.is_finished = true;
    }
}

impl Drop for UnfinishedAttempt<'_> {
    fn drop(&mut self) {
        if !self.is_finished {
            log_attempt(
                self.route,
                self.request,
                self.instance,
                self.started,
                "abandoned",
            );
            if !self.is_request_answered.load(Ordering::Relaxed) {
                self.suspects.check_abandoned_run(|| AbandonedRun {
                    id: self.request.id().to_owned(),
                    route: self.route.name.clone(),
                    instance: Arc::clone(self.instance),
                    content: self.request.content(self.route),
                    started_at: self.started,
                });
            }
        }
    }
}

enum AttemptAnswer {
    Complete(StatusCode, HeaderMap, Bytes),
    Stream(Reply),
}

/// State of one request over its attempts.
#[derive(Default)]
struct Progress {
    tried_instances: Vec<String>,
    /// Attempts that ran or may have run, including those in progress.
    possible_runs: u32,
    /// Error response of an instance, passed on if no attempt succeeds.
    failure: Option<(StatusCode, HeaderMap, Bytes)>,
    /// True once the request was counted for its tenant.
    is_counted: bool,
    /// Set if an instance may have crashed during an attempt.
    unannounced: Option<UnannouncedSuspect>,
}

impl LiveService {
    /// Serves a request on `route` until `stopped` completes, as this process exits then. Dropping the
    /// future cancels it.
    pub async fn serve(
        &self,
        route: &Route,
        request: &LiveRequest,
        stopped: impl Future<Output = ()>,
    ) -> LiveAnswer {
        let overall_deadline = self.overall_deadline(route, request);
        let mut progress = Progress::default();
        let run_attempts = self.run_attempts(route, request, overall_deadline, &mut progress);
        let ended = tokio::select! {
            biased;
            answer = run_attempts => Some(answer),
            () = tokio::time::sleep_until(overall_deadline.into()) => None,
            () = stopped => None,
        };
        ended.unwrap_or_else(|| result_after_timeout(&progress))
    }

    fn overall_deadline(&self, route: &Route, request: &LiveRequest) -> Instant {
        let by_route = request.received + route.timeout;
        request
            .deadline
            .map_or(by_route, |deadline| deadline.min(by_route))
    }

    async fn run_attempts(
        &self,
        route: &Route,
        request: &LiveRequest,
        overall_deadline: Instant,
        progress: &mut Progress,
    ) -> LiveAnswer {
        self.backends
            .wait_for_first_instance(FIRST_INSTANCE_TIMEOUT)
            .await;
        let service = route.pick_service(rand::random());
        let is_answered = AtomicBool::new(false);
        let mut running_attempts = FuturesUnordered::new();
        let mut hedge_at = Instant::now();
        let mut table_changed = self.backends.watch();
        let permit_wait_until = Instant::now() + PERMIT_TIMEOUT;
        loop {
            // The timer that ends this future stops while the machine is suspended.
            if Instant::now() >= overall_deadline {
                return result_after_timeout(progress);
            }
            let may_start = progress.possible_runs < max_possible_runs(route);
            let is_attempt_due = running_attempts.is_empty() || Instant::now() >= hedge_at;
            let mut held_back = None;
            if may_start
                && is_attempt_due
                && let Some(instance) = self.next_instance(route, request, service, progress)
            {
                hedge_at = Instant::now() + route.target_latency.mul_f64(HEDGE_DELAY_SHARE);
                match self.admit(route, request) {
                    Ok(permit) => {
                        progress.tried_instances.push(instance.id().to_owned());
                        progress.possible_runs += 1;
                        running_attempts.push(self.attempt(
                            route,
                            request,
                            instance,
                            permit,
                            overall_deadline,
                            &is_answered,
                        ));
                        continue;
                    }
                    Err(refusal) => held_back = Some(refusal),
                }
            }
            if running_attempts.is_empty() {
                if held_back.is_none()
                    && may_start
                    && self
                        .wait_for_permits(service, permit_wait_until, &mut table_changed)
                        .await
                {
                    continue;
                }
                let answer = result_without_attempts(progress, held_back);
                return self.classify_not_run(route, service, request, progress, answer);
            }
            let may_hedge = may_start && !is_attempt_due;
            tokio::select! {
                ended = running_attempts.next() => {
                    if let Some(ended) = ended
                        && let Some(answer) = self.apply(route, request, ended, progress)
                    {
                        is_answered.store(true, Ordering::Relaxed);
                        return answer;
                    }
                }
                () = tokio::time::sleep_until(hedge_at.into()), if may_hedge => {}
            }
        }
    }

    /// Waits until `until` for a change of the instances if they lack permits; returns whether it
    /// waited.
    async fn wait_for_permits(
        &self,
        service: &str,
        until: Instant,
        table_changed: &mut watch::Receiver<u64>,
    ) -> bool {
        if Instant::now() >= until || !self.backends.may_get_permits(service) {
            return false;
        }
        let _ = tokio::time::timeout_at(until.into(), table_changed.changed()).await;
        true
    }

    /// Returns an instance that was not tried yet, or, if the request may run twice, any ready one
    /// for a retry.
    fn next_instance(
        &self,
        route: &Route,
        request: &LiveRequest,
        service: &str,
        progress: &Progress,
    ) -> Option<Arc<Instance>> {
        let allowed = self.allowed_regions(route, request);
        let was_tried = |instance: &Instance| {
            progress
                .tried_instances
                .iter()
                .any(|id| id == instance.id())
        };
        let untried = |instance: &Instance| !was_tried(instance);
        let chosen = self.backends.choose_in_regions(
            service,
            RequiredWeights::ANY,
            WorkKind::Live,
            &allowed,
            untried,
        );
        let may_repeat = route.kind == RouteKind::Safe && progress.possible_runs > 0;
        chosen.or_else(|| {
            let tries = progress.tried_instances.len() as u32;
            let may_retry = may_repeat && tries < route.max_attempts * 2;
            may_retry.then(|| self.backends.choose_for_retry(service, &allowed))?
        })
    }

    /// Logs why a request was not run, and replaces the result if drains are the cause, for a
    /// longer retry delay.
    fn classify_not_run(
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
        if !allowed.allows_all() && !self.backends.has_instance_in(service, &allowed) {
            self.log_no_allowed_instance(route, request, &allowed);
            return answer;
        }
        if let Some(reason) = self.backends.drain_reason(service) {
            self.log_drained(route, request, service, reason);
            return LiveAnswer::Drained(reason);
        }
        self.log_held_back(request, service, progress);
        answer
    }

    fn log_no_allowed_instance(
        &self,
        route: &Route,
        request: &LiveRequest,
        allowed: &AllowedRegions,
    ) {
        log::warn!(
            "event=request_not_run request={} route={} reason=no_instance_in_allowed_regions allowed={allowed}",
            request.id(),
            route.name
        );
        let refused = &self.metrics.refused_by_region;
        refused.with_label_values(&["live"]).inc();
    }

    fn log_drained(&self, route: &Route, request: &LiveRequest, service: &str, reason: HoldReason) {
        log::info!(
            "event=request_held_back request={} route={} service={service} reason={reason}",
            request.id(),
            route.name
        );
        self.metrics.record_held_back(reason);
    }

    /// Logs why ready instances were held back from a request that was sent to none.
    fn log_held_back(&self, request: &LiveRequest, service: &str, progress: &Progress) {
        let held_counts = self.backends.held_counts(service);
        if progress.tried_instances.is_empty() && !held_counts.is_empty() {
            let reasons = held_counts
                .iter()
                .map(|(reason, count)| format!("{reason}:{count}"));
            log::info!(
                "event=no_instance request={} service={service} held_back={}",
                request.id(),
                reasons.collect::<Vec<_>>().join(",")
            );
        }
    }

    /// Returns the regions that the configuration in force allows for the request; if it no longer
    /// has the route, those allowed when the request arrived.
    fn allowed_regions(&self, route: &Route, request: &LiveRequest) -> AllowedRegions {
        let tenant = request.caller.tenant();
        let name = tenant.map_or("", |tenant| &tenant.name);
        self.config
            .allowed_regions(&route.host, request.uri.path(), name)
            .unwrap_or_else(|| route.allowed_regions_for(tenant.map(AsRef::as_ref)))
    }

    fn admit(&self, route: &Route, request: &LiveRequest) -> Result<RunPermit, HeldBack> {
        let subject = RunSubject {
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
        overall_deadline: Instant,
        is_request_answered: &'a AtomicBool,
    ) -> BoxFuture<'a, Attempt> {
        Box::pin(async move {
            let started = Instant::now();
            let head = self.build_head(route, request, &instance, overall_deadline);
            let unfinished = UnfinishedAttempt {
                route,
                request,
                instance: &instance,
                started,
                is_finished: false,
                is_request_answered,
                suspects: &self.suspects,
            };
            let guard = instance.track_request();
            let result = tokio::select! {
                result = self.exchange(route, request, &instance, &head) => result,
                () = instance.wait_until_ended() => {
                    Err(ExchangeError::Broken("the instance restarted".to_owned()))
                }
            };
            if let Err(ExchangeError::Broken(_)) = &result {
                self.check_broken_run(route, request, &instance, started)
                    .await;
            }
            unfinished.finish();
            Attempt {
                instance,
                result,
                started,
                guard,
                permit,
            }
        })
    }

    /// Sends the request to one instance and reads the response, for a stream only its head.
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
        let memory = self.memory.reservation("response");
        let (status, headers, body) = reply.read_reserved_body(MAX_RESPONSE_BYTES, memory).await?;
        Ok(AttemptAnswer::Complete(status, headers, body))
    }

    /// Checks the instance of an attempt whose connection broke.
    async fn check_broken_run(
        &self,
        route: &Route,
        request: &LiveRequest,
        instance: &Arc<Instance>,
        started_at: Instant,
    ) {
        let run = BrokenRun {
            subject: RunSubject {
                id: request.id(),
                route: &route.name,
            },
            instance,
            content: request.content(route),
            started_at,
        };
        self.suspects.check_broken_run(&run).await;
    }

    /// Builds the head for the instance: the client's headers with the remaining time, the
    /// priority, the tenant and the instance id.
    fn build_head(
        &self,
        route: &Route,
        request: &LiveRequest,
        instance: &Instance,
        overall_deadline: Instant,
    ) -> RequestHead {
        let names = self.codec.headers();
        let mut headers = end_to_end_headers(&request.headers);
        let remaining = overall_deadline.saturating_duration_since(Instant::now());
        let remaining = remaining.saturating_sub(RETURN_MARGIN).as_millis().max(1) as u64;
        headers.insert(names.deadline_ms.clone(), HeaderValue::from(remaining));
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

    /// Applies the result of an attempt; returns the client's result if it is final.
    fn apply(
        &self,
        route: &Route,
        request: &LiveRequest,
        ended: Attempt,
        progress: &mut Progress,
    ) -> Option<LiveAnswer> {
        self.log(route, request, &ended);
        let now = Instant::now();
        if ended.result.is_ok() && !std::mem::replace(&mut progress.is_counted, true) {
            self.count_usage(request, ended.started);
        }
        match ended.result {
            Ok(AttemptAnswer::Stream(reply))
                if self.is_unsigned_success(reply.status, &reply.headers) =>
            {
                log_unsigned(route, request, &ended.instance);
                ended.instance.record_failure(now);
                self.result_after_failure(route)
            }
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
                    has_ended: AtomicBool::new(false),
                    suspects: self.suspects.clone(),
                };
                let run = Box::new(run);
                let until = self.overall_deadline(route, request);
                Some(LiveAnswer::Stream { reply, run, until })
            }
            Ok(AttemptAnswer::Complete(status, headers, body)) => {
                self.suspects.record_completion(|| request.content(route));
                if self.is_unsigned_success(status, &headers) {
                    log_unsigned(route, request, &ended.instance);
                    ended.instance.record_failure(now);
                    return self.result_after_failure(route);
                }
                if status.is_server_error() && route.kind == RouteKind::Safe {
                    progress.failure = Some((status, headers, body));
                    return None;
                }
                ended.instance.record_success();
                let response_time = now.saturating_duration_since(ended.started);
                ended
                    .instance
                    .record_unit_time(response_time.as_secs_f64() * 1e3, now);
                Some(LiveAnswer::Complete {
                    status,
                    headers: end_to_end_headers(&headers),
                    body,
                })
            }
            Err(error) if error.is_not_run() => {
                progress.possible_runs -= 1;
                if let ExchangeError::HeldBack(reason) = error {
                    self.metrics.record_held_back(reason);
                    // The instance may be chosen again once it may get requests.
                    progress
                        .tried_instances
                        .retain(|id| id != ended.instance.id());
                }
                if matches!(error, ExchangeError::NotSent(_)) {
                    ended.instance.record_failure(now);
                }
                None
            }
            Err(_) => {
                ended.instance.record_failure(now);
                let unannounced =
                    || UnannouncedSuspect::new(&self.suspects, request.content(route));
                progress.unannounced.get_or_insert_with(unannounced);
                self.result_after_failure(route)
            }
        }
    }

    /// Returns whether a response is a success without the instance's signature, which is no answer to
    /// its client.
    fn is_unsigned_success(&self, status: StatusCode, headers: &HeaderMap) -> bool {
        status.is_success() && !headers.contains_key(&self.codec.headers().response_signature)
    }

    /// Counts a request for its tenant from the start of its first successful attempt.
    fn count_usage(&self, request: &LiveRequest, started: Instant) {
        if let Some(tenant) = request.caller.tenant() {
            self.usage.record_start(&tenant.name, started);
        }
    }

    /// Returns the failure unless the route allows to run a request twice.
    fn result_after_failure(&self, route: &Route) -> Option<LiveAnswer> {
        match route.kind {
            RouteKind::Safe => None,
            _ => Some(LiveAnswer::Failed(StatusCode::BAD_GATEWAY)),
        }
    }

    fn log(&self, route: &Route, request: &LiveRequest, ended: &Attempt) {
        let outcome = match &ended.result {
            Ok(AttemptAnswer::Complete(status, ..)) => {
                format!("answered status={}", status.as_u16())
            }
            Ok(AttemptAnswer::Stream(reply)) => {
                format!("streaming status={}", reply.status.as_u16())
            }
            Err(error) => format!("failed cause=\"{error}\""),
        };
        log_attempt(route, request, &ended.instance, ended.started, &outcome);
        self.metrics.attempts.inc();
        self.metrics.record_sent("live", ended.instance.distance());
    }
}

fn log_unsigned(route: &Route, request: &LiveRequest, instance: &Instance) {
    log::warn!(
        "event=unsigned_success request={} route={} instance={}",
        request.id(),
        route.name,
        instance.id()
    );
}

fn log_attempt(
    route: &Route,
    request: &LiveRequest,
    instance: &Instance,
    started: Instant,
    outcome: &str,
) {
    log::info!(
        "event=attempt request={} route={} instance={} distance={} started={} in_flight={} elapsed_ms={} outcome={outcome}",
        request.id(),
        route.name,
        instance.id(),
        instance.distance(),
        instance.started_unix_ms(),
        instance.in_flight(),
        started.elapsed().as_millis(),
    );
}

/// Returns how many attempts may have run at most, including those in progress.
fn max_possible_runs(route: &Route) -> u32 {
    match route.kind {
        RouteKind::Safe => route.max_attempts.max(1),
        // The next attempt starts after the previous one has certainly not run.
        RouteKind::Unsafe | RouteKind::Streaming | RouteKind::Batch => 1,
    }
}

/// Returns the result after the deadline of the client or the route.
fn result_after_timeout(progress: &Progress) -> LiveAnswer {
    if progress.possible_runs == 0 {
        LiveAnswer::NotRun
    } else {
        LiveAnswer::Failed(StatusCode::GATEWAY_TIMEOUT)
    }
}

/// Returns the result when no attempt is in progress and none may start.
fn result_without_attempts(progress: &mut Progress, held_back: Option<HeldBack>) -> LiveAnswer {
    match progress.failure.take() {
        Some((status, headers, body)) => LiveAnswer::Complete {
            status,
            headers: end_to_end_headers(&headers),
            body,
        },
        None if progress.possible_runs == 0 => {
            held_back.map_or(LiveAnswer::NotRun, LiveAnswer::HeldBack)
        }
        None => LiveAnswer::Failed(StatusCode::BAD_GATEWAY),
    }
}

//! Client connections: reads requests, dispatches them, writes responses and drains.
//!
//! Built on `hyper`, as Rocket neither drops a handler when its client disconnects nor aborts a
//! response whose source fails, and gives no control over closing connections.

mod accept;
mod answers;
mod body;
mod caller;
mod client_stream;
mod clients;
mod connections;
mod job_calls;
mod listeners;
mod state;
mod stream_tail;

pub use accept::listen;
pub use clients::serve;
pub use connections::ConnectionMetrics;
pub use listeners::{serve_metrics, serve_readiness};
pub use state::IngressState;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::header::{CONNECTION, HOST};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use ladderstage_clock::Instant;
use tokio::sync::Semaphore;

use self::answers::{
    AnswerBody, count_until_read, empty, is_large, no_memory, not_run, stopping, to_response,
    unauthorized,
};
use self::body::{ReadBodyError, discard, read_body};
use self::caller::identify_caller;
use self::clients::RequestProgress;
use self::job_calls::JobSubmission;
use self::state::RequestGuard;
use crate::config::{CurrentConfig, Route, RouteKind, ServingConfig};
use crate::dialect::SharedCodec;
use crate::job::{COMMIT_TIMEOUT, JobRegistry};
use crate::live::{LiveRequest, LiveService};
use crate::memory::{MemoryBudget, Reservation};
use crate::metrics::Metrics;
use crate::nodes::Nodes;
use crate::tenant::{Caller, KeyRefusal};

/// Maximum time that a read of results waits for new ones.
const MAX_READ_WAIT: Duration = Duration::from_secs(1);

/// Maximum number of concurrent searches for jobs of which this node knows nothing. Each one asks all
/// replicas.
pub const MAX_JOB_SEARCHES: usize = 64;

/// Maximum time of a job call apart from its wait for results: until a change is committed.
const MAX_JOB_CALL_TIME: Duration = COMMIT_TIMEOUT;

/// Memory of a request in progress apart from its fields and its body, in bytes: its tasks, and the
/// buffers of its connections to the client and to two instances.
const REQUEST_BYTES: usize = 64 * 1024;

/// Memory of one field of a head in the maps of the request and of its attempts, in bytes.
const FIELD_BYTES: usize = 512;

/// Maximum time for which a request without a route or key waits until the store has confirmed that
/// the configuration is the newest.
const CONFIG_CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// State shared by all client connections.
pub struct Ingress {
    /// Routes and limits.
    pub config: CurrentConfig,
    /// Live requests.
    pub live: LiveService,
    /// Batch jobs.
    pub jobs: JobRegistry,
    /// Header names and encodings.
    pub codec: SharedCodec,
    /// Contact with the store.
    pub nodes: Nodes,
    /// Metrics of this process.
    pub metrics: Arc<Metrics>,
    /// Drain state and number of requests.
    pub state: Arc<IngressState>,
    /// Memory for requests.
    pub memory: MemoryBudget,
    /// Limits the concurrent searches for jobs of which this node knows nothing.
    pub job_searches: Semaphore,
}

/// Response to a request, and what the log says about it.
struct Outcome {
    /// Name of the route, `jobs` for job calls, or `-`.
    route: String,
    /// Name of the tenant.
    tenant: Option<Arc<str>>,
    /// Version of the configuration that was used; 0 if there was none.
    version: u64,
    response: Response<AnswerBody>,
}

impl Ingress {
    /// Responds to a request, and logs and counts the response.
    async fn answer(
        &self,
        request: Request<Incoming>,
        mut progress: RequestProgress,
    ) -> Response<AnswerBody> {
        self.state.requests.fetch_add(1, Ordering::Relaxed);
        let guard = RequestGuard(Arc::clone(&self.state));
        let received = Instant::now();
        let attempt_id = request
            .headers()
            .get(&self.codec.headers().attempt_id)
            .cloned();
        let mut outcome = self.respond(request, received, &mut progress).await;
        progress.complete();
        let response = &mut outcome.response;
        if is_large(response.body()) {
            progress.connection.on_large_response();
        }
        if let Some(id) = attempt_id {
            let name = self.codec.headers().attempt_id.clone();
            response.headers_mut().entry(name).or_insert(id);
        }
        if self.state.is_draining() {
            response
                .headers_mut()
                .insert(CONNECTION, HeaderValue::from_static("close"));
        }
        self.log(&outcome, received);
        let guard = (guard, progress.response);
        outcome.response.map(|body| count_until_read(body, guard))
    }

    fn log(&self, outcome: &Outcome, received: Instant) {
        let Outcome {
            route,
            tenant,
            version,
            response,
        } = outcome;
        let tenant = tenant.as_deref().unwrap_or("-");
        let id = response.headers().get(&self.codec.headers().attempt_id);
        let id = id.and_then(|id| id.to_str().ok()).unwrap_or("-");
        let status = response.status().as_u16();
        // Failures are warnings, as info lines may be dropped under load.
        let level = if status < 400 {
            log::Level::Info
        } else {
            log::Level::Warn
        };
        log::log!(
            level,
            "event=request_answered request={id} route={route} tenant={tenant} config={version} status={status} elapsed_ms={}",
            received.elapsed().as_millis()
        );
        let status = status.to_string();
        self.metrics
            .requests
            .with_label_values(&[route.as_str(), &status])
            .inc();
        self.metrics
            .request_seconds
            .observe(received.elapsed().as_secs_f64());
    }

    async fn respond(
        &self,
        request: Request<Incoming>,
        received: Instant,
        progress: &mut RequestProgress,
    ) -> Outcome {
        let mut outcome = Outcome {
            route: "-".to_owned(),
            tenant: None,
            version: 0,
            response: not_run(),
        };
        let Some(config) = self.config.current() else {
            return outcome;
        };
        outcome.version = config.version;
        let mut memory = self.memory.reservation("request");
        if memory.grow(head_bytes(request.headers())).is_err() {
            discard(request.into_body());
            return outcome;
        }
        let path = request.uri().path().to_owned();
        let Some(host) = host(&request) else {
            outcome.response = empty(StatusCode::BAD_REQUEST);
            discard(request.into_body());
            return outcome;
        };
        let call = self
            .codec
            .job_call(request.method(), &path, request.uri().query());
        let is_known = |config: &ServingConfig| {
            let route = config.route(&host, &path);
            let is_found = route.is_some() || call.is_some();
            is_found && identify_caller(config, route, request.headers()).is_ok()
        };
        let config = self.confirm_unless(is_known, config).await;
        outcome.version = config.version;
        let route = config.route(&host, &path);
        outcome.route = match (route, &call) {
            (Some(route), _) => route.name.clone(),
            (None, Some(_)) => "jobs".to_owned(),
            (None, None) => {
                outcome.response = self.no_route();
                discard(request.into_body());
                return outcome;
            }
        };
        let caller = match identify_caller(&config, route, request.headers()) {
            Ok(caller) => caller,
            Err(refusal) => {
                outcome.response = self.reject_key(&config, &request, refusal);
                discard(request.into_body());
                return outcome;
            }
        };
        outcome.tenant = caller.tenant().map(|tenant| Arc::clone(&tenant.name));
        outcome.response = match (route, call) {
            (Some(route), _) => {
                let routed = RoutedRequest {
                    route,
                    caller,
                    host,
                    received,
                    memory,
                };
                self.serve_route(routed, request, progress).await
            }
            (None, Some(call)) => {
                progress.complete();
                let read_wait = self.read_wait(request.headers());
                discard(request.into_body());
                if !self
                    .state
                    .may_start(received + read_wait + MAX_JOB_CALL_TIME)
                {
                    log_late(call.job(), &outcome.route);
                    outcome.response = stopping();
                    return outcome;
                }
                tokio::select! {
                    response = self.job_call(call, &caller, read_wait) => response,
                    () = self.state.drained() => stopping(),
                }
            }
            (None, None) => self.no_route(),
        };
        outcome
    }

    /// Responds with 401 only while the configuration in force is known to be the newest, as a
    /// newer one may contain the key.
    fn reject_key(
        &self,
        config: &ServingConfig,
        request: &Request<Incoming>,
        refusal: KeyRefusal,
    ) -> Response<AnswerBody> {
        let id = request.headers().get(&self.codec.headers().attempt_id);
        let id = id.and_then(|id| id.to_str().ok()).unwrap_or("-");
        let is_newest = self.has_newest_config();
        let age = self
            .nodes
            .last_store_contact()
            .map(|at| at.elapsed().as_millis());
        log::warn!(
            "event=key_rejected request={id} config={} reason={refusal} config_is_newest={is_newest} contact_ms={age:?}",
            config.version
        );
        let refused = &self.metrics.refused_keys;
        refused.with_label_values(&[refusal.label()]).inc();
        if is_newest { unauthorized() } else { not_run() }
    }

    async fn serve_route(
        &self,
        routed: RoutedRequest<'_>,
        request: Request<Incoming>,
        progress: &mut RequestProgress,
    ) -> Response<AnswerBody> {
        let RoutedRequest {
            route,
            caller,
            host,
            received,
            mut memory,
        } = routed;
        let limits = self.config.current().unwrap_or_default().limits;
        let (parts, mut body) = request.into_parts();
        let names = self.codec.headers();
        let Some(attempt_id) = parts.headers.get(&names.attempt_id).cloned() else {
            discard(body);
            return empty(StatusCode::BAD_REQUEST);
        };
        let is_submission = route.kind == RouteKind::Batch && parts.method == Method::POST;
        let submission = JobSubmission {
            attempt_id: &attempt_id,
            caller: &caller,
            host: &host,
            path: parts.uri.path(),
        };
        if is_submission && self.is_accepted(&submission) {
            discard(body);
            return empty(StatusCode::ACCEPTED);
        }
        let deadline = read_number(&parts.headers, &names.deadline_ms)
            .and_then(|left| received.checked_add(Duration::from_millis(left)));
        let route_deadline = received + route.timeout;
        let read_until = deadline.map_or(route_deadline, |deadline| deadline.min(route_deadline));
        // The time limit of a batch route does not apply to the acceptance of a job.
        let ends_by = || match is_submission {
            true => Instant::now() + MAX_JOB_CALL_TIME,
            false => read_until,
        };
        if !self.state.may_start(ends_by()) {
            log_late(attempt_id.to_str().unwrap_or("?"), &route.name);
            discard(body);
            return stopping();
        }
        let reading = read_body(&mut body, limits.max_body_bytes, read_until, &mut memory);
        let read = match reading.await {
            Ok(read) => read,
            Err(error) => {
                log::warn!(
                    "event=body_refused request={} route={} cause=\"{error}\"",
                    attempt_id.to_str().unwrap_or("?"),
                    route.name
                );
                discard(body);
                return body_refusal(&error);
            }
        };
        progress.complete();
        // Idle connections may have been closed while the body was read.
        if !self.state.may_start(ends_by()) {
            log_late(attempt_id.to_str().unwrap_or("?"), &route.name);
            return stopping();
        }
        if is_submission {
            return tokio::select! {
                response = self.submit_job(submission, read, memory) => response,
                () = self.state.drained() => empty(StatusCode::GATEWAY_TIMEOUT),
            };
        }
        let request = LiveRequest {
            attempt_id,
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            body: read,
            caller,
            received,
            deadline,
        };
        let answer = self.live.serve(route, &request, self.state.drained()).await;
        to_response(answer)
    }

    /// Returns the configuration in force if it `is_known` to have what a request needs. If not,
    /// asks the store for a newer one, unless the configuration is the newest.
    async fn confirm_unless(
        &self,
        is_known: impl Fn(&ServingConfig) -> bool,
        config: Arc<ServingConfig>,
    ) -> Arc<ServingConfig> {
        if is_known(&config) || self.has_newest_config() {
            return config;
        }
        self.config.age().check(CONFIG_CHECK_TIMEOUT).await;
        self.config.current().unwrap_or(config)
    }

    /// Responds with 404 only while the configuration in force is known to be the newest.
    fn no_route(&self) -> Response<AnswerBody> {
        if self.has_newest_config() {
            empty(StatusCode::NOT_FOUND)
        } else {
            not_run()
        }
    }

    /// Returns whether the configuration in force is known to be the newest.
    fn has_newest_config(&self) -> bool {
        let contact = self.nodes.last_store_contact();
        self.config.age().is_newest(contact)
    }

    fn read_wait(&self, headers: &HeaderMap) -> Duration {
        let requested = read_number(headers, &self.codec.headers().wait_ms).unwrap_or(0);
        Duration::from_millis(requested).min(MAX_READ_WAIT)
    }
}

/// A request whose route and sender are known.
struct RoutedRequest<'a> {
    route: &'a Route,
    caller: Caller,
    host: String,
    /// When its head was read.
    received: Instant,
    /// Memory reserved for its head.
    memory: Reservation,
}

/// Logs a request that comes too late to end before this process exits.
fn log_late(id: &str, route: &str) {
    log::info!("event=request_refused_stopping request={id} route={route}");
}

/// Returns the memory of a request without its body.
fn head_bytes(headers: &HeaderMap) -> usize {
    REQUEST_BYTES + headers.len() * FIELD_BYTES
}

/// Returns the response to a request whose body could not be read. Only a body over the limit, or an
/// invalid one, is a failure of the request.
fn body_refusal(error: &ReadBodyError) -> Response<AnswerBody> {
    match error {
        ReadBodyError::TooLong(_) => empty(StatusCode::PAYLOAD_TOO_LARGE),
        ReadBodyError::NoMemory(_) => no_memory(),
        ReadBodyError::TimedOut { .. } => empty(StatusCode::REQUEST_TIMEOUT),
        ReadBodyError::Broken(_) => empty(StatusCode::BAD_REQUEST),
    }
}

/// Returns the host of a request without its port.
fn host(request: &Request<Incoming>) -> Option<String> {
    let host = request.headers().get(HOST)?.to_str().ok()?;
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    Some(name.to_owned())
}

fn read_number(headers: &HeaderMap, name: &http::HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}
